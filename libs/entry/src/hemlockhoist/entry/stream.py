"""Passing a stream's events on to the caller, over one upstream or several."""

import asyncio
import statistics

from aiohttp import web

from hemlockhoist.base import MS_PER_S, DispatchError, ResultCode
from hemlockhoist.entry.events import EventReader
from hemlockhoist.entry.responses import add_headers

US_PER_MS = 1_000
# A stream that may go on elsewhere is given up at an upstream after this silence. Made
# for an upstream that has gone dark: nothing else shows it, and its callers wait. Less
# would give up one that computes a long prompt beside this stream.
MIN_STALL_MS = 1_500
GAP_FACTOR = 2
# Enough for the loop to read what waits in its sockets.
READ_GRACE_MS = 50
# For the first event an upstream may have a long prompt to compute, of its own or of
# those before it: at the slowest engines seen some 12 tokens a millisecond.
MIN_FIRST_STALL_MS = 2_500
SLOWEST_TOKENS_PER_MS = 8


class StallWatchdog:
    """Closes an upstream's answer that has been silent for too long.

    Failure: this host was suspended. On waking, the time limit has passed, and the
    events that came meanwhile wait unread; the stream would be given up with its rest
    at hand. So the limit is only taken for passed when the loop has had time to read.

    Parameters
    ==========
    answer : UpstreamResponse
    limit_ms : int or None
        None watches nothing.
    clock : Clock
    may_resume : callable, optional
        Whether the stream could go on elsewhere. Where it can not, the answer is waited
        for: it may still come, and nothing is won by ending it.
    """

    __slots__ = (
        "_answer",
        "_clock",
        "_due_ms",
        "_limit_ms",
        "_may_go_on",
        "_timer",
        "_warned",
    )

    def __init__(self, answer, limit_ms, clock, may_resume=lambda: True):
        self._may_go_on = may_resume
        self._answer = answer
        self._limit_ms = limit_ms
        self._clock = clock
        self._due_ms = 0
        self._timer = None
        self._warned = False

    def start(self):
        """Begin to watch."""
        if self._limit_ms is not None:
            self._due_ms = self._clock.now_ms() + self._limit_ms
            self._wait(self._limit_ms)

    def close(self):
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def on_progress(self, limit_ms):
        """Take a sign of life; from here on another limit may hold."""
        if limit_ms is not None:
            self._due_ms = self._clock.now_ms() + limit_ms
            self._warned = False

    def classify_error(self, error):
        """Return the error to raise for a read that has failed."""
        if not self._warned or self._clock.now_ms() < self._due_ms:
            return error
        text = "the upstream was silent for too long"
        return DispatchError(text, ResultCode.UPSTREAM_TIMEOUT)

    def _wait(self, wait_ms):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / MS_PER_S, self._look)

    def _look(self):
        left_ms = self._due_ms - self._clock.now_ms()
        if left_ms > 0:
            self._wait(left_ms)
        elif not self._may_go_on():
            self._wait(self._limit_ms)
        elif not self._warned:
            self._warned = True
            self._wait(READ_GRACE_MS)
        else:
            self._answer.close()


class StreamRelay:
    """The caller's side of one stream, whatever upstreams its events come from.

    Parameters
    ==========
    request : aiohttp.web.BaseRequest
    admitted : AdmittedCall
    clock : Clock
    is_leaving : callable, optional
        Whether this host is about to close its callers' connections.
    may_resume : callable, optional
        Whether the stream would be given another upstream.
    """

    __slots__ = (
        "_admitted",
        "_clock",
        "_event_times_us",
        "_is_leaving",
        "_last_event_ms",
        "_longest_gap_ms",
        "_may_go_on",
        "_reader",
        "_request",
        "_response",
        "event_count",
    )

    def __init__(
        self,
        request,
        admitted,
        clock,
        is_leaving=lambda: False,
        may_resume=lambda: True,
    ):
        self._is_leaving = is_leaving
        self._may_go_on = may_resume
        self._request = request
        self._admitted = admitted
        self._clock = clock
        self._reader = EventReader(admitted.call.last_event_id)
        self._response = None
        self._event_times_us = []
        self._last_event_ms = None
        self._longest_gap_ms = 0
        self.event_count = 0

    @property
    def started(self):
        """Whether any part of the answer has gone to the caller."""
        return self._response is not None

    @property
    def last_event_id(self):
        """The last event that the caller has, or None."""
        return self._reader.last_number

    async def relay(self, answer, head, on_first):
        """Pass an upstream's events on to the end of its stream.

        Parameters
        ==========
        answer : UpstreamResponse
        head : AnswerHead
            Of this upstream; the caller gets that of the first one.
        on_first : callable
            Called without arguments when this upstream's first event came.

        Returns
        =======
        aiohttp.web.StreamResponse

        Raises
        ======
        DispatchError
            When the stream broke, or stalled where it may go on elsewhere.
        """
        self._reader.restart()
        self._event_times_us = []
        self._last_event_ms = None
        self._longest_gap_ms = 0
        first = True
        limit_ms = self._stall_limit_ms(True)
        watch = StallWatchdog(answer, limit_ms, self._clock, self._may_go_on)
        watch.start()
        try:
            async for chunk in answer.chunks():
                if first:
                    on_first()
                    first = False
                watch.on_progress(self._stall_limit_ms(False))
                await self._pass_on(head, self._reader.feed(chunk))
                if self._reader.error is not None:
                    raise self._reader.error
        except DispatchError as error:
            raise watch.classify_error(error) from error
        finally:
            watch.close()
        if not self._reader.is_between_events:
            text = "the stream ended in the middle of an event"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        return await self._finish(head)

    def _stall_limit_ms(self, first):
        """Return after which silence to give the upstream up; None for never.

        A stream that may not go on elsewhere is waited for: its answer may still come,
        and nothing is won by ending it.
        """
        route = self._admitted.route
        if not route.is_resumable:
            return None
        if first:
            prompt_ms = self._admitted.call.prompt_tokens // SLOWEST_TOKENS_PER_MS
            return MIN_FIRST_STALL_MS + prompt_ms
        return max(MIN_STALL_MS, GAP_FACTOR * route.max_gap_ms)

    async def _pass_on(self, head, events):
        if not events:
            return
        if self._response is None:
            await self._start(head)
        await self._response.write(b"".join(event.raw for event in events))
        self.event_count += len(events)
        self._note_times(len(events))

    def _note_times(self, count):
        now_ms = self._clock.now_ms()
        if self._last_event_ms is not None:
            passed_ms = now_ms - self._last_event_ms
            self._longest_gap_ms = max(self._longest_gap_ms, passed_ms)
            self._event_times_us.append(passed_ms * US_PER_MS // count)
        self._last_event_ms = now_ms

    @property
    def longest_gap_ms(self):
        """The longest pause between this upstream's events; 0 before the second."""
        return self._longest_gap_ms

    def median_event_us(self):
        """Return the median time between this upstream's events, or -1.

        The median, as an answer's pauses are those of prompts computed beside it, and
        say nothing of how fast the engine is.
        """
        if not self._event_times_us:
            return -1
        return int(statistics.median(self._event_times_us))

    async def _start(self, head):
        response = web.StreamResponse(status=head.status)
        add_headers(response, head.headers)
        if self._is_leaving():
            response.force_close()
        await response.prepare(self._request)
        self._response = response

    async def _finish(self, head):
        if self._response is None:
            await self._start(head)
        await self._response.write_eof()
        return self._response

    def abort(self):
        """End an answer that can not be finished, so that it does not look complete.

        The last chunk is left out and the connection closed: the caller sees that the
        stream broke, and may go on at its last event.
        """
        transport = self._request.transport
        if transport is not None:
            transport.close()
        return self._response
