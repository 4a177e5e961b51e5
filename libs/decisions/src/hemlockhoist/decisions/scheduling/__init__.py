"""Admission, queue and placement of one pool shard; the budget of retries."""

from hemlockhoist.decisions.scheduling.declared_slots_tracker import (
    DeclaredSlotsTracker,
)
from hemlockhoist.decisions.scheduling.experiments import Experiments, Mechanism
from hemlockhoist.decisions.scheduling.retries import RetryBudget
from hemlockhoist.decisions.scheduling.scheduler import PoolScheduler
from hemlockhoist.decisions.scheduling.warmup import ColdStartLimit, Warmup

__all__ = [
    "ColdStartLimit",
    "DeclaredSlotsTracker",
    "Experiments",
    "Mechanism",
    "PoolScheduler",
    "RetryBudget",
    "Warmup",
]
