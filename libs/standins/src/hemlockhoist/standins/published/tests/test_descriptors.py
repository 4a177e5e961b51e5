"""End-to-end tests of hosts whose descriptors are nearly used up."""

import asyncio
import unittest

import aiohttp

from hemlockhoist.standins.published import Behaviour, Replica, Site, route

ROUTES = [route("lookup", "reservas", timeout_ms=8_000)]
# Leaves a few dozen for callers beside what is reserved for other uses.
MAX_DESCRIPTORS = 120
IDLE_COUNT = 60
SETTLED_S = 1.0
# Within this time a host that says ready takes a new caller.
CONTACT_S = 4.0


def small_site(*replicas):
    """Return a site of one host with few descriptors."""
    return Site(
        {"reservas": list(replicas)},
        ROUTES,
        services={"reservas": {"max_connections": 1_000}},
        settings={"max_descriptors": MAX_DESCRIPTORS},
    )


async def open_idle(site, count, first=b""):
    """Open connections, and send the same bytes on each; return their streams."""
    url = site.url("/")
    streams = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection(url.host, url.port)
        writer.write(first)
        streams.append((reader, writer))
    return streams


def count_open(streams):
    """Return the number of connections that the host has not closed."""
    return sum(
        not reader.at_eof() and reader.exception() is None for reader, _ in streams
    )


def abort_all(streams):
    """End all connections."""
    for _, writer in streams:
        writer.transport.abort()


async def wait_for_status(site, status):
    """Wait until the host's readiness has a status.

    Raises
    ======
    TimeoutError
        A caller would not be taken by then.
    """
    async with asyncio.timeout(CONTACT_S):
        while await ready_status(site) != status:
            await asyncio.sleep(0.05)


async def ready_status(site):
    """Return the status of the host's readiness."""
    address = site.hosts[0].status.addresses[0]
    url = f"http://{address}{site.hosts[0].context.platform.readiness_path}"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return answer.status


class DescriptorTests(unittest.IsolatedAsyncioTestCase):
    async def test_idle_connections_make_room_for_new_callers(self):
        """Guards against callers that open connections, send nothing and stay."""
        for first in (b"", b"GET /lookup/1 HTTP/1.1\r\nHost:"):
            with self.subTest(first=first):
                async with small_site(Replica("i-1")) as site:
                    streams = await open_idle(site, IDLE_COUNT, first)
                    await asyncio.sleep(SETTLED_S)
                    self.assertLess(count_open(streams), IDLE_COUNT)
                    async with asyncio.timeout(CONTACT_S):
                        async with site.call("/lookup/1") as answer:
                            self.assertEqual(answer.status, 200)
                    abort_all(streams)

    async def test_host_without_room_for_a_caller_is_not_ready(self):
        """Guards against a host that is named to callers which it can't take."""
        replicas = [Replica(f"i-{number}", slots=100) for number in range(4)]
        for replica in replicas:
            replica.behaviour = Behaviour.HANGS
        async with small_site(*replicas) as site:
            head = b"GET /lookup/1 HTTP/1.1\r\nHost: halls.example\r\n"
            head += b"Authorization: Bearer key-of-aulas\r\nAttempt-Id: a\r\n"
            head += b"Deadline-Ms: 7000\r\n\r\n"
            streams = await open_idle(site, IDLE_COUNT, head)
            await wait_for_status(site, 503)
            abort_all(streams)
            await wait_for_status(site, 200)
