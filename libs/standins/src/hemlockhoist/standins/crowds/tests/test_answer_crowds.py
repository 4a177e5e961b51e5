"""Upstreams whose answers never end, at a host with little memory."""

import asyncio
import itertools
import unittest

from hemlockhoist.standins.crowds import peak_memory_mb
from hemlockhoist.standins.crowds.answered import Answered
from hemlockhoist.standins.crowds.cases import MEMORY_MB, PYTHON_PARSER, CrowdSite

# Their bodies are read until they are too long; each holds memory meanwhile.
LONG_BODIES = (Answered.UNFRAMED_BODY, Answered.CHUNKS, Answered.CHUNK_OF_ANY_LENGTH)
# A store's answers may be compressed; those of upstreams pass as they are.
OTHERS = tuple(
    kind for kind in Answered if kind not in (*LONG_BODIES, Answered.COMPRESSED)
)
FEW, USUAL, MANY = 1, 8, 60
# So that no request is refused for the many that were sent again before.
RETRIES = 5_000
# So that a request that is sent again finds one of the good upstreams free.
SLOTS = 40


class UpstreamCrowdTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.number = itertools.count()

    def check_host(self, site):
        self.assertTrue(site.host.is_running)
        self.assertLess(peak_memory_mb(site.host.process.pid), MEMORY_MB)

    async def check_upstreams(self, kinds, count=USUAL, variables=None):
        """Let a host meet one faulty upstream after the other, beside two good ones."""
        async with CrowdSite(variables, retry_allowance=RETRIES, slots=SLOTS) as site:
            await site.ask()
            for kind in kinds:
                with self.subTest(kind):
                    await self.check_upstream(site, kind, count)
            self.assertEqual(await site.ask(), 200)
            self.check_host(site)

    async def check_upstream(self, site, kind, count):
        faulty = await site.answer(kind)
        server_id = f"faulty-{kind.name.lower()}"
        await site.register(server_id, faulty.address)
        try:
            await site.wait_for_log("upstream_listed", server_id)
            while not site.host.log_lines(f"upstream={server_id} relay="):
                await self.check_requests(site, count)
        finally:
            await site.register(server_id, None)
            await site.wait_for_log("upstream_gone", server_id)
            await faulty.close()
        self.check_host(site)

    async def check_requests(self, site, count):
        """Send requests that may be repeated, and as many that may not."""
        # Of different targets, as one on which several upstreams fail is held back.
        numbers = [next(self.number) for _ in range(count)]
        calls = [site.ask_once(f"/check-free/{number}") for number in numbers]
        bookings = [site.ask_once(f"/book-hall/{number}") for number in numbers]
        statuses = await asyncio.gather(*calls, *bookings)
        self.assertEqual(set(statuses[:count]), {200})
        self.assertLessEqual(set(statuses[count:]), {200, 502})

    async def test_upstreams_that_answer_without_end(self):
        """Guards against a host that one upstream fills, with the compiled parser."""
        await self.check_upstreams(OTHERS)

    async def test_upstreams_that_answer_without_end_to_the_python_parser(self):
        """Guards against a host that one upstream fills, with the parser in Python."""
        await self.check_upstreams(OTHERS, variables=PYTHON_PARSER)

    async def test_bodies_without_end(self):
        """Guards against bodies that are read for longer than their bound."""
        await self.check_upstreams(LONG_BODIES, FEW)

    async def test_bodies_without_end_do_not_wait_for_one_another(self):
        """Guards against bodies that all hold memory and wait for more of it."""
        await self.check_upstreams(LONG_BODIES)

    async def test_many_bodies_without_end_at_a_time(self):
        """Guards against bounds of single answers that add up to more than there is."""
        async with CrowdSite(retry_allowance=RETRIES, slots=SLOTS) as site:
            await site.ask()
            for number in range(4):
                faulty = await site.answer(Answered.CHUNKS)
                await site.register(f"faulty-{number}", faulty.address)
                await site.wait_for_log("upstream_listed", f"faulty-{number}")
            calls = [site.ask_once(f"/book-hall/{n}") for n in range(MANY)]
            statuses = await asyncio.gather(*calls)
            self.assertLessEqual(set(statuses), {200, 502, 503, 504})
            self.check_host(site)
            for number in range(4):
                await site.register(f"faulty-{number}", None)
            self.assertEqual(await site.ask(), 200)
