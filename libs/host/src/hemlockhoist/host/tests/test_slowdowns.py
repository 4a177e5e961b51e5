import asyncio

from structlog.testing import capture_logs

from hemlockhoist.decisions import Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker
from hemlockhoist.host.tests.test_grants import GrantHarness
from hemlockhoist.messages import FirstToken, GrantRelease, UpstreamSignals

SUCCESS = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=5, total_ms=10)
KINDS = (FirstToken, GrantRelease)


def slowdown(percent, age_ms=0):
    return UpstreamSignals(slowdown_percent=percent, slowdown_age_ms=age_ms)


class SlowdownTests(GrantHarness):
    """Two upstreams, of which one reports that it is slow."""

    upstreams = tuple(
        Upstream(
            upstream_id=name,
            pool="chat",
            version="v1",
            address="127.0.0.1:1",
            slot_count=4,
        )
        for name in ("u", "v")
    )

    def _new_tracker(self):
        return DeclaredSlotsTracker()

    def tracked(self, name="u", home="h1"):
        scheduler = self.network.homes[home].scheduler
        return scheduler._upstreams.tracker.get(name)

    async def answer(self, request_id, signals, by_first_token=False):
        """Acquire a grant and end it; return the upstream."""
        hold = await self._acquire(request_id)
        if by_first_token:
            self.client.report_first_token(hold, 5, signals)
            signals = None
        self.client.release(hold, SUCCESS, signals)
        await asyncio.sleep(0.01)
        return hold.upstream_id

    async def test_home_learns_of_a_slowdown_from_every_kind_of_answer(self):
        """Guards against a report that is dropped as no news on its way."""
        for by_first_token in (False, True):
            with self.subTest(by_first_token), capture_logs() as lines:
                await super().asyncSetUp()
                name = await self.answer("r1", slowdown(250), by_first_token)
                self.assertEqual(self.tracked(name).slowdown, 2.5)
                events = [
                    line for line in lines if line["event"] == "slowdown_reported"
                ]
                self.assertEqual([line["percent"] for line in events], [250])

    async def test_recovery_is_sent_though_the_upstream_is_as_usual(self):
        name = await self.answer("r1", slowdown(250))
        signals = slowdown(100)
        hold = await self._acquire("r2")
        while hold.upstream_id != name:
            hold = await self._acquire(f"x{hold.grant_id}")
        self.client.release(hold, SUCCESS, signals)
        await asyncio.sleep(0.01)
        self.assertEqual(self.tracked(name).slowdown, 1.0)

    async def test_delayed_report_counts_less(self):
        """Guards against an old report that is taken for a new one."""
        name = await self.answer("r1", slowdown(250, age_ms=200))
        self.assertAlmostEqual(self.tracked(name).slowdown, 1.75, delta=0.05)

    async def test_upstream_without_reports_costs_no_bytes(self):
        name = await self.answer("r1", UpstreamSignals(), by_first_token=True)
        sent = [item for item in self.network.sent if isinstance(item, KINDS)]
        self.assertEqual([item.signals for item in sent], [None, None])
        self.assertEqual(self.tracked(name).slowdown, 1.0)

    async def test_new_home_knows_no_slowdowns(self):
        """Guards against a figure of another time that is handed on as present."""
        name = await self.answer("r1", slowdown(250))
        new_home = self._add_home("h2")
        new_home.start(("e1",))
        await asyncio.sleep(0.05)
        self.assertEqual(self.tracked(name, "h2").slowdown, 1.0)

    async def test_lost_message_leaves_the_older_report_which_decays(self):
        name = await self.answer("r1", slowdown(250))
        self.network.should_drop = lambda message: isinstance(message, GrantRelease)
        await self.answer("r2", slowdown(100))
        home = self.network.homes["h1"]
        await self._tick_for(home, 400)
        self.assertLess(self.tracked(name).slowdown, 1.5)
