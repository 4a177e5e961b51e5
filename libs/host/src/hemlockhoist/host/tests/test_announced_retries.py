import asyncio
import unittest

import hypothesis.strategies as st
import msgspec
import structlog.testing
from hypothesis import given

from hemlockhoist.base import Refused, ResultCode
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import RESERVATIONS_LAPSED, RESERVATIONS_MADE
from hemlockhoist.decisions import Outcome, OutcomeKind
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.decisions.scheduling.retry_reservations import RetryReservations
from hemlockhoist.host.announced_retries import MAX_REPORTED, AnnouncedRetries
from hemlockhoist.host.home_retries import HomeRetries
from hemlockhoist.host.tests import test_grants
from hemlockhoist.host.work_requests import work_request
from hemlockhoist.messages import AnnouncedRetry, GrantRefusal, HeldGrants, RequestBrief

ENTRY = test_grants.ENTRY


def brief(**fields):
    values = {
        "request_id": "r",
        "route": "r",
        "customer": "c",
        "tier_rank": 0,
        "deadline_in_ms": 9_000,
        "first_token_in_ms": 300,
    }
    return RequestBrief(**(values | fields))


class LostHomeTests(test_grants.GrantHarness):
    reserves_retries = True

    def _brief(self, request_id):
        return lambda now_ms: brief(request_id=request_id)

    async def _refuse_one(self):
        """Occupy the only slot and the queue, and return the refusal of the next."""
        hold = await self._acquire("r0")
        await asyncio.sleep(1)
        outcome = Outcome(kind=OutcomeKind.SUCCESS, total_ms=1_000)
        self.client.release(hold, outcome)
        hold = await self._acquire("r1")
        waiting = asyncio.create_task(self._acquire("r2"))
        await asyncio.sleep(0.05)
        with self.assertRaises(Refused) as caught:
            await self._acquire("r3")
        waiting.cancel()
        return hold, caught.exception

    async def test_retry_of_a_caller_is_served_by_the_next_home(self):
        """Guards against reservations that are lost together with the home."""
        hold, refusal = await self._refuse_one()
        self.assertEqual(refusal.code, ResultCode.OVERLOADED)
        self.assertIn("reserved", refusal.message)
        home = self._add_home("h2")
        home.start((ENTRY,))
        await asyncio.sleep(0.1)
        reservations = home.scheduler.reservations
        self.assertEqual(reservations.outstanding, 1)
        # A repeated report does not reserve twice.
        home.on_held_grants(ENTRY, self.client.report_held("chat", "h2", "h2"))
        self.assertEqual(reservations.outstanding, 1)
        self.home = "h2"
        self.client.release(hold, Outcome(kind=OutcomeKind.SUCCESS, total_ms=1_200))
        await asyncio.sleep(refusal.retry_after_ms / 1_000)
        await self._acquire("r4")
        self.assertEqual(reservations.counts.used, 1)

    async def test_host_that_comes_back_reports_once(self):
        """Guards against retries that are reserved twice as their host was gone."""
        told = AnnouncedRetry(
            customer="c",
            route="r",
            tier_rank=0,
            prompt_tokens=0,
            output_tokens=0,
            reserved_ms=100,
            remaining_ms=9_000,
        )
        report = self.client.report_held("chat", "h2", "h2")
        report = msgspec.structs.replace(report, announced_retries=(told,))
        home = self._add_home("h2")
        home.on_held_grants(ENTRY, report)
        # Gone for a short time, then present, then gone for long.
        for is_gone, wait_s, outstanding in (
            (True, 5, 1),
            (False, 99, 0),
            (True, 60, 1),
        ):
            if is_gone:
                home.forget_host(ENTRY)
            await asyncio.sleep(wait_s)
            home.tick()
            home.on_host_joined(ENTRY)
            home.on_held_grants(ENTRY, report)
            reservations = home.scheduler.reservations
            # Drops those that lapsed.
            reservations.reserved_slots(0, self.clock.now_ms())
            self.assertEqual(reservations.outstanding, outstanding)

    async def test_reporters_that_are_gone_are_forgotten(self):
        """Guards against a home whose memory grows with each host that ever reported."""
        home = self._add_home("h2")
        home.start((ENTRY,))
        report = HeldGrants(pool="chat", home_incarnation="h2", grants=())
        for number in range(100):
            host = f"host-{number}"
            home.on_host_joined(host)
            home.on_held_grants(host, report)
            home.forget_host(host)
        await asyncio.sleep(60)
        home.tick()
        # The entry host of the harness is present, and answers all queries.
        self.assertEqual(set(home._retries._reporters), {ENTRY})

    async def test_reporter_that_was_gone_before_its_report_is_forgotten(self):
        """Guards against late reports that a home remembers for ever."""
        home = self._add_home("h2")
        home.start((ENTRY, "late", "back"))
        report = HeldGrants(pool="chat", home_incarnation="h2", grants=())
        for host in ("late", "back"):
            home.forget_host(host)
            home.on_held_grants(host, report)
        await asyncio.sleep(1)
        home.on_host_joined("back")
        await asyncio.sleep(60)
        home.tick()
        # A host that is present again is not forgotten.
        self.assertEqual(set(home._retries._reporters), {ENTRY, "back"})

    async def test_homes_without_the_switch_ignore_the_report(self):
        """Guards against hosts of mixed settings that fail at a takeover."""
        await self._refuse_one()
        self.reserves_retries = False
        home = self._add_home("h2")
        home.start((ENTRY,))
        await asyncio.sleep(0.1)
        self.assertFalse(home.recovering)
        self.assertIsNone(home.scheduler.reservations)


class AnnouncedRetriesTests(unittest.TestCase):
    def setUp(self):
        self.announced = AnnouncedRetries()

    def record(self, tier_rank, retry_after_ms, reserved_ms=100):
        refusal = GrantRefusal(
            pool="chat",
            request_id="r",
            code=200,
            retry_after_ms=retry_after_ms,
            reserved_ms=reserved_ms,
        )
        self.announced.record(brief(tier_rank=tier_rank), refusal, 0)

    def test_report_is_bounded_and_prefers_higher_tiers(self):
        """Guards against takeovers that take long because of large reports."""
        for number in range(200):
            self.record(number % 2, 1_000 + number)
        report = self.announced.report("chat", 500)
        self.assertEqual(len(report), MAX_REPORTED)
        self.assertEqual({item.tier_rank for item in report}, {0})
        self.assertEqual(report[0].remaining_ms, 500)

    def test_only_reserved_and_coming_retries_of_the_pool_are_reported(self):
        self.record(0, 1_000, reserved_ms=0)
        self.record(0, 400)
        self.record(0, 2_000)
        self.assertEqual(len(self.announced.report("chat", 500)), 1)
        self.assertEqual(self.announced.report("other", 500), ())


class HomeRetriesTests(unittest.TestCase):
    def test_reservations_are_counted_and_logged_in_sums(self):
        """Guards against a burst that floods the log with a line for each refusal."""
        scheduler = PoolScheduler.from_config(
            test_grants.POOL, test_grants.TIERS, "i", reserves_retries=True
        )
        metrics = Metrics(None)
        retries = HomeRetries("chat", scheduler, metrics)
        counts = scheduler.reservations.counts
        with structlog.testing.capture_logs() as lines:
            for now_ms in range(0, 1_500, 100):
                counts.made += 50
                retries.tick(now_ms)
        self.assertEqual(len(lines), 2)
        counts.lapsed += 1
        retries.tick(1_600)
        for metric, expected in ((RESERVATIONS_MADE, 750), (RESERVATIONS_LAPSED, 1)):
            found = [v for k, v in metrics.totals.items() if metric.name in k]
            self.assertEqual(found, [expected])

    @given(
        st.builds(
            AnnouncedRetry,
            customer=st.text(max_size=3),
            route=st.text(max_size=3),
            tier_rank=st.integers(),
            prompt_tokens=st.integers(),
            output_tokens=st.integers(),
            reserved_ms=st.integers(),
            remaining_ms=st.integers(),
            weight=st.integers(),
        )
    )
    def test_any_report_is_adopted_or_ignored(self, told):
        """Guards against a home that fails on the report of a faulty host."""
        reservations = RetryReservations()
        reservations.adopt(told, 1_000)
        self.assertLessEqual(reservations.outstanding, 1)
        request = work_request(brief(), ENTRY, 1_000)
        self.assertGreaterEqual(
            reservations.wait_ms(request, 10.0, 10.0, 1.0, 1_000, 1_000), 0
        )


if __name__ == "__main__":
    unittest.main()
