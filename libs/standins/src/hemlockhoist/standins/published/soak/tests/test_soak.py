import pathlib
import tempfile
import unittest

from hemlockhoist.standins.published.soak import SoakRun

# Long enough for about 10 overlapping faults.
SECONDS = 5
SEED = 1


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_short_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(SEED, pathlib.Path(folder)).run(SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(sum(result.fault_counts.values()), 3)
        for check in ("at most once", "complete answers"):
            self.assertGreater(result.check_counts[check], 10)
