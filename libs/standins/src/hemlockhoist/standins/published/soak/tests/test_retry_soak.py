import tempfile
import unittest

from hemlockhoist.standins.published.soak import RetrySoakRun

# Long enough for a window of the limit on retries, beside hosts that stop in turn.
RETRY_SECONDS = 11
RETRY_SEED = 6
RETRY_FAULTS = ("fail_service", "stop_hosts_in_turn")


class RetrySoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_retries_keep_to_their_limit_while_hosts_stop_in_turn(self):
        with tempfile.TemporaryDirectory() as folder:
            run = RetrySoakRun(RETRY_SEED, folder, RETRY_FAULTS)
            result = await run.run(RETRY_SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        self.assertGreater(result.check_counts["repeated arrivals"], 5)
        self.assertGreater(result.check_counts["time limits"], 50)
