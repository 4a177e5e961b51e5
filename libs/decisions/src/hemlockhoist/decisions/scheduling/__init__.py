"""Admission, queue and placement of one pool shard; the budget of retries."""

from hemlockhoist.decisions.scheduling.declared import DeclaredTracks
from hemlockhoist.decisions.scheduling.experiments import Experiments, Mechanism
from hemlockhoist.decisions.scheduling.retries import RetryBudget
from hemlockhoist.decisions.scheduling.scheduler import PoolScheduler

__all__ = [
    "DeclaredTracks",
    "Experiments",
    "Mechanism",
    "PoolScheduler",
    "RetryBudget",
]
