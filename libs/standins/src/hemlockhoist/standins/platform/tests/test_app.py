import asyncio
import unittest

import aiohttp

from hemlockhoist.standins.platform import PlatformStandin
from hemlockhoist.standins.serving import serving


class PlatformTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin.from_config(weights_per_second=2)
        self.serving = serving(self.standin)
        await self.serving.__aenter__()
        self.session = aiohttp.ClientSession(self.standin.server.url)

    async def asyncTearDown(self):
        await self.session.close()
        await self.serving.__aexit__(None, None, None)

    async def _call(self, method, path, **options):
        async with self.session.request(method, path, **options) as response:
            return response.status, await response.json()

    async def test_conditional_put(self):
        """A write whose condition fails gets status 412 and the current version."""
        value = {"value": "x"}
        absent = {"If-None-Match": "*"}
        first = await self._call("PUT", "/tables/t/k", json=value, headers=absent)
        self.assertEqual(first, (200, {"version": 1}))
        status, body = await self._call(
            "PUT", "/tables/t/k", json=value, headers={"If-Match": "7"}
        )
        self.assertEqual((status, body["version"]), (412, 1))
        self.assertEqual((await self._call("GET", "/tables/t/other"))[0], 404)
        counts = await self._call("GET", "/-/counts")
        self.assertEqual(counts[1], {"reads": 1, "writes": 1})

    async def test_host_list_lags(self):
        """A change of the list shows after the lag, and not while the list is stale."""
        await self._call("PUT", "/-/hosts", json={"lag_ms": 100})
        await self._call("PUT", "/-/hosts", json={"members": [{"id": "h"}]})
        self.assertEqual((await self._call("GET", "/hosts"))[1]["members"], [])
        await asyncio.sleep(0.15)
        await self._call("POST", "/-/faults", json={"hosts_stale": True})
        await self._call("PUT", "/-/hosts", json={"members": [], "lag_ms": 0})
        self.assertEqual(len((await self._call("GET", "/hosts"))[1]["members"]), 1)
        await self._call("POST", "/-/faults", json={})
        self.assertEqual((await self._call("GET", "/hosts"))[1]["members"], [])

    async def test_stores(self):
        """Objects are returned unchanged; weight reads over the rate limit get 429."""
        await self.session.put("/objects/a/b", data=b"body")
        async with self.session.get("/objects/a/b") as response:
            self.assertEqual(await response.read(), b"body")
        await self.session.put("/-/weights/w", data=b"weights")
        statuses = []
        for _ in range(3):
            async with self.session.get("/weights/w") as response:
                statuses.append(response.status)
        self.assertEqual(statuses, [200, 200, 429])
        self.assertEqual(response.headers["Retry-After"], "1")

    async def test_outage_has_no_effect(self):
        """During an outage nothing is written; counts and faults stay accessible."""
        await self._call("POST", "/-/faults", json={"outage": True})
        status, _ = await self._call("PUT", "/tables/t/k", json={"value": 1})
        self.assertEqual(status, 503)
        self.assertEqual((await self._call("GET", "/-/counts"))[1]["writes"], 0)
