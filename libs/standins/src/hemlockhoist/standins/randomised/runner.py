"""Runs a state machine from a seed, for a time or a number of batches."""

import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from hemlockhoist.base import Property
from hemlockhoist.standins.randomised.machine import FleetMachine
from hemlockhoist.standins.randomised.tally import Tally

# The properties that ``FleetMachine`` checks; the others have runs of their own.
COVERED_PROPERTIES = (
    Property.DISPATCHED_AT_MOST_ONCE,
    Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE,
    Property.NOT_RUN_IS_TRUE,
    Property.WHOLE_ANSWER,
    Property.LEAVING_UPSTREAM_NO_WORK,
    Property.PLANNED_STOP_CUTS_NOTHING,
    Property.CONFIGURATION_NEVER_REVERTS,
)
STEPS_PER_EXAMPLE = 120
EXAMPLES_PER_BATCH = 20
# Keeps the seeds of the batches of adjacent runs distinct.
_SEED_STRIDE = 1_000_003


class RunResult:
    """The result of a run.

    Parameters
    ==========
    tally : Tally
    unchecked : tuple of Property
        Covered properties that were never checked.
    """

    __slots__ = ("tally", "unchecked")

    def __init__(self, tally, unchecked):
        self.tally = tally
        self.unchecked = unchecked

    @property
    def is_green(self):
        """Whether no property was violated and every covered one was checked."""
        return not self.tally.violation and not self.unchecked


def run_seed(
    number, seconds=0, batches=1, machine=FleetMachine, covered=COVERED_PROPERTIES
):
    """Run batches of examples; the same seed gives the same steps.

    Parameters
    ==========
    number : int
        The seed.
    seconds : float
        No batch starts after this time, once ``batches`` have run.
    batches : int
        Minimum number of batches.
    machine : type
        The state machine whose rules are drawn.
    covered : tuple of Property
        Properties that have to be checked at least once.

    Returns
    =======
    RunResult
        The run ends at the first violation.
    """
    tally = Tally()
    started_s = time.perf_counter()
    batch = 0
    while not tally.violation:
        if batch >= batches and time.perf_counter() - started_s >= seconds:
            break
        _run_batch(tally, number * _SEED_STRIDE + batch, machine)
        batch += 1
    checks = tally.invariants.checks
    return RunResult(tally, tuple(item for item in covered if not checks[item]))


def _run_batch(tally, number, machine):
    kind = type(machine.__name__, (machine,), {"tally": tally})
    try:
        run_state_machine_as_test(
            seed(number)(kind),
            settings=settings(
                max_examples=EXAMPLES_PER_BATCH,
                stateful_step_count=STEPS_PER_EXAMPLE,
                phases=(Phase.generate,),
                database=None,
                deadline=None,
                derandomize=False,
                report_multiple_bugs=False,
                suppress_health_check=list(HealthCheck),
                print_blob=False,
            ),
        )
    except Exception as error:
        # An unexpected exception ends the run as a violation does.
        tally.record_violation(error)
