"""Runs of load × policy × seed on a pool of worker processes."""

import concurrent.futures
import multiprocessing

import msgspec

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind
from hemlockhoist.standins.measure.baselines import (
    FifoRoundRobin,
    LeastConnections,
    PowerOfTwoChoices,
)
from hemlockhoist.standins.measure.fifo_policy import FifoPolicy
from hemlockhoist.standins.measure.loads import build_load
from hemlockhoist.standins.measure.results import summarise
from hemlockhoist.standins.measure.simulation import Simulation

# Declared limit; the scheduler has to find the saturation point of each engine below
# it.
MAX_IN_FLIGHT = 64
# Default of the declarations, for baselines with a fixed concurrency limit.
FIXED_CONCURRENCY_LIMIT = 32
WORKERS = 4


def _pool(limit):
    return Pool(
        name="assistant",
        kind=PoolKind.MODEL,
        stable_version="v1",
        max_in_flight_per_upstream=limit,
    )


def _scheduler(tiers):
    log = InvariantLog(fatal=True)
    return PoolScheduler.from_config(_pool(MAX_IN_FLIGHT), tiers, "m", invariants=log)


class NoFirstTokenReports:
    """Scheduler that learns the time of the first token only with the outcome.

    Comparing it with the full scheduler shows the benefit of first token reports.
    """

    __slots__ = (
        "observe_load",
        "release",
        "set_upstreams",
        "submit",
        "tick",
    )

    def __init__(self, scheduler):
        self.release = scheduler.release
        self.set_upstreams = scheduler.set_upstreams
        self.observe_load = scheduler.observe_load
        self.submit = scheduler.submit
        self.tick = scheduler.tick


POLICIES = {
    "round robin": lambda tiers: FifoRoundRobin(_pool(FIXED_CONCURRENCY_LIMIT), tiers),
    "random of two": lambda tiers: PowerOfTwoChoices(
        _pool(FIXED_CONCURRENCY_LIMIT), tiers
    ),
    "least connections": lambda tiers: LeastConnections(
        _pool(FIXED_CONCURRENCY_LIMIT), tiers
    ),
    "first policy": lambda tiers: FifoPolicy.from_config(
        _pool(FIXED_CONCURRENCY_LIMIT), tiers
    ),
    "scheduler, late": lambda tiers: NoFirstTokenReports(_scheduler(tiers)),
    "scheduler": _scheduler,
}
PRODUCT_POLICY = "scheduler"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Load, deployment, policy and seed of one run."""

    load: str
    deployment: object
    policy: str
    seed: int


def execute(run):
    """Execute a run and return its ``RunResult``."""
    load = build_load(run.load, run.deployment, run.seed)
    policy = POLICIES[run.policy](load.tiers)
    return summarise(load, Simulation(load, policy).run())


def execute_all(runs, workers=WORKERS):
    """Execute all runs; return the results in the same order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        return list(pool.map(execute, runs, chunksize=1))
