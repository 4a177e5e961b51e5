import asyncio

from hemlockhoist.decisions import Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.entry import BackOffs
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker
from hemlockhoist.host.tests.test_grants import ENTRY, GrantHarness
from hemlockhoist.messages import UpstreamSignals

TURNED_AWAY = Outcome(kind=OutcomeKind.FAILED, total_ms=3)
REST_MS = 3_000


class BackOffTests(GrantHarness):
    """One upstream, which turns a request away and wants rest from its host."""

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
        self.back_offs = BackOffs()
        await super().asyncSetUp()

    def _new_tracker(self):
        return DeclaredSlotsTracker()

    async def turn_away(self):
        hold = await self._acquire("r1")
        self.back_offs.record("chat", "u", REST_MS, self.clock.now_ms())
        signals = UpstreamSignals(back_off_ms=REST_MS)
        self.client.release(hold, TURNED_AWAY, signals)
        await asyncio.sleep(0.01)

    async def granted_after_ms(self, home):
        """Return after how long the next request is granted."""
        started_ms = self.clock.now_ms()
        waiting = asyncio.create_task(self._acquire("r2"))
        while not waiting.done():
            await self._tick_for(home, 50)
        return self.clock.now_ms() - started_ms

    async def test_home_grants_the_upstream_once_its_rest_is_over(self):
        await self.turn_away()
        waited_ms = await self.granted_after_ms(self.network.homes["h1"])
        self.assertGreaterEqual(waited_ms, REST_MS - 50)
        self.assertLessEqual(waited_ms, REST_MS + 100)

    async def test_home_is_told_of_an_upstream_that_leaves(self):
        """Guards against a home that goes on granting it to hosts that don't know."""
        heard = []
        home = self.network.homes["h1"]
        home._signals._on_leaving = lambda *announced: heard.append(announced)
        hold = await self._acquire("r1")
        signals = UpstreamSignals(leaving_started_unix_ms=7)
        self.client.report_first_token(hold, 5, signals)
        self.client.release(hold, TURNED_AWAY)
        await asyncio.sleep(0.01)
        self.assertEqual(heard, [("u", 7)])

    async def test_next_home_is_told(self):
        """Guards against an upstream that is asked again when its home moves."""
        await self.turn_away()
        new_home = self._add_home("h2")
        new_home.start((ENTRY,))
        await asyncio.sleep(0.05)
        self.home = "h2"
        waited_ms = await self.granted_after_ms(new_home)
        self.assertGreaterEqual(waited_ms, REST_MS - 200)

    async def test_restarted_host_is_not_bound(self):
        await self.turn_away()
        home = self.network.homes["h1"]
        home.forget_host(ENTRY)
        self.assertLessEqual(await self.granted_after_ms(home), 100)
