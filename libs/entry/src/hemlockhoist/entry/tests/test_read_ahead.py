import unittest

from hemlockhoist.base import DispatchError
from hemlockhoist.entry.events import EventReader
from hemlockhoist.entry.read_ahead import MAX_READ_AHEAD_BYTES, ReadAhead

LAST_NUMBER = 3


def event(number, size=1):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * size)


class Response:
    """Yields given chunks of a body."""

    def __init__(self, chunks):
        self._chunks = chunks

    async def chunks(self):
        for chunk in self._chunks:
            yield chunk


class ReadAheadTests(unittest.IsolatedAsyncioTestCase):
    async def read(self, *chunks):
        """Return whether an event was found, how much had come, and the end."""
        ahead = ReadAhead(Response(chunks), EventReader(LAST_NUMBER))
        arrived = []
        has_event = await ahead.find_event(lambda: arrived.append(None))
        # Before the rest is read, which belongs to the relay.
        end = ahead.has_reached_caller
        self.assertEqual([chunk async for chunk in ahead.chunks()], list(chunks))
        return has_event, len(arrived), end

    async def test_reading_stops_at_the_first_event_that_the_caller_lacks(self):
        """Guards against events that wait for the end of their stream."""
        parts = (event(2) + event(3)[:4], event(3)[4:], event(4), event(5))
        found, count, _ = await self.read(*parts)
        self.assertEqual((found, count), (True, 3))

    async def test_end_counts_only_after_the_events_of_the_caller(self):
        """Guards against an end that shows nothing of what follows."""
        for parts, has_reached in (
            ((), True),
            ((event(3),), True),
            ((event(1), event(2)), False),
            ((event(3), event(4)[:9]), False),
        ):
            with self.subTest(parts=parts):
                found, _, end = await self.read(*parts)
                self.assertEqual((found, end), (False, has_reached))

    async def test_repeated_events_are_kept_up_to_a_size(self):
        """Guards against a continuation that fills the memory with repeated events."""
        size = MAX_READ_AHEAD_BYTES // 2
        found, count, _ = await self.read(*[event(1, size)] * 4)
        self.assertEqual((found, count), (True, 2))

    async def test_bytes_that_are_no_events_end_it(self):
        """Guards against a silent upstream that is given up for an error page."""
        with self.assertRaises(DispatchError):
            await self.read(b"<html>\n\n")
