"""End-to-end tests of requests that are open at the end of a planned stop."""

import asyncio
import unittest

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica
from hemlockhoist.standins.published.links import HostLinks, LinkMode
from hemlockhoist.standins.published.raw import call_raw
from hemlockhoist.standins.published.stops import (
    LONG,
    stop,
    stopping_site,
    until,
    until_runs,
)

GRACES_MS = (500, 1_000, 3_000, 8_000)


class OpenRequestTests(PausedSocketTestCase):
    """Requests that are still open at the end of the grace."""

    async def test_request_at_work_at_the_end_is_answered_with_unknown(self):
        """Guards against a request that runs and is cut without an answer."""
        for stop_ms in GRACES_MS:
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("s1")
                replica.behaviour = Behaviour.HANGS
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    call = call_raw(site, "/book-hall/1", method="POST", **LONG)
                    booking = asyncio.create_task(call)
                    await until_runs(replica)
                    took_ms = await stop(site.hosts[0])
                    answer = await booking
                self.assertEqual(answer.status, 502)
                self.assertTrue(answer.states_end)
                self.assertEqual(answer.header("X-Result-Code"), "302")
                self.assertIsNone(answer.header("Retry-After"))
                self.assertLess(took_ms, stop_ms)

    async def test_answer_just_before_the_end_still_goes_out(self):
        """Guards against an end that takes the time of answers that come late."""
        for stop_ms in GRACES_MS:
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("s1")
                replica.delay_ms = 5 * stop_ms // 6
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    call = call_raw(site, "/book-hall/1", method="POST", **LONG)
                    booking = asyncio.create_task(call)
                    await until_runs(replica)
                    took_ms = await stop(site.hosts[0])
                    answer = await booking
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.states_end)
                self.assertLess(took_ms, stop_ms)

    async def test_stream_at_the_end_does_not_look_complete(self):
        """Guards against a stream that a stop ends as if it were complete."""
        replica = Replica("e1", events=400)
        replica.event_ms = 50
        async with stopping_site(replica, stop_ms=1_000) as site:
            call = call_raw(site, "/summary/1", method="POST", **LONG)
            stream = asyncio.create_task(call)
            await until_runs(replica)
            await asyncio.sleep(0.2)
            await stop(site.hosts[0])
            answer = await stream
        self.assertEqual(answer.status, 200)
        self.assertIn(b"id: 5\n", answer.body)
        self.assertFalse(answer.states_end)

    async def test_process_ends_in_time_with_open_stream(self):
        """Guards against a process that exceeds its stop period and is killed.

        A stream stays open to the end of the stop. Closing the callers' connections
        waited another 0.5 s for it, which left too little time to end the process.
        """
        for stop_ms in (*GRACES_MS, 30_000):
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("e1", events=2_000)
                replica.event_ms = 50
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    fields = {"method": "POST", "Deadline_Ms": "60000"}
                    call = call_raw(site, "/summary/1", **fields)
                    stream = asyncio.create_task(call)
                    await until_runs(replica)
                    took_ms = await stop(site.hosts[0])
                    answer = await stream
                self.assertFalse(answer.states_end)
                self.assertLess(took_ms, stop_ms)

    async def test_stream_without_chunks_at_the_end_is_reset(self):
        """Guards against a stream whose end by a stop looks like its own."""
        replica = Replica("e1", events=400)
        replica.event_ms, replica.is_unframed = 50, True
        async with stopping_site(replica, stop_ms=1_000) as site:
            call = call_raw(site, "/summary/1", method="POST", **LONG)
            stream = asyncio.create_task(call)
            await until_runs(replica)
            await asyncio.sleep(0.2)
            await stop(site.hosts[0])
            answer = await stream
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_unframed)
        self.assertTrue(answer.is_reset)

    async def test_request_with_two_attempts_at_the_end_is_answered(self):
        """Guards against a second attempt that holds up the answer of a request."""
        replicas = [Replica("s1"), Replica("s2")]
        settings = {"hedge_permille": 1_000}
        async with stopping_site(*replicas, stop_ms=1_000, settings=settings) as site:
            context = site.hosts[0].context
            for _ in range(60):
                context.hedging.count_request()
                now_ms = context.clock.now_ms()
                context.hedging.observe("check-free", "reservas", 30, now_ms)
            for replica in replicas:
                replica.behaviour = Behaviour.HANGS
            lookup = asyncio.create_task(call_raw(site, "/check-free/1", **LONG))
            await until(lambda: all(replica.ran for replica in replicas))
            took_ms = await stop(site.hosts[0])
            answer = await lookup
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.states_end)
        self.assertLess(took_ms, 1_000)

    async def test_stream_without_an_event_at_the_end_is_answered(self):
        """Guards against a stream that is cut before its head."""
        replica = Replica("e1", events=4)
        replica.behaviour = Behaviour.HANGS
        async with stopping_site(replica, stop_ms=1_000) as site:
            call = call_raw(site, "/summary/1", method="POST", **LONG)
            stream = asyncio.create_task(call)
            await until_runs(replica)
            await stop(site.hosts[0])
            answer = await stream
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.states_end)

    async def test_request_without_its_body_at_the_end_is_refused(self):
        """Guards against a request that is cut while its body arrives."""
        async with stopping_site(Replica("s1"), stop_ms=1_000) as site:
            fields = {"Content_Length": "10", **LONG}
            call = call_raw(site, "/book-hall/1", method="POST", body=b"x", **fields)
            booking = asyncio.create_task(call)
            await until(lambda: site.hosts[0].context.open_requests)
            await stop(site.hosts[0])
            answer = await booking
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.header("X-Result-Code"), "207")
        self.assertIsNotNone(answer.header("Retry-After"))

    async def test_request_that_waits_for_a_slot_at_the_end_is_refused(self):
        """Guards against a queued request that is cut without an answer."""
        for stop_ms in GRACES_MS:
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("s1", slots=1)
                replica.behaviour = Behaviour.HANGS
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    calls = [
                        call_raw(site, f"/book-hall/{n}", method="POST", **LONG)
                        for n in range(3)
                    ]
                    bookings = [asyncio.create_task(call) for call in calls]
                    await until_runs(replica)
                    await asyncio.sleep(0.05)
                    await stop(site.hosts[0])
                    answers = await asyncio.gather(*bookings)
                statuses = sorted(str(answer.status) for answer in answers)
                self.assertEqual(statuses, ["502", "503", "503"])
                self.assertEqual(len(replica.ran), 1)

    async def test_silent_store_does_not_hold_up_the_end(self):
        """Guards against a process that is killed while it waits for the store."""
        for stop_ms in GRACES_MS:
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("s1")
                replica.behaviour = Behaviour.HANGS
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    call = call_raw(site, "/book-hall/1", method="POST", **LONG)
                    booking = asyncio.create_task(call)
                    await until_runs(replica)
                    site.store.faults.hangs = True
                    took_ms = await stop(site.hosts[0])
                    answer = await booking
                    site.store.faults.heal()
                self.assertEqual(answer.status, 502)
                self.assertLess(took_ms, stop_ms)


class RelayingHostTests(PausedSocketTestCase):
    """Stops of a host that relays requests for one without links to upstreams."""

    async def relayed(self, stop_ms, work_ms):
        """Stop the relaying host in the middle of a booking; return its answer."""
        replica = Replica("s1")
        async with stopping_site(replica, stop_ms=stop_ms) as site:
            HostLinks(site.hosts[0]).cut([replica], LinkMode.REFUSED)
            for number in range(3):
                await call_raw(site, f"/check-free/{number}", **LONG)
            learned = len(replica.ran)
            replica.delay_ms = work_ms
            call = call_raw(site, "/book-hall/1", method="POST", **LONG)
            booking = asyncio.create_task(call)
            await until(lambda: len(replica.ran) > learned)
            self.assertEqual(site.hosts[1].relay_server.relayed_count, 1)
            took_ms = await stop(site.hosts[1])
            answer = await booking
        self.assertEqual(len(replica.ran), learned + 1)
        self.assertLess(took_ms, stop_ms)
        return answer

    async def test_relayed_booking_at_work_at_the_end_is_answered(self):
        """Guards against a booking without an answer as another host stops."""
        for stop_ms in (500, 1_000, 8_000):
            with self.subTest(stop_ms=stop_ms):
                answer = await self.relayed(stop_ms, work_ms=8_500)
                self.assertEqual(answer.status, 502)

    async def test_relayed_booking_that_ends_in_the_grace_is_answered(self):
        """Guards against a stop that does not wait for what it relays."""
        for stop_ms in (500, 1_000, 8_000):
            with self.subTest(stop_ms=stop_ms):
                answer = await self.relayed(stop_ms, work_ms=5 * stop_ms // 6)
                self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
