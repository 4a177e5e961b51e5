"""Admission, queueing and placement for one pool shard, and the retry budget."""

from hemlockhoist.decisions.scheduling.declared_slots_tracker import (
    DeclaredSlotsTracker,
)
from hemlockhoist.decisions.scheduling.dry_run import (
    Exclusion,
    Placement,
    PlacementDryRun,
)
from hemlockhoist.decisions.scheduling.experiments import Experiments, Mechanism
from hemlockhoist.decisions.scheduling.retries import RetryBudget
from hemlockhoist.decisions.scheduling.scheduler import PoolScheduler
from hemlockhoist.decisions.scheduling.state_copy import StateCopy
from hemlockhoist.decisions.scheduling.warmup import ColdStartLimit, Warmup

__all__ = [
    "ColdStartLimit",
    "DeclaredSlotsTracker",
    "Exclusion",
    "Experiments",
    "Mechanism",
    "Placement",
    "PlacementDryRun",
    "PoolScheduler",
    "RetryBudget",
    "StateCopy",
    "Warmup",
]
