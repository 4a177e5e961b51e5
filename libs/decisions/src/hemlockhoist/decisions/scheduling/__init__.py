"""Admission, queueing and placement for one pool shard, and the retry budget."""

from hemlockhoist.decisions.scheduling.declared import DeclaredTracks
from hemlockhoist.decisions.scheduling.experiments import Experiments, Mechanism
from hemlockhoist.decisions.scheduling.retries import RetryBudget
from hemlockhoist.decisions.scheduling.scheduler import PoolScheduler
from hemlockhoist.decisions.scheduling.warmup import ColdBound, Warmup

__all__ = [
    "ColdBound",
    "DeclaredTracks",
    "Experiments",
    "Mechanism",
    "PoolScheduler",
    "RetryBudget",
    "Warmup",
]
