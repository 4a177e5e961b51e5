import doctest
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from hemlockhoist.base import ResultCode
from hemlockhoist.upstreams import second_answer
from hemlockhoist.upstreams.second_answer import (
    MAX_HELD_BYTES,
    MAX_NAME_BYTES,
    SecondAnswerFinder,
)

ID_HEADER = "Call-Id"
STATUS = b"HTTP/1.1 200 OK\r\n"
# Parts of heads and of text, of which bodies that resemble answers consist.
PARTS = (
    b"H",
    b"HTTP/1.",
    b"HTTP/1.1 200",
    STATUS,
    b"HTTP/1.0 503\n",
    b"Server: a\r\n",
    b"Via: HTTP/1.1 200 OK\n",
    b"Call-Id",
    b"call-id: 7\r\n",
    b"\r\n",
    b"\n",
    b" ",
    b"text",
)
BODIES = st.lists(st.sampled_from(PARTS), max_size=12).map(b"".join)


def split(raw, offsets):
    """Return the bytes split into chunks at the given offsets."""
    ends = sorted({offset % (len(raw) + 1) for offset in offsets} | {0, len(raw)})
    return [raw[start:end] for start, end in zip(ends, ends[1:], strict=False)]


def find(chunks, **options):
    """Return the bytes before a second answer, and the error or None."""
    finder = SecondAnswerFinder(ID_HEADER, **options)
    found = b""
    for chunk in chunks:
        found += finder.feed(chunk)
        if finder.error is not None:
            return found, finder.error
    return found + finder.finish(), None


def is_second(head):
    """Return whether a head of whole lines, from its status line on, is an answer's."""
    for line in head.split(b"\n")[1:]:
        name, colon, _ = line.partition(b":")
        if not colon or not name.replace(b"-", b"").isalnum():
            return False
        if name.lower() == ID_HEADER.lower().encode():
            return True
    return False


def expected_begin(raw):
    """Return where the first second answer in a body begins, or None."""
    for begin in range(len(raw)):
        status = raw[begin : begin + 13]
        is_status = status[:12] in (STATUS[:12], b"HTTP/1.0 503")
        if is_status and status[12:] in (b" ", b"\r", b"\n") and is_second(raw[begin:]):
            return begin
    return None


class SecondAnswerFinderTests(unittest.TestCase):
    @given(BODIES, st.lists(st.integers(0, 200), max_size=20))
    @example(STATUS + b"Server: a\r\n" + STATUS + b"Call-Id: 7\r\n", [])
    @example(STATUS + b"Via: " + STATUS + b"Call-Id: 7\r\n", range(60))
    def test_second_answer_is_found_for_any_chunks(self, raw, offsets):
        """Guards against a head that is missed, or that takes a body's bytes along."""
        begin = expected_begin(raw)
        found, error = find(split(raw, offsets))
        self.assertEqual(error is not None, begin is not None)
        self.assertEqual(found, raw[:begin])

    @given(st.binary(max_size=300), st.lists(st.integers(0, 400), max_size=40))
    def test_second_answer_behind_any_bytes_is_found(self, body, offsets):
        head = STATUS + b"Server: a\r\nCALL-ID: 7\r\n\r\n"
        found, error = find(split(body + head + body, offsets))
        self.assertEqual(found, body)
        self.assertIs(error.code, ResultCode.UPSTREAM_BROKE_OFF)
        self.assertIn("HTTP/1.1 200 OK", error.message)

    @given(st.binary(max_size=300), st.lists(st.integers(0, 400), max_size=40))
    def test_other_bodies_are_unchanged(self, body, offsets):
        self.assertEqual(find(split(body, offsets)), (body, None))

    @given(st.binary(max_size=50), st.integers(1, 200), st.integers(0, 9))
    def test_head_that_the_end_of_the_body_cuts_is_found(self, body, size, held):
        """Guards against a body that ends with a part of another answer's head."""
        head = STATUS + b"Server: a\r\nCall-Id: 7\r\n\r\n"
        raw = body + head
        end = len(body) + size % len(head)
        finder = SecondAnswerFinder(ID_HEADER)
        middle = max(0, end - held)
        found = finder.feed(raw[:middle]) + finder.feed(raw[middle:end])
        self.assertEqual(found + finder.finish(raw[end:]), body)
        is_cut = end > len(body)
        self.assertEqual(finder.error is not None, is_cut)

    def test_end_of_a_body_is_its_own_unless_a_head_goes_on_behind_it(self):
        """Guards against a body without its end as something follows it."""
        head = STATUS + b"Call-Id: 7\r\n\r\n"
        for body in (b"PATH", b"HTTP/1.1", STATUS, STATUS + b"Server"):
            for behind in (b"", b"\r\n", b"\r\n" + head, b"x" + head, b"text"):
                finder = SecondAnswerFinder(ID_HEADER)
                with self.subTest(body=body, behind=behind):
                    self.assertEqual(finder.feed(body) + finder.finish(behind), body)
                    self.assertIsNone(finder.error)

    def test_bytes_that_are_held_back_are_bounded(self):
        """Guards against a long head, or a line without end, that is kept in memory."""
        field = b"Server: a\r\n"
        for part in (field, b"a" * 100, b": " + b"a" * 98):
            finder = SecondAnswerFinder(ID_HEADER)
            fed = STATUS + part * 2_000
            found = b"".join(
                finder.feed(chunk) for chunk in split(fed, range(0, 9_999))
            )
            limit = MAX_HELD_BYTES + MAX_NAME_BYTES
            self.assertGreaterEqual(len(found), len(fed) - limit)
            self.assertEqual(found + finder.finish(), fed)

    def test_second_answer_with_a_long_head_is_found(self):
        """Guards against a second answer that is missed as its head is long."""
        raw = STATUS + b"Server: a\r\n" * 2_000 + b"Call-Id: 7\r\n"
        for size in (1, 999, len(raw)):
            chunks = split(raw, range(0, len(raw), size))
            self.assertIsNotNone(find(chunks)[1])

    def test_text_that_quotes_another_answer_is_no_second_one(self):
        """Guards against framed bodies that are lost as they hold another request's head."""
        own, other = (STATUS + b"Call-Id: %b\r\n\r\n" % item for item in (b"7", b"8"))
        for size in range(1, len(other) + 2):
            with self.subTest(size=size):
                raw = b"a" + other + other + b"b"
                chunks = split(raw, range(0, len(raw), size))
                self.assertEqual(find(chunks, own_id="7"), (raw, None))
                raw = b"a" + other + own
                found, error = find(split(raw, range(0, len(raw), size)), own_id="7")
                self.assertIsNotNone(error)
                self.assertEqual(found, b"a" + other)

    def test_id_that_is_no_utf_8_is_compared_byte_by_byte(self):
        """Guards against an answer that is lost to the id of its request."""
        raw = STATUS + b"Call-Id: \xe9\r\n\r\n"
        self.assertIsNotNone(find([raw], own_id="\udce9")[1])
        self.assertEqual(find([raw], own_id="e"), (raw, None))

    def test_whole_head_without_an_id_is_found_where_nothing_else_tells(self):
        """Guards against an unframed body with a head that echoes no id within it."""
        framings = (b"Content-Length: 7", b"connection: close")
        for framing in framings:
            head = STATUS + b"Server: a\r\n" + framing + b"\r\n\r\n"
            raw = b"body" + head + b"second"
            for size in range(1, len(raw)):
                with self.subTest(framing=framing, size=size):
                    chunks = split(raw, range(0, len(raw), size))
                    found, error = find(chunks, finds_heads=True)
                    self.assertEqual(found, b"body")
                    self.assertIsNotNone(error)
                    self.assertEqual(find(chunks), (raw, None))

    def test_text_that_quotes_http_is_no_second_answer(self):
        """Guards against unframed bodies that are lost as they quote an answer."""
        length = b"Content-Length: 7"
        for text in (
            STATUS + b"\r\n",
            STATUS + b"Server: a\r\n\r\n",
            STATUS + length + b"\r\n",
            (STATUS + length + b"\r\n\r\n").replace(b"\r", b""),
            STATUS + b"> " + length + b"\r\n\r\n",
        ):
            for size in range(1, len(text)):
                with self.subTest(text=text, size=size):
                    chunks = split(text, range(0, len(text), size))
                    self.assertEqual(find(chunks, finds_heads=True), (text, None))

    def test_examples(self):
        self.assertEqual(doctest.testmod(second_answer).failed, 0)
