import unittest

from hemlockhoist.standins.randomised import run_seed
from hemlockhoist.standins.randomised.queue_machine import (
    QUEUE_PROPERTIES,
    QueueMachine,
)

# Seeds of CI; 1104 showed a key that expired before its time.
SEEDS = (1, 2, 3, 1104)
QUEUE_SEEDS = (1, 4)


class RunTests(unittest.TestCase):
    def test_fixed_seeds_are_green(self):
        """No property is broken, and every covered one is checked."""
        for seed in SEEDS:
            with self.subTest(seed):
                result = run_seed(seed, batches=2)
                self.assertEqual(result.tally.violation, "")
                self.assertEqual(result.unchecked, ())

    def test_fixed_seeds_of_the_queue_are_green(self):
        """
        Seed 4: a home moved, two of three upstreams leave and the third fails. With no
        place left and requests waiting, each new request ended as an internal error.
        """
        for seed in QUEUE_SEEDS:
            with self.subTest(seed):
                result = run_seed(
                    seed, batches=2, machine=QueueMachine, covered=QUEUE_PROPERTIES
                )
                self.assertEqual(result.tally.violation, "")
                self.assertEqual(result.unchecked, ())

    def test_the_same_seed_gives_the_same_steps(self):
        """Two runs of a seed take the same steps and meet the same faults."""
        first, second = run_seed(7).tally, run_seed(7).tally
        self.assertEqual(first.steps, second.steps)
        self.assertEqual(first.faults, second.faults)
        self.assertEqual(first.trace, second.trace)
        self.assertEqual(first.outcomes, second.outcomes)
