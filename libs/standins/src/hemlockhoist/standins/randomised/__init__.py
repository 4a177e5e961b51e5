"""Randomised stateful tests of the decision code: a few hosts under faults."""

from hemlockhoist.standins.randomised.machine import FleetMachine
from hemlockhoist.standins.randomised.runner import (
    COVERED_PROPERTIES,
    RunResult,
    run_seed,
)
from hemlockhoist.standins.randomised.tally import Tally

__all__ = ["COVERED_PROPERTIES", "FleetMachine", "RunResult", "Tally", "run_seed"]
