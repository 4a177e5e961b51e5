import asyncio

from hemlockhoist.decisions import Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.entry import AdvertisedLimits
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker
from hemlockhoist.host.tests.test_grants import ENTRY, GrantHarness
from hemlockhoist.messages import (
    NO_LIMIT,
    FirstToken,
    GrantRelease,
    UpstreamSignals,
)

SUCCESS = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=5, total_ms=10)
ALLOWED_IN_2_S = 4


def limit(requests_per_s):
    return UpstreamSignals(limit_per_s=requests_per_s)


class AdvertisedLimitTests(GrantHarness):
    """One upstream with four slots, which advertises two requests a second."""

    upstreams = (
        Upstream(
            upstream_id="u",
            pool="chat",
            version="v1",
            address="127.0.0.1:1",
            slot_count=4,
        ),
    )

    async def asyncSetUp(self):
        self.advertised_limits = AdvertisedLimits()
        await super().asyncSetUp()

    def _new_tracker(self):
        return DeclaredSlotsTracker()

    async def answer(self, request_id, limit_per_s, by_first_token=False):
        """Acquire a grant and end it with an answer that advertises a limit."""
        waiting = asyncio.create_task(self._acquire(request_id))
        while not waiting.done():
            await self._tick_for(self.network.homes[self.home], 50)
        hold = waiting.result()
        now_ms = self.clock.now_ms()
        self.advertised_limits.record("chat", "u", limit_per_s, now_ms)
        if by_first_token:
            self.client.report_first_token(hold, 5, limit(limit_per_s))
            self.client.release(hold, SUCCESS)
        else:
            self.client.release(hold, SUCCESS, limit(limit_per_s))
        await asyncio.sleep(0.01)
        return hold

    async def granted_within(self, home, duration_ms):
        """Ask for ten grants; return how many are granted, without ending them."""
        tasks = [
            asyncio.create_task(self._acquire(f"x{self.clock.now_ms()}-{number}"))
            for number in range(10)
        ]
        await self._tick_for(home, duration_ms)
        holds = [task.result() for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for hold in holds:
            self.client.release(hold, SUCCESS)
        await asyncio.sleep(0.01)
        return len(holds)

    async def test_home_learns_of_a_limit_from_every_kind_of_answer(self):
        """Guards against limits that are heard with failed answers and lost."""
        failed = Outcome(kind=OutcomeKind.FAILED, total_ms=3)
        for report in ("release", "first token", "failed answer"):
            with self.subTest(report):
                await super().asyncSetUp()
                hold = await self._acquire("r1")
                if report == "first token":
                    self.client.report_first_token(hold, 5, limit(2.0))
                else:
                    outcome = failed if report == "failed answer" else SUCCESS
                    self.client.release(hold, outcome, limit(2.0))
                await asyncio.sleep(0.01)
                home = self.network.homes["h1"]
                count = await self.granted_within(home, 900)
                self.assertLessEqual(count, 2)
                self.assertGreater(count, 0)

    async def test_withdrawn_limit_is_lifted(self):
        await self.answer("r1", 2.0)
        hold = await self.answer("r2", NO_LIMIT)
        self.assertTrue(hold.is_limited)
        home = self.network.homes["h1"]
        self.assertEqual(await self.granted_within(home, 50), 4)

    async def test_answer_that_began_before_the_limit_does_not_lift_it(self):
        """Guards against an old answer that ends the limit of an upstream in need."""
        hold = await self._acquire("r1")
        await self.answer("r2", 2.0)
        self.client.release(hold, SUCCESS, limit(NO_LIMIT))
        await asyncio.sleep(0.01)
        home = self.network.homes["h1"]
        self.assertLessEqual(await self.granted_within(home, 400), 1)

    async def test_unlimited_upstream_costs_no_bytes(self):
        hold = await self._acquire("r1")
        self.client.report_first_token(hold, 5, limit(NO_LIMIT))
        self.client.release(hold, SUCCESS, limit(NO_LIMIT))
        kinds = (FirstToken, GrantRelease)
        news = [item for item in self.network.sent if isinstance(item, kinds)]
        self.assertEqual([item.signals for item in news], [None, None])

    async def test_next_home_is_told_of_the_limits_that_hosts_have_heard(self):
        """Guards against an upstream in need that is flooded when its home moves."""
        await self.answer("r1", 2.0)
        new_home = self._add_home("h2")
        new_home.start((ENTRY,))
        await asyncio.sleep(0.05)
        self.home = "h2"
        self.client.on_homes_changed()
        count = await self.granted_within(new_home, 2_000)
        self.assertLessEqual(count, ALLOWED_IN_2_S)
        self.assertGreater(count, 1)

    async def test_restarted_entry_host_leaves_the_limit_at_the_home(self):
        """Guards against a limit that is lost with the only host that heard it."""
        await self.answer("r1", 2.0)
        home = self.network.homes["h1"]
        home.forget_host(ENTRY)
        self.assertLessEqual(await self.granted_within(home, 400), 1)

    async def test_lost_message_is_made_up_for_by_the_next_answer(self):
        self.network.should_drop = lambda message: isinstance(message, GrantRelease)
        await self.answer("r1", 2.0)
        self.network.should_drop = lambda message: False
        await self.answer("r2", 2.0, by_first_token=True)
        home = self.network.homes["h1"]
        self.assertLessEqual(await self.granted_within(home, 400), 1)
