import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.entry import events
from hemlockhoist.entry.events import EventReader
from hemlockhoist.upstreams import MAX_EVENT_BYTES


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


def split(raw, offsets):
    """Return the bytes split into chunks at the given offsets."""
    ends = sorted({offset % (len(raw) + 1) for offset in offsets} | {0, len(raw)})
    return [raw[start:end] for start, end in zip(ends, ends[1:], strict=False)]


class EventReaderTests(unittest.TestCase):
    @given(st.integers(1, 12), st.lists(st.integers(0, 500), max_size=20))
    def test_events_are_returned_once_and_in_order_for_any_chunks(self, count, offsets):
        raw = b"".join(event(number) for number in range(1, count + 1))
        reader = EventReader()
        returned = [e for chunk in split(raw, offsets) for e in reader.feed(chunk)]
        self.assertEqual(b"".join(e.raw for e in returned), raw)
        self.assertTrue(reader.is_between_events)
        self.assertIsNone(reader.error)

    def test_events_repeated_by_another_upstream_are_dropped(self):
        """Guards against a response that contains the same events twice.

        An upstream crashes, and the next one starts at the first event instead of
        resuming after the last event that the caller received.
        """
        reader = EventReader()
        reader.feed(event(1) + event(2) + b"id: 3\nda")
        reader.restart()
        found = reader.feed(event(1) + event(2) + event(3) + event(4))
        self.assertEqual([e.number for e in found], [3, 4])

    def test_skipped_event_breaks_the_stream(self):
        reader = EventReader()
        found = reader.feed(event(1) + event(3))
        self.assertEqual([e.number for e in found], [1])
        self.assertIn("event 3 after 1", reader.error.message)

    def test_event_without_a_number_breaks_the_stream(self):
        reader = EventReader()
        self.assertEqual(reader.feed(b"data: x\n\n"), [])
        self.assertIsNotNone(reader.error)

    def test_bytes_that_are_no_event_end_the_stream_before_them(self):
        """Guards against a second answer that is passed on as a piece of a stream."""
        second = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n" + event(2)
        for foreign, shows_rest in (
            (second, False),
            (b'{"a":1}', False),
            (b'{"a":1}\n' + event(2), False),
            (b"id: 2\nda" + second, True),
            (b"id: 2\n\n", True),
        ):
            with self.subTest(foreign=foreign):
                reader = EventReader()
                self.assertEqual(len(reader.feed(event(1) + foreign)), 1)
                self.assertIsNotNone(reader.error)
                self.assertIs(reader.shows_rest, shows_rest)

    def test_streams_of_any_line_ends_are_passed_on(self):
        """Guards against whole streams that are lost as their lines end with CR LF."""
        for end in ("\r", "\r\n"):
            with self.subTest(end=end):
                raw = b"".join(event(number) for number in range(1, 4))
                raw = raw.replace(b"\n", end.encode())
                reader = EventReader()
                self.assertEqual(b"".join(e.raw for e in reader.feed(raw)), raw)
                self.assertTrue(reader.is_between_events)

    def test_empty_lines_and_comments_between_events_are_left_out(self):
        """Guards against whole streams that are lost to what callers don't read."""
        reader = EventReader()
        found = reader.feed(b"\r\n" + event(1) + b"\n: alive\n\n" + event(2))
        self.assertEqual([e.raw for e in found], [event(1), event(2)])
        self.assertIsNone(reader.error)

    def test_event_size_is_limited(self):
        reader = EventReader()
        reader.feed(b"x" * (MAX_EVENT_BYTES + 1))
        self.assertIsNotNone(reader.error)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(events).failed, 0)
