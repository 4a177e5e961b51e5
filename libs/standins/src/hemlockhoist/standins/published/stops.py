"""Planned stops of a site's hosts in one process, for tests."""

import asyncio

from hemlockhoist.base import MS_PER_S
from hemlockhoist.entry import FleetBounds
from hemlockhoist.standins.published.site import Site, route

BOOKING = route(
    "book-hall", "reservas", "non_idempotent", max_attempts=1, timeout_ms=9_000
)
LOOKUP = route("check-free", "reservas", timeout_ms=9_000)
SUMMARY = route("summary", "asistente", "streaming", max_attempts=1, timeout_ms=60_000)
# Headers of a request whose limit exceeds most graces.
LONG = {"Deadline_Ms": "9000"}


def stopping_site(*replicas, stop_ms, **options):
    """Return a site of two hosts with a grace, for replicas of either kind."""
    services = {"reservas": [], "asistente": []}
    for replica in replicas:
        services["asistente" if replica.events else "reservas"].append(replica)
    routes, bounds = [BOOKING, LOOKUP, SUMMARY], FleetBounds(stop_ms=stop_ms)
    return Site(services, routes, hosts=2, bounds=bounds, **options)


async def stop(host):
    """Stop a host as its process does; return how long it took in milliseconds."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    host.begin_drain()
    await host.finished.wait()
    await host.close()
    return MS_PER_S * (loop.time() - began_s)


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


async def until_runs(replica):
    """Wait until a replica runs a request."""
    await until(lambda: replica.ran)
