"""A store whose answers never end, at a host with little memory."""

import asyncio
import unittest

from hemlockhoist.standins.crowds import peak_memory_mb
from hemlockhoist.standins.crowds.answered import Answered
from hemlockhoist.standins.crowds.cases import MEMORY_MB, PYTHON_PARSER, CrowdSite

FAULT_S = 3.0
READ_TIMEOUT_S = 15.0
OF_STORES = (
    Answered.INTERIM_ANSWERS,
    Answered.CHUNKS,
    Answered.CHUNK_EXTENSION,
    Answered.COMPRESSED,
    Answered.ANSWERS,
)


class StoreCrowdTests(unittest.IsolatedAsyncioTestCase):
    def check_host(self, site):
        self.assertTrue(site.host.is_running)
        self.assertLess(peak_memory_mb(site.host.process.pid), MEMORY_MB)

    async def check_store(self, kind, variables=None):
        """Let the store answer without end for a while."""
        async with CrowdSite(variables, kind) as site:
            await site.ask()
            site.break_store()
            async with asyncio.timeout(FAULT_S):
                # Hosts serve by what they have read.
                self.assertEqual(await site.ask(), 200)
            await asyncio.sleep(FAULT_S)
            self.check_host(site)
            site.heal_store()
            async with asyncio.timeout(READ_TIMEOUT_S):
                self.assertEqual(await site.ask(), 200)
            self.check_host(site)

    async def test_store_that_answers_without_end(self):
        """Guards against a host that its store fills, with the compiled parser."""
        for kind in OF_STORES:
            with self.subTest(kind):
                await self.check_store(kind)

    async def test_store_that_answers_without_end_to_the_python_parser(self):
        """Guards against a host that its store fills, with the parser in Python."""
        for kind in OF_STORES:
            with self.subTest(kind):
                await self.check_store(kind, PYTHON_PARSER)
