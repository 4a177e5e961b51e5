import types
import unittest
import unittest.mock

from hemlockhoist.decisions.versions.planner import Delay, Planner


def lane(route):
    return types.SimpleNamespace(route=route, share_permille=0)


class DelayTests(unittest.TestCase):
    def longest(self, *delays_ms):
        """Return the longest of the delays of as many lanes; None for none."""
        found = [
            None if late_ms is None else Delay(reason=str(number), late_ms=late_ms)
            for number, late_ms in enumerate(delays_ms)
        ]
        lanes = [lane(str(number)) for number in range(len(found))]
        with unittest.mock.patch.object(Planner, "_lane_delay", side_effect=found):
            return Planner(None, None).delay(lanes, 0)

    def test_longest_known_delay_is_reported(self):
        self.assertEqual(self.longest(500, 2_000, None).late_ms, 2_000)
        self.assertIsNone(self.longest(None, None))

    def test_delay_that_cannot_be_estimated_is_the_longest(self):
        """Guards against operators who are told a few seconds where no end is in sight.

        One route's answers come slowly, and those of another not at all.
        """
        for delays_ms in ((500, -1, 2_000), (-1, 500), (500, -1)):
            self.assertEqual(self.longest(*delays_ms).late_ms, -1, delays_ms)
