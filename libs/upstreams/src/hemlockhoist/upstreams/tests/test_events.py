import doctest
import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import ResultCode
from hemlockhoist.upstreams import (
    EventSplitter,
    OffsetChecker,
    ResponseIdTracker,
    StreamGapWithEvents,
    events,
)

STREAM = b"".join(b'id: %d\ndata: {"p":%d}\n\n' % (n, n) for n in range(12))
STREAM += b"data: [DONE]\n\n"
EVENTS = [part + b"\n\n" for part in STREAM.split(b"\n\n")[:-1]]
LINE_ENDS = (b"\n", b"\r", b"\r\n")
SECOND_ANSWERS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}',
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 3\ndata: a\n\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 0\ndata: a\n\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: [DONE]\n\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b'{"a":1}',
    b'{"a":1}\n',
    b'{"a":1}\ndata: [DONE]\n\n',
    b"\r\n",
)


def _events_with_id(response_id, first, until):
    """Return events of an answer that carry a response id."""
    body = f'data: {{"id": "{response_id}"}}\n\n'
    text = "".join(f"id: {n}\n{body}" for n in range(first, until))
    return EventSplitter().feed(text.encode())


def _passed_on(all_events):
    """Return the bytes of the events that a caller gets."""
    try:
        new_events = OffsetChecker().check(all_events)
    except StreamGapWithEvents as gap:
        new_events = gap.new_events
    return [event.raw for event in new_events]


class EventTests(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=20))
    def test_chunk_boundaries_do_not_matter(self, cuts):
        """However the stream is divided into chunks, the same events result."""
        splitter, found, last = EventSplitter(), [], 0
        for cut in [*sorted(cuts), len(STREAM)]:
            found += splitter.feed(STREAM[last:cut])
            last = cut
        self.assertEqual(b"".join(event.raw for event in found), STREAM)

    def test_repeated_events_are_dropped(self):
        """Two events that an engine repeats at a resume are not passed on again."""
        checker = OffsetChecker(expected=4)
        new_events = checker.check(EventSplitter().feed(STREAM)[2:6])
        self.assertEqual([event.offset for event in new_events], [4, 5])

    def test_a_skipped_event_is_detected(self):
        """Guards against an incomplete answer that looks complete to the caller.

        An engine skips an event at a resume and continues to the end. The events before
        the gap are passed on, and the stream is resumed at the gap.
        """
        all_events = EventSplitter().feed(STREAM)
        checker = OffsetChecker()
        with self.assertRaises(StreamGapWithEvents) as caught:
            checker.check(all_events[:3] + all_events[4:])
        self.assertEqual(len(caught.exception.new_events), 3)
        self.assertEqual((checker.expected, checker.done), (3, False))

    def test_an_event_of_another_answer_is_detected(self):
        """Guards against an answer that ends with the text of another caller's.

        An engine continues with another answer's events, at the correct offsets. The
        events before the change are passed on, and the stream is resumed there.
        """
        checker = OffsetChecker()
        with self.assertRaises(StreamGapWithEvents) as caught:
            checker.check(_events_with_id("own", 0, 3) + _events_with_id("other", 3, 6))
        self.assertEqual(len(caught.exception.new_events), 3)
        self.assertEqual((checker.expected, checker.done), (3, False))
        new_events = checker.check(_events_with_id("own", 2, 6))
        self.assertEqual([event.offset for event in new_events], [3, 4, 5])

    def test_another_answer_from_the_first_event_on_is_detected(self):
        """Guards against a response whose events all belong to another answer.

        Its head belongs to the caller's request. This is detectable only for an engine
        whose response ids contain the request id, which is known from any earlier
        answer. For other engines, the id of the first event has to be accepted.
        """
        tracker = ResponseIdTracker()
        mismatched = _events_with_id("chatcmpl-r1", 0, 2)
        OffsetChecker(0, tracker.checker_for("a:1", "r1")).check(mismatched)
        with self.assertRaises(StreamGapWithEvents):
            OffsetChecker(0, tracker.checker_for("a:1", "r2")).check(mismatched)
        new_events = OffsetChecker(0, tracker.checker_for("b:1", "r2")).check(
            mismatched
        )
        self.assertEqual(len(new_events), 2)

    def test_an_endless_event_is_refused(self):
        """An upstream that never ends an event does not exhaust the memory."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 0\ndata: " + b"x" * 300_000), [])
        self.assertEqual(splitter.error.code, ResultCode.UPSTREAM_BROKE_OFF)

    def test_foreign_bytes_anywhere_are_in_no_event(self):
        """Guards against a second answer that is passed on within an event."""
        for second, end in itertools.product(SECOND_ANSWERS, LINE_ENDS):
            stream = STREAM.replace(b"\n", end)
            for place in range(len(stream)):
                data = stream[:place] + second + stream[place:]
                found = _passed_on(EventSplitter().feed(data))
                with self.subTest(second=second, end=end, place=place):
                    self.assertEqual(found, EVENTS[: len(found)])
                    before = stream[:place].count(end + end)
                    self.assertGreaterEqual(len(found), before)

    def test_a_skipped_event_does_not_choose_the_response_id(self):
        """Guards against a stream that fails as its own events seem to be another's."""
        checker = OffsetChecker()
        with self.assertRaises(StreamGapWithEvents):
            checker.check(_events_with_id("other", 3, 6))
        new_events = checker.check(_events_with_id("own", 0, 3))
        self.assertEqual([event.offset for event in new_events], [0, 1, 2])

    def test_foreign_bytes_are_refused_before_their_end(self):
        """Guards against a reader that waits for the rest on an open connection."""
        for second in (b"HTTP/1.1 200 OK\r\n", b'{"a":1}'):
            splitter = EventSplitter()
            found = splitter.feed(EVENTS[0] + second)
            self.assertEqual([event.raw for event in found], EVENTS[:1])
            self.assertIsNotNone(splitter.error)

    def test_streams_of_any_line_ends_are_read_alike(self):
        """Guards against callers' parsers that see other events than this host."""
        for end in LINE_ENDS:
            for chunk_bytes in (1, 7, len(STREAM)):
                data = STREAM.replace(b"\n", end)
                splitter, found = EventSplitter(), []
                for place in range(0, len(data), chunk_bytes):
                    found += splitter.feed(data[place : place + chunk_bytes])
                with self.subTest(end=end, chunk_bytes=chunk_bytes):
                    self.assertEqual([event.raw for event in found], EVENTS)
                    self.assertIsNone(splitter.error)

    def test_events_of_unusual_form_begin_with_their_id(self):
        """Guards against events that are lost, or that callers read otherwise."""
        for block, raw, data in (
            (b"data: a\nid: 7\n\n", b"id: 7\ndata: a\n\n", b"a"),
            (b": note\n\n\r\nid:7\rdata:a\r\r", b"id: 7\ndata:a\n\n", b"a"),
            (
                b"event: b\r\nid: 7\r\ndata: a\rdata\n\n",
                b"id: 7\nevent: b\ndata: a\ndata\n\n",
                b"a\n",
            ),
            (b"retry: 5\ndata:[DONE]\n\n", b"data: [DONE]\n\n", b"[DONE]"),
        ):
            with self.subTest(block=block):
                (event,) = EventSplitter().feed(block)
                self.assertEqual((event.raw, event.data()), (raw, data))

    def test_events_that_callers_read_otherwise_are_refused(self):
        """Guards against an end mark or event that only one side counts."""
        for block in (
            b"id: 7\ndata: [DONE]\n\n",
            b"id: 7\nevent: a\ndata:[DONE]\n\n",
            b"data: a\ndata: [DONE]\n\n",
            b"data: a\n\n",
            b"id: 7\n\n",
            b"id: 7\ndata: a\nid: 8\n\n",
            b"id: 1" + b"0" * 18 + b"\ndata: a\n\n",
            b"id: \ndata: a\n\n",
        ):
            splitter = EventSplitter()
            with self.subTest(block=block):
                self.assertEqual(splitter.feed(block), [])
                self.assertIsNotNone(splitter.error)

    def test_docstring_examples_run(self):
        """The examples in the docstrings run and give the results shown."""
        self.assertEqual(doctest.testmod(events).failed, 0)
