import asyncio
import types
from unittest import mock

from hemlockhoist.base import Refused, ResultCode
from hemlockhoist.base.metrics_table import GRANTS_HELD_BACK
from hemlockhoist.host.home import PoolHome
from hemlockhoist.host.home_signals import BACK_OFF_CAUSE
from hemlockhoist.host.placement_queries import ANSWER_TIMEOUT_MS, PlacementQueries
from hemlockhoist.host.tests.test_home_quarantine import GUILTY, UPSTREAMS, HomeCase
from hemlockhoist.host.work_requests import work_request
from hemlockhoist.messages import (
    GrantReply,
    GrantRequest,
    PlacementReply,
    PlacementReport,
    RequestBrief,
)

HOME, OTHER = "127.0.0.1:3", "127.0.0.1:4"


class Hosts:
    """A stand-in for ``HomeService``: one pool, perhaps with its home here."""

    def __init__(self, home_id, home=None):
        self.home_id = home_id
        self.home = home

    def home_of(self, pool):
        return self.home_id

    def find(self, pool):
        return self.home


class PlacementQueryTests(HomeCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.asking = self.queries(OTHER, Hosts(HOME))
        self.answering = self.queries(HOME, Hosts(HOME, self.home))

    def queries(self, host_id, hosts):
        context = types.SimpleNamespace(
            identity=types.SimpleNamespace(host_id=host_id),
            clock=self.clock,
            homes=hosts,
        )
        return PlacementQueries(
            context, lambda to, message: self.deliver(host_id, message)
        )

    def deliver(self, sender, message):
        if isinstance(message, PlacementReply):
            self.asking.on_reply(message)
        elif self.answering is not None:
            self.answering.on_query(sender, message)

    def brief(self, request_id="q", **fields):
        return RequestBrief(
            request_id=request_id,
            route="r",
            customer="c",
            tier_rank=0,
            deadline_in_ms=10_000,
            first_token_in_ms=10_000,
            **fields,
        )

    async def code_of(self, queries, **fields):
        with self.assertRaises(Refused) as caught:
            await queries.ask("chat", self.brief(**fields))
        return caught.exception.code

    async def test_answer_is_the_grant_that_the_request_then_gets(self):
        """Guards against a home that checks a query otherwise than a request."""
        for number in range(5):
            brief = self.brief(f"q{number}")
            home, report = await self.asking.ask("chat", brief)
            self.assertEqual(home, HOME)
            self.assertEqual(self.home.counts(), (0, number if number < 4 else 4))
            request = GrantRequest(pool="chat", brief=self.brief(f"r{number}"))
            self.home.on_request(OTHER, request, 0)
            reply = self.sent[-1]
            if isinstance(reply, GrantReply):
                self.assertEqual(report.upstream_id, reply.upstream_id)
            else:
                self.assertEqual((number, report.outcome), (4, "queued"))
            await asyncio.sleep(1)

    async def test_query_has_no_effect_on_the_home(self):
        """Guards against queue entries, messages and spans that a query leaves."""
        sent = len(self.sent)
        report = self.home.dry_run(self.work("q"))
        self.assertEqual(report.outcome, "granted")
        self.assertEqual(len(self.sent), sent)
        self.assertEqual(self.home.counts(), (0, 0))
        self.assertIsNone(self.home.first_grant_ms)
        self.assertTrue(self.home.is_idle(0))
        self.assertFalse(self.home._spans)

    async def test_query_counts_in_no_metric(self):
        """Guards against metrics that count operators' queries as callers' requests."""
        now_ms, scheduler = self.clock.now_ms(), self.home.scheduler
        for name in UPSTREAMS:
            scheduler.observe_back_off(name, OTHER, now_ms + 5_000, now_ms)
        totals = self.home._metrics.totals
        counted = f"{GRANTS_HELD_BACK.name}.{BACK_OFF_CAUSE}"
        request = GrantRequest(pool="chat", brief=self.brief("r"))
        self.home.on_request(OTHER, request, 0)
        self.assertEqual(totals[counted], 1)
        before = dict(totals)
        report = self.home.dry_run(self.work("q"))
        self.assertNotEqual(report.outcome, "granted")
        self.assertEqual(totals, before)

    def work(self, request_id):
        return work_request(self.brief(request_id), OTHER, self.clock.now_ms())

    async def test_prompt_that_is_kept_back_is_refused_with_its_part(self):
        for upstream in ("a", "b", "c"):
            self.quarantine.on_crash(upstream, (GUILTY,))
        _, report = await self.asking.ask("chat", self.brief(parts=(GUILTY,)))
        self.assertEqual(report.outcome, "refused")
        self.assertIn(report.code, (ResultCode.PART_BLOCKED, ResultCode.PART_SUSPECTED))
        self.assertIn(f"{GUILTY:016x}", report.reason)
        # Only requests that are sent are counted.
        self.assertFalse(self.quarantine._metrics.totals)
        brief = self.brief("r", parts=(GUILTY,))
        self.home.on_request(OTHER, GrantRequest(pool="chat", brief=brief), 0)
        self.assertTrue(self.quarantine._metrics.totals)

    async def test_queries_are_bounded(self):
        """Guards against an operator's loop at the cost of callers' requests."""
        await self.asking.ask("chat", self.brief())
        code = await self.code_of(self.asking)
        self.assertIs(code, ResultCode.QUERY_TOO_FREQUENT)
        self.assertIs(await self.code_of(self.answering), code)
        await asyncio.sleep(1)
        await self.answering.ask("chat", self.brief())

    async def test_home_that_does_not_answer_is_reported_after_the_time_limit(self):
        """Guards against a command that hangs at a home of an earlier release."""
        self.answering = None
        started_ms = self.clock.now_ms()
        code = await self.code_of(self.asking)
        self.assertIs(code, ResultCode.HOME_UNREACHABLE)
        self.assertEqual(self.clock.now_ms() - started_ms, ANSWER_TIMEOUT_MS)
        late = PlacementReply(query_id="q", report=PlacementReport(outcome="queued"))
        self.asking.on_reply(late)

    async def test_host_that_is_no_home_says_so(self):
        self.answering = self.queries(HOME, Hosts(HOME))
        self.assertIs(await self.code_of(self.asking), ResultCode.HOME_UNREACHABLE)
        unknown = self.queries(OTHER, Hosts(""))
        self.assertIs(await self.code_of(unknown), ResultCode.HOME_UNREACHABLE)

    async def test_failure_at_the_home_is_reported_at_once(self):
        """Guards against an error that looks like a home that is unreachable."""
        with mock.patch.object(PoolHome, "dry_run", side_effect=TypeError("no rule")):
            code = await self.code_of(self.asking)
        self.assertIs(code, ResultCode.INTERNAL_ERROR)

    async def test_pool_that_is_too_large_is_reported(self):
        """Guards against a refusal that looks like a failure of the home."""
        self.set_upstreams(*(f"u{number}" for number in range(2_000)))
        code = await self.code_of(self.asking)
        self.assertIs(code, ResultCode.QUERY_TOO_COSTLY)

    async def test_code_of_a_later_release_is_an_error(self):
        reply = PlacementReply(query_id="q", code=99_999)
        self.assertIs(await self.code_after(reply), ResultCode.INTERNAL_ERROR)

    async def test_reply_without_code_and_report_is_an_error(self):
        """Guards against an AttributeError instead of a result code."""
        reply = PlacementReply(query_id="q")
        self.assertIs(await self.code_after(reply), ResultCode.INTERNAL_ERROR)

    async def code_after(self, reply):
        """Return the code of a query to which a home sends a reply."""
        self.answering = None
        asked = asyncio.create_task(self.code_of(self.asking))
        await asyncio.sleep(0)
        self.asking.on_reply(reply)
        return await asked
