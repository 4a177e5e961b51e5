import doctest
import unittest

from multidict import CIMultiDict

from hemlockhoist.upstreams import end_to_end, end_to_end_headers


class EndToEndTests(unittest.TestCase):
    def test_headers_of_this_hop_are_not_forwarded(self):
        """Guards against a header that a caller declares to concern its connection only."""
        headers = CIMultiDict(
            [("Connection", "X-A, close"), ("x-a", "1"), ("TE", "gzip"), ("X-B", "2")]
        )
        headers.add("x-b", "3")
        found = end_to_end_headers(headers, frozenset({"x-c"}))
        self.assertEqual(found, (("X-B", "2"), ("x-b", "3")))

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(end_to_end).failed, 0)
