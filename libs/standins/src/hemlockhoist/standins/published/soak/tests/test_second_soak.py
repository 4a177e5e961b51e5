import pathlib
import tempfile
import unittest

from hemlockhoist.standins.published.soak import SoakRun

SEED = 1
# Long enough for some hundred answers with second ones, a part of them over relays.
SECONDS = 7
FAULTS = ("send_second_answers", "cut_links", "slow_replica", "reload_host")


class SecondAnswerSoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_of_second_answers_reaches_callers(self):
        """Guards against bytes of a second answer within or behind a caller's own."""
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(SEED, pathlib.Path(folder), FAULTS).run(SECONDS)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.served, 50)
        for check in ("stream bodies", "plain bodies", "bodies beside others"):
            self.assertGreater(result.check_counts[check], 10)
