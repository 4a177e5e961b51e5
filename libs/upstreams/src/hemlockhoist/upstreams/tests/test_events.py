import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import DispatchError
from hemlockhoist.upstreams import (
    EventSplitter,
    OffsetChecker,
    ResponseIdTracker,
    StreamGapWithEvents,
    events,
)

STREAM = b"".join(b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(12))
STREAM += b"data: [DONE]\n\n"


def _named(response_id, first, until):
    """Return the pieces of an answer that carry its id."""
    body = f'data: {{"id": "{response_id}"}}\n\n'
    text = "".join(f"id: {n}\n{body}" for n in range(first, until))
    return EventSplitter().feed(text.encode())


class EventTests(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=20))
    def test_cuts_at_any_byte_change_nothing(self, cuts):
        """However the network cuts the stream, the same events come out."""
        splitter, found, last = EventSplitter(), [], 0
        for cut in [*sorted(cuts), len(STREAM)]:
            found += splitter.feed(STREAM[last:cut])
            last = cut
        self.assertEqual(b"".join(event.raw for event in found), STREAM)

    def test_repeated_pieces_are_dropped(self):
        """An engine that starts two pieces too early at a resume harms nobody."""
        checker = OffsetChecker(expected=4)
        new_events = checker.check(EventSplitter().feed(STREAM)[2:6])
        self.assertEqual([event.offset for event in new_events], [4, 5])

    def test_a_skipped_piece_is_seen(self):
        """An engine skips a piece at a resume, and goes on to the end.

        The caller would read an answer with a hole that looks whole. The pieces
        before the hole are passed on, and the stream is resumed at the hole.
        """
        whole = EventSplitter().feed(STREAM)
        checker = OffsetChecker()
        with self.assertRaises(StreamGapWithEvents) as caught:
            checker.check(whole[:3] + whole[4:])
        self.assertEqual(len(caught.exception.new_events), 3)
        self.assertEqual((checker.expected, checker.done), (3, False))

    def test_a_crossed_piece_is_seen(self):
        """An engine goes on with another answer's pieces, at the right offsets.

        The caller would read the beginning of its own answer and the rest of somebody
        else's. The pieces before the crossing are passed on, and the stream is resumed
        there.
        """
        checker = OffsetChecker()
        with self.assertRaises(StreamGapWithEvents) as caught:
            checker.check(_named("own", 0, 3) + _named("other", 3, 6))
        self.assertEqual(len(caught.exception.new_events), 3)
        self.assertEqual((checker.expected, checker.done), (3, False))
        new_events = checker.check(_named("own", 2, 6))
        self.assertEqual([event.offset for event in new_events], [3, 4, 5])

    def test_an_answer_crossed_from_its_first_piece_is_seen(self):
        """The head is the caller's own, and all pieces are another answer's.

        Only an engine that names answers after requests gives that away; it is known
        to do so from any answer before. Of an engine that does not, the first piece's
        id has to be believed.
        """
        names = ResponseIdTracker()
        crossed = _named("chatcmpl-r1", 0, 2)
        OffsetChecker(0, names.checker_for("a:1", "r1")).check(crossed)
        with self.assertRaises(StreamGapWithEvents):
            OffsetChecker(0, names.checker_for("a:1", "r2")).check(crossed)
        new_events = OffsetChecker(0, names.checker_for("b:1", "r2")).check(crossed)
        self.assertEqual(len(new_events), 2)

    def test_an_endless_event_is_refused(self):
        """An upstream that never ends an event does not fill the memory."""
        with self.assertRaises(DispatchError):
            EventSplitter().feed(b"id: 0\ndata: " + b"x" * 300_000)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give what they show."""
        self.assertEqual(doctest.testmod(events).failed, 0)
