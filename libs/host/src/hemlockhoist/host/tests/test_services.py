import unittest

from hemlockhoist.host.services import _response
from hemlockhoist.messages import StoredAnswer
from hemlockhoist.upstreams import InvalidAnswerHead


class AnswerHeadTests(unittest.TestCase):
    def test_stored_head_that_callers_can_not_read_is_not_written(self):
        """Guards against a head that a host of another release stored unchecked."""
        for status, headers in (
            (0, ()),
            (101, ()),
            (600, ()),
            (200, (("X A", "b"),)),
            (200, (("X-A", "b\x01"),)),
            (200, (("X-A", "b\r\nX-B: c"),)),
        ):
            answer = StoredAnswer(status=status, headers=headers, body=b"")
            with (
                self.subTest(status=status, headers=headers),
                self.assertRaises(InvalidAnswerHead),
            ):
                _response(answer, "r1")

    def test_usual_head_is_written(self):
        headers = (("Content-Type", "text/plain"), ("X-A", "b"), ("X-A", "c"))
        answer = StoredAnswer(status=404, headers=headers, body=b"x")
        response = _response(answer, "r1")
        self.assertEqual(response.status, 404)
        self.assertEqual(response.headers.getall("X-A"), ["b", "c"])
