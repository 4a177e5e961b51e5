"""Admission, queue and placement of one pool shard; the budget of retries."""

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
