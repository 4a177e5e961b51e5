import pathlib
import tempfile
import unittest

from hemlockhoist.standins.published.soak import SoakRun

SEED = 1
# Long enough for some hundred answers without a length or chunks.
SECONDS = 7
# Few of them end hosts, so that these serve most requests.
FAULTS = (
    "close_answers",
    "kill_host",
    "reload_host",
    "slow_replica",
    "silence_replica",
    "crash_replica",
)


class EndSoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_answers_that_replicas_close_early_do_not_look_whole(self):
        """Guards against parts of answers that callers take for whole ones."""
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(SEED, pathlib.Path(folder), FAULTS).run(SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        for check in ("stated ends", "closed ends"):
            self.assertGreater(result.check_counts[check], 10)
        self.assertGreater(result.check_counts["closed parts"], 0)
