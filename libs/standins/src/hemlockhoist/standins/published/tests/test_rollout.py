import asyncio
import itertools
import unittest

from hemlockhoist.standins.published import Behaviour, Replica, Site, route

LOOKUP = route("check-free", "reservas", timeout_ms=800)
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
OLD = ("old-1", "old-2")
NEW = ("new-1", "new-2")
CALLERS = 6
DURATION_S = 8
# Long enough for a machine that is busy with other tests.
WAIT_S = 40


class RolloutSite(Site):
    """A site with two versions of one service, and callers that ask all the time."""

    def __init__(self, hosts=2):
        super().__init__(
            {"reservas": [Replica(name) for name in (*OLD, *NEW)]},
            [LOOKUP, BOOKING],
            hosts=hosts,
        )
        self.answers = []
        self._numbers = itertools.count()

    async def register_replica(self, service, replica, **fields):
        """Enter a replica under the version that its name tells."""
        replica.delay_ms = 10
        version = "v2" if replica.replica_id in NEW else "v1"
        await super().register_replica(service, replica, version=version, **fields)

    def ran(self, names):
        """Return how many requests the replicas of those names ran."""
        replicas = self.replicas["reservas"]
        return sum(len(item.ran) for item in replicas if item.replica_id in names)

    async def order(self, duration_s=DURATION_S):
        """Order the move to the new version, as an operator does."""
        body = {"service": "reservas", "target": "v2", "duration_s": duration_s}
        await self.store.put("op", "rollout/reservas", body)

    def state(self):
        """Return what the operator is told, or None."""
        status = self.store.payload("status", "rollout/reservas")
        return status and status["state"]

    async def ask(self, path="/check-free/1", method="GET"):
        """Send one request."""
        number = next(self._numbers)
        host = number % len(self.hosts)
        async with self.call(path, host, method, Attempt_Id=f"a{number}") as answer:
            await answer.read()
            self.answers.append(answer.status)

    async def ask_until(self, state, limit_s=WAIT_S):
        """Let callers ask until the operator is told of a state."""
        over = asyncio.Event()

        async def ask_on():
            while not over.is_set():
                await self.ask()

        tasks = [asyncio.create_task(ask_on()) for _ in range(CALLERS)]
        try:
            async with asyncio.timeout(limit_s):
                while self.state() != state:
                    await asyncio.sleep(0.02)
        finally:
            over.set()
            await asyncio.gather(*tasks)


class OrderedMoveTests(unittest.IsolatedAsyncioTestCase):
    async def test_good_version_takes_over_in_time_and_the_old_one_is_idle(self):
        """Answers are lost as the old replicas stop at the end of a move.

        The operator stops them as soon as the order is told to be completed. A host
        still sends to them, or waits for an answer there.
        """
        async with RolloutSite() as site:
            await site.order()
            await site.ask_until("completed")
            before = site.ran(OLD)
            for _ in range(20):
                await site.ask()
        self.assertEqual(site.ran(OLD), before)
        self.assertEqual(set(site.answers), {200})

    async def test_bad_version_is_rolled_back_after_few_requests(self):
        """A version that fails every answer is halted, and the operator is told."""
        async with RolloutSite() as site:
            for replica in site.replicas["reservas"]:
                if replica.replica_id in NEW:
                    replica.behaviour = Behaviour.FAILS
            await site.order()
            await site.ask_until("rolled_back")
            before = site.ran(NEW)
            for _ in range(20):
                await site.ask()
        self.assertEqual(site.ran(NEW), before)
        self.assertLessEqual(before, 40)

    async def test_nothing_reaches_a_version_before_its_move_has_begun(self):
        """A bad version gets its full part of the requests.

        Its replicas and the order are there, and the store takes no write, so that
        the move can not begin; or the home has just changed.
        """
        async with RolloutSite() as site:
            site.store.faults.status = 503
            await asyncio.sleep(0.1)
            site.store.faults.heal()
            await site.order(duration_s=60)
            await asyncio.sleep(0.1)
            site.store.faults.status = 503
            for _ in range(10):
                await site.ask()
            new_early = site.ran(NEW)
        self.assertLessEqual(new_early, 2)

    async def test_version_without_an_order_serves(self):
        """Replicas replaced one by one by a newer release all take requests."""
        async with RolloutSite() as site:
            for replica in site.replicas["reservas"]:
                # Each place stays taken, so that the next request needs another one.
                replica.behaviour = Behaviour.HANGS
            await asyncio.gather(*(site.ask() for _ in range(16)))
        self.assertGreater(site.ran(NEW), 5)
        self.assertGreater(site.ran(OLD), 5)

    async def test_second_order_replaces_one_that_was_rolled_back(self):
        """The operator mends the version and orders it again; it must be tried."""
        async with RolloutSite() as site:
            new = [r for r in site.replicas["reservas"] if r.replica_id in NEW]
            for replica in new:
                replica.behaviour = Behaviour.FAILS
            await site.order()
            await site.ask_until("rolled_back")
            for replica in new:
                replica.behaviour = Behaviour.NORMAL
            await site.order()
            await site.ask_until("completed")
        self.assertEqual(site.state(), "completed")
