"""Runs of load × policy × seed, several processes side by side."""

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

# The declared bound; the scheduler has to find each engine's own knee below it.
MAX_IN_FLIGHT = 64
# Baselines with a fixed limit get the default of the declarations.
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
    """The scheduler, told of first tokens only with the outcome.

    Shows what the earlier message is worth.
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
    """What to run: load, deployment, policy and seed."""

    load: str
    deployment: object
    policy: str
    seed: int


def execute(run):
    """Run one combination and return its ``RunResult``."""
    load = build_load(run.load, run.deployment, run.seed)
    policy = POLICIES[run.policy](load.tiers)
    return summarise(load, Simulation(load, policy).run())


def execute_all(runs, workers=WORKERS):
    """Run all combinations; return the results in the same order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        return list(pool.map(execute, runs, chunksize=1))
