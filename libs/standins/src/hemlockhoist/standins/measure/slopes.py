"""Growth of the scheduler's memory and processor time, for the capacity page."""

import gc
import statistics
import time
import tracemalloc

import msgspec

from hemlockhoist.decisions import (
    LoadReport,
    Outcome,
    OutcomeKind,
    Upstream,
    WorkRequest,
)
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind, Tier
from hemlockhoist.messages import (
    GrantRelease,
    GrantReply,
    GrantRequest,
    RequestBrief,
)

REPEATS = 3
UPSTREAM_POINTS = (8, 16, 24, 32, 48)
REQUEST_POINTS = (200, 400, 800, 1_600)
CUSTOMER_POINTS = (200, 400, 800, 1_700)
# Requests granted and released to time one cycle.
CYCLES = 400
TICKS = 200
PREFIX_BLOCKS = 128
BLOCK_POINTS = (0, 8, 32, 128)

_SUCCESS = Outcome(
    kind=OutcomeKind.SUCCESS, first_token_ms=60, total_ms=2_000, output_tokens=100
)


class Slope:
    """Linear fit of points, and the spread of its slope over repeats.

    Parameters
    ==========
    name, unit : str
    points : list of (int, list of float)
        Size and the value of each repeat.
    """

    __slots__ = ("base", "name", "points", "r_squared", "slope", "spread", "unit")

    def __init__(self, name, unit, points):
        self.name = name
        self.unit = unit
        self.points = points
        xs = [x for x, values in points for _ in values]
        ys = [y for _, values in points for y in values]
        line = statistics.linear_regression(xs, ys)
        self.slope, self.base = line.slope, line.intercept
        self.r_squared = statistics.correlation(xs, ys) ** 2 if len(set(ys)) > 1 else 1
        self.spread = self._spread()

    def _spread(self):
        """Return half the range of the slopes of the single repeats."""
        slopes = []
        for repeat in range(len(self.points[0][1])):
            xs = [x for x, _ in self.points]
            ys = [values[repeat] for _, values in self.points]
            slopes.append(statistics.linear_regression(xs, ys).slope)
        return (max(slopes) - min(slopes)) / 2

    def row(self):
        """Return the row of the Markdown table."""
        points = ", ".join(
            f"{x}: {statistics.mean(values):,.1f}" for x, values in self.points
        )
        cells = (
            self.name,
            f"{self.slope:,.2f} ± {self.spread:,.2f} {self.unit}",
            f"{self.base:,.1f}",
            f"{self.r_squared:.3f}",
            points,
        )
        return "| " + " | ".join(cells) + " |"


def _scheduler(upstreams, slots=64, max_queued=100_000):
    pool = Pool(
        name="assistant",
        kind=PoolKind.MODEL,
        stable_version="v1",
        max_in_flight_per_upstream=slots,
    )
    tiers = [
        Tier(
            name=f"t{rank}",
            rank=rank,
            deadline_ms=60_000,
            first_token_target_ms=30_000,
            max_queued=max_queued,
        )
        for rank in range(5)
    ]
    scheduler = PoolScheduler.from_config(pool, tiers, "m")
    scheduler.set_upstreams([_upstream(n) for n in range(upstreams)], 0)
    return scheduler


def _upstream(number):
    return Upstream(
        upstream_id=f"u{number:05}",
        pool="assistant",
        version="v1",
        address=f"127.0.0.1:{number + 1}",
        failure_domain=f"d{number % 6}",
        generation=f"g{number % 4}",
    )


def _request(number, customers=50, hashes=()):
    return WorkRequest(
        request_id=f"host-0001:{number:09}",
        route="/v1/chat/completions",
        customer=f"customer-{number % customers:05}",
        tier_rank=number % 5,
        output_tokens=150,
        prefix_hashes=hashes,
        deadline_ms=60_000,
        first_token_by_ms=30_000,
        entry_host=f"host-{number % 30:04}",
    )


def _grant_ids(decisions):
    return [item.grant.grant_id for item in decisions if hasattr(item, "grant")]


def _bytes_of(build):
    """Return the bytes that the object returned by ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(size)


def _with_queue(count):
    """Return a scheduler with one busy slot and ``count`` queued requests."""
    scheduler = _scheduler(1, slots=1)
    for number in range(count + 1):
        scheduler.submit(_request(number), 0)
    return scheduler


def _with_grants(count):
    scheduler = _scheduler(count // 16, slots=16)
    for number in range(count):
        scheduler.submit(_request(number), 0)
    return scheduler


def _with_customers(count):
    """Return a scheduler that has served and tracks ``count`` customers."""
    scheduler = _scheduler(8)
    for number in range(count):
        decisions = scheduler.submit(_request(number, count), number)
        for grant_id in _grant_ids(decisions):
            scheduler.release(grant_id, _SUCCESS, number)
    scheduler.tick(60_000)
    return scheduler


def _with_prefixes(count):
    scheduler = _scheduler(count)
    grant_ids = []
    for number in range(count * 2_048 // PREFIX_BLOCKS):
        first = number * PREFIX_BLOCKS + (1 << 60)
        hashes = tuple(range(first, first + PREFIX_BLOCKS))
        grant_ids += _grant_ids(scheduler.submit(_request(number, hashes=hashes), 0))
    # Released only after all submits: grants in flight spread the prompts over all
    # upstreams.
    for grant_id in grant_ids:
        scheduler.release(grant_id, _SUCCESS, 1)
    scheduler.tick(60_000)
    return scheduler


def _us_per_cycle(upstreams):
    """Return the microseconds of a submit and a release with all slots taken."""
    scheduler = _scheduler(upstreams, slots=4)
    grant_ids = []
    for number in range(upstreams * 4 + 200):
        grant_ids += _grant_ids(scheduler.submit(_request(number), 0))
    begin = time.process_time()
    for number in range(CYCLES):
        grant_ids += _grant_ids(scheduler.submit(_request(1_000_000 + number), 10))
        grant_ids += _grant_ids(scheduler.release(grant_ids.pop(0), _SUCCESS, 10))
    return (time.process_time() - begin) * 1e6 / CYCLES


def _us_per_tick(grants):
    scheduler = _with_grants(grants)
    begin = time.process_time()
    for number in range(TICKS):
        scheduler.tick(100 * number)
    return (time.process_time() - begin) * 1e6 / TICKS


def _us_per_report(upstreams):
    scheduler = _scheduler(upstreams)
    report = LoadReport(upstream_id="u00000", in_flight=3, queued=0)
    begin = time.process_time()
    for number in range(CYCLES):
        scheduler.observe_load(report, number)
    return (time.process_time() - begin) * 1e6 / CYCLES


def _bytes_per_request(blocks):
    """Return the size of the messages between entry host and home for a request."""
    random_hash = (1 << 63) + 12_345
    brief = RequestBrief(
        request_id="host-0001:000000001",
        route="/v1/chat/completions",
        customer="customer-00001",
        tier_rank=2,
        weight=2,
        prompt_tokens=64 * blocks,
        output_tokens=150,
        prefix_hashes=(random_hash,) * blocks,
        deadline_in_ms=30_000,
        first_token_in_ms=1_000,
        failure_domain="gt-central-1",
    )
    ids = {"pool": "assistant", "request_id": brief.request_id}
    grant_id = "host-0002.1a2b3c4d:assistant:1234567"
    messages = (
        GrantRequest(pool="assistant", brief=brief),
        GrantReply(
            **ids,
            grant_id=grant_id,
            upstream_id="assistant-00012",
            address="10.0.0.12:8000",
            version="2026-11-30",
            expires_in_ms=2_000,
        ),
        GrantRelease(
            **ids,
            grant_id=grant_id,
            outcome="success",
            first_token_ms=120,
            total_ms=4_000,
            output_tokens=160,
            cached_tokens=512,
        ),
    )
    return float(sum(len(msgspec.msgpack.encode(item)) for item in messages))


_MEASUREMENTS = (
    ("memory of an upstream", "B", UPSTREAM_POINTS, _scheduler, True),
    ("and its full prefix map", "B", UPSTREAM_POINTS, _with_prefixes, True),
    ("memory of a customer", "B", CUSTOMER_POINTS, _with_customers, True),
    ("memory of a waiting request", "B", REQUEST_POINTS, _with_queue, True),
    ("memory of a grant", "B", REQUEST_POINTS, _with_grants, True),
    ("submit and release, by upstream", "µs", UPSTREAM_POINTS, _us_per_cycle, False),
    ("tick, by grant", "µs", REQUEST_POINTS, _us_per_tick, False),
    ("load report, by upstream", "µs", UPSTREAM_POINTS, _us_per_report, False),
    ("messages, by prefix block", "B", BLOCK_POINTS, _bytes_per_request, False),
)


def measure():
    """Return the fitted slopes of all measurements.

    Returns
    =======
    list of Slope
    """
    slopes = []
    for name, unit, sizes, build, is_memory in _MEASUREMENTS:
        points = []
        for size in sizes:
            values = [_value(build, size, is_memory) for _ in range(REPEATS)]
            points.append((size, values))
        slopes.append(Slope(name, unit, points))
    return slopes


def _value(build, size, is_memory):
    if is_memory:
        return _bytes_of(lambda: build(size))
    return build(size)


def render(slopes):
    """Return the lines of the Markdown table."""
    header = "| what | slope | base | r² | points |"
    return [header, "|---|---|---|---|---|", *(item.row() for item in slopes)]
