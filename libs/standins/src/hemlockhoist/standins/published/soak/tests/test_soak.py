import pathlib
import tempfile
import unittest

from hemlockhoist.standins.published.soak import SoakRun

# Long enough for about 10 overlapping faults.
SECONDS = 5
SEED = 1
HEDGING_SEED = 2
HEDGE_SECONDS = 9
# Enough for a host to know the usual times of a route, and to have some slow requests.
HEDGE_CALLS = 1_500
# Enough for all callers at two of the three replicas: only free slots are used for hedges,
# and one replica may be slow or ejected at a time.
HEDGE_SLOT_COUNT = 4
HEDGE_FAULTS = ("slow_replica", "silence_replica", "make_replica_faulty")


# Long enough for a part that crashes replicas to be known, and to be sent after that.
CRASH_SECONDS = 8
CRASH_FAULTS = ("crash_on_parts", "crash_replica", "kill_host")


# From 13 hosts on, one host of each failure domain reads the store for all.
LARGE_HOST_COUNT = 14
HISTORY_SECONDS = 5
HISTORY_FAULTS = ("slow_store_without_history",)


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_parts_that_crash_replicas_reach_few_of_them(self):
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(SEED, pathlib.Path(folder), CRASH_FAULTS)
            result = await run.run(CRASH_SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(result.check_counts["spans of crashing parts"], 0)

    async def test_history_lost_by_a_slow_store_is_read_again_by_few_hosts(self):
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(SEED, folder, HISTORY_FAULTS, LARGE_HOST_COUNT)
            result = await run.run(HISTORY_SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(result.check_counts["whole readings"], 0)
        self.assertGreater(result.check_counts["routes in force"], 10)

    async def test_short_run_with_hedges_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(
                HEDGING_SEED,
                folder,
                HEDGE_FAULTS,
                host_count=1,
                slot_count=HEDGE_SLOT_COUNT,
            )
            result = await run.run(HEDGE_SECONDS, HEDGE_CALLS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(result.check_counts["hedges"], 0)
        self.assertGreater(result.check_counts["at most once"], 10)

    async def test_short_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(SEED, pathlib.Path(folder)).run(SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(sum(result.fault_counts.values()), 3)
        for check in ("at most once", "complete answers"):
            self.assertGreater(result.check_counts[check], 10)
