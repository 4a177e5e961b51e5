import asyncio
import contextlib
import io
import unittest

import aiohttp
import structlog
from click.testing import CliRunner

from hemlockhoist.base import configure_logs
from hemlockhoist.cli.main import main
from hemlockhoist.standins.published import (
    Behaviour,
    Replica,
    Site,
    SkippingClock,
    route,
)
from hemlockhoist.standins.published.links import HostLinks, LinkMode


class ExplainedTests(unittest.IsolatedAsyncioTestCase):
    """The request id and the logs of the hosts must suffice to explain an outcome."""

    def setUp(self):
        self.log = io.StringIO()
        configure_logs("info", self.log, fields={"host": "h0"})
        self.addCleanup(structlog.reset_defaults)

    def explain(self, request_id):
        found = CliRunner().invoke(main, ["explain", request_id], self.log.getvalue())
        self.assertEqual(found.exit_code, 0, found.output)
        return found.output

    async def wait_for_line(self, *parts):
        async with asyncio.timeout(10):
            while not any(
                all(part in line for part in parts)
                for line in self.log.getvalue().splitlines()
            ):
                await asyncio.sleep(0.02)

    async def test_refusal_by_customer_quota(self):
        """A caller over its quota is refused although all replicas are free."""
        tenants = [
            {
                "name": "aulas",
                "api_keys": ["key-of-aulas"],
                "rate_per_s": 1,
                "burst": 1,
            }
        ]
        replicas = {"reservas": [Replica("s1")]}
        lookup = route("check-free", "reservas")
        async with Site(replicas, [lookup], tenants=tenants) as site:
            for number in range(12):
                async with site.call("/check-free/1", Attempt_Id=f"a{number}") as last:
                    await last.read()
        self.assertEqual(last.status, 429)
        text = self.explain("a11")
        self.assertIn("code 214", text)
        self.assertIn("aulas asks for 1 units of 0 left", text)

    async def test_unknown_outcome(self):
        bad = Replica("s1")
        bad.behaviour = Behaviour.RESETS
        booking = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
        async with (
            Site({"reservas": [bad]}, [booking]) as site,
            site.call("/book-hall/7", method="POST", body=b"x") as answer,
        ):
            self.assertEqual(answer.status, 502)
        text = self.explain("a1")
        self.assertIn("Ran: outcome unknown", text)
        self.assertIn("upstream=s1", text)
        self.assertIn("outcome=broke_off", text)

    async def test_cut_stream(self):
        bad = Replica("e1", events=8)
        bad.behaviour = Behaviour.STOPS_MID_EVENT
        summary = route("summary", "asistente", "streaming", max_attempts=1)
        async with Site({"asistente": [bad]}, [summary]) as site:
            with contextlib.suppress(aiohttp.ClientPayloadError):
                async with site.call("/summary/1", method="POST") as answer:
                    await answer.read()
        text = self.explain("a1")
        self.assertIn("stream was cut", text)
        self.assertIn("the answer broke off before its end", text)
        self.assertIn("stream_cut cause=broke_off last_event=3", text)
        self.assertIn("silent_ms=", text)

    async def test_refusal_without_store(self):
        clock = SkippingClock()
        lookup = route("check-free", "reservas")
        replicas = {"reservas": [Replica("s1")]}
        async with Site(replicas, [lookup], boot_clock=clock) as site:
            site.store.faults.status = 503
            # A pending feed call is answered first, and successfully.
            await self.wait_for_line("event=store_lost", "table=op")
            clock.skip_s(6)
            async with site.call("/check-free/1") as answer:
                self.assertEqual(answer.status, 503)
        text = self.explain("a1")
        self.assertIn("code 216", text)
        self.assertIn("store_lost table=op", text)

    async def test_limit_that_an_upstream_advertises(self):
        limited = Replica("s1")
        limited.limit_per_s = 1.5
        lookup = route("check-free", "reservas")
        async with Site({"reservas": [limited]}, [lookup]) as site:
            async with site.call("/check-free/1") as answer:
                await answer.read()
            limits = site.hosts[0].context.advertised_limits
            self.assertEqual(limits.count_by_pool(), {"reservas": 1})
        text = self.explain("a1")
        self.assertIn("limit_advertised upstream=s1 pool=reservas", text)
        self.assertIn("limit_per_s=1.5", text)

    async def test_refusal_because_of_an_advertised_limit(self):
        """A caller is refused although the only upstream has free slots."""
        limited = Replica("s1")
        limited.limit_per_s = 0.2
        lookup = route("check-free", "reservas")
        async with Site({"reservas": [limited]}, [lookup]) as site:
            async with site.call("/check-free/1") as first:
                await first.read()
            await self.wait_for_line("event=limit_enforced", "upstream=s1")
            # The second request is sent, as the first one's share of the limit.
            for number in (2, 3):
                call = site.call("/check-free/1", Attempt_Id=f"a{number}")
                async with call as answer:
                    await answer.read()
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0.5)
            totals = site.hosts[0].context.metrics.totals
            self.assertGreater(totals["grants.held_back.limit"], 0)
        text = self.explain("a3")
        self.assertIn("limited s1", text)
        self.assertIn("limit_enforced pool=reservas upstream=s1", text)

    async def test_request_that_another_host_relayed(self):
        """A host lost its link, and its request was served through another one."""
        replica = Replica("s1")
        lookup = route("check-free", "reservas")
        async with Site({"reservas": [replica]}, [lookup], 2) as site:
            HostLinks(site.hosts[0]).cut([replica], LinkMode.REFUSED)
            async with site.call("/check-free/1", Attempt_Id="a7") as answer:
                self.assertEqual(answer.status, 200)
                await answer.read()
            await self.wait_for_line("relay_ended", "request=a7")
            relay = site.hosts[1].context.identity.host_id
        text = self.explain("a7")
        self.assertIn("answered with status 200", text)
        self.assertIn("upstream_link_lost pool=reservas upstream=s1", text)
        self.assertIn(f"relay={relay}", text)
        self.assertRegex(text, "relay_ended upstream=s1 .*result=answered")

    async def test_back_off_that_an_upstream_asks_for(self):
        busy = Replica("s1")
        busy.behaviour = Behaviour.SHEDS
        busy.rest_s = 3
        lookup = route("check-free", "reservas")
        async with Site({"reservas": [busy]}, [lookup]) as site:
            async with site.call("/check-free/1") as answer:
                self.assertEqual(answer.status, 503)
            async with site.call("/check-free/1", Attempt_Id="a2") as answer:
                self.assertGreater(float(answer.headers["Retry-After"]), 2.0)
            context = site.hosts[0].context
            counts = context.back_offs.count_by_pool(context.clock.now_ms())
            self.assertEqual(counts, {"reservas": 1})
        text = self.explain("a1")
        self.assertIn("back_off_requested upstream=s1 pool=reservas", text)
        self.assertIn("back_off_ms=3000", text)
        self.assertIn("(queued 0 granted 0 backed off s1)", self.explain("a2"))

    async def test_refusal_because_the_upstream_leaves(self):
        leaving = Replica("s1")
        leaving.is_leaving = True
        lookup = route("check-free", "reservas")
        async with Site({"reservas": [leaving]}, [lookup]) as site:
            async with site.call("/check-free/1") as first:
                await first.read()
            async with site.call("/check-free/1", Attempt_Id="a2") as answer:
                self.assertEqual(answer.status, 503)
        self.assertIn("leaving=true", self.explain("a1"))
        self.assertIn("(queued 0 granted 0 leaving s1)", self.explain("a2"))

    async def test_unknown_request_id(self):
        found = CliRunner().invoke(main, ["explain", "nobody"], self.log.getvalue())
        self.assertNotEqual(found.exit_code, 0)
        self.assertIn("no line names", found.output)
