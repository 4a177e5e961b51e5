import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published.keep_alive import KeepAlive
from hemlockhoist.standins.published.replica import Behaviour, Replica
from hemlockhoist.standins.published.site import Site, route

ROUTES = [
    route("read", "reservas"),
    route("book", "reservas", kind="non_idempotent"),
    route("chat", "dossiers", kind="streaming", resumable=True),
]


class KeptConnectionTests(PausedSocketTestCase):
    """A host that keeps connections, and two replicas of a plain service."""

    async def asyncSetUp(self):
        self.replicas = [Replica("s1"), Replica("s2")]
        for replica in self.replicas:
            replica.keep_alive = KeepAlive(5)
        engine = self.engine = Replica("e1", events=4)
        engine.keep_alive = KeepAlive(5)
        self.site = Site(
            {"reservas": self.replicas, "dossiers": [engine]},
            ROUTES,
            settings={"kept_connections": 10, "flap_damping_max_ms": 30_000},
        )
        await self.site.__aenter__()
        self.addAsyncCleanup(self.site.__aexit__, None, None, None)

    async def send(self, path="/read/1", method="GET", **headers):
        """Send a request; return the status and the body of the response."""
        body = b"x" if method == "POST" else None
        async with self.site.call(path, 0, method, body, **headers) as response:
            return response.status, await response.read()

    def connection_count(self):
        return sum(replica.connection_count for replica in self.replicas)

    def received(self):
        return sum(len(replica.ran) for replica in self.replicas)

    def lost(self, cause):
        totals = self.site.hosts[0].context.metrics.totals
        return totals[f"connections.lost.{cause}"]

    async def test_short_requests_share_connections(self):
        for number in range(20):
            status, body = await self.send(f"/read/{number}", Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(f"/read/{number}".encode()))
        # One to each replica at most: the home prefers those that are connected.
        self.assertLessEqual(self.connection_count(), 2)

    async def test_streams_share_connections(self):
        for number in range(5):
            status, body = await self.send("/chat/1", Attempt_Id=f"a{number}")
            self.assertEqual((status, body.count(b"data:")), (200, 4))
        self.assertEqual(self.engine.connection_count, 1)

    async def test_request_that_may_not_be_repeated_makes_a_connection(self):
        """Guards against a booking whose outcome is unknown for an idle connection."""
        for number in range(4):
            status, _ = await self.send("/book/1", "POST", Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
        self.assertEqual(self.connection_count(), 4)

    async def test_connection_closed_while_idle_costs_no_request(self):
        for replica in self.replicas:
            replica.keep_alive.closes_after_s = 0.1
        for number in range(3):
            status, _ = await self.send(Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
            await asyncio.sleep(0.2)
        self.assertEqual(self.connection_count(), 3)
        self.assertEqual((self.lost("closed"), self.lost("request")), (3, 0))

    async def test_connection_closed_as_a_request_arrives_costs_one_attempt(self):
        """Guards against a caller that gets the end of another request's connection."""
        await self.send(Attempt_Id="a1")
        for replica in self.replicas:
            replica.keep_alive.closes_on_request = True
        status, _ = await self.send(Attempt_Id="a2")
        self.assertEqual((status, self.lost("request")), (200, 1))
        self.assertEqual(self.received(), 2)

    async def test_late_answers_reach_no_other_request(self):
        """Guards against an answer that is taken for that of the next request."""
        for replica in self.replicas:
            replica.keep_alive.late_answer_after_s = 0.05
        for number in range(6):
            status, body = await self.send(f"/read/{number}", Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(f"/read/{number}".encode()), body)
            await asyncio.sleep(0.1 * (number % 2))
        self.assertGreater(self.lost("bytes"), 0)

    async def test_answer_before_the_own_one_is_not_used(self):
        await self.send(Attempt_Id="a1")
        for replica in self.replicas:
            replica.keep_alive.answers_late = True
        status, body = await self.send("/read/2", Attempt_Id="a2")
        self.assertEqual(status, 200)
        self.assertNotIn(b"later", body)

    async def test_extra_answer_at_once_is_not_used(self):
        for replica in self.replicas:
            replica.behaviour = Behaviour.EXTRA_RESPONSE
        for number in range(4):
            status, body = await self.send(f"/read/{number}", Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(f"/read/{number}".encode()), body)
        self.assertEqual(self.connection_count(), 4)

    async def test_replica_that_goes_dark_while_idle_costs_one_attempt(self):
        """Guards against requests that wait on a dead connection to their deadlines."""
        await self.send(Attempt_Id="a1")
        (used,) = (item for item in self.replicas if item.connection_count)
        used.go_dark()
        status, _ = await self.send(Attempt_Id="a2")
        self.assertEqual(status, 200)

    async def test_replica_that_leaves_loses_its_connections(self):
        await self.send(Attempt_Id="a1")
        (used,) = (item for item in self.replicas if item.connection_count)
        await self.site.register_replica("reservas", used, state="draining")
        await asyncio.sleep(0.5)
        paths = self.site.hosts[0].context.upstreams
        self.assertEqual(paths.connected("reservas"), ())

    async def test_replicas_without_keep_alive_get_a_connection_each_time(self):
        for replica in self.replicas:
            replica.keep_alive = None
        for number in range(3):
            status, _ = await self.send(Attempt_Id=f"a{number}")
            self.assertEqual(status, 200)
        self.assertEqual(self.connection_count(), 3)


class SwitchedOffTests(PausedSocketTestCase):
    async def test_nothing_is_kept_by_default(self):
        """Guards against a change of behaviour where nothing is set."""
        replica = Replica("s1")
        replica.keep_alive = KeepAlive(5)
        async with Site({"reservas": [replica]}, ROUTES[:1]) as site:
            for number in range(3):
                async with site.call("/read/1", Attempt_Id=f"a{number}") as response:
                    await response.read()
        self.assertEqual(replica.connection_count, 3)
        self.assertEqual(replica.ran[0].headers["connection"], "close")
