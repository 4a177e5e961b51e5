"""Seeded workloads for the benchmark of the scheduling policies."""

import random

import msgspec

from hemlockhoist.declarations import Tier
from hemlockhoist.standins.engine_model import GENERATIONS
from hemlockhoist.standins.measure.arrivals import (
    Arrival,
    ArrivalGenerator,
    RequestProfile,
    mean_token_counts,
)

SPAN_MS = 60_000
LONG_SPAN_MS = 120_000
# Shorter than SPAN_MS: the arrival rate is proportional to the deployment's size.
SCALING_SPAN_MS = 30_000
REPORT_LAG_MS = 1_000

THREE_TIERS = (
    Tier(name="chat", rank=0, deadline_ms=20_000, first_token_target_ms=1_000),
    Tier(name="office", rank=1, deadline_ms=30_000, first_token_target_ms=3_000),
    Tier(name="batch", rank=2, deadline_ms=60_000, first_token_target_ms=8_000),
)
FIVE_TIERS = tuple(
    Tier(
        name=f"tier{rank}",
        rank=rank,
        deadline_ms=20_000 + 10_000 * rank,
        first_token_target_ms=1_000 + 1_500 * rank,
    )
    for rank in range(5)
)
EVEN_CUSTOMERS = {f"c{n}": 1.0 for n in range(5)}
SKEWED_CUSTOMERS = {"c0": 0.8, "c1": 0.05, "c2": 0.05, "c3": 0.05, "c4": 0.05}


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams of a pool: the hardware generation of each, and the failure domains."""

    name: str
    generations: tuple[str, ...]
    failure_domains: tuple[str, ...]

    def domain(self, index):
        """Return the failure domain of the upstream at ``index``."""
        return self.failure_domains[index % len(self.failure_domains)]


ASSISTANT_DEPLOYMENT = Deployment(
    name="6 assistants",
    generations=("g3", "g3", "g2", "g2", "g4", "g3"),
    failure_domains=("d0", "d1", "d2", "d3"),
)
DRAFTER_DEPLOYMENT = Deployment(
    name="5 drafters",
    generations=("g2", "g3", "g3", "g2", "g3"),
    failure_domains=("d0", "d1", "d2"),
)


def mixed_deployment(count):
    """Return a deployment of ``count`` upstreams of four generations."""
    names = sorted(GENERATIONS)
    return Deployment(
        name=f"{count} upstreams",
        generations=tuple(names[n % 4] for n in range(count)),
        failure_domains=tuple(f"d{n}" for n in range(6)),
    )


class Slowdown(msgspec.Struct, frozen=True, kw_only=True):
    """Change of an upstream's step time to ``permille`` of the normal one at ``at_ms``.

    With ``freezes_reports``, its load reports stay as they were at that time.
    """

    at_ms: int
    upstream: int
    permille: int
    freezes_reports: bool = False


class DomainLoss(msgspec.Struct, frozen=True, kw_only=True):
    """Loss of all upstreams of a failure domain at ``at_ms``.

    They stay in the upstream list for another ``list_lag_ms``.
    """

    at_ms: int
    failure_domain: str
    list_lag_ms: int = 5_000


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Workload: arrivals, deployment, and faults of the upstreams."""

    name: str
    deployment: Deployment
    tiers: tuple[Tier, ...]
    arrivals: tuple[Arrival, ...]
    span_ms: int
    slowdowns: tuple[Slowdown, ...] = ()
    domain_losses: tuple[DomainLoss, ...] = ()
    report_lag_ms: int = REPORT_LAG_MS


def capacity_per_s(deployment, profiles):
    """Return an estimate of the requests a second that a deployment can serve.

    Assumes full batches, and half of the shared prompt tokens cached.
    """
    prompt, shared, output = mean_token_counts(profiles)
    total = 0.0
    for name in deployment.generations:
        config = GENERATIONS[name]
        context = prompt + output / 2
        batch = min(config.max_running, config.max_context_tokens / (prompt + output))
        step_ms = config.base_step_us / 1e3 + batch * (
            config.step_us_per_sequence / 1e3
            + context * config.step_ns_per_context_token / 1e6
        )
        prefill_ms = (prompt - shared / 2) * config.prefill_us_per_token / 1e3
        total += 1_000 / (output * step_ms / batch + prefill_ms)
    return total


_SHORT_AND_LONG_PROFILES = (
    RequestProfile(
        share=0.9, prompt_tokens=64, output_tokens=16, log_sigma=0.3, shared_tokens=0
    ),
    RequestProfile(
        share=0.1,
        prompt_tokens=9_000,
        output_tokens=1_400,
        log_sigma=0.2,
        tier_shares=(0.0, 0.3, 0.7),
        shared_tokens=0,
    ),
)
_PREFIX_HEAVY_PROFILES = (
    RequestProfile(
        prompt_tokens=4_400, output_tokens=60, shared_tokens=4_096, prefix_count=40
    ),
)
_FIVE_TIER_PROFILES = (RequestProfile(tier_shares=(0.1, 0.15, 0.2, 0.25, 0.3)),)
_LONG_DEADLINE_TIERS = tuple(
    msgspec.structs.replace(tier, deadline_ms=30_000 + 60_000 * tier.rank)
    for tier in THREE_TIERS
)
_DEFAULT_PROFILES = (RequestProfile(),)


def _load_with_phases(name, deployment, seed, phases, **options):
    """Return a load whose arrival rate is a multiple of the capacity in each phase."""
    profiles = options.pop("profiles", _DEFAULT_PROFILES)
    customers = options.pop("customers", EVEN_CUSTOMERS)
    tiers = options.pop("tiers", THREE_TIERS)
    rng = random.Random(f"{name}/{deployment.name}/{seed}")
    generator = ArrivalGenerator(rng, profiles, customers, deployment.failure_domains)
    rate = capacity_per_s(deployment, profiles)
    arrivals, at_ms = [], 0
    for span_ms, factor in phases:
        arrivals += generator.poisson_arrivals(at_ms, at_ms + span_ms, rate * factor)
        at_ms += span_ms
    return Load(
        name=name,
        deployment=deployment,
        tiers=tiers,
        arrivals=tuple(arrivals),
        span_ms=at_ms,
        **options,
    )


def _degrading():
    """Return a slowdown that grows to 10x while the load reports stay unchanged."""
    steps = (1_000, 1_500, 2_200, 3_300, 5_000, 7_000, 10_000)
    return tuple(
        Slowdown(
            at_ms=10_000 + 5_000 * n,
            upstream=0,
            permille=permille,
            freezes_reports=True,
        )
        for n, permille in enumerate(steps)
    )


def build_load(name, deployment, seed):
    """Return the named load for a deployment and a seed."""
    steady = ((SPAN_MS, 0.7),)
    settings = {
        "steady 70 %": (steady, {}),
        "burst 3x": (((20_000, 0.7), (10_000, 3.0), (30_000, 0.7)), {}),
        "saturation 1.5x": (((LONG_SPAN_MS, 1.5),), {}),
        "saturation 4x": (((LONG_SPAN_MS, 4.0),), {}),
        "skewed customers": (((SPAN_MS, 1.5),), {"customers": SKEWED_CUSTOMERS}),
        "one slow 10x": (
            steady,
            {"slowdowns": (Slowdown(at_ms=10_000, upstream=0, permille=10_000),)},
        ),
        "one degrading": (((SPAN_MS, 0.7),), {"slowdowns": _degrading()}),
        "short and long": (
            ((SPAN_MS, 0.9),),
            {"profiles": _SHORT_AND_LONG_PROFILES, "tiers": _LONG_DEADLINE_TIERS},
        ),
        "prefix heavy": (((SPAN_MS, 0.9),), {"profiles": _PREFIX_HEAVY_PROFILES}),
        "domain lost": (
            steady,
            {"domain_losses": (DomainLoss(at_ms=20_000, failure_domain="d1"),)},
        ),
        "fresh reports": (((SPAN_MS, 0.9),), {"report_lag_ms": 0}),
        "reports 10 s old": (((SPAN_MS, 0.9),), {"report_lag_ms": 10_000}),
        "five tiers 2x": (
            ((SPAN_MS, 2.0),),
            {"profiles": _FIVE_TIER_PROFILES, "tiers": FIVE_TIERS},
        ),
        "growing 70 %": (((SCALING_SPAN_MS, 0.7),), {}),
        "growing 1.5x": (((SCALING_SPAN_MS, 1.5),), {}),
    }
    phases, options = settings[name]
    return _load_with_phases(name, deployment, seed, phases, **options)


LOAD_NAMES = (
    "steady 70 %",
    "burst 3x",
    "saturation 1.5x",
    "saturation 4x",
    "skewed customers",
    "one slow 10x",
    "one degrading",
    "short and long",
    "prefix heavy",
    "domain lost",
    "fresh reports",
    "reports 10 s old",
    "five tiers 2x",
)
SCALING_LOAD_NAMES = ("growing 70 %", "growing 1.5x")
