import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.quarantine import RequestFingerprints

CALL = ("one", "POST", "halls.example/book/7?x=1", b"body", ("p0", "own"))
texts = st.text(max_size=4)
calls = st.tuples(
    texts, texts, texts, st.binary(max_size=4), st.lists(texts, max_size=3).map(tuple)
)


class FingerprintTests(unittest.TestCase):
    def setUp(self):
        self.fingerprints = RequestFingerprints(b"key")

    def test_each_field_counts(self):
        others = ("two", "PUT", "halls.example/book/8", b"bodz", ("p0", "other"))
        found = {self.fingerprints.of(*CALL)}
        for place, other in enumerate(others):
            changed = (*CALL[:place], other, *CALL[place + 1 :])
            found.add(self.fingerprints.of(*changed))
        self.assertEqual(len(found), 1 + len(others))

    def test_key_counts(self):
        """Guards against callers who make up a request with another one's digest."""
        other = RequestFingerprints(b"other")
        self.assertNotEqual(other.of(*CALL), self.fingerprints.of(*CALL))

    @given(calls, calls)
    def test_only_equal_requests_have_equal_fingerprints(self, first, second):
        """Guards against text that moves from one field into the next."""
        are_equal = self.fingerprints.of(*first) == self.fingerprints.of(*second)
        self.assertEqual(are_equal, first == second)
