import doctest
import unittest
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.upstreams import BlockSplitter, InvalidEvent, event_format, read_event

LINE_ENDS = (b"\n", b"\r", b"\r\n")


def event(number, end=b"\n"):
    return end.join([b"id: %d" % number, b"data: piece", b"", b""])


def split(raw, offsets):
    """Return the bytes split into chunks at the given offsets."""
    ends = sorted({offset % (len(raw) + 1) for offset in offsets} | {0, len(raw)})
    return [raw[start:end] for start, end in zip(ends, ends[1:], strict=False)]


class _CountingPattern:
    """The pattern of separators, which records how many bytes it searches."""

    def __init__(self, scanned):
        self._scanned = scanned
        self._pattern = event_format._ANY_SEPARATOR

    def finditer(self, data, begin):
        self._scanned.append(len(data) - begin)
        return self._pattern.finditer(data, begin)


class BlockSplitterTests(unittest.TestCase):
    @given(
        st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=8),
        st.lists(st.integers(0, 400), max_size=20),
    )
    def test_events_of_any_line_ends_are_split_alike_for_any_chunks(
        self, ends, offsets
    ):
        raw = b"".join(event(number, end) for number, end in enumerate(ends, 1))
        splitter = BlockSplitter()
        blocks = [b for chunk in split(raw, offsets) for b in splitter.feed(chunk)]
        numbers = [read_event(block).number for block in blocks]
        self.assertEqual(numbers, list(range(1, len(ends) + 1)))
        self.assertEqual(splitter.incomplete.strip(b"\n"), b"")

    def test_an_event_does_not_wait_for_a_byte_behind_it(self):
        """Guards against events of lone CRs that come with the next one only."""
        for end in LINE_ENDS:
            with self.subTest(end=end):
                self.assertEqual(BlockSplitter().feed(event(1, end)), [event(1, end)])


class ReadEventTests(unittest.TestCase):
    def test_fields_of_the_format_are_read(self):
        block = b": note\nretry: 5\nevent: text\nid: 12\ndata\ndata: b\n\n"
        found = read_event(block)
        self.assertEqual((found.number, found.data), (12, (b"", b" b")))

    def test_declared_field_is_read(self):
        block = b"weights: 3\nid: 1\ndata: a\n\n"
        self.assertEqual(read_event(block, frozenset({b"weights"})).number, 1)
        with self.assertRaises(InvalidEvent):
            read_event(block)

    def test_lines_that_are_no_fields_are_refused(self):
        """Guards against foreign bytes that are passed on within an event."""
        heads = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
        for block, is_begun in (
            (heads, False),
            (b'{"a":1}\nid: 6\ndata: b\n\n', False),
            (b"id: 6\nda" + heads, True),
            (b"da" + heads, True),
            (b"id: 6\ndata: pie\nce\n\n", True),
            (b"id: 6\ndata\r\n: piece\n\n", True),
            (b"id: 6\ndata: pieHTTP/1.1 200 OK\r\n\r\n", True),
            (b"id: 6\r\ndata: pieHTTP/1.1 100 Continue\r\n\r\n", True),
            (b"id: 6\ndata: pieHTTP/1.1 103 Hints\n\n", True),
            (b"id: 6\ndata: pie\r\n\r\n", True),
            (b"id: 6\nid: 7\ndata: b\n\n", True),
            (b"id: \ndata: b\n\n", True),
            (b"Id: 6\ndata: b\n\n", False),
        ):
            with self.subTest(block=block), self.assertRaises(InvalidEvent) as caught:
                read_event(block)
            self.assertIs(caught.exception.is_begun, is_begun, block)

    def test_long_event_in_short_parts_is_read_in_linear_time(self):
        """Guards against an event loop held, and an event given up for its time."""
        raw = b"id: 1\r\ndata: " + b"x" * 200_000 + b"\r\n\r\n"
        splitter = BlockSplitter()
        parts = [raw[begin : begin + 64] for begin in range(0, len(raw), 64)]
        scanned = []
        with unittest.mock.patch.object(
            event_format, "_ANY_SEPARATOR", _CountingPattern(scanned)
        ):
            blocks = [block for part in parts for block in splitter.feed(part)]
        self.assertEqual(blocks, [raw])
        self.assertLess(sum(scanned), 2 * len(raw))

    def test_data_may_hold_the_text_of_an_answer(self):
        """Guards against sound events that are taken for a second answer."""
        for end in LINE_ENDS:
            lines = [b"id: 6", b"data: got HTTP/1.1 200 OK", b"", b""]
            self.assertEqual(read_event(end.join(lines)).number, 6)

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(event_format).failed, 0)
