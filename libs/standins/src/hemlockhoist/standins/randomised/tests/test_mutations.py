import unittest

from hemlockhoist.standins.randomised.tests.mutations import MUTATIONS, run_mutation


class MutationTests(unittest.TestCase):
    def test_every_mutation_is_detected(self):
        """The run reports a violation of an expected property for each mutation."""
        for mutation in MUTATIONS:
            with self.subTest(mutation.mechanism):
                tally = run_mutation(mutation)
                names = [prop.name for prop in mutation.caught_by]
                self.assertIn(tally.violation.split(":")[0], names)
                self.assertTrue(tally.violation_trace)
