import unittest

from hemlockhoist.standins.measure_versions import MeasuredMove, bad_row, good_row
from hemlockhoist.standins.version_models import VersionKind

PRODUCT_POLICY = "hemlockhoist"


class MeasureVersionsTests(unittest.TestCase):
    def test_good_version_is_moved_and_results_are_reproducible(self):
        results = [
            MeasuredMove(PRODUCT_POLICY, VersionKind.GOOD, 2).execute()
            for _ in range(2)
        ]
        self.assertGreaterEqual(results[0].finished_ms, 0)
        self.assertEqual(results[0], results[1])
        self.assertIn("100.0 %", good_row(PRODUCT_POLICY, VersionKind.GOOD, results)[3])

    def test_failing_version_is_rolled_back_where_fixed_steps_accept_it(self):
        product = MeasuredMove(PRODUCT_POLICY, VersionKind.FAILS_AT_ONCE, 1).execute()
        baseline = MeasuredMove("fixed steps", VersionKind.FAILS_AT_ONCE, 1).execute()
        self.assertEqual((product.new_non_idempotent, product.finished_ms), (0, -1))
        self.assertGreater(baseline.bad_requests, 100 * product.bad_requests)
        self.assertEqual(
            bad_row(PRODUCT_POLICY, VersionKind.FAILS_AT_ONCE, [product])[5], 0
        )


if __name__ == "__main__":
    unittest.main()
