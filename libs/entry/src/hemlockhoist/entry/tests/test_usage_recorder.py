import asyncio
import types

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.work import WorkRequest
from hemlockhoist.entry.gate import QuotaGate
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.tests.builders import customer
from hemlockhoist.entry.tests.test_feeds import ClockedStore, wait_nothing
from hemlockhoist.entry.usage_recorder import UsageRecorder
from hemlockhoist.messages import HeldGrants

BOUNDS = FleetBounds(quota_window_ms=8_000, quota_overshoot_ratio=0.0)
BOUND = 9_000
HOSTS = ("h1", "h2", "h3")


def held(up_ms):
    """Return what a host tells that has spent nothing under other homes."""
    return HeldGrants(pool="halls", home_incarnation="", grants=(), up_ms=up_ms)


class Home:
    """A host that is home, with its gate and its record."""

    def __init__(self, store):
        self.clock = Clock.from_running_loop()
        self.gate = QuotaGate(BOUNDS)
        self.gate.quotas.declare([customer(units_per_s=1_000)])
        self.taken = []
        platform = types.SimpleNamespace(store=store, usage_table="spent")
        context = types.SimpleNamespace(
            clock=self.clock,
            gate=self.gate,
            platform=platform,
            homes=types.SimpleNamespace(active=lambda: {"halls": self}),
            fleet=types.SimpleNamespace(
                is_high_capacity=True, wait_introduced=wait_nothing
            ),
            identity=types.SimpleNamespace(host_id="h1"),
            store_view=types.SimpleNamespace(store_now_ms=self.clock.now_ms),
        )
        self.record = UsageRecorder(context)

    def send(self, units):
        """Let the customer send a request of some units."""
        now_ms = self.clock.now_ms()
        request = WorkRequest(
            request_id="r1",
            route="check",
            customer="aulas",
            tier_rank=0,
            deadline_ms=now_ms + 1_000,
            first_token_by_ms=now_ms + 1_000,
            units=units,
        )
        if self.gate.refusal("halls", request, now_ms) is None:
            self.taken.append((now_ms, units))

    async def send_for(self, seconds, units):
        """Send ten requests a second."""
        for _ in range(10 * seconds):
            self.send(units)
            await asyncio.sleep(0.1)


class SpendingRecordTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = ClockedStore()

    async def open_home(self, up_ms=0):
        home = Home(self.store)
        home.gate.on_takeover(HOSTS, home.clock.now_ms())
        for host in HOSTS:
            home.gate.on_usage_report(host, held(up_ms), home.clock.now_ms())
        await home.record.start()
        await asyncio.sleep(0.3)
        return home

    async def test_customer_at_its_bound_gets_no_second_window_after_a_loss_of_all(
        self,
    ):
        """Others' requests are late, as a customer gets twice what it may send.

        All hosts lost their power while it was at its bound, and those that came back
        could ask nobody.
        """
        former = await self.open_home()
        await former.send_for(3, 500)
        await former.record.close()
        await asyncio.sleep(1)
        home = await self.open_home()
        self.addAsyncCleanup(home.record.close)
        await home.send_for(12, 500)
        taken = former.taken + home.taken
        for start, _ in taken:
            inside = sum(u for at, u in taken if start <= at < start + 8_000)
            self.assertLessEqual(inside, BOUND)
        self.assertGreater(sum(u for _, u in home.taken), BOUND / 2)

    async def test_customer_that_stays_at_its_bound_stays_on_record(self):
        """A customer is served 5 % more than its bound after all hosts were killed.

        It had been at its bound for seconds, and what it had spent grew no more: the
        record was not written anew, and told of what had left the window.
        """
        former = await self.open_home()
        await former.send_for(14, 500)
        await former.record.close()
        await asyncio.sleep(0.6)
        home = await self.open_home()
        self.addAsyncCleanup(home.record.close)
        await home.send_for(10, 500)
        taken = former.taken + home.taken
        for start, _ in taken:
            inside = sum(u for at, u in taken if start <= at < start + 8_000)
            self.assertLessEqual(inside, BOUND)

    async def test_record_is_read_as_soon_as_a_host_takes_over(self):
        """A customer is served 0.8 % more than its bound after all hosts were killed.

        The host that became home had looked at the record while it decided for nobody,
        and looked again half a second later. Until then it gave out what it presumed.
        """
        former = await self.open_home()
        await former.send_for(3, 500)
        await former.record.close()
        home = Home(self.store)
        active = {}
        home.record._context.homes.active = lambda: active
        await home.record.start()
        self.addAsyncCleanup(home.record.close)
        await asyncio.sleep(0.02)
        active["halls"] = home
        home.gate.on_takeover(HOSTS, home.clock.now_ms())
        for host in HOSTS:
            home.gate.on_usage_report(host, held(20), home.clock.now_ms())
        await asyncio.sleep(0.05)
        await home.send_for(2, 500)
        taken = sum(units for _, units in former.taken + home.taken)
        self.assertLessEqual(taken, BOUND)

    async def test_nothing_is_written_while_customers_send_the_usual(self):
        home = await self.open_home(up_ms=60_000)
        self.addAsyncCleanup(home.record.close)
        await home.send_for(20, 30)
        self.assertEqual(self.store.version, 0)

    async def test_what_a_lost_host_had_spent_is_counted(self):
        """A customer is served 0.8 % more than its bound as some hosts lose their power.

        They were fewer than a fifth, and the next home asked the others only.
        """
        former = await self.open_home()
        await former.send_for(3, 500)
        await former.record.close()
        home = Home(self.store)
        home.gate.on_takeover(HOSTS, home.clock.now_ms())
        for host in HOSTS[1:]:
            home.gate.on_usage_report(host, held(60_000), home.clock.now_ms())
        await home.record.start()
        self.addAsyncCleanup(home.record.close)
        await asyncio.sleep(0.3)
        await home.send_for(2, 500)
        taken = sum(units for _, units in former.taken + home.taken)
        self.assertLessEqual(taken, BOUND)

    async def test_home_that_was_told_by_all_reads_nothing(self):
        former = await self.open_home()
        await former.send_for(3, 500)
        await former.record.close()
        home = await self.open_home(up_ms=60_000)
        self.addAsyncCleanup(home.record.close)
        home.send(7_000)
        self.assertEqual(len(home.taken), 1)
