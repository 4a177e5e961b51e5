import unittest

from hemlockhoist.standins.measure_versions import MeasuredMove, bad_row, good_row
from hemlockhoist.standins.version_models import VersionKind

NAME = "hemlockhoist"


class MeasureTest(unittest.TestCase):
    def test_a_good_version_is_moved_and_the_same_seed_gives_the_same(self):
        found = [MeasuredMove(NAME, VersionKind.GOOD, 2).execute() for _ in range(2)]
        self.assertGreaterEqual(found[0].finished_ms, 0)
        self.assertEqual(found[0], found[1])
        self.assertIn("100.0 %", good_row(NAME, VersionKind.GOOD, found)[3])

    def test_a_failing_version_is_taken_back_where_fixed_steps_pass_it(self):
        ours = MeasuredMove(NAME, VersionKind.FAILS_AT_ONCE, 1).execute()
        theirs = MeasuredMove("fixed steps", VersionKind.FAILS_AT_ONCE, 1).execute()
        self.assertEqual((ours.new_non_idempotent, ours.finished_ms), (0, -1))
        self.assertGreater(theirs.bad_requests, 100 * ours.bad_requests)
        self.assertEqual(bad_row(NAME, VersionKind.FAILS_AT_ONCE, [ours])[5], 0)


if __name__ == "__main__":
    unittest.main()
