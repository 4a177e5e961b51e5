import unittest

from hemlockhoist.standins.measure_slowdowns import SlowdownSimulation


class SlowdownSimulationTests(unittest.TestCase):
    def test_reports_with_answers_shorten_the_time_to_the_first_event(self):
        """Guards against reports that are too old to be worth anything."""
        means_ms = []
        for reports in (False, True):
            simulation = SlowdownSimulation(1, reports=reports, load=0.6).run(15_000)
            means_ms.append(simulation.summary()[1])
        self.assertLess(means_ms[1], 0.95 * means_ms[0])


if __name__ == "__main__":
    unittest.main()
