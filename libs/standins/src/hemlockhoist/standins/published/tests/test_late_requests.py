"""End-to-end tests of requests that come, or get a slot, in a planned stop."""

import asyncio
import unittest

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica
from hemlockhoist.standins.published.raw import call_raw
from hemlockhoist.standins.published.site import HOST_NAME, KEY
from hemlockhoist.standins.published.stops import (
    LONG,
    stop,
    stopping_site,
    until_runs,
)

UNAVAILABLE = b"HTTP/1.1 503"
LATE_HEAD = (
    "GET /check-free/1 HTTP/1.1\r\n"
    f"Host: {HOST_NAME}\r\n"
    "Attempt-Id: a1\r\n"
    "Deadline-Ms: 9000\r\n"
    f"Authorization: Bearer {KEY}\r\n"
    "\r\n"
)


class LateRequestTests(PausedSocketTestCase):
    """Requests that come, or get a slot, after the signal."""

    async def answers(self, site, times_ms, **fields):
        """Stop a host, and send it a request at each time; return the answers."""

        async def call_at(time_ms):
            await asyncio.sleep(time_ms / 1_000)
            return await call_raw(site, "/book-hall/1", method="POST", **fields)

        calls = [asyncio.create_task(call_at(time_ms)) for time_ms in times_ms]
        await asyncio.sleep(0)
        await stop(site.hosts[0])
        return await asyncio.gather(*calls)

    async def test_late_request_that_may_not_finish_is_not_sent(self):
        """Guards against a late request whose outcome nobody knows."""
        times_ms = range(1, 2_600, 400)
        for work_ms in (5_500, 7_000):
            with self.subTest(work_ms=work_ms):
                replica = Replica("s1", slots=20)
                replica.delay_ms = work_ms
                async with stopping_site(replica, stop_ms=8_000) as site:
                    answers = await self.answers(site, times_ms, **LONG)
                statuses = {answer.status for answer in answers}
                self.assertEqual(statuses, {503})
                codes = {answer.header("X-Result-Code") for answer in answers}
                self.assertEqual(codes, {"207"})
                self.assertEqual(replica.ran, [])

    async def test_late_request_whose_limit_fits_is_served(self):
        """Guards against refusals that cost callers one of few retries each."""
        for stop_ms, limit_ms, last_ms in (
            (1_000, 500, 300),
            (3_000, 1_500, 950),
            (8_000, 1_500, 2_600),
            (8_000, 5_000, 1_900),
            (30_000, 8_000, 9_900),
        ):
            with self.subTest(stop_ms=stop_ms, limit_ms=limit_ms):
                replica = Replica("s1", slots=20)
                replica.delay_ms = limit_ms // 4
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    times_ms = (1, last_ms // 2, last_ms)
                    limit = {"Deadline_Ms": str(limit_ms)}
                    answers = await self.answers(site, times_ms, **limit)
                statuses = [answer.status for answer in answers]
                self.assertEqual(statuses, [200] * 3)

    async def test_usually_quick_request_is_served_at_the_begin_of_the_stop(self):
        """Guards against a stop that turns away all requests with long limits."""
        replica = Replica("s1", slots=20)
        replica.delay_ms = 200
        async with stopping_site(replica, stop_ms=8_000) as site:
            for _ in range(20):
                before = await call_raw(site, "/book-hall/1", method="POST", **LONG)
                self.assertEqual(before.status, 200)
            times_ms = (1, 1_000, 2_600)
            answers = await self.answers(site, times_ms, **LONG)
        self.assertEqual([answer.status for answer in answers], [200] * 3)

    async def test_late_request_on_a_kept_connection_gets_an_answer(self):
        """Guards against a request that is lost on a connection from before."""
        fields = {"Connection": "keep-alive"}
        for late_ms, limit_ms, status in (
            (3_500, 1_500, 200),
            (3_500, 5_000, 503),
            (6_990, 1_500, 503),
            (7_010, 100, 503),
        ):
            with self.subTest(late_ms=late_ms, limit_ms=limit_ms):
                replica = Replica("s1")
                async with stopping_site(replica, stop_ms=8_000) as site:
                    replica.behaviour = Behaviour.HANGS
                    call = call_raw(site, "/check-free/1", **LONG)
                    open_request = asyncio.create_task(call)
                    await until_runs(replica)
                    replica.behaviour = Behaviour.NORMAL
                    kept = {**LONG, **fields}
                    async with site.call("/check-free/2", **kept) as answer:
                        await answer.read()
                    stopping = asyncio.create_task(stop(site.hosts[0]))
                    await asyncio.sleep(late_ms / 1_000)
                    kept["Deadline_Ms"] = str(limit_ms)
                    async with site.call("/check-free/3", **kept) as answer:
                        await answer.read()
                    self.assertEqual(answer.status, status)
                    self.assertEqual(answer.headers["Connection"], "close")
                    await stopping
                    await open_request

    async def test_queued_request_is_not_sent_too_late(self):
        """Guards against a slot that a request gets too late to finish."""
        replica = Replica("s1", slots=1)
        replica.delay_ms = 4_000
        async with stopping_site(replica, stop_ms=8_000) as site:
            calls = [
                call_raw(site, f"/book-hall/{n}", method="POST", **LONG)
                for n in range(2)
            ]
            bookings = [asyncio.create_task(call) for call in calls]
            await until_runs(replica)
            await asyncio.sleep(0.05)
            await stop(site.hosts[0])
            answers = await asyncio.gather(*bookings)
        self.assertEqual([answer.status for answer in answers], [200, 503])
        self.assertEqual(len(replica.ran), 1)


class EndTests(PausedSocketTestCase):
    """Connections around the end of listening, and of the process."""

    async def test_connections_whose_heads_come_late_get_an_answer(self):
        """Guards against a crowd that connects in the grace and is cut unanswered."""
        for stop_ms, head_ms in ((500, 100), (1_000, 100), (8_000, 400)):
            with self.subTest(stop_ms=stop_ms):
                replica = Replica("s1", slots=200)
                async with stopping_site(replica, stop_ms=stop_ms) as site:
                    address = site.hosts[0].settings.caller_address
                    stopping = asyncio.create_task(stop(site.hosts[0]))
                    await asyncio.sleep((stop_ms // 3 - 2) / 1_000)
                    callers = [
                        asyncio.create_task(self.call_late(address, head_ms, part))
                        for part in range(100)
                    ]
                    answers = await asyncio.gather(*callers)
                    took_ms = await stopping
                self.assertEqual({answer[:12] for answer in answers}, {UNAVAILABLE})
                self.assertLess(took_ms, stop_ms)

    async def call_late(self, address, head_ms, part):
        """Connect, send a part of a head at once and the rest later."""
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = LATE_HEAD.encode()
        writer.write(head[:part])
        await asyncio.sleep(head_ms / 1_000)
        try:
            writer.write(head[part:])
            return await reader.read()
        except OSError:
            return b""
        finally:
            writer.close()

    async def test_host_that_is_stopped_while_it_starts_ends(self):
        """Guards against a stop that fails in a start beside a silent store."""
        # Such a start takes 0.3 s or 0.8 s.
        async with stopping_site(Replica("s1"), stop_ms=850) as site:
            host = site.new_host(2)
            site.store.faults.hangs = True
            starting = asyncio.create_task(host.start())
            await asyncio.sleep(0.01)
            stopping = asyncio.create_task(stop(host))
            await starting
            async with asyncio.timeout(1):
                self.assertLess(await stopping, 850)
            site.store.faults.heal()

    async def test_stop_does_not_wait_for_a_connection_without_a_request(self):
        """Guards against idle connections that hold up each stop to its limit."""
        async with stopping_site(Replica("s1"), stop_ms=8_000) as site:
            address, _, port = site.hosts[0].settings.caller_address.rpartition(":")
            _, writer = await asyncio.open_connection(address, int(port))
            await asyncio.sleep(0.1)
            self.assertLess(await stop(site.hosts[0]), 4_000)
            writer.close()

    async def test_request_that_comes_once_the_process_ends_is_not_sent(self):
        """Guards against a request that is sent after the last look at open ones."""
        replica = Replica("s1")
        async with stopping_site(replica, stop_ms=8_000) as site:
            kept = {"Connection": "keep-alive", "Deadline_Ms": "1500"}
            async with site.call("/check-free/1", **kept) as answer:
                await answer.read()
            site.hosts[0].begin_drain()
            await site.hosts[0].finished.wait()
            async with site.call("/check-free/2", **kept) as answer:
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.headers["Connection"], "close")
            self.assertEqual(len(replica.ran), 1)


if __name__ == "__main__":
    unittest.main()
