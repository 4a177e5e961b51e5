import asyncio

import msgspec
import structlog.testing

from hemlockhoist.base import Clock
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import (
    UPSTREAMS_RELEASED,
    UPSTREAMS_SUPPRESSED,
    WASTED_TOKENS,
)
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions import OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind, Tier
from hemlockhoist.host.gates import AllowAllGate
from hemlockhoist.host.home import PoolHome
from hemlockhoist.host.identity import HostIdentity
from hemlockhoist.host.work_requests import work_request
from hemlockhoist.messages import (
    GrantCancel,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrants,
    HomeClosed,
    RequestBrief,
    RetryRecord,
)

POOL = Pool(
    name="chat", kind=PoolKind.MODEL, stable_version="v1", max_in_flight_per_upstream=1
)
TIERS = (Tier(name="t", rank=0, deadline_ms=60_000, first_token_target_ms=60_000),)
ENTRY = "entry"
WASTED = f"{WASTED_TOKENS.name}.chat"


def upstream(name, address="127.0.0.1:1"):
    return Upstream(upstream_id=name, pool="chat", version="v1", address=address)


def brief(request_id, **fields):
    return RequestBrief(
        **fields,
        request_id=request_id,
        route="chat",
        customer="one",
        tier_rank=0,
        prompt_tokens=1_000,
        output_tokens=10,
        prefix_hashes=tuple(range(10)),
        deadline_in_ms=60_000,
        first_token_in_ms=60_000,
    )


class RecordingGate(AllowAllGate):
    """A gate that records which requests did not run."""

    def __init__(self):
        self.not_run = []
        self.records = (RetryRecord(incarnation="i", change_count=3),)
        self.adopted = ()

    def retry_records(self, pool, now_ms):
        return self.records

    def adopt_retry_records(self, pool, records, now_ms):
        self.adopted = records

    def on_not_run(self, pool, request, since_ms, now_ms):
        self.not_run.append(request.request_id)


class PoolHomeTests(PausedTestCase):
    async def asyncSetUp(self):
        self.home = self.new_home()

    def new_home(self, **fields):
        """Return a home with two upstreams that has recovered."""
        clock = Clock(asyncio.get_running_loop())
        identity = HostIdentity(
            name="home",
            incarnation="i",
            address="127.0.0.1:2",
            host_id="127.0.0.1:3",
            failure_domain="a",
        )
        self.metrics = Metrics(None)
        self.sent = []
        self.gate = RecordingGate()
        home = PoolHome(
            "chat",
            PoolScheduler.from_config(POOL, TIERS, "i", **fields),
            identity,
            clock,
            lambda host, message: self.sent.append(message),
            (POOL, TIERS),
            Traces.from_config(None, 0, "home"),
            self.metrics,
            self.gate,
        )
        home.set_upstreams([upstream("a"), upstream("b", "127.0.0.1:2")])
        home.start([ENTRY])
        held = HeldGrants(pool="chat", home_incarnation="i", grants=())
        home.on_held_grants(ENTRY, held)
        return home

    async def test_closing_home_hands_on_what_it_counted_of_retries(self):
        """Guards against retries that are known to a host that leaves only."""
        self.home.close("h2")
        (closed,) = [item for item in self.sent if isinstance(item, HomeClosed)]
        next_home = self.new_home()
        next_home.on_predecessor_closed(closed)
        self.assertEqual(self.gate.adopted, closed.retry_records)
        self.assertTrue(closed.retry_records)

    def request_grant(self, request_id, **fields):
        self.home.on_request(
            ENTRY, GrantRequest(pool="chat", brief=brief(request_id, **fields)), 0
        )
        return [m for m in self.sent if isinstance(m, GrantReply)][-1]

    def release(self, grant, cached_tokens):
        message = GrantRelease(
            pool="chat",
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            outcome=OutcomeKind.SUCCESS.value,
            first_token_ms=100,
            total_ms=200,
            cached_tokens=cached_tokens,
        )
        self.home.on_release(message)

    async def test_prompt_cached_elsewhere_counts_as_wasted(self):
        """Tokens cached at another upstream but not at the granted one are counted."""
        first = self.request_grant("r1")
        # The first upstream is full, so the other one gets the same prompt, which it
        # has cached in part.
        second = self.request_grant("r2")
        self.assertNotEqual(first.upstream_id, second.upstream_id)
        self.release(first, 0)
        self.assertEqual(self.metrics.totals[WASTED], 0)
        self.release(second, 300)
        self.assertEqual(self.metrics.totals[WASTED], 700)

    async def test_prompt_cached_here_as_well_is_not_wasted(self):
        """Guards against waste that is counted where an answer tells no cached tokens.

        Of upstreams that declare their slots only what another holds beyond this one
        counts, as their answers don't say what they reused.
        """
        tracker = DeclaredSlotsTracker(cache_tokens=100_000)
        listed = [
            Upstream(
                upstream_id=name,
                pool="chat",
                version="v1",
                address="127.0.0.1:1",
                slot_count=4,
            )
            for name in ("a", "b")
        ]
        tracker.set_listed(listed, 0)
        tracker.set_usable(listed, 0)
        prompt = work_request(
            msgspec.structs.replace(brief("r1"), prefix_tokens=(100,) * 10), ENTRY, 0
        )
        self.assertEqual(tracker.cached_elsewhere(prompt, "a"), 0)
        tracker._cache.record("b", prompt.prefix_hashes, prompt.prefix_tokens)
        self.assertEqual(tracker.cached_elsewhere(prompt, "a"), 1_000)
        half = prompt.prefix_hashes[:5], prompt.prefix_tokens[:5]
        tracker._cache.record("a", *half)
        self.assertEqual(tracker.cached_elsewhere(prompt, "a"), 500)

    async def test_suppression_of_a_flapping_upstream_is_logged_and_counted(self):
        """Guards against an upstream that gets nothing without a line that says why."""
        self.home = self.new_home(max_suppressed_ms=10_000)
        with structlog.testing.capture_logs() as events:
            for number in range(2):
                grant = self.request_grant(f"r{number}", avoid=("b",))
                message = GrantRelease(
                    pool="chat",
                    request_id=grant.request_id,
                    grant_id=grant.grant_id,
                    outcome=OutcomeKind.BROKE_OFF.value,
                    is_crash_suspect=True,
                )
                self.home.on_release(message)
                await asyncio.sleep(1)
            await asyncio.sleep(10)
            self.home.tick()
        for event, metric in (
            ("upstream_suppressed", UPSTREAMS_SUPPRESSED),
            ("upstream_released", UPSTREAMS_RELEASED),
        ):
            found = [item for item in events if item["event"] == event]
            self.assertEqual([item["upstream"] for item in found], ["a"])
            self.assertEqual(self.metrics.totals[f"{metric.name}.chat"], 1)

    async def test_request_that_leaves_the_queue_is_refunded(self):
        """Guards against refusing customers who are within their quota.

        Requests whose callers disconnected while they were queued, or whose entry host
        died, had used up quota that was never refunded.
        """
        for request_id in ("r1", "r2"):
            self.request_grant(request_id)
        for request_id in ("r3", "r4"):
            message = GrantRequest(pool="chat", brief=brief(request_id))
            self.home.on_request(ENTRY, message, 0)
        self.home.on_cancel(GrantCancel(pool="chat", request_id="r3"))
        self.home.forget_host(ENTRY)
        self.assertEqual(self.gate.not_run, ["r3", "r4"])

    async def test_grants_of_a_dead_host_are_dropped(self):
        """An entry host dies with requests in progress.

        The scheduler freed their slots, but the home kept listing them as granted.
        Status and metrics then showed more stale requests with each dead host.
        """
        self.request_grant("r1")
        self.request_grant("r2")
        self.assertEqual(self.home.counts(), (0, 2))
        self.home.forget_host(ENTRY)
        self.assertEqual(self.home.counts(), (0, 0))
