import asyncio
import types
import unittest
from unittest import mock

from hemlockhoist.host import stream_readers
from hemlockhoist.host.stream_readers import FIRST_READER, MAX_STREAMS, StreamReaders
from hemlockhoist.messages import StreamTaken


def resumed(request_id, reader_id):
    return StreamTaken(request_id=request_id, reader_id=reader_id)


def left(request_id, reader_id):
    return StreamTaken(request_id=request_id, reader_id=reader_id, left_address="e1:1")


class StreamReadersTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.readers = StreamReaders(types.SimpleNamespace(upstreams=None))
        self.addAsyncCleanup(self.readers.close)
        self.cancelled = mock.AsyncMock()
        for name, value in (
            ("RESUME_GRACE_MS", 20),
            ("cancel_stream", self.cancelled),
        ):
            patch = mock.patch.object(stream_readers, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def _wait(self):
        await asyncio.sleep(0.06)

    async def test_stream_without_reader_is_cancelled(self):
        self.readers.on_left("r1", FIRST_READER, "e1:1")
        await self._wait()
        self.cancelled.assert_awaited_once_with(None, "e1:1", "r1")

    async def test_resumed_stream_is_cancelled_when_its_latest_reader_left(self):
        """Guards against an engine that generates an answer that nobody reads."""
        self.readers.on_message(resumed("r1", "b"))
        self.readers.on_message(left("r1", "b"))
        await self._wait()
        self.cancelled.assert_awaited_once_with(None, "e1:1", "r1")

    async def test_stream_is_kept_for_a_reader_that_came_before_the_last_one_left(self):
        self.readers.on_message(resumed("r1", "b"))
        self.readers.on_message(resumed("r1", "c"))
        self.readers.on_message(left("r1", "b"))
        await self._wait()
        self.cancelled.assert_not_awaited()

    async def test_stream_is_kept_for_a_reader_that_follows_in_time(self):
        self.readers.on_left("r1", FIRST_READER, "e1:1")
        self.readers.on_message(resumed("r1", "b"))
        await self._wait()
        self.cancelled.assert_not_awaited()

    async def test_resumed_streams_use_bounded_memory(self):
        """Guards against a host that keeps each stream that was ever resumed."""
        for number in range(2 * MAX_STREAMS):
            self.readers.on_message(resumed(f"r{number}", "b"))
        self.assertEqual(len(self.readers), MAX_STREAMS)
