"""End-to-end tests of routes that change while their requests wait."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica, Site, route
from hemlockhoist.standins.published.site import KEY

RUN_MS = 500
WAIT_MS = 4_000
SEARCH = route("search", "halls", timeout_ms=WAIT_MS)
OTHER = route("other", "halls", timeout_ms=WAIT_MS)


class ChangedRouteTests(PausedSocketTestCase):
    async def asyncSetUp(self):
        self.first, self.second = Replica("i-1", slots=1), Replica("i-2", slots=1)
        self.first.delay_ms = RUN_MS
        replicas = {"halls": [self.first], "rooms": [self.second]}
        self.site = Site(replicas, [SEARCH, OTHER], hosts=2)
        await self.enterAsyncContext(self.site)

    async def declare(self, *routes, **fields):
        """Change the routes, and wait until all hosts have them in force."""
        await self.site.declare(list(routes), **fields)
        version = self.site.store.payloads("op")[0]["version"]
        while any(
            host.context.store_view.routes.version < version for host in self.site.hosts
        ):
            await asyncio.sleep(0.01)

    async def send(self, name, **fields):
        headers = {"Attempt_Id": name, "Deadline_Ms": str(WAIT_MS), **fields}
        async with self.site.call(f"/search/{name}", **headers) as answer:
            await answer.read()
            return answer.status

    async def send_beside_change(self, *routes, **fields):
        """Return the statuses of a request that runs, and of one that waits for it."""
        running = asyncio.create_task(self.send("running"))
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(self.send("waiting"))
        await asyncio.sleep(0.1)
        await self.declare(*routes, **fields)
        return await running, await waiting

    async def test_request_that_waits_is_not_sent_by_a_dropped_route(self):
        """Guards against a route that is followed after the host knows it is gone."""
        statuses = await self.send_beside_change(OTHER)
        self.assertEqual(statuses, (200, 404))
        self.assertEqual([item.target for item in self.first.ran], ["/search/running"])

    async def test_request_that_waits_is_sent_by_the_changed_route(self):
        """Guards against the previous service of a route that got a new one."""
        changed = route("search", "rooms", timeout_ms=WAIT_MS)
        statuses = await self.send_beside_change(changed, OTHER)
        self.assertEqual(statuses, (200, 200))
        self.assertEqual([item.target for item in self.second.ran], ["/search/waiting"])

    async def test_request_that_waits_is_sent_once_if_another_route_changes(self):
        """Guards against requests that lose their place for each change."""
        statuses = await self.send_beside_change(SEARCH)
        self.assertEqual(statuses, (200, 200))
        self.assertEqual(len(self.first.ran), 2)

    async def test_request_that_waits_runs_for_the_present_holder_of_its_key(self):
        """Guards against a request that is run for the previous holder of its key."""
        tenants = [
            {"name": "aulas", "api_keys": ["key-other"], "priority": 1},
            {"name": "escuelas", "api_keys": [KEY], "priority": 1},
        ]
        statuses = await self.send_beside_change(SEARCH, OTHER, tenants=tenants)
        self.assertEqual(statuses, (200, 200))
        names = [item.headers["tenant"] for item in self.first.ran]
        self.assertEqual(names, ["aulas", "escuelas"])

    async def test_request_that_waits_is_admitted_again_at_once(self):
        """Guards against one whose change is found as its slot comes, with no time left."""
        self.first.delay_ms = 4 * RUN_MS
        tenants = [{"name": "escuelas", "api_keys": ["key-other"], "priority": 1}]
        running = asyncio.create_task(self.send("running"))
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(self.send("waiting"))
        await asyncio.sleep(0.1)
        await self.declare(SEARCH, OTHER, tenants=tenants)
        self.assertEqual(await waiting, 401)
        self.assertFalse(running.done())
        await running

    async def test_request_that_was_sent_is_not_sent_again_for_another_holder(self):
        """Guards against a second attempt for a customer that no longer has the key."""
        tenants = [{"name": "escuelas", "api_keys": [KEY], "priority": 1}]
        self.first.behaviour = Behaviour.RESETS
        sent = asyncio.create_task(self.send("sent"))
        await asyncio.sleep(RUN_MS / 2_000)
        await self.declare(SEARCH, OTHER, tenants=tenants)
        self.assertEqual(await sent, 502)
        self.assertEqual(len(self.first.ran), 1)

    async def test_request_that_waits_without_a_key_is_refused_once_it_needs_one(self):
        """Guards against a request without a customer on a route that needs one."""
        await self.declare({**SEARCH, "anonymous": True}, OTHER)
        running = asyncio.create_task(self.send("running", Authorization=None))
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(self.send("waiting", Authorization=None))
        await asyncio.sleep(0.1)
        await self.declare(SEARCH, OTHER)
        self.assertEqual((await running, await waiting), (200, 401))
        self.assertEqual([item.target for item in self.first.ran], ["/search/running"])
