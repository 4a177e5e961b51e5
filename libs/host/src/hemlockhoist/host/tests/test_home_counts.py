import asyncio

from hemlockhoist.base import Clock
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import WASTED_TOKENS
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions import OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind, Tier
from hemlockhoist.host.home import AllowAllGate, PoolHome
from hemlockhoist.host.identity import HostIdentity
from hemlockhoist.messages import (
    GrantCancel,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrants,
    RequestBrief,
)

POOL = Pool(
    name="chat", kind=PoolKind.MODEL, stable_version="v1", max_in_flight_per_upstream=1
)
TIERS = (Tier(name="t", rank=0, deadline_ms=60_000, first_token_target_ms=60_000),)
ENTRY = "entry"
WASTED = f"{WASTED_TOKENS.name}.chat"


def upstream(name):
    return Upstream(upstream_id=name, pool="chat", version="v1", address="127.0.0.1:1")


def brief(request_id):
    return RequestBrief(
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


class NotingGate(AllowAllGate):
    """Notes which requests are given back."""

    def __init__(self):
        self.not_run = []

    def on_not_run(self, request, now_ms):
        self.not_run.append(request.request_id)


class HomeCountTests(PausedTestCase):
    async def asyncSetUp(self):
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
        self.gate = NotingGate()
        self.home = PoolHome(
            "chat",
            PoolScheduler.from_config(POOL, TIERS, "i"),
            identity,
            clock,
            lambda host, message: self.sent.append(message),
            (POOL, TIERS),
            Traces.from_config(None, 0, "home"),
            self.metrics,
            self.gate,
        )
        self.home.set_upstreams([upstream("a"), upstream("b")])
        self.home.start([ENTRY])
        held = HeldGrants(pool="chat", home_incarnation="i", grants=())
        self.home.on_held_grants(ENTRY, held)

    def ask(self, request_id):
        self.home.on_request(
            ENTRY, GrantRequest(pool="chat", brief=brief(request_id)), 0
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

    async def test_a_prompt_computed_again_is_wasted(self):
        """What another upstream held and this one did not find cached is counted."""
        first = self.ask("r1")
        # The first upstream is full, so that the other one has to take the same
        # prompt, which it finds cached in part.
        second = self.ask("r2")
        self.assertNotEqual(first.upstream_id, second.upstream_id)
        self.release(first, 0)
        self.assertEqual(self.metrics.totals[WASTED], 0)
        self.release(second, 300)
        self.assertEqual(self.metrics.totals[WASTED], 700)

    async def test_a_caller_that_leaves_the_queue_has_sent_nothing(self):
        """Requests within their customer's allowance are refused as over it.

        Callers that left while they waited for a place, or whose entry host died, had
        taken from the allowance, and nothing gave it back.
        """
        for request_id in ("r1", "r2"):
            self.ask(request_id)
        for request_id in ("r3", "r4"):
            message = GrantRequest(pool="chat", brief=brief(request_id))
            self.home.on_request(ENTRY, message, 0)
        self.home.on_cancel(GrantCancel(pool="chat", request_id="r3"))
        self.home.forget_host(ENTRY)
        self.assertEqual(self.gate.not_run, ["r3", "r4"])

    async def test_a_dead_hosts_grants_are_forgotten(self):
        """
        An entry host dies with requests in progress. The scheduler frees their
        places, and the home went on to list them as granted: status and metrics
        showed requests that nobody has, more with each dead host.
        """
        self.ask("r1")
        self.ask("r2")
        self.assertEqual(self.home.counts(), (0, 2))
        self.home.forget_host(ENTRY)
        self.assertEqual(self.home.counts(), (0, 0))
