import contextlib
import unittest

from hemlockhoist.base import Clock, DispatchError, ResultCode
from hemlockhoist.base.invariants import InvariantLog
from hemlockhoist.host.handover import StreamHandover
from hemlockhoist.host.relay import StreamRelay
from hemlockhoist.host.sinks import CollectSink
from hemlockhoist.upstreams import ResponseIdTracker

EVENTS = [b'id: %d\ndata: {"id":"r1"}\n\n' % number for number in range(4)]
DONE = b"data: [DONE]\n\n"
BROKEN = DispatchError("broken", ResultCode.UPSTREAM_BROKE_OFF)


class _Answer:
    """An engine's answer with given chunks, one of which may be an error."""

    status = 200

    def __init__(self, *chunks):
        self._chunks = chunks
        self.is_closed = False

    def matches_request(self, request_id):
        return True

    def close(self):
        self.is_closed = True

    async def chunks(self):
        for chunk in self._chunks:
            if isinstance(chunk, DispatchError):
                raise chunk
            yield chunk


class _Client:
    """Resumes a stream with given answers, once all earlier ones are closed."""

    def __init__(self, *answers):
        self.response_ids = ResponseIdTracker()
        self._answers = list(answers)
        self.open_counts = []
        self.begun = []

    @contextlib.asynccontextmanager
    async def attach(self, call):
        self.open_counts.append(sum(not answer.is_closed for answer in self.begun))
        answer = self._answers.pop(0)
        self.begun.append(answer)
        yield answer


class StreamRelayTests(unittest.IsolatedAsyncioTestCase):
    async def test_answer_is_closed_before_its_stream_is_resumed(self):
        """Guards against engines that send two answers for one stream at a time."""
        for end in (b"HTTP/1.1 200 OK\r\n", EVENTS[3], BROKEN):
            first = _Answer(EVENTS[0], end)
            client = _Client(_Answer(*EVENTS[1:], DONE))
            client.begun.append(first)
            sink = CollectSink()
            relay = StreamRelay(
                client,
                Clock.from_running_loop(),
                InvariantLog(fatal=True),
                "127.0.0.1:1",
                "r1",
                sink,
                StreamHandover(),
            )
            with self.subTest(end=end):
                await relay.run(first)
                self.assertEqual(relay.event_count, len(EVENTS))
                self.assertEqual(client.open_counts, [0])
