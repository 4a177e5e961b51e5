"""A site in one process: a store, replicas and entry hosts."""

import asyncio
import contextlib
import socket

import aiohttp
import yarl

from hemlockhoist.base import SuspendAwareClock
from hemlockhoist.entry import EntrySettings, FleetBounds
from hemlockhoist.entry.process import EntryProcess
from hemlockhoist.platform.adapter import PlatformAdapter
from hemlockhoist.standins.published.store import StoreStandin

HOST_NAME = "halls.example"
KEY = "key-of-aulas"
READY_TIMEOUT_S = 5
NS_PER_S = 10**9
REGIONS = {"a": "north", "b": "north", "c": "south"}


def route(name, service, kind="idempotent", **fields):
    """Return the declaration of a route with prefix ``/NAME/``."""
    values = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2_000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
    }
    return {**values, **fields}


class SkippingClock:
    """A monotonic clock that can be advanced at will.

    It simulates a suspension of the machine, during which the clock of the event loop
    does not advance. Otherwise it follows that clock.
    """

    __slots__ = ("_skipped_ns",)

    def __init__(self):
        self._skipped_ns = 0

    def skip_s(self, seconds):
        """Advance the clock by ``seconds``."""
        self._skipped_ns += seconds * NS_PER_S

    def read_ns(self):
        """Return the time in nanoseconds."""
        now_s = asyncio.get_running_loop().time()
        return int(now_s * NS_PER_S) + self._skipped_ns


class Site:
    """An asynchronous context manager that runs a site.

    Parameters
    ==========
    replicas : mapping of str to list of Replica
        By service.
    routes : list of dict
    hosts : int
        Number of entry hosts.
    bounds : FleetBounds, optional
    tenants : list of dict, optional
    boot_clock : SkippingClock, optional
        The clock that advances during suspensions.
    services : dict of str to dict, optional
        Additional fields of declared services.
    settings : dict, optional
        Additional fields of the hosts' ``EntrySettings``.
    """

    def __init__(
        self,
        replicas,
        routes,
        hosts=1,
        bounds=None,
        tenants=None,
        boot_clock=None,
        services=None,
        settings=None,
    ):
        self._settings = settings or {}
        self._services = services or {}
        self.replicas = replicas
        self.store = StoreStandin()
        self.hosts = []
        self.session = None
        self._routes = routes
        self._host_count = hosts
        self._bounds = bounds or FleetBounds()
        self._tenants = tenants
        self._boot_clock = boot_clock
        self._version = 0
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._open(self.store)
        for service, replicas in self.replicas.items():
            for replica in replicas:
                await self._open(replica)
                await self.register_replica(service, replica)
        await self.declare(self._routes)
        for number in range(self._host_count):
            await self.add_host(number)
        self.session = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False)
        )
        await self.wait_ready()
        return self

    async def __aexit__(self, *error):
        await self._exit_stack.aclose()

    async def _open(self, part):
        await part.start()
        self._exit_stack.push_async_callback(part.close)
        return part

    async def declare(self, routes, **fields):
        """Write a new version of the declarations to the store."""
        self._version += 3
        tenants = self._tenants
        if tenants is None:
            tenants = [{"name": "aulas", "api_keys": [KEY], "priority": 1}]
        body = {
            "version": self._version,
            "route_table": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": 100,
                    **self._services.get(name, {}),
                }
                for name in self.replicas
            ],
            "limits": {},
            "tenants": tenants,
        }
        await self.store.put("op", "config", {**body, **fields})

    async def register_replica(self, service, replica, **fields):
        """Write the row of a replica to the store, as the replica does."""
        row = replica.row(service, **fields)
        await self.store.put("servers", replica.replica_id, row)

    async def evacuate(self, zone):
        """Order the evacuation of a zone, so that its replicas get no more requests."""
        await self.store.put("op", f"evacuate/{zone}", {})

    async def end_evacuation(self, zone):
        """End the evacuation of a zone."""
        await self.store.put("op", f"evacuate/{zone}", None)

    async def add_host(self, number):
        """Start an entry host and return it."""
        host = self.new_host(number)
        self.hosts.append(await self._open(host))
        return host

    def new_host(self, number):
        """Return an entry host that has not been started, and is no part of the site."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        port = listener.getsockname()[1]
        settings = EntrySettings(
            name=f"h{number}",
            failure_domain="a",
            region=REGIONS["a"],
            regions_by_domain=REGIONS,
            caller_address=f"127.0.0.1:{port}",
            readiness_address="127.0.0.1:0",
            directory_address="",
            peer_address="127.0.0.1:0",
            relay_address="127.0.0.1:0",
            store_address=self.store.address,
            bounds=self._bounds,
            **self._settings,
        )
        boot_clock = self._boot_clock or SkippingClock()
        clock = SuspendAwareClock(boot_clock.read_ns)
        platform = PlatformAdapter(settings, clock)
        return EntryProcess(settings, platform, clock, listener)

    async def wait_ready(self):
        """Wait until all hosts are ready and have discovered one another."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(host) for host in self.hosts):
                await asyncio.sleep(0.01)

    def _is_ready(self, host):
        store_view = host.context.store_view
        live = len(host.context.fleet.live_hosts())
        return (
            store_view.is_complete and store_view.is_fresh() and live >= len(self.hosts)
        )

    def url(self, path, host=0):
        """Return the URL of an already encoded path at one of the hosts."""
        address = self.hosts[host].settings.caller_address
        return yarl.URL(f"http://{address}{path}", encoded=True)

    def call(self, path, host=0, method="GET", body=None, **headers):
        """Return a context manager that sends a request; None omits a header."""
        values = {
            "Host": HOST_NAME,
            "Attempt-Id": "a1",
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        sent = {k: v for k, v in {**values, **named}.items() if v is not None}
        return self.session.request(
            method, self.url(path, host), data=body, headers=sent
        )
