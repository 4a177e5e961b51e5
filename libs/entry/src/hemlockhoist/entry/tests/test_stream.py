import asyncio
import types

from hemlockhoist.base import MS_PER_S, Clock, DispatchError, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt_sender import AttemptSender
from hemlockhoist.entry.stream import LONG_WAIT_MS, PART_BYTES, StreamRelay
from hemlockhoist.entry.tests.builders import route
from hemlockhoist.upstreams import BodyEnd

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


class FakeBuffer:
    """A caller's buffer that waits for given times, one for each chunk."""

    is_waiting = False
    needs_check = True

    def __init__(self, *waits_ms):
        self.waits_ms = list(waits_ms)
        self.held_bytes = []

    async def wait_below_limit(self, on_wait, held_bytes):
        wait_ms = self.waits_ms.pop(0)
        if wait_ms:
            on_wait()
            self.held_bytes.append(held_bytes())
        await asyncio.sleep(wait_ms / MS_PER_S)


class FakeCallerResponse:
    def __init__(self):
        self.written = []

    async def write(self, data):
        self.written.append(data)

    async def write_eof(self):
        pass


class Relay(StreamRelay):
    async def _start_response(self):
        self._caller_response = FakeCallerResponse()


class BrokenResponse:
    """Yields a chunk for each wait of the caller, and breaks off unless it is whole."""

    body_end = BodyEnd.LAST_CHUNK
    unread_bytes = 0

    def __init__(self, *chunks, is_whole=False):
        self._chunks, self._is_whole = chunks, is_whole
        self.calls = []

    def pause(self):
        self.calls.append("pause")

    def resume(self):
        self.calls.append("resume")

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
        self.buffer = FakeBuffer(*waits_ms)
        relay = Relay(None, admitted, clock, self.buffer)
        attempt = types.SimpleNamespace(reason="", is_given_up=False)
        opened = types.SimpleNamespace(attempt=attempt, end=None)
        with AttemptSender.failure_recorded(None, opened):
            try:
                await relay.relay(response, None, lambda: None)
            finally:
                attempt.is_given_up = relay.is_caller_slow
        opened.relay = relay
        return opened

    async def test_upstream_is_not_read_while_its_caller_is_waited_for(self):
        """Guards against what is read ahead of each of hundreds of slow callers."""
        response = BrokenResponse(*EVENTS, EVENTS[1], is_whole=True)
        await self.relay(response, 50, 0)
        self.assertEqual(response.calls, ["pause", "resume"])

    async def test_long_event_is_written_in_parts(self):
        """Guards against long events that the event loop keeps for their last bytes."""
        event = b"id: 1\ndata: " + b"ab" * PART_BYTES + b"\n\n"
        response = BrokenResponse(event + b"id: 2", EVENTS[1][5:], is_whole=True)
        opened = await self.relay(response, 50, 50, 0, 0)
        *parts, last = opened.relay._caller_response.written
        self.assertEqual([len(part) for part in parts[:2]], [PART_BYTES] * 2)
        self.assertEqual(b"".join([*parts, last]), event + EVENTS[1])
        rest_bytes = len(event) - PART_BYTES + len(b"id: 2")
        self.assertEqual(self.buffer.held_bytes, [rest_bytes, rest_bytes - PART_BYTES])
        self.assertEqual(response.calls, ["pause", "resume"])

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
