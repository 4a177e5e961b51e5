import asyncio
import collections
import contextlib
import unittest
import unittest.mock

import aiohttp
from aiohttp import web

from hemlockhoist.entry import FleetBounds, process, stream
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


class CalmTests(unittest.IsolatedAsyncioTestCase):
    async def test_lookup_reaches_its_replica_as_it_was_sent(self):
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

    async def test_stream_is_passed_on_event_by_event(self):
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

    async def test_refusals_for_good(self):
        async with Site(services("s1"), [LOOKUP]) as site:
            async with site.call("/nowhere/1") as answer:
                self.assertEqual(answer.status, 404)
            async with site.call("/check-free/1", Authorization="Bearer no") as answer:
                self.assertEqual(answer.status, 401)
            async with site.call("/check-free/1", Deadline_Ms="soon") as answer:
                self.assertEqual(answer.status, 400)

    async def test_routes_change_and_hosts_agree(self):
        replicas = services("s1")
        async with Site(replicas, [LOOKUP], hosts=3) as site:
            await site.declare([LOOKUP, route("new", "reservas", anonymous=True)])
            await asyncio.sleep(0.2)
            for host in range(3):
                async with site.call("/new/1", host, Authorization=None) as answer:
                    self.assertEqual(answer.status, 200)

    async def test_hosts_tell_callers_of_one_another(self):
        async with Site(services("s1"), [LOOKUP], hosts=3) as site:
            address = site.hosts[0].status.addresses[0]
            url = f"http://{address}/v1/resolve?name=halls.example&region=r&zone=a"
            async with site.session.get(url) as answer:
                told = await answer.json()
            wanted = {host.settings.caller_address for host in site.hosts}
            self.assertEqual(set(told["addresses"]), wanted)
            async with site.session.get(f"http://{address}/v1/readyz") as answer:
                self.assertEqual(answer.status, 200)


class BrokenAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def ask(self, route_, behaviour, path, others=(), **call):
        replicas = {"reservas": [Replica("bad"), *others]}
        replicas["reservas"][0].behaviour = behaviour
        async with Site(replicas, [route_]) as site, site.call(path, **call) as answer:
            body = await answer.read()
        return answer.status, body, replicas["reservas"]

    async def test_booking_that_may_have_run_is_never_sent_again(self):
        """A hall is booked twice, and two groups stand before one door.

        A replica runs the booking and its answer is lost on the way. The host sends it
        to another replica, or says "not run" and the caller does.
        """
        for behaviour in (
            Behaviour.RESETS,
            Behaviour.TRUNCATED,
            Behaviour.WRONG_ATTEMPT_ID,
            Behaviour.NO_RECEIPT,
        ):
            with self.subTest(behaviour=behaviour):
                status, _, replicas = await self.ask(
                    BOOKING,
                    behaviour,
                    "/book-hall/1",
                    method="POST",
                    body=b"hall 7",
                )
                self.assertEqual(status, 502)
                self.assertEqual(sum(len(item.ran) for item in replicas), 1)

    async def test_lookup_is_tried_at_another_replica(self):
        for behaviour in (
            Behaviour.FAILS,
            Behaviour.RESETS,
            Behaviour.WRONG_ATTEMPT_ID,
        ):
            with self.subTest(behaviour=behaviour):
                status, body, _ = await self.ask(
                    LOOKUP, behaviour, "/check-free/1", others=[Replica("good")]
                )
                self.assertEqual(status, 200)
                self.assertIn(b"good", body)

    async def test_booking_that_a_replica_did_not_run_is_refused_with_a_time(self):
        status, _, _ = await self.ask(
            BOOKING, Behaviour.SHEDS, "/book-hall/1", method="POST", body=b"x"
        )
        self.assertEqual(status, 503)

    async def test_address_of_another_run_costs_a_booking_nothing(self):
        """Bookings are refused though replicas are free.

        Two replicas crashed and others began at their addresses; the list still shows
        the former ones. Each answers "not me", and the request's attempts are used up.
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

    async def test_booking_that_failed_is_passed_on_as_it_is(self):
        status, body, _ = await self.ask(
            BOOKING, Behaviour.FAILS, "/book-hall/1", method="POST", body=b"x"
        )
        self.assertEqual((status, body[:13]), (500, b"answer of bad"))

    async def test_second_answer_on_a_connection_reaches_nobody(self):
        status, body, _ = await self.ask(
            LOOKUP, Behaviour.EXTRA_RESPONSE, "/check-free/1"
        )
        self.assertEqual((status, body), (200, b"answer of bad to /check-free/1"))

    async def test_silent_replica_is_given_up_at_the_routes_time(self):
        short = route("check-free", "reservas", timeout_ms=300)
        status, _, replicas = await self.ask(short, Behaviour.HANGS, "/check-free/1")
        self.assertEqual(status, 504)
        await asyncio.sleep(0.1)
        self.assertTrue(replicas[0].ran[0].closed)


class StaleHomeTests(unittest.IsolatedAsyncioTestCase):
    """A home that missed that an upstream left goes on granting it."""

    async def asyncSetUp(self):
        self.replicas = services("gone", "good")
        # The good one is the slower, so that the other is granted first.
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

    async def test_caller_is_served_and_the_home_believes_the_newer_list(self):
        """Callers are refused, with other upstreams free, until the home reads anew."""
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

    async def test_home_that_knows_better_goes_on_granting(self):
        """A host that is behind the list takes a new upstream for one that left."""
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

    async def test_resumable_stream_goes_on_at_another_replica(self):
        """A report breaks off in its middle as its engine crashes."""
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

    async def test_stream_that_can_not_go_on_does_not_look_whole(self):
        status, _, replicas = await self.read(
            SUMMARY, Behaviour.STOPS_MID_EVENT, Replica("o")
        )
        self.assertIsNone(status)
        self.assertEqual(len(replicas[1].ran), 0)


class CallerLeavesTests(unittest.IsolatedAsyncioTestCase):
    async def test_upstream_is_told_when_the_caller_leaves(self):
        """An engine goes on for nobody after its caller has closed the page."""
        replicas = engines("e1", events=500)
        replicas["asistente"][0].event_ms = 10
        async with Site(replicas, [REPORT]) as site:
            async with site.call("/conflict-report/1", method="POST") as answer:
                await answer.content.readuntil(b"\n\n")
                answer.close()
            await asyncio.sleep(0.3)
            self.assertTrue(replicas["asistente"][0].ran[0].closed)

    async def test_callers_that_leave_without_an_answer_are_counted(self):
        """Operators see late answers, and not those that nobody waited for."""
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

    async def test_answer_that_can_not_be_written_is_no_error(self):
        """The log fills with tracebacks while callers leave.

        A caller closes its connection between two events; the write of the next one
        fails before the server has noticed the close.
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

    async def test_host_cut_off_from_the_store_honours_no_key_for_long(self):
        """A key was taken away, and a host that did not hear of it still serves it."""
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

    async def test_stream_goes_on_when_the_proof_grows_old_and_is_cut_if_it_breaks(
        self,
    ):
        """A caller's answer is followed by a refusal in the middle of its events.

        The host was suspended while it passed a stream on. The engine broke off, and
        the proof was too old to go on at another; the refusal went into the open answer.
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
    async def test_planned_stop_cuts_no_stream_and_answers_newcomers(self):
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

    async def test_request_that_comes_late_in_a_stop_is_sent_elsewhere(self):
        """A stream is cut in its middle by a planned stop.

        Its caller had an older answer on which hosts to use, and sent on a connection
        that it had kept, three seconds after the host was told to stop. The host took
        the request, and was killed at the end of its time.
        """
        replicas = engines("e1")
        with unittest.mock.patch.object(process, "LISTEN_AFTER_STOP_MS", 100):
            async with Site(replicas, [REPORT], hosts=2) as site:
                async with site.call("/conflict-report/1", method="POST") as answer:
                    await answer.read()
                site.hosts[0].begin_drain()
                while not site.hosts[0].context.refuses_requests:
                    await asyncio.sleep(0.02)
                async with site.call("/conflict-report/2", method="POST") as late:
                    self.assertEqual(late.status, 503)
                    self.assertEqual(late.headers["Connection"], "close")
                    self.assertIn("Retry-After", late.headers)
        self.assertEqual(len(replicas["asistente"][0].ran), 1)

    async def test_request_that_waits_for_a_place_is_refused_before_the_end(self):
        """A caller's connection is closed without an answer by a planned stop.

        All replicas are busy, and its request waits in the queue when the host is told
        to stop. Nothing frees a place before the process ends.
        """
        replicas = {"reservas": [Replica("s1", slots=1)]}
        replicas["reservas"][0].behaviour = Behaviour.HANGS
        bounds = FleetBounds(stop_ms=3_000)
        slow = route("check-free", "reservas", timeout_ms=5_000)
        with unittest.mock.patch.object(process, "LISTEN_AFTER_STOP_MS", 100):
            async with Site(replicas, [slow], bounds=bounds) as site:
                long = {"Deadline_Ms": "5000"}
                first = asyncio.create_task(self.ask(site, "/check-free/1", **long))
                while not replicas["reservas"][0].ran:
                    await asyncio.sleep(0.01)
                queued = asyncio.create_task(self.ask(site, "/check-free/2", **long))
                await asyncio.sleep(0.1)
                site.hosts[0].begin_drain()
                status, headers = await queued
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
                self.assertFalse(site.hosts[0].finished.is_set())
                first.cancel()
                await asyncio.gather(first, return_exceptions=True)

    async def test_stream_that_pauses_late_in_a_stop_is_not_cut(self):
        """A planned stop cuts a stream whose engine pauses, as no other is given."""
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
            unittest.mock.patch.object(process, "LISTEN_AFTER_STOP_MS", 50),
            unittest.mock.patch.object(process, "QUEUE_DRAIN_FRACTION", 0.01),
            unittest.mock.patch.object(stream, "MIN_FIRST_STALL_MS", 300),
            unittest.mock.patch.object(stream, "MIN_STALL_MS", 300),
            unittest.mock.patch.object(stream, "GAP_FACTOR", 0),
        ):
            async with Site(replicas, [resumable]) as site:
                patient = {"Deadline_Ms": "9000"}
                async with site.call("/conflict-report/1", **patient) as answer:
                    await answer.content.readuntil(b"\n\n")
                    site.hosts[0].begin_drain()
                    rest = await answer.content.read()
                self.assertEqual(rest.count(b"data:"), 3)

    async def test_process_ends_in_time_with_a_stream_still_open(self):
        """A process outlasts its planned stop and is killed.

        A stream runs to the end of the stop. Closing the callers' connections waited
        half a second more for it, and the rest of the process's end did not fit into
        what was left.
        """
        replicas = engines("e1", events=200)
        replicas["asistente"][0].event_ms = 50
        bounds = FleetBounds(stop_ms=1_500)
        with unittest.mock.patch.object(process, "LISTEN_AFTER_STOP_MS", 100):
            async with Site(replicas, [REPORT], bounds=bounds) as site:
                patient = {"Deadline_Ms": "9000"}
                async with site.call("/conflict-report/1", **patient) as answer:
                    await answer.content.readuntil(b"\n\n")
                    site.hosts[0].begin_drain()
                    await site.hosts[0].finished.wait()
                    async with asyncio.timeout(process.STOP_RESERVE_MS / 1_000 / 2):
                        await site.hosts[0].close()
                    with self.assertRaises(aiohttp.ClientPayloadError):
                        await answer.read()

    async def ask(self, site, path, **headers):
        async with site.call(path, **headers) as answer:
            await answer.read()
            return answer.status, answer.headers
