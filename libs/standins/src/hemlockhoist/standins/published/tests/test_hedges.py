"""End-to-end tests of second attempts beside slow first ones."""

import asyncio
import contextlib

from hemlockhoist.base.metrics_table import HEDGES_ENDED, HEDGES_SENT
from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica, Site, route
from hemlockhoist.standins.published.keep_alive import KeepAlive

SERVICE = "reservas"
# Responses after which the quantile of a route is known.
RESPONSES = 60
USUAL_MS = 30
SLOW_MS = 1_600
# Far more than a hedged call takes, and less than a slow replica, also on a busy machine.
QUICK_S = 1.4
CLOSE_LIMIT_S = 0.5
EVENTS = 3
FOREIGN = b"x" * 20
HEDGING = {"hedge_permille": 200}
LOOKUP = route("check", SERVICE)
BOOKING = route("book", SERVICE, "non_idempotent", max_attempts=1)
REPORT = route("report", SERVICE, "streaming", resumable=True)


class HedgeTests(PausedSocketTestCase):
    # Idle connections that the hosts keep, and that the replicas permit.
    kept_connections = 0

    @contextlib.asynccontextmanager
    async def site(
        self, *routes, events=0, settings=HEDGING, count=2, usual_ms=USUAL_MS
    ):
        """Run a site whose hosts know the usual times, with replicas of 5 ms."""
        self.replicas = [Replica(f"i-{n}", events) for n in range(count)]
        for replica in self.replicas:
            replica.delay_ms = 5
            if self.kept_connections:
                replica.keep_alive = KeepAlive(5)
        settings = {**settings, "kept_connections": self.kept_connections}
        async with Site({SERVICE: self.replicas}, routes, settings=settings) as site:
            self.policy = site.hosts[0].context.hedging
            now_ms = site.hosts[0].context.clock.now_ms()
            for item in routes:
                await self.call(site, item["name"], "w")
                for _ in range(RESPONSES):
                    self.policy.count_request()
                    self.policy.observe(item["name"], item["service"], usual_ms, now_ms)
            await self.check_nothing_is_held(site)
            for replica in self.replicas:
                replica.ran.clear()
            yield site
            await self.check_nothing_is_held(site)

    async def check_nothing_is_held(self, site):
        for home in site.hosts[0].context.homes.active().values():
            await wait_until(lambda home=home: home.counts() == (0, 0))
        self.assertEqual(site.hosts[0].context.grants.held(), ())

    async def call(self, site, name, attempt_id="a"):
        """Send a request; return its status and body."""
        path = f"/{name}/{attempt_id}"
        async with site.call(path, Attempt_Id=attempt_id) as response:
            return response.status, await response.read()

    async def start_slow(self, site, name, attempt_id="slow", slow_ms=SLOW_MS):
        """Send a request that its replica runs slowly; return task and replica.

        The other replica is quick once it has been sent the first request.
        """
        for replica in self.replicas:
            replica.delay_ms = slow_ms
        task = asyncio.create_task(self.call(site, name, attempt_id))
        await wait_until(lambda: any(item.ran for item in self.replicas))
        (first,) = (item for item in self.replicas if item.ran)
        for replica in self.replicas:
            if replica is not first:
                replica.delay_ms = 5
        return task, first

    def others(self, first):
        return [item for item in self.replicas if item is not first]

    def count(self, site, metric, label):
        return site.hosts[0].context.metrics.totals[f"{metric.name}.{label}"]

    async def test_slow_call_is_answered_by_another_replica(self):
        """Guards against callers that wait for one slow replica beside quick ones."""
        async with self.site(LOOKUP) as site:
            begun_s = now_s()
            task, first = await self.start_slow(site, "check")
            status, body = await task
            self.assertLess(now_s() - begun_s, QUICK_S)
            (other,) = self.others(first)
            expected = f"answer of {other.replica_id} to /check/slow".encode()
            self.assertEqual((status, body), (200, expected))
            await self.check_closed(first)
            self.assertEqual(self.count(site, HEDGES_SENT, SERVICE), 1)
            self.assertEqual(self.count(site, HEDGES_ENDED, "won"), 1)

    async def check_closed(self, replica):
        """Check that the connection of a loser is closed in time."""
        begun_s = now_s()
        await wait_until(lambda: replica.ran[0].closed)
        self.assertLess(now_s() - begun_s, CLOSE_LIMIT_S)

    async def test_slow_stream_is_answered_whole_by_one_replica(self):
        """Guards against a stream that is mixed from two replicas' events."""
        async with self.site(REPORT, events=EVENTS) as site:
            task, first = await self.start_slow(site, "report")
            begun_s = now_s()
            self.assertEqual(await task, (200, whole_stream()))
            self.assertLess(now_s() - begun_s, QUICK_S)
            await self.check_closed(first)
            (other,) = self.others(first)
            self.assertEqual([len(first.ran), len(other.ran)], [1, 1])

    async def test_stream_that_has_begun_is_not_hedged(self):
        """Guards against a second run of a stream that the caller already reads."""
        # Long enough for the first event, also on a busy machine.
        async with self.site(REPORT, events=EVENTS, usual_ms=400) as site:
            for replica in self.replicas:
                replica.event_ms = 500
            self.assertEqual(await self.call(site, "report"), (200, whole_stream()))
            self.assertEqual(sum(len(item.ran) for item in self.replicas), 1)

    async def test_first_attempt_that_answers_first_wins(self):
        """Guards against a hedge that goes on after its request has been answered."""
        async with self.site(LOOKUP) as site:
            task, first = await self.start_slow(site, "check", slow_ms=300)
            (other,) = self.others(first)
            other.delay_ms = SLOW_MS
            status, body = await task
            self.assertEqual(status, 200)
            self.assertIn(first.replica_id.encode(), body)
            self.assertEqual(len(other.ran), 1)
            await self.check_closed(other)
            self.assertEqual(self.count(site, HEDGES_ENDED, "lost"), 1)

    async def test_many_concurrent_calls_get_their_own_whole_responses(self):
        """Guards against responses that are mixed or swapped in a race."""
        async with self.site(LOOKUP, count=4) as site:
            for number, replica in enumerate(self.replicas):
                replica.delay_ms = 15 * (1 + number)
            for turn in range(10):
                ids = [f"t{turn}n{number}" for number in range(8)]
                calls = [self.call(site, "check", attempt_id) for attempt_id in ids]
                for attempt_id, found in zip(
                    ids, await asyncio.gather(*calls), strict=True
                ):
                    self.assertIn(found[1], self.whole_answers(f"/check/{attempt_id}"))
            self.assertGreater(self.count(site, HEDGES_SENT, SERVICE), 0)

    def whole_answers(self, path):
        names = (item.replica_id for item in self.replicas)
        return [f"answer of {name} to {path}".encode() for name in names]

    async def test_bookings_are_never_hedged(self):
        """Guards against a hall that is booked twice."""
        async with self.site(LOOKUP, BOOKING) as site:
            task, _ = await self.start_slow(site, "book", slow_ms=500)
            self.assertEqual((await task)[0], 200)
            self.assertEqual(sum(len(item.ran) for item in self.replicas), 1)

    async def test_nothing_is_hedged_unless_it_is_allowed(self):
        """Guards against extra work that operators did not ask for."""
        single = {**LOOKUP, "max_attempts": 1}
        excluded = {**HEDGING, "hedge_excluded_routes": ("check",)}
        for declared, settings in ((single, HEDGING), (LOOKUP, {}), (LOOKUP, excluded)):
            with self.subTest(declared=declared, settings=settings):
                async with self.site(declared, settings=settings) as site:
                    task, _ = await self.start_slow(site, "check", slow_ms=400)
                    self.assertEqual((await task)[0], 200)
                    self.assertEqual(sum(len(item.ran) for item in self.replicas), 1)

    async def test_caller_that_leaves_cancels_both_attempts(self):
        """Guards against replicas that work on for nobody."""
        async with self.site(LOOKUP) as site:
            task, first = await self.start_slow(site, "check")
            (other,) = self.others(first)
            other.delay_ms = SLOW_MS
            await wait_until(lambda: other.ran)
            task.cancel()
            for replica in self.replicas:
                await self.check_closed(replica)

    async def test_hedge_goes_on_when_the_first_attempt_fails(self):
        """Guards against a third run of a request whose second one is in progress."""
        async with self.site(LOOKUP) as site:
            task, first = await self.start_slow(site, "check", slow_ms=300)
            first.behaviour = Behaviour.RESETS
            (other,) = self.others(first)
            other.delay_ms = 600
            status, body = await task
            self.assertEqual(status, 200)
            self.assertIn(other.replica_id.encode(), body)
            self.assertEqual([len(first.ran), len(other.ran)], [1, 1])

    async def test_first_attempt_goes_on_when_the_hedge_fails(self):
        """Guards against a call that fails because its hedge did."""
        for behaviour in (Behaviour.RESETS, Behaviour.FAILS, Behaviour.SHEDS):
            with self.subTest(behaviour):
                async with self.site(LOOKUP) as site:
                    task, first = await self.start_slow(site, "check", slow_ms=500)
                    (other,) = self.others(first)
                    other.behaviour = behaviour
                    status, body = await task
                    self.assertEqual(status, 200)
                    self.assertIn(first.replica_id.encode(), body)
                    self.assertEqual(len(other.ran) + len(other.rejected), 1)

    async def test_second_answer_of_a_hedge_is_not_served(self):
        """Guards against two answers as one because the hedge is the first to end."""
        for at_byte in (0, 5):
            with self.subTest(at_byte=at_byte):
                async with self.site(LOOKUP) as site:
                    task, first = await self.start_slow(site, "check", slow_ms=500)
                    (other,) = self.others(first)
                    send_two_answers(other, at_byte)
                    expected = f"answer of {first.replica_id} to /check/slow".encode()
                    self.assertEqual(await task, (200, expected))
                    self.assertEqual(len(other.ran), 1)

    async def test_second_answer_of_a_hedged_stream_is_not_served(self):
        """Guards against a hedge that wins with the begin of a second answer."""
        async with self.site(REPORT, events=EVENTS) as site:
            task, first = await self.start_slow(site, "report", slow_ms=500)
            (other,) = self.others(first)
            send_two_answers(other, 0)
            self.assertEqual(await task, (200, whole_stream()))
            self.assertEqual([len(first.ran), len(other.ran)], [1, 1])

    async def test_both_attempts_fail_as_without_a_hedge(self):
        """Guards against a failed answer that is lost, or a third attempt."""
        async with self.site(LOOKUP) as site:
            task, first = await self.start_slow(site, "check", slow_ms=300)
            for replica in self.replicas:
                replica.behaviour = Behaviour.FAILS
            status, body = await task
            self.assertEqual(status, 500)
            self.assertIn(body, self.whole_answers("/check/slow"))
            self.assertEqual(sum(len(item.ran) for item in self.replicas), 2)

    async def test_deadline_ends_both_attempts(self):
        """Guards against an upstream that is blamed for a hedge's short time."""
        async with self.site({**LOOKUP, "timeout_ms": 600}) as site:
            task, first = await self.start_slow(site, "check", slow_ms=SLOW_MS)
            for replica in self.others(first):
                replica.delay_ms = SLOW_MS
            self.assertGreaterEqual((await task)[0], 500)
            for replica in self.replicas:
                await self.check_closed(replica)
            pool = next(iter(site.hosts[0].context.homes.active().values()))
            tracker = pool.scheduler._upstreams.tracker
            now_ms = site.hosts[0].context.clock.now_ms()
            failures = [
                tracker.get(item.replica_id).failures.counts(now_ms)[0] > 0.5
                for item in (first, *self.others(first))
            ]
            self.assertEqual(failures, [True, False])


class HedgeOverKeptConnectionTests(HedgeTests):
    """The same, where requests and hedges use kept connections."""

    kept_connections = 10

    async def test_hedge_uses_a_kept_connection(self):
        """Guards against a loser's connection that is kept, or a hedge's new one."""
        # Requests with one attempt are not hedged, and may use kept connections.
        single = route("single", SERVICE, max_attempts=1)
        async with self.site(LOOKUP, single) as site:
            upstreams = site.hosts[0].context.upstreams
            for number in range(20):
                # More at a time than one replica has slots.
                ids = [f"{number}-{index}" for index in range(8)]
                calls = [self.call(site, "single", attempt_id) for attempt_id in ids]
                await asyncio.gather(*calls)
                if len(upstreams.connected(SERVICE)) == len(self.replicas):
                    break
            self.assertEqual(len(upstreams.connected(SERVICE)), len(self.replicas))
            for replica in self.replicas:
                self.assertTrue(replica.ran)
                replica.ran.clear()
            counts = [item.connection_count for item in self.replicas]
            task, first = await self.start_slow(site, "check")
            self.assertEqual((await task)[0], 200)
            found = [item.connection_count for item in self.replicas]
            self.assertEqual(found, counts)
            await self.check_closed(first)
            (other,) = self.others(first)
            names = upstreams.connected(SERVICE)
            self.assertEqual(names[:1], (other.replica_id,))


def send_two_answers(replica, at_byte):
    """Let a replica send a second answer within a body without a length."""

    async def respond(received, writer):
        head = replica._head(received, "200 OK", "Connection: close\r\n")
        writer.write(head + FOREIGN[:at_byte] + head + FOREIGN)
        await writer.drain()
        writer.close()

    replica._respond = respond


def whole_stream():
    events = (b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return b"".join(events)


def now_s():
    return asyncio.get_running_loop().time()


async def wait_until(condition):
    """Wait until a condition without arguments holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)
