import doctest
import unittest

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling import Experiments, Mechanism, experiments
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.test_bursts import simulate_burst

HINTS = {
    "failure_domain": "coast-a",
    "request_id": "r1",
    "waits_until_ms": 900,
    "max_gap_ms": 80,
    "prefix_hashes": (1, 2),
    "prefix_tokens": (16, 16),
}


class ExperimentsTests(unittest.TestCase):
    def test_nothing_is_left_out_by_default(self):
        request = b.request(**HINTS)
        self.assertIs(Experiments().mask(request), request)
        self.assertEqual(Experiments.from_text(" ").disabled, frozenset())

    def test_wrong_name_is_told_with_those_that_are_known(self):
        with self.assertRaises(SettingError) as caught:
            Experiments.from_text("returns,retries")
        self.assertIn("retries", caught.exception.message)
        for mechanism in Mechanism:
            self.assertIn(mechanism.value, caught.exception.message)

    def test_each_mechanism_that_a_request_tells_of_can_be_left_out(self):
        cases = {
            Mechanism.CALLER_WAIT_LIMIT: {"waits_until_ms": None},
            Mechanism.TOKEN_GAPS: {"max_gap_ms": 0},
            Mechanism.PREFIX_BLOCKS: {"prefix_hashes": (), "prefix_tokens": ()},
            Mechanism.DOMAIN_LOCALITY: {"failure_domain": ""},
        }
        for mechanism, fields in cases.items():
            with self.subTest(mechanism):
                found = Experiments([mechanism]).mask(b.request(**HINTS))
                self.assertEqual(found, b.request(**{**HINTS, **fields}))

    def test_each_mechanism_of_a_burst_changes_what_callers_get(self):
        """An ablation tells nothing where its switch does nothing."""
        usual = simulate_burst()
        names = {
            Mechanism.DEFERRAL: "bulletin",
            Mechanism.OVERTAKING: "tag",
            Mechanism.CALLER_WAIT_LIMIT: "notice",
            Mechanism.CLIENT_RETRIES: "notice",
        }
        for mechanism, kind in names.items():
            with self.subTest(mechanism):
                play = simulate_burst(experiments=Experiments([mechanism]))
                self.assertNotEqual(play.ends[kind], usual.ends[kind])

    def test_examples(self):
        self.assertEqual(doctest.testmod(experiments).failed, 0)


if __name__ == "__main__":
    unittest.main()
