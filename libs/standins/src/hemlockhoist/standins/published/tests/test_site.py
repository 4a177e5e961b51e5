import asyncio
import collections
import contextlib
import unittest
import unittest.mock

import aiohttp
from aiohttp import web

from hemlockhoist.base import BadRequest, Refused, ResultCode
from hemlockhoist.decisions.entry import planned_stop
from hemlockhoist.entry import FleetBounds, admission, store_view, stream
from hemlockhoist.standins.published import (
    Behaviour,
    Replica,
    Site,
    SkippingClock,
    route,
)
from hemlockhoist.store import Reading, StoreRow


def services(*names):
    return {"reservas": [Replica(name) for name in names]}


def engines(*names, events=6):
    return {"asistente": [Replica(name, events=events) for name in names]}


LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
REPORT = route("conflict-report", "asistente", "streaming", resumable=True)
SUMMARY = route("access-summary", "asistente", "streaming", max_attempts=1)


class ForwardingTests(unittest.IsolatedAsyncioTestCase):
    async def test_lookup_is_forwarded_unchanged(self):
        replicas = services("s1")
        async with Site(replicas, [LOOKUP]) as site:
            path = "/check-free/7?day=mon&x=%2F"
            async with site.call(path, Tenant="other", Hold="c1", X_Note="n") as answer:
                body = await answer.text()
            self.assertEqual(answer.status, 200)
            self.assertEqual(body, f"answer of s1 to {path}")
            self.assertEqual(answer.headers["Response-Signature"], "receipt-of-s1")
            self.assertEqual(answer.headers["Attempt-Id"], "a1")
        seen = replicas["reservas"][0].ran[0]
        self.assertEqual(seen.target, path)
        self.assertEqual(seen.headers["expected-instance"], "s1")
        self.assertEqual(seen.headers["tenant"], "aulas")
        self.assertEqual(seen.headers["x-note"], "n")
        self.assertLessEqual(int(seen.headers["deadline-ms"]), 2_000)
        self.assertNotIn("authorization", seen.headers)
        self.assertNotIn("hold", seen.headers)

    async def test_stream_is_forwarded_event_by_event(self):
        replicas = engines("e1")
        replicas["asistente"][0].event_ms = 20
        async with (
            Site(replicas, [REPORT]) as site,
            site.call("/conflict-report/1", method="POST", body=b"x") as answer,
        ):
            first = await answer.content.readuntil(b"\n\n")
            rest = await answer.content.read()
        self.assertEqual(first, b"id: 1\ndata: piece 1\n\n")
        self.assertEqual(rest.count(b"data:"), 5)

    async def test_invalid_requests_are_refused(self):
        async with Site(services("s1"), [LOOKUP]) as site:
            async with site.call("/nowhere/1") as answer:
                self.assertEqual(answer.status, 404)
            async with site.call("/check-free/1", Authorization="Bearer no") as answer:
                self.assertEqual(answer.status, 401)
            async with site.call("/check-free/1", Deadline_Ms="soon") as answer:
                self.assertEqual(answer.status, 400)

    async def test_route_change_reaches_all_hosts(self):
        replicas = services("s1")
        async with Site(replicas, [LOOKUP], hosts=3) as site:
            await site.declare([LOOKUP, route("new", "reservas", anonymous=True)])
            await asyncio.sleep(0.2)
            for host in range(3):
                async with site.call("/new/1", host, Authorization=None) as answer:
                    self.assertEqual(answer.status, 200)

    async def test_hosts_resolve_to_all_hosts(self):
        async with Site(services("s1"), [LOOKUP], hosts=3) as site:
            address = site.hosts[0].status.addresses[0]
            url = f"http://{address}/v1/resolve?name=halls.example&region=r&zone=a"
            async with site.session.get(url) as answer:
                resolved = await answer.json()
            wanted = {host.settings.caller_address for host in site.hosts}
            self.assertEqual(set(resolved["addresses"]), wanted)
            async with site.session.get(f"http://{address}/v1/readyz") as answer:
                self.assertEqual(answer.status, 200)


class BrokenAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def send(self, route_, behaviour, path, others=(), **call):
        replicas = {"reservas": [Replica("bad"), *others]}
        replicas["reservas"][0].behaviour = behaviour
        async with Site(replicas, [route_]) as site, site.call(path, **call) as answer:
            body = await answer.read()
        return answer.status, body, replicas["reservas"]

    async def test_booking_that_may_have_run_is_not_retried(self):
        """Guards against a booking that runs twice.

        A replica runs the booking and its answer is lost. The host must not send it to
        another replica, nor report "not run", upon which the caller would retry.
        """
        for behaviour in (
            Behaviour.RESETS,
            Behaviour.TRUNCATED,
            Behaviour.WRONG_ATTEMPT_ID,
            Behaviour.NO_RECEIPT,
        ):
            with self.subTest(behaviour=behaviour):
                status, _, replicas = await self.send(
                    BOOKING,
                    behaviour,
                    "/book-hall/1",
                    method="POST",
                    body=b"hall 7",
                )
                self.assertEqual(status, 502)
                self.assertEqual(sum(len(item.ran) for item in replicas), 1)

    async def test_refusal_before_a_retry_does_not_say_that_nothing_ran(self):
        """Guards against "not run" for a request whose first attempt ran.

        The routes become too old, or the caller's key is revoked, between two attempts.
        """
        stale = Refused("", ResultCode.CONFIGURATION_STALE, 300)
        revoked = BadRequest("", ResultCode.UNKNOWN_KEY)
        cases = (
            (Behaviour.FAILS, store_view.StoreView, "check_fresh", stale, 500),
            (Behaviour.RESETS, store_view.StoreView, "check_fresh", stale, 502),
            (Behaviour.RESETS, admission.Admission, "customer_of", revoked, 502),
        )
        for behaviour, owner, name, error, expected in cases:
            replicas = services("s1", "s2")
            check = getattr(owner, name)

            def check_until_run(*values, check=check, replicas=replicas, error=error):
                if any(replica.ran for replica in replicas["reservas"]):
                    raise error
                return check(*values)

            for replica in replicas["reservas"]:
                replica.behaviour = behaviour
            with (
                self.subTest(behaviour=behaviour, error=error),
                unittest.mock.patch.object(owner, name, check_until_run),
            ):
                async with (
                    Site(replicas, [LOOKUP]) as site,
                    site.call("/check-free/1") as answer,
                ):
                    await answer.read()
                self.assertEqual(answer.status, expected)
                self.assertEqual(sum(len(r.ran) for r in replicas["reservas"]), 1)

    async def test_lookup_is_retried_at_another_replica(self):
        for behaviour in (
            Behaviour.FAILS,
            Behaviour.RESETS,
            Behaviour.WRONG_ATTEMPT_ID,
        ):
            with self.subTest(behaviour=behaviour):
                status, body, _ = await self.send(
                    LOOKUP, behaviour, "/check-free/1", others=[Replica("good")]
                )
                self.assertEqual(status, 200)
                self.assertIn(b"good", body)

    async def test_booking_that_was_not_run_is_refused(self):
        status, _, _ = await self.send(
            BOOKING, Behaviour.SHEDS, "/book-hall/1", method="POST", body=b"x"
        )
        self.assertEqual(status, 503)

    async def test_misdirected_booking_uses_no_attempt(self):
        """Guards against bookings that are refused although replicas are free.

        Two replicas crashed and others started at their addresses, while the list still
        names the former ones. Each answers 421, which must not use up the attempts.
        """
        gone = [Replica("gone-1"), Replica("gone-2")]
        for replica in gone:
            replica.behaviour = Behaviour.MISDIRECTED
        replicas = {"reservas": [*gone, Replica("good")]}
        async with (
            Site(replicas, [BOOKING]) as site,
            site.call("/book-hall/1", method="POST", body=b"x") as answer,
        ):
            self.assertEqual(answer.status, 200)
        self.assertEqual(sum(len(item.ran) for item in replicas["reservas"]), 1)

    async def test_failed_booking_response_is_forwarded(self):
        status, body, _ = await self.send(
            BOOKING, Behaviour.FAILS, "/book-hall/1", method="POST", body=b"x"
        )
        self.assertEqual((status, body[:13]), (500, b"answer of bad"))

    async def test_extra_response_is_discarded(self):
        status, body, _ = await self.send(
            LOOKUP, Behaviour.EXTRA_RESPONSE, "/check-free/1"
        )
        self.assertEqual((status, body), (200, b"answer of bad to /check-free/1"))

    async def test_hanging_replica_times_out_at_route_timeout(self):
        short = route("check-free", "reservas", timeout_ms=300)
        status, _, replicas = await self.send(short, Behaviour.HANGS, "/check-free/1")
        self.assertEqual(status, 504)
        await asyncio.sleep(0.1)
        self.assertTrue(replicas[0].ran[0].closed)


class StaleHomeTests(unittest.IsolatedAsyncioTestCase):
    """The home did not learn that an upstream was removed, and grants it."""

    async def asyncSetUp(self):
        self.replicas = services("gone", "good")
        # The good replica is slower, so that the other one is granted first.
        self.replicas["reservas"][1].delay_ms = 40
        site = Site(self.replicas, [LOOKUP], hosts=2)
        self.site = await self.enterAsyncContext(site)
        home = site.hosts[0].context.homes.home_of("reservas")
        hosts = [host.context for host in site.hosts]
        self.home, self.other = sorted(
            hosts, key=lambda context: context.identity.host_id != home
        )
        self.number = hosts.index(self.other)
        listed = self.other.store_view.listing.get("gone", 0)
        self.row = StoreRow(key="gone", value=None, version=listed.listed_version + 50)

    async def test_caller_is_served_and_home_adopts_newer_list(self):
        """Guards against refusals with free upstreams until the home is up to date."""
        reading = Reading(
            rows=(self.row,), version=self.row.version, store_ms=0, sent_ms=0
        )
        self.other.store_view.apply_upstream_rows(reading, False)
        for number in range(6):
            call = self.site.call(f"/check-free/{number}", host=self.number)
            async with call as answer:
                self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.replicas["reservas"][0].ran), 0)
        self.assertIsNone(self.home.store_view.listing.get("gone", 0))

    async def test_home_with_newer_list_keeps_granting(self):
        """Guards against an outdated host that reports a new upstream as removed."""
        await self.site.register_replica("reservas", self.replicas["reservas"][0])
        async with asyncio.timeout(5):
            while not self._is_relisted():
                await asyncio.sleep(0.01)
        version = self.row.version - 50
        self.home.store_view.on_upstream_left("gone", version)
        self.assertIsNotNone(self.home.store_view.listing.get("gone", 0))

    def _is_relisted(self):
        listed = self.home.store_view.listing.get("gone", 0)
        return listed is not None and listed.listed_version > self.row.version - 50


class BrokenStreamTests(unittest.IsolatedAsyncioTestCase):
    async def read(self, route_, behaviour, *others):
        bad = Replica("bad", events=8)
        bad.behaviour = behaviour
        replicas = {"asistente": [bad, *others]}
        path = f"/{route_['name']}/1"
        async with Site(replicas, [route_]) as site:
            try:
                async with site.call(path, method="POST", body=b"x") as answer:
                    return answer.status, await answer.read(), replicas["asistente"]
            except aiohttp.ClientPayloadError:
                return None, b"", replicas["asistente"]

    async def test_resumable_stream_resumes_at_another_replica(self):
        """Guards against a report that ends half-way when its engine crashes."""
        for behaviour in (Behaviour.STOPS_MID_EVENT, Behaviour.SKIPS_EVENT):
            with self.subTest(behaviour=behaviour):
                good = Replica("good", events=8)
                status, body, _ = await self.read(REPORT, behaviour, good)
                self.assertEqual(status, 200)
                wanted = b"".join(
                    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9)
                )
                self.assertEqual(body, wanted)
                self.assertEqual(good.ran[0].headers["last-event-id"], "3")

    async def test_unresumable_stream_does_not_appear_complete(self):
        status, _, replicas = await self.read(
            SUMMARY, Behaviour.STOPS_MID_EVENT, Replica("o")
        )
        self.assertIsNone(status)
        self.assertEqual(len(replicas[1].ran), 0)


class CallerDisconnectTests(unittest.IsolatedAsyncioTestCase):
    async def test_upstream_connection_closes_when_caller_disconnects(self):
        """Guards against an engine that works on after its caller has disconnected."""
        replicas = engines("e1", events=500)
        replicas["asistente"][0].event_ms = 10
        async with Site(replicas, [REPORT]) as site:
            async with site.call("/conflict-report/1", method="POST") as answer:
                await answer.content.readuntil(b"\n\n")
                answer.close()
            await asyncio.sleep(0.3)
            self.assertTrue(replicas["asistente"][0].ran[0].closed)

    async def test_callers_that_disconnect_without_answer_are_counted(self):
        """Guards against metrics that omit answers no caller waited for."""
        replicas = engines("e1")
        replicas["asistente"][0].behaviour = Behaviour.HANGS
        async with Site(replicas, [REPORT]) as site:
            for _ in range(2):
                with contextlib.suppress(TimeoutError):
                    async with (
                        asyncio.timeout(0.3),
                        site.call("/conflict-report/1", method="POST"),
                    ):
                        pass
            await asyncio.sleep(0.2)
            totals = collections.Counter()
            for host in site.hosts:
                totals.update(host.context.metrics.totals)
        left = {name: n for name, n in totals.items() if "callers.left" in name}
        self.assertEqual(list(left.values()), [2], totals)

    async def test_failed_write_to_caller_is_not_logged_as_error(self):
        """Guards against tracebacks in the log when callers disconnect.

        A caller closes its connection between two events, and the next write fails
        before the server has detected it.
        """
        replicas = engines("e1")
        broken = unittest.mock.patch.object(
            web.StreamResponse, "write", side_effect=ConnectionResetError("closing")
        )
        with broken, self.assertNoLogs("aiohttp.server", "ERROR"):
            async with Site(replicas, [REPORT]) as site:
                with contextlib.suppress(aiohttp.ClientError):
                    async with site.call("/conflict-report/1", method="POST") as got:
                        await got.read()


class FreshnessTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = SkippingClock()

    async def test_host_without_store_refuses_keys(self):
        """Guards against a host without the store that keeps serving a revoked key."""
        replicas = services("s1")
        async with Site(replicas, [LOOKUP], boot_clock=self.clock) as site:
            site.store.faults.status = 503
            self.clock.skip_s(6)
            async with site.call("/check-free/1") as answer:
                self.assertEqual(answer.status, 503)
                self.assertIn("Retry-After", answer.headers)
            async with site.call("/check-free/1", Authorization="Bearer no") as answer:
                self.assertEqual(answer.status, 503)
        self.assertEqual(replicas["reservas"][0].ran, [])

    async def test_stream_that_breaks_with_stale_proof_is_cut(
        self,
    ):
        """Guards against a refusal written into the events of an open stream.

        The host is suspended while it forwards a stream. The engine breaks off, and the
        proof of the declarations is too old to resume at another replica.
        """
        bad = Replica("bad", events=8)
        bad.behaviour = Behaviour.STOPS_MID_EVENT
        bad.event_ms = 50
        replicas = {"asistente": [bad, Replica("good", events=8)]}
        replicas["asistente"][1].delay_ms = 0
        async with Site(replicas, [REPORT], boot_clock=self.clock) as site:
            site.store.faults.status = 503
            with self.assertRaises(aiohttp.ClientPayloadError):
                async with site.call("/conflict-report/1", method="POST") as answer:
                    await answer.content.readuntil(b"\n\n")
                    self.clock.skip_s(6)
                    await answer.content.read()


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def test_planned_stop_completes_streams_and_serves_new_requests(self):
        replicas = engines("e1", events=30)
        replicas["asistente"][0].event_ms = 20
        async with Site(replicas, [REPORT], hosts=2) as site:
            async with site.call("/conflict-report/1", 0, method="POST") as answer:
                await answer.content.readuntil(b"\n\n")
                site.hosts[0].begin_drain()
                async with site.call("/conflict-report/2", 0, method="POST") as late:
                    self.assertEqual(late.headers["Connection"], "close")
                    await late.read()
                rest = await answer.content.read()
            self.assertEqual(rest.count(b"data:"), 29)
            self.assertFalse(site.hosts[0].status.is_ready())

    async def test_late_request_during_stop_is_refused(self):
        """Guards against a stream that a planned stop cuts.

        A caller with an outdated list of hosts sent a request on a kept connection, 3 s
        after the host was told to stop. The host accepted it, and was killed at the end
        of its stop period.
        """
        replicas = engines("e1")
        bounds = FleetBounds(stop_ms=300)
        async with Site(replicas, [REPORT], hosts=2, bounds=bounds) as site:
            async with site.call("/conflict-report/1", method="POST") as answer:
                await answer.read()
            site.hosts[0].begin_drain()
            while not site.hosts[0].context.leaving:
                await asyncio.sleep(0.02)
            async with site.call("/conflict-report/2", method="POST") as late:
                self.assertEqual(late.status, 503)
                self.assertEqual(late.headers["Connection"], "close")
                self.assertIn("Retry-After", late.headers)
        self.assertEqual(len(replicas["asistente"][0].ran), 1)

    async def test_queued_request_is_refused_before_stop_ends(self):
        """Guards against a planned stop that closes connections without an answer.

        All replicas are busy, and a request is queued when the host is told to stop. No
        slot becomes free before the process ends.
        """
        replicas = {"reservas": [Replica("s1", slots=1)]}
        replicas["reservas"][0].behaviour = Behaviour.HANGS
        bounds = FleetBounds(stop_ms=3_000)
        slow = route("check-free", "reservas", timeout_ms=5_000)
        async with Site(replicas, [slow], bounds=bounds) as site:
            long = {"Deadline_Ms": "5000"}
            first = asyncio.create_task(self.send(site, "/check-free/1", **long))
            while not replicas["reservas"][0].ran:
                await asyncio.sleep(0.01)
            queued = asyncio.create_task(self.send(site, "/check-free/2", **long))
            await asyncio.sleep(0.1)
            site.hosts[0].begin_drain()
            status, headers = await queued
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
            self.assertFalse(site.hosts[0].finished.is_set())
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

    async def test_stream_with_gap_during_stop_is_not_cut(self):
        """Guards against a stop that cuts a stream in a gap, as no grant is issued."""
        replicas = engines("e1", "e2", events=4)
        for engine in replicas["asistente"]:
            engine.event_ms = 600
        resumable = route(
            "conflict-report",
            "asistente",
            "streaming",
            resumable=True,
            timeout_ms=6_000,
        )
        with (
            unittest.mock.patch.object(planned_stop, "LISTEN_FRACTION", 0.005),
            unittest.mock.patch.object(stream, "MIN_FIRST_STALL_MS", 300),
            unittest.mock.patch.object(stream, "MIN_STALL_MS", 300),
            unittest.mock.patch.object(stream, "GAP_FACTOR", 0),
        ):
            async with Site(replicas, [resumable]) as site:
                long_deadline = {"Deadline_Ms": "9000"}
                async with site.call("/conflict-report/1", **long_deadline) as answer:
                    await answer.content.readuntil(b"\n\n")
                    site.hosts[0].begin_drain()
                    rest = await answer.content.read()
                self.assertEqual(rest.count(b"data:"), 3)

    async def send(self, site, path, **headers):
        async with site.call(path, **headers) as answer:
            await answer.read()
            return answer.status, answer.headers
