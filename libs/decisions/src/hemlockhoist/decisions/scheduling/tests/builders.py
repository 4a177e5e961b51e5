"""Builders of records with default values for the scheduler tests."""

import itertools

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import (
    Granted,
    Outcome,
    OutcomeKind,
    Rejected,
    Upstream,
    WorkRequest,
)
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind, Tier

_ids = itertools.count()
SUCCESS = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=50, total_ms=1_000)


def request(rank=0, customer="aulas", now_ms=0, **fields):
    """Return a request with a deadline of 30 s and a first token target of 2 s."""
    values = {
        "request_id": f"r{next(_ids)}",
        "route": "/v1/chat/completions",
        "customer": customer,
        "tier_rank": rank,
        "prompt_tokens": 64,
        "output_tokens": 50,
        "deadline_ms": now_ms + 30_000,
        "first_token_by_ms": now_ms + 2_000,
        "entry_host": "host-1",
    }
    return WorkRequest(**(values | fields))


def upstreams(count, **fields):
    """Return upstreams ``u0`` to ``u<count - 1>``."""
    values = {"pool": "assistant", "version": "v1", "address": "127.0.0.1:1"} | fields
    return [Upstream(upstream_id=f"u{i}", **values) for i in range(count)]


def scheduler(slots=1, count=1, tiers=3, max_queued=4, policy=None):
    """Return a scheduler with ``count`` upstreams; invariant violations raise."""
    pool = Pool(
        name="assistant",
        kind=PoolKind.MODEL,
        stable_version="v1",
        max_in_flight_per_upstream=slots,
    )
    ranks = [
        Tier(
            name=f"t{rank}",
            rank=rank,
            deadline_ms=30_000,
            first_token_target_ms=2_000,
            max_queued=max_queued,
        )
        for rank in range(tiers)
    ]
    log = InvariantLog(fatal=True)
    built = PoolScheduler.from_config(pool, ranks, "i1", policy, log)
    built.set_upstreams(upstreams(count), 0)
    return built


def granted(decisions):
    """Return the ids of the granted requests."""
    return [d.request.request_id for d in decisions if isinstance(d, Granted)]


def rejected(decisions):
    """Return the ids of the refused requests."""
    return [d.request.request_id for d in decisions if isinstance(d, Rejected)]


def codes(decisions):
    """Return the result codes of the refusals."""
    return [d.code for d in decisions if isinstance(d, Rejected)]
