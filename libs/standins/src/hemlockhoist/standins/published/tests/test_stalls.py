"""End-to-end tests of streams whose upstream falls silent in their middle."""

import asyncio
import contextlib
import unittest
import unittest.mock

from hemlockhoist.entry import stream
from hemlockhoist.standins.published import Behaviour, Replica, Site, route

STALL_MS = 300
# A gap between events that exceeds the stall limit.
LONG_GAP_MS = 600
EVENTS = 4
# How long callers of a route with a short target wait for the first event.
WAIT_LIMIT_MS = 2_000
DEADLINE = {"Deadline_Ms": "9000"}


def report(**fields):
    """Return a resumable route of streams."""
    values = {"target_latency_ms": 4_000, **fields}
    return route(
        "conflict-report",
        "asistente",
        "streaming",
        resumable=True,
        timeout_ms=9_000,
        **values,
    )


def engines(count, slots=4, event_ms=LONG_GAP_MS):
    """Return engines whose events are further apart than the stall limit."""
    found = [Replica(f"e{number}", EVENTS, slots) for number in range(count)]
    for engine in found:
        engine.event_ms = event_ms
    return found


def ran(replicas):
    """Return the number of runs at each of the replicas."""
    return [len(replica.ran) for replica in replicas]


class SilentUpstreamTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        with contextlib.ExitStack() as patches:
            for name, value in (
                ("MIN_FIRST_STALL_MS", STALL_MS),
                ("MIN_STALL_MS", STALL_MS),
                ("GAP_FACTOR", 0),
            ):
                patches.enter_context(unittest.mock.patch.object(stream, name, value))
            self.addCleanup(patches.pop_all().close)

    async def read(self, site, number):
        """Send a request; return its status and the number of its events."""
        path, attempt_id = f"/conflict-report/{number}", f"a{number}"
        async with site.call(path, Attempt_Id=attempt_id, **DEADLINE) as answer:
            body = await answer.read()
            return answer.status, body.count(b"data:")

    async def test_busy_upstreams_that_fall_silent_finish_their_streams(self):
        """Guards against streams that are cut as their busy upstream falls silent."""
        replicas = engines(2, slots=1)
        async with Site({"asistente": replicas}, [report()]) as site:
            answers = [self.read(site, number) for number in range(4)]
            found = await asyncio.gather(*answers)
        self.assertEqual(found, [(200, EVENTS)] * 4)
        self.assertEqual(ran(replicas), [2, 2])

    async def test_silent_upstream_is_kept_after_the_last_attempt(self):
        """Guards against a stream that is cut for silence, with no attempt left."""
        replicas = engines(2)
        async with Site({"asistente": replicas}, [report(max_attempts=1)]) as site:
            self.assertEqual(await self.read(site, 1), (200, EVENTS))
        self.assertEqual(sorted(ran(replicas)), [0, 1])

    async def test_stalled_stream_is_continued_when_its_caller_has_waited_long(self):
        """Guards against a stream that is cut as its request came seconds ago."""
        replicas = engines(2, event_ms=10)
        routes = [report(target_latency_ms=400)]
        async with Site({"asistente": replicas}, routes) as site:
            for number in range(4):
                await self.read(site, number)
            for replica in replicas:
                replica.ran.clear()
                replica.behaviour = Behaviour.STALLS
                replica.delay_ms = WAIT_LIMIT_MS + 300
            answer = asyncio.create_task(self.read(site, 9))
            await asyncio.sleep(0.5)
            (free,) = (replica for replica in replicas if not replica.ran)
            free.behaviour, free.delay_ms = Behaviour.NORMAL, 0
            self.assertEqual(await answer, (200, EVENTS))
        self.assertEqual(ran(replicas), [1, 1])

    async def test_free_upstream_continues_a_stalled_stream(self):
        """Guards against a stream that waits for a dead upstream beside a free one."""
        stalled, free = engines(2, event_ms=10)
        async with Site({"asistente": [stalled, free]}, [report()]) as site:
            stalled.behaviour = Behaviour.STALLS
            found = [await self.read(site, number) for number in range(4)]
        self.assertEqual(found, [(200, EVENTS)] * 4)
        self.assertTrue(stalled.ran)
        self.assertTrue(all(received.closed for received in stalled.ran))

    async def test_silent_upstream_goes_on_before_another_has_answered(self):
        """Guards against a stream that is closed when another is asked to continue."""
        silent, other = engines(2, event_ms=50)
        async with Site({"asistente": [silent, other]}, [report()]) as site:
            answer = asyncio.create_task(self.read(site, 0))
            await wait_until(lambda: silent.ran or other.ran)
            if other.ran:
                silent, other = other, silent
            await asyncio.sleep(0.08)
            silent.is_silent, other.delay_ms = True, 5_000
            await wait_until(lambda: other.ran)
            await asyncio.sleep(0.1)
            silent.is_silent = False
            self.assertEqual(await answer, (200, EVENTS))
            self.assertFalse(silent.ran[0].closed)
        self.assertEqual(ran([silent, other]), [1, 1])

    async def test_failure_of_the_next_upstream_leaves_a_silent_stream_open(self):
        """Guards against a stream that is lost as another failed to continue it."""
        silent, other = engines(2, event_ms=50)
        async with Site({"asistente": [silent, other]}, [report()]) as site:
            answer = asyncio.create_task(self.read(site, 0))
            await wait_until(lambda: silent.ran or other.ran)
            if other.ran:
                silent, other = other, silent
            await asyncio.sleep(0.08)
            silent.is_silent, other.behaviour = True, Behaviour.RESETS
            await wait_until(lambda: other.ran)
            await asyncio.sleep(0.1)
            silent.is_silent = False
            self.assertEqual(await answer, (200, EVENTS))


class ShortSilenceTests(unittest.IsolatedAsyncioTestCase):
    """Sound upstreams are silent for a second or so, with the limits in use."""

    SILENCE_S = 1.7

    async def test_streams_and_calls_outlast_a_short_silence(self):
        """Guards against a sound upstream that is given up for a second's silence."""
        streams, calls = engines(2, event_ms=100), [Replica("s0"), Replica("s1")]
        lookup = route("check-free", "reservas", timeout_ms=4_000)
        services = {"asistente": streams, "reservas": calls}
        async with Site(services, [report(), lookup]) as site:
            answers = [asyncio.create_task(self.stream(site, n)) for n in range(4)]
            answers += [asyncio.create_task(self.call(site, n)) for n in range(4)]
            await wait_until(lambda: sum(ran(streams)) == 4)
            replicas = streams + calls
            for replica in replicas:
                replica.is_silent = True
            answers += [asyncio.create_task(self.call(site, n)) for n in range(4, 8)]
            await asyncio.sleep(self.SILENCE_S)
            for replica in replicas:
                replica.is_silent = False
            found = await asyncio.gather(*answers)
            for home in site.hosts[0].context.homes.active().values():
                self.assertEqual(home.counts(), (0, 0))
            self.assertEqual(await self.call(site, 9), 200)
        self.assertEqual(found, [(200, EVENTS)] * 4 + [200] * 8)
        self.assertEqual(sum(ran(streams)), 4)
        self.assertEqual(sum(ran(calls)), 9)

    async def stream(self, site, number):
        headers = {"Attempt_Id": f"a{number}", **DEADLINE}
        async with site.call(f"/conflict-report/{number}", **headers) as answer:
            body = await answer.read()
            return answer.status, body.count(b"data:")

    async def call(self, site, number):
        headers = {"Attempt_Id": f"c{number}", "Deadline_Ms": "4000"}
        async with site.call(f"/check-free/{number}", **headers) as answer:
            await answer.read()
            return answer.status


async def wait_until(condition):
    """Wait until a condition without arguments holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)
