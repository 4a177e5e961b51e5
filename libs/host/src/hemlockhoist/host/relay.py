"""Relaying an engine's stream whole, with resumes where it breaks."""

import asyncio

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

# Resumes for one stream without progress in between: an engine that can not be
# reached after these is taken for dead.
MAX_RESUMES = 4
RESUME_BACKOFF_MS = 100


class StreamHandedOver(Exception):  # noqa: N818
    """This host shuts down: the caller was told where to go on."""


class StreamRelay:
    """Reads one stream to its end, across breaks, and hands it to a sink.

    Parameters
    ==========
    client : UpstreamClient
    clock : Clock
    invariants : InvariantLog
    address, request_id : str
    sink : EventSink or CollectSink
    handover : StreamHandover
        Tells when this host has to hand its streams over.
    offset : int
        Of the first piece that the sink is to get.
    on_first : callable, optional
        Called without arguments when the first piece has come.
    """

    __slots__ = (
        "_answer",
        "_checker",
        "_client",
        "_clock",
        "_invariants",
        "_on_first",
        "_handover",
        "_resumes",
        "_sink",
        "_start",
        "_written",
        "address",
        "first_event_ms",
        "last_event",
        "request_id",
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
        self._start = offset
        self._written = 0
        self._resumes = 0
        self.address = address
        self.request_id = request_id
        self.first_event_ms = None
        self.last_event = None

    @property
    def event_count(self):
        """Number of pieces passed on."""
        return self._written

    async def run(self, answer):
        """Relay to the end of the stream.

        Parameters
        ==========
        answer : UpstreamResponse
            To the dispatch; None to attach at the offset first.

        Raises
        ======
        DispatchError
            When the rest of the stream can not be had.
        CallerDisconnected, StreamHandedOver
        """
        self._handover.add(self)
        try:
            if answer is not None:
                await self._read(answer)
            while not self._checker.done:
                await self._move_if_due()
                await self._resume()
        finally:
            self._handover.discard(self)
        self._check_whole()

    def interrupt(self):
        """End the present read, so that the stream can move."""
        if self._sink.supports_handover and self._answer is not None:
            self._answer.close()

    async def _move_if_due(self):
        if self._handover.begun and self._sink.supports_handover:
            await self._sink.hand_over(self._checker.expected)
            raise StreamHandedOver

    async def _read(self, answer):
        """Read until the stream ends or breaks."""
        splitter = EventSplitter()
        self._answer = answer
        try:
            async for chunk in answer.chunks():
                await self._pass_on(self._checker.check(splitter.feed(chunk)))
                if self._checker.done:
                    return
        except StreamGapWithEvents as gap:
            await self._pass_on(gap.new_events)
            _log.warning("stream_gap", request=self.request_id, expected=gap.expected)
        except DispatchError as error:
            _log.warning("stream_broke", request=self.request_id, reason=error.message)
        finally:
            self._answer = None

    async def _pass_on(self, events):
        count = len(events)
        if count and events[-1].done:
            count -= 1
        if count:
            self._resumes = 0
            self.last_event = events[count - 1]
            if self.first_event_ms is None:
                self.first_event_ms = self._clock.now_ms()
                self._on_first()
        await self._sink.write(events)
        self._written += count

    async def _resume(self):
        if self._resumes >= MAX_RESUMES:
            text = f"the stream broke off at piece {self._checker.expected}"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        self._resumes += 1
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
            _log.warning("resume_failed", request=self.request_id, reason=error.message)
        if not self._checker.done:
            await asyncio.sleep(RESUME_BACKOFF_MS * self._resumes / MS_PER_S)

    def _check_answer(self, answer):
        check_answer(answer, self.request_id)
        if answer.status != 200:
            text = f"the engine has no such stream (status {answer.status})"
            raise DispatchError(text, ResultCode.UNKNOWN_STREAM)

    def _check_whole(self):
        expected = self._checker.expected - self._start
        self._invariants.check(
            Property.WHOLE_ANSWER,
            self._written == expected,
            f"{self.request_id}: {self._written} pieces passed on of {expected}",
        )


def check_answer(answer, request_id):
    """Refuse an answer that says it belongs to another request.

    Raises
    ======
    DispatchError
        ``ANSWER_MISMATCH``: the caller must not read somebody else's answer.
    """
    if not answer.matches_request(request_id):
        text = f"the upstream answered another request than {request_id}"
        raise DispatchError(text, ResultCode.ANSWER_MISMATCH)
