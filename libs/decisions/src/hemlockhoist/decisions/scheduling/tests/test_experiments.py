import doctest
import unittest

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling import Experiments, Mechanism, experiments
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.test_bursts import simulate_burst

OPTIONAL_FIELDS = {
    "failure_domain": "coast-a",
    "request_id": "r1",
    "waits_until_ms": 900,
    "max_gap_ms": 80,
    "prefix_hashes": (1, 2),
    "prefix_tokens": (16, 16),
}


class ExperimentsTests(unittest.TestCase):
    def test_no_mechanism_is_disabled_by_default(self):
        request = b.request(**OPTIONAL_FIELDS)
        self.assertIs(Experiments().mask(request), request)
        self.assertEqual(Experiments.from_text(" ").disabled, frozenset())

    def test_unknown_name_is_reported_with_the_known_ones(self):
        with self.assertRaises(SettingError) as caught:
            Experiments.from_text("returns,retries")
        self.assertIn("retries", caught.exception.message)
        for mechanism in Mechanism:
            self.assertIn(mechanism.value, caught.exception.message)

    def test_mechanisms_that_use_request_fields_are_disabled_by_masking(self):
        cases = {
            Mechanism.CALLER_WAIT_LIMIT: {"waits_until_ms": None},
            Mechanism.TOKEN_GAPS: {"max_gap_ms": 0},
            Mechanism.PREFIX_BLOCKS: {"prefix_hashes": (), "prefix_tokens": ()},
            Mechanism.DOMAIN_LOCALITY: {"failure_domain": ""},
        }
        for mechanism, fields in cases.items():
            with self.subTest(mechanism):
                found = Experiments([mechanism]).mask(b.request(**OPTIONAL_FIELDS))
                self.assertEqual(found, b.request(**{**OPTIONAL_FIELDS, **fields}))

    def test_disabling_a_mechanism_changes_the_outcomes_of_a_burst(self):
        """A switch without effect would make the ablation meaningless."""
        reference = simulate_burst()
        affected = {
            Mechanism.DEFERRAL: "bulletin",
            Mechanism.OVERTAKING: "tag",
            Mechanism.CALLER_WAIT_LIMIT: "notice",
            Mechanism.CLIENT_RETRIES: "notice",
        }
        for mechanism, class_name in affected.items():
            with self.subTest(mechanism):
                simulation = simulate_burst(experiments=Experiments([mechanism]))
                self.assertNotEqual(
                    simulation.outcomes[class_name], reference.outcomes[class_name]
                )

    def test_examples(self):
        self.assertEqual(doctest.testmod(experiments).failed, 0)


if __name__ == "__main__":
    unittest.main()
