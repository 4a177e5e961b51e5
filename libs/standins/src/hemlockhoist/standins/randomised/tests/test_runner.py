import itertools
import unittest

from hemlockhoist.standins.randomised import run_seed
from hemlockhoist.standins.randomised.queue_machine import (
    QUEUE_PROPERTIES,
    QueueMachine,
    ReservingQueueMachine,
)

# Seeds of CI; seed 1104 once found a key that expired too early.
SEEDS = (1, 2, 3, 1104)
QUEUE_SEEDS = (1, 4)


class RunTests(unittest.TestCase):
    def test_fixed_seeds_violate_nothing(self):
        """No property is violated, and every covered one is checked."""
        for seed in SEEDS:
            with self.subTest(seed):
                result = run_seed(seed, batches=2)
                self.assertEqual(result.tally.violation, "")
                self.assertEqual(result.unchecked, ())

    def test_fixed_queue_seeds_violate_nothing(self):
        """
        Seed 4: the home moves, two of three upstreams leave and the third fails. With
        no free slot and queued requests, each new request failed with an internal
        error.
        """
        for seed, machine in itertools.product(
            QUEUE_SEEDS, (QueueMachine, ReservingQueueMachine)
        ):
            with self.subTest(seed, machine=machine.__name__):
                result = run_seed(
                    seed, batches=2, machine=machine, covered=QUEUE_PROPERTIES
                )
                self.assertEqual(result.tally.violation, "")
                self.assertEqual(result.unchecked, ())

    def test_same_seed_gives_same_steps(self):
        """Two runs of a seed have the same steps, faults and outcomes."""
        first, second = run_seed(7).tally, run_seed(7).tally
        self.assertEqual(first.steps, second.steps)
        self.assertEqual(first.faults, second.faults)
        self.assertEqual(first.trace, second.trace)
        self.assertEqual(first.outcomes, second.outcomes)
