import doctest
import unittest

from multidict import CIMultiDict

from hemlockhoist.upstreams import BodyEnd, body_end


class BodyEndTests(unittest.TestCase):
    def test_only_a_length_or_the_last_chunk_proves_a_body_whole(self):
        """Guards against a body that is taken for whole as its connection ended."""
        for status, headers, expected in (
            (200, {}, BodyEnd.CONNECTION),
            (200, {"Connection": "close"}, BodyEnd.CONNECTION),
            (200, {"Transfer-Encoding": "identity"}, BodyEnd.CONNECTION),
            (200, {"Content-Length": "0"}, BodyEnd.LENGTH),
            (200, {"transfer-encoding": "Chunked"}, BodyEnd.LAST_CHUNK),
            (200, {"Transfer-Encoding": "gzip, chunked"}, BodyEnd.LAST_CHUNK),
            (204, {}, BodyEnd.NO_BODY),
        ):
            with self.subTest(status=status, headers=headers):
                end = BodyEnd.announced("GET", status, CIMultiDict(headers))
                self.assertIs(end, expected)
                self.assertEqual(end.is_certain, end is not BodyEnd.CONNECTION)

    def test_last_of_several_codings_decides(self):
        """Guards against a body that is read to the end of its connection, as whole."""
        for codings, expected in (
            (("chunked", "identity"), BodyEnd.CONNECTION),
            (("gzip", "chunked"), BodyEnd.LAST_CHUNK),
        ):
            headers = CIMultiDict([("Transfer-Encoding", item) for item in codings])
            with self.subTest(codings=codings):
                end = BodyEnd.announced("GET", 200, headers)
                self.assertIs(end, expected)

    def test_examples(self):
        self.assertEqual(doctest.testmod(body_end).failed, 0)
