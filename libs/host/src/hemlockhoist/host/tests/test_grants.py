import asyncio

from hemlockhoist.base import Clock, InvariantLog, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.base.traces import Traces
from hemlockhoist.decisions import Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.limits import UsageLog
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.declarations import Pool, PoolKind, Tier
from hemlockhoist.host.grants import GrantClient
from hemlockhoist.host.home import PoolHome
from hemlockhoist.host.identity import HostIdentity
from hemlockhoist.messages import (
    GrantCancel,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrantIds,
    HeldGrants,
    HomeClosed,
    HomeTakeover,
    RequestBrief,
)

POOL = Pool(
    name="chat",
    kind=PoolKind.MODEL,
    stable_version="v1",
    max_in_flight_per_upstream=1,
)
TIERS = (Tier(name="t", rank=0, deadline_ms=60_000, first_token_target_ms=60_000),)
ENTRY = "entry"
UPSTREAM = Upstream(upstream_id="u", pool="chat", version="v1", address="127.0.0.1:1")


class Wire:
    """Carries messages between one entry host and homes, with faults."""

    def __init__(self):
        self.homes = {}
        self.client = None
        self.drop = lambda message: False
        self.delay_ms = 0
        self.sent = []

    def from_entry(self, host, message):
        self.sent.append(message)
        if not self.drop(message) and host in self.homes:
            asyncio.get_running_loop().call_soon(self._to_home, host, message)

    def from_home(self, host, message):
        if self.drop(message) or isinstance(message, HomeClosed):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_ms / 1000, self._to_entry, message, self.delay_ms)

    def _to_home(self, host, message):
        home = self.homes.get(host)
        if home is None:
            return
        if isinstance(message, GrantRequest):
            home.on_request(ENTRY, message, 0)
        elif isinstance(message, GrantRelease):
            home.on_release(message)
        elif isinstance(message, GrantCancel):
            home.on_cancel(message)
        elif isinstance(message, HeldGrants):
            home.on_held_grants(ENTRY, message)
        elif isinstance(message, HeldGrantIds):
            home.on_held_ids(ENTRY, message)

    def _to_entry(self, message, late_ms):
        if isinstance(message, HomeTakeover):
            report = self.client.report_held(
                message.pool, message.home_incarnation, message.home_incarnation
            )
            self.from_entry(message.home_incarnation, report)
            return
        self.client.on_message(message, late_ms)


class GrantHarness(PausedTestCase):
    async def asyncSetUp(self):
        self.clock = Clock(asyncio.get_running_loop())
        self.wire = Wire()
        self.silent = []
        self.home = "h1"
        self.client = GrantClient(
            self.clock, self.wire.from_entry, lambda pool: self.home, self.silent.append
        )
        self.wire.client = self.client
        self._add_home("h1")

    def _add_home(self, name):
        scheduler = PoolScheduler.from_config(
            POOL, TIERS, name, invariants=InvariantLog(fatal=True)
        )
        identity = HostIdentity(
            name=name, incarnation=name, address="", host_id=name, failure_domain=""
        )
        home = PoolHome(
            "chat",
            scheduler,
            identity,
            self.clock,
            self.wire.from_home,
            (POOL, TIERS),
            Traces.from_config(None, 0, name),
        )
        home.set_upstreams([UPSTREAM])
        self.wire.homes[name] = home
        return home

    def _brief(self, request_id):
        def brief(now_ms):
            return RequestBrief(
                request_id=request_id,
                route="r",
                customer="c",
                tier_rank=0,
                deadline_in_ms=60_000,
                first_token_in_ms=60_000,
            )

        return brief

    async def _acquire(self, request_id, wait_ms=60_000):
        deadline_ms = self.clock.now_ms() + wait_ms
        return await self.client.acquire("chat", self._brief(request_id), deadline_ms)

    async def _tick_for(self, home, duration_ms):
        for _ in range(duration_ms // 50):
            home.tick()
            await asyncio.sleep(0.05)


class CountedElsewhereTests(GrantHarness):
    async def test_each_home_that_asked_is_told_of_the_end(self):
        """All places are taken for seconds as homes change, with engines idle.

        A home asked what is held and counted it. To the entry host another one was
        home, which alone heard of the end.
        """
        hold = await self._acquire("r1")
        heir = self._add_home("h2")
        heir.start((ENTRY,))
        await asyncio.sleep(0.1)
        self.assertEqual(heir.counts(), (0, 1))
        self.client.release(hold, Outcome(kind=OutcomeKind.SUCCESS, total_ms=5))
        await asyncio.sleep(0.1)
        self.assertEqual(heir.counts(), (0, 0))
        self.assertEqual(self.wire.homes["h1"].counts(), (0, 0))


class FormerHomeTests(PausedTestCase):
    def home(self, name, sent):
        scheduler = PoolScheduler.from_config(POOL, TIERS, name)
        identity = HostIdentity(
            name=name, incarnation=name, address="", host_id=name, failure_domain=""
        )
        return PoolHome(
            "chat",
            scheduler,
            identity,
            Clock(asyncio.get_running_loop()),
            lambda host, message: sent.append((host, message)),
            (POOL, TIERS),
            Traces.from_config(None, 0, name),
        )

    async def test_home_asks_again_when_the_former_one_has_ended(self):
        """A customer is served 2 % more than its bound as two hosts are home at once.

        Each took itself for it for a second. What the former gave out after the next
        one had asked was counted by neither.
        """
        sent = []
        heir = self.home("h2", sent)
        heir.start((ENTRY, "other"))
        heir.forget_host("other")
        report = HeldGrants(pool="chat", home_incarnation="h2", grants=())
        heir.on_held_grants(ENTRY, report)
        self.assertFalse(heir.recovering)
        self.home("h1", sent).close("h2")
        self.assertEqual(sent[-1], ("h2", HomeClosed(pool="chat")))
        sent.clear()
        heir.on_predecessor_closed()
        self.assertEqual([host for host, _ in sent], [ENTRY])
        self.assertTrue(heir.recovering)
        heir.on_held_grants(ENTRY, report)
        self.assertFalse(heir.recovering)


class SpentReportTests(PausedTestCase):
    async def test_home_that_restarted_is_told_what_it_had_granted(self):
        """A customer is served more than its allowance after its home was killed.

        The home's process starts again at its address, and is home again. The entry
        hosts took it for the one that had counted their requests itself, and left them
        out of their answer.
        """
        clock = Clock(asyncio.get_running_loop())
        sent = []
        client = GrantClient(
            clock,
            lambda host, message: sent.append(message),
            lambda pool: "10.0.0.1:7400",
            lambda host: None,
            usage_log=UsageLog(8_000),
        )

        def brief(now_ms):
            return RequestBrief(
                request_id="r1",
                route="r",
                customer="port",
                tier_rank=0,
                units=500,
                deadline_in_ms=9_000,
                first_token_in_ms=9_000,
            )

        asked = asyncio.create_task(client.acquire("chat", brief, clock.now_ms() + 900))
        await asyncio.sleep(0)
        client.on_message(
            GrantReply(
                pool="chat",
                request_id="r1",
                grant_id="run1:chat:1",
                upstream_id="u",
                address="127.0.0.1:1",
                version="v1",
                expires_in_ms=2_000,
            ),
            0,
        )
        await asked
        self.assertEqual(client.report_held("chat", "run1", "h1").usage, ())
        ((customer, parts),) = client.report_held("chat", "run2", "h1").usage
        self.assertEqual((customer, sum(units for _, units in parts)), ("port", 500))


class GrantTests(GrantHarness):
    async def test_a_lost_reply_gives_the_same_grant_again(self):
        """The home's reply is lost; the repeated question gets the same grant."""
        lost = []

        def drop_first(message):
            if isinstance(message, GrantReply) and not lost:
                lost.append(message)
                return True
            return False

        self.wire.drop = drop_first
        hold = await self._acquire("r1")
        self.assertEqual(hold.grant_id, lost[0].grant_id)

    async def test_grant_that_comes_after_its_end_is_not_used(self):
        """
        The network holds replies back for 3 s, longer than a grant lasts. The entry
        host must not dispatch under one: the home has counted the place as free, and
        a version may have been halted since. Its places are not lost either.
        """
        self.wire.delay_ms = 3_000
        with self.assertRaises(Refused) as caught:
            await self._acquire("r1", wait_ms=8_000)
        self.assertIs(caught.exception.code, ResultCode.DEADLINE_PASSED)
        self.wire.delay_ms = 0
        await asyncio.sleep(10)
        self.assertEqual((await self._acquire("r2")).brief.request_id, "r2")

    async def test_queued_request_asks_again_as_fast_as_messages_travel(self):
        """
        A request waits in the home's queue for 10 s. Each "queued" was answered with
        the same question at once: a message storm between the two hosts, at 100 % of
        a core on each, for as long as anything is queued anywhere.
        """
        await self._acquire("r1")
        task = asyncio.create_task(self._acquire("r2"))
        await asyncio.sleep(10)
        questions = [m for m in self.wire.sent if isinstance(m, GrantRequest)]
        self.assertLess(len(questions), 20)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_request_waits_at_the_new_home_when_the_home_moves(self):
        """
        A request is queued at a home, and the home moves. It is asked for at the new
        home at once, not when its next question is due.
        """
        first = await self._acquire("r1")
        task = asyncio.create_task(self._acquire("r2"))
        await asyncio.sleep(0.1)
        new = self._add_home("h2")
        old = self.wire.homes.pop("h1")
        self.home = "h2"
        new.start([ENTRY])
        old.close("h2")
        self.client.on_homes_changed()
        await asyncio.sleep(0.05)
        self.assertEqual(new.counts(), (1, 1))
        self.client.release(first, Outcome(kind=OutcomeKind.SUCCESS))
        self.assertEqual((await task).brief.request_id, "r2")

    async def test_new_home_grants_nothing_over_the_limit(self):
        """
        The home dies while a stream holds the only place. The next home learns of it
        from the entry host, and a second request waits until the first has ended.
        """
        first = await self._acquire("r1")
        new = self._add_home("h2")
        del self.wire.homes["h1"]
        self.home = "h2"
        new.start([ENTRY])
        task = asyncio.create_task(self._acquire("r2"))
        await self._tick_for(new, 5_000)
        self.assertFalse(task.done())
        self.client.release(first, Outcome(kind=OutcomeKind.SUCCESS))
        await asyncio.wait_for(task, 1)

    async def test_silent_home_is_reported_and_the_caller_answered(self):
        """
        The home is frozen. The entry host reports it after two questions without an
        answer, and no home answering at all ends in a refusal that says "not run".
        """
        self.wire.homes.clear()
        with self.assertRaises(Refused) as caught:
            await self._acquire("r1")
        self.assertIs(caught.exception.code, ResultCode.HOME_UNREACHABLE)
        self.assertEqual(self.silent[0], "h1")

    async def test_place_of_a_grant_that_nobody_holds_is_freed(self):
        """
        A caller goes away just as its grant is under way, and the message that gives
        the place back is lost. The upstream's only place would stay taken until the
        request's deadline, a minute on; the list of held grants frees it.
        """
        home = self.wire.homes["h1"]
        self.wire.drop = lambda message: isinstance(
            message, GrantReply | GrantCancel | GrantRelease
        )
        with self.assertRaises(Refused):
            await self._acquire("r1", wait_ms=1_000)
        self.wire.drop = lambda message: False
        self.assertEqual(home.counts(), (0, 1))
        await asyncio.sleep(8)
        self.client.send_held_ids(["chat"])
        await asyncio.sleep(0.1)
        self.assertEqual(home.counts(), (0, 0))

    async def test_duplicated_and_crossed_questions_give_one_grant(self):
        """Each message arrives twice: one place is taken, one grant is held."""
        original = self.wire.from_entry

        def twice(host, message):
            original(host, message)
            original(host, message)

        self.client._send = twice
        await self._acquire("r1")
        await asyncio.sleep(1)
        self.assertEqual(len(self.client.held()), 1)
        self.assertEqual(self.wire.homes["h1"].counts(), (0, 1))


class AloneTests(GrantHarness):
    """Callers of one host wait while the home of all pools is frozen.

    The home answered a suspicion a moment ago, so the fleet keeps it; then it was
    frozen. Nobody else may be asked. Before, each request waited five seconds and was
    refused; now the entry host decides by what it knows itself.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = GrantClient(
            self.clock,
            self.wire.from_entry,
            lambda pool: self.home,
            self.silent.append,
            own_id=lambda: ENTRY,
        )
        self.wire.client = self.client
        self._add_home(ENTRY)
        self.wire.drop = self._is_for_the_frozen_home
        self.frozen = True

    def _is_for_the_frozen_home(self, message):
        return self.frozen and not getattr(message, "is_alone", True)

    async def test_entry_host_decides_alone_within_half_a_second(self):
        began_ms = self.clock.now_ms()
        hold = await self.client.acquire(
            "chat", self._brief("r1"), self.clock.now_ms() + 60_000
        )
        self.assertTrue(hold.is_alone)
        self.assertLess(self.clock.now_ms() - began_ms, 500)

    async def test_release_reaches_its_own_decision_and_the_home_that_came_back(self):
        """Either may count the grant: a new home takes over what the hosts hold."""
        hold = await self.client.acquire(
            "chat", self._brief("r1"), self.clock.now_ms() + 60_000
        )
        self.frozen = False
        self.wire.sent.clear()
        self.client.release(hold, Outcome(kind=OutcomeKind.SUCCESS, total_ms=5))
        released = [m for m in self.wire.sent if isinstance(m, GrantRelease)]
        self.assertEqual({m.is_alone for m in released}, {False, True})

    async def test_home_that_answers_again_is_asked_again(self):
        await self.client.acquire(
            "chat", self._brief("r1"), self.clock.now_ms() + 9_000
        )
        self.frozen = False
        hold = await self.client.acquire(
            "chat", self._brief("r2"), self.clock.now_ms() + 9_000
        )
        self.assertFalse(hold.is_alone)


class TwoHomesTests(GrantHarness):
    async def test_grant_goes_back_to_the_home_that_gave_it(self):
        """After a restart of all hosts a quarter of all requests is refused.

        Two hosts take themselves for the home for a second. A grant of the first is
        given back to the second, which knows nothing of it, and its place at the first
        stays taken until seventeen seconds later.
        """
        hold = await self.client.acquire(
            "chat", self._brief("r1"), self.clock.now_ms() + 60_000
        )
        self._add_home("h2")
        self.home = "h2"
        self.client.release(hold, Outcome(kind=OutcomeKind.SUCCESS, total_ms=5))
        await asyncio.sleep(0.1)
        self.assertEqual(self.wire.homes["h1"].counts(), (0, 0))

    async def test_home_asks_a_host_that_it_learns_of_later(self):
        """A home that has just started knows half of the fleet.

        The other half's requests run at the engines meanwhile, and were not counted.
        """
        await self.client.acquire(
            "chat", self._brief("r1"), self.clock.now_ms() + 60_000
        )
        new = self._add_home("h2")
        new.start(())
        self.home = "h2"
        new.on_host_joined(ENTRY)
        await asyncio.sleep(0.1)
        self.assertEqual(new.counts(), (0, 1))
