import pathlib
import tempfile
import unittest

from hemlockhoist.standins.published.soak import SoakRun

# Long enough for about 10 overlapping faults.
SECONDS = 5
SEED = 1


# Long enough for a part that crashes replicas to be known, and to be sent after that.
CRASH_SECONDS = 8
CRASH_FAULTS = ("crash_on_parts", "crash_replica", "kill_host")


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_parts_that_crash_replicas_reach_few_of_them(self):
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(SEED, pathlib.Path(folder), CRASH_FAULTS)
            result = await run.run(CRASH_SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(result.check_counts["spans of crashing parts"], 0)

    async def test_short_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(SEED, pathlib.Path(folder)).run(SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(sum(result.fault_counts.values()), 3)
        for check in ("at most once", "complete answers"):
            self.assertGreater(result.check_counts[check], 10)
