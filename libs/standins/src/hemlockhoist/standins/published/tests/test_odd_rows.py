"""End-to-end tests of rows that another writer left beside valid ones."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Replica, Site, route

LOOKUP = route("check-free", "reservas")
NESTED = b'{"x": ' + b"[" * 60_000 + b"]" * 60_000 + b"}"
IN_FORCE_S = 0.5
REQUESTS = 30


class OddRowTests(PausedSocketTestCase):
    async def asyncSetUp(self):
        self.replicas = {"reservas": [Replica("a1"), Replica("b1")]}
        site = Site(self.replicas, [LOOKUP], hosts=2)
        self.site = await self.enterAsyncContext(site)

    async def statuses(self, host):
        found = []
        for number in range(REQUESTS):
            async with self.site.call(f"/check-free/{number}", host=host) as answer:
                await answer.read()
                found.append(answer.status)
        return found

    async def check_served(self):
        await asyncio.sleep(IN_FORCE_S)
        for host in range(len(self.site.hosts)):
            self.assertEqual(await self.statuses(host), [200] * REQUESTS)

    async def replace_replicas(self):
        """Replace all replicas while the odd rows stand."""
        for old in self.replicas["reservas"]:
            await self.site.store.put("servers", old.replica_id, None)
        for name in ("a2", "b2"):
            replica = Replica(name)
            await replica.start()
            self.addAsyncCleanup(replica.close)
            await self.site.register_replica("reservas", replica)

    async def test_nested_row_among_the_upstreams(self):
        """Guards against a list of upstreams that is not followed any more."""
        await self.check_served()
        # The hosts read these rows together.
        await self.site.store.put("servers", "odd", NESTED)
        await self.replace_replicas()
        await self.check_served()

    async def test_upstreams_with_addresses_that_none_can_connect_to(self):
        """Guards against callers that are told that their requests are invalid."""
        valid = self.replicas["reservas"][0].row("reservas")
        ports = ("99999", "-1", "84x", "80\0", "0", "80/x")
        for number, port in enumerate(ports):
            row = {**valid, "address": f"127.0.0.1:{port}"}
            await self.site.store.put("servers", f"odd{number}", row)
        await self.check_served()
        await self.replace_replicas()
        await self.check_served()

    async def test_host_starts_beside_odd_rows(self):
        """Guards against hosts that start and never get ready, or serve nobody."""
        for table in ("servers", "hosts", "spent", "crashing_parts"):
            await self.site.store.put(table, "odd", NESTED)
        await self.site.add_host(2)
        await self.site.wait_ready()
        await self.check_served()
