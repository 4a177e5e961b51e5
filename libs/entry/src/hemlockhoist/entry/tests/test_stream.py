import asyncio
import types

from hemlockhoist.base import MS_PER_S, Clock, DispatchError, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt_sender import AttemptSender
from hemlockhoist.entry.stream import LONG_WAIT_MS, StreamRelay
from hemlockhoist.entry.tests.builders import route

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


class FakeBuffer:
    """A caller's buffer that waits for given times, one for each chunk."""

    is_waiting = False

    def __init__(self, *waits_ms):
        self.waits_ms = list(waits_ms)

    async def wait_below_limit(self, on_wait):
        await asyncio.sleep(self.waits_ms.pop(0) / MS_PER_S)


class FakeCallerResponse:
    async def write(self, data):
        pass

    async def write_eof(self):
        pass


class Relay(StreamRelay):
    async def _start_response(self, head):
        self._caller_response = FakeCallerResponse()


class BrokenResponse:
    """Yields a chunk for each wait of the caller, and breaks off unless it is whole."""

    def __init__(self, *chunks, is_whole=False):
        self._chunks, self._is_whole = chunks, is_whole

    async def chunks(self):
        for chunk in self._chunks:
            yield chunk
        if not self._is_whole:
            raise DispatchError("closed", ResultCode.UPSTREAM_BROKE_OFF)


class SlowCallerTests(PausedTestCase):
    async def relay(self, response, *waits_ms):
        """Relay a response; return the relay and the attempt as recorded."""
        clock = Clock.from_running_loop()
        admitted = types.SimpleNamespace(
            call=types.SimpleNamespace(last_event_id=None, prompt_tokens=0),
            route=route(),
            deadline_ms=clock.now_ms() + 60_000,
        )
        relay = Relay(None, admitted, clock, FakeBuffer(*waits_ms))
        attempt = types.SimpleNamespace(reason="", is_given_up=False)
        opened = types.SimpleNamespace(attempt=attempt, end=None)
        with AttemptSender.failure_recorded(None, opened):
            try:
                await relay.relay(response, None, lambda: None)
            finally:
                attempt.is_given_up = relay.is_caller_slow
        return opened

    async def test_break_after_a_long_wait_for_the_caller_is_not_its_upstreams(self):
        """Guards against good upstreams that are blamed as they abort unread answers."""
        opened = await self.relay(BrokenResponse(EVENTS[0]), LONG_WAIT_MS)
        self.assertIs(opened.end, AttemptEnd.BROKEN)
        self.assertTrue(opened.attempt.is_given_up)

    async def test_break_after_further_data_is_its_upstreams(self):
        """Guards against an upstream that is excused by an earlier wait."""
        for rest in ((EVENTS[1], 0), (b"data: half", None)):
            with self.subTest(rest=rest):
                chunk, wait_ms = rest
                response = BrokenResponse(EVENTS[0], chunk)
                opened = await self.relay(response, LONG_WAIT_MS, wait_ms)
                self.assertFalse(opened.attempt.is_given_up)

    async def test_whole_stream_of_a_slow_caller_is_not_given_up(self):
        """Guards against a success that is counted as cancelled after a long wait."""
        response = BrokenResponse(EVENTS[0], is_whole=True)
        opened = await self.relay(response, LONG_WAIT_MS)
        self.assertIsNone(opened.end)
        self.assertFalse(opened.attempt.is_given_up)
