"""Relays an engine's event stream completely, resuming it after a broken connection."""

import asyncio

import aiohttp

from hemlockhoist.base import (
    MS_PER_S,
    DispatchError,
    Property,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.upstreams import (
    EventSplitter,
    OffsetChecker,
    StreamGapWithEvents,
    UpstreamCall,
)

_log = get_logger("host.relay")

# Consecutive resume attempts without progress, after which the engine is assumed dead.
MAX_RESUMES = 4
RESUME_BACKOFF_MS = 100


class StreamHandedOver(Exception):  # noqa: N818
    """This host is shutting down; the caller was sent the offset to resume from."""


class StreamRelay:
    """Reads one stream to its end, resuming after breaks, and writes it to a sink.

    Parameters
    ==========
    client : UpstreamClient
    clock : Clock
    invariants : InvariantLog
    address, request_id : str
    sink : EventSink or CollectSink
    handover : StreamHandover
        Signals when this host has to hand its streams over.
    offset : int
        Offset of the first event that the sink receives.
    on_first : callable, optional
        Called without arguments when the first event arrives.
    """

    __slots__ = (
        "_answer",
        "_checker",
        "_client",
        "_clock",
        "_handover",
        "_invariants",
        "_on_first",
        "_resume_attempts",
        "_sink",
        "_start_offset",
        "_written_count",
        "address",
        "first_event_ms",
        "last_event",
        "request_id",
        "was_refused",
    )

    def __init__(
        self,
        client,
        clock,
        invariants,
        address,
        request_id,
        sink,
        handover,
        offset=0,
        on_first=lambda: None,
    ):
        self._on_first = on_first
        self._client = client
        self._clock = clock
        self._invariants = invariants
        self._sink = sink
        self._handover = handover
        self._answer = None
        name = client.response_ids.checker_for(address, request_id)
        self._checker = OffsetChecker(offset, name)
        self._start_offset = offset
        self._written_count = 0
        self._resume_attempts = 0
        self.address = address
        self.request_id = request_id
        self.first_event_ms = None
        # Whether the engine refused a connection after the stream broke off.
        self.was_refused = False
        self.last_event = None

    @property
    def event_count(self):
        """Number of events written to the sink, without the end mark."""
        return self._written_count

    async def run(self, answer):
        """Relay until the stream ends.

        Parameters
        ==========
        answer : UpstreamResponse
            Answer to the dispatch; None to resume the stream at the offset instead.

        Raises
        ======
        DispatchError
            When the rest of the stream is not available.
        CallerDisconnected, StreamHandedOver
        """
        self._handover.add(self)
        try:
            if answer is not None:
                await self._read(answer)
            while not self._checker.done:
                await self._hand_over_if_due()
                await self._resume()
        finally:
            self._handover.discard(self)
        self._check_complete()

    def interrupt(self):
        """Abort the current read, so that the stream can be handed over."""
        if self._sink.supports_handover and self._answer is not None:
            self._answer.close()

    async def _hand_over_if_due(self):
        if self._handover.begun and self._sink.supports_handover:
            await self._sink.hand_over(self._checker.expected)
            raise StreamHandedOver

    async def _read(self, answer):
        """Relay events until the stream ends or its connection breaks."""
        splitter = EventSplitter()
        self._answer = answer
        try:
            async for chunk in answer.chunks():
                await self._write_events(self._checker.check(splitter.feed(chunk)))
                if self._checker.done:
                    return
                if splitter.error is not None:
                    raise splitter.error
        except StreamGapWithEvents as gap:
            await self._write_events(gap.new_events)
            _log.warning("stream_gap", request=self.request_id, expected=gap.expected)
        except DispatchError as error:
            _log.warning("stream_broke", request=self.request_id, reason=error.message)
        finally:
            self._answer = None
        # The engine would go on with it while the stream is resumed.
        answer.close()

    async def _write_events(self, events):
        count = len(events)
        if count and events[-1].done:
            count -= 1
        if count:
            self._resume_attempts = 0
            self.last_event = events[count - 1]
            if self.first_event_ms is None:
                self.first_event_ms = self._clock.now_ms()
                self._on_first()
        await self._sink.write(events)
        self._written_count += count

    async def _resume(self):
        if self._resume_attempts >= MAX_RESUMES:
            text = f"stream could not be resumed at event {self._checker.expected}"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        self._resume_attempts += 1
        call = UpstreamCall(
            address=self.address,
            method="GET",
            path=f"/v1/streams/{self.request_id}?offset={self._checker.expected}",
            request_id=self.request_id,
        )
        try:
            async with self._client.attach(call) as answer:
                self._check_answer(answer)
                await self._read(answer)
        except (DispatchError, Refused) as error:
            if error.code in (ResultCode.UNKNOWN_STREAM, ResultCode.ANSWER_MISMATCH):
                raise
            cause = error.__cause__
            self.was_refused |= isinstance(cause, aiohttp.ClientConnectorError)
            _log.warning("resume_failed", request=self.request_id, reason=error.message)
        if not self._checker.done:
            await asyncio.sleep(RESUME_BACKOFF_MS * self._resume_attempts / MS_PER_S)

    def _check_answer(self, answer):
        check_response(answer, self.request_id)
        if answer.status != 200:
            text = f"the engine does not know this stream (status {answer.status})"
            raise DispatchError(text, ResultCode.UNKNOWN_STREAM)

    def _check_complete(self):
        expected = self._checker.expected - self._start_offset
        self._invariants.check(
            Property.WHOLE_ANSWER,
            self._written_count == expected,
            f"{self.request_id}: {self._written_count} events relayed of {expected}",
        )


def check_response(answer, request_id):
    """Reject an answer that carries the id of another request.

    Raises
    ======
    DispatchError
        ``ANSWER_MISMATCH``, as a caller must never receive the answer to another's
        request.
    """
    if not answer.matches_request(request_id):
        text = f"the upstream's answer does not belong to request {request_id}"
        raise DispatchError(text, ResultCode.ANSWER_MISMATCH)
