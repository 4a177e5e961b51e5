"""Planned stops of entry host processes by signals, killed at the end of the grace."""

import asyncio
import collections
import itertools
import signal
import tempfile
import types
import unittest

from hemlockhoist.standins.published import Behaviour, Replica, Site, route
from hemlockhoist.standins.published.raw import call_raw
from hemlockhoist.standins.published.soak.hosts import HostProcess

BOOKING = route(
    "book-hall", "reservas", "non_idempotent", max_attempts=1, timeout_ms=9_000
)
SUMMARY = route("summary", "asistente", "streaming", max_attempts=1, timeout_ms=9_000)
BOUNDS = {
    "revocation_ms": 5_000,
    "drain_ms": 2_000,
    "retry_ratio": 0.2,
    "retry_allowance": 50,
    "retry_window_s": 10,
}
START_TIMEOUT_S = 20
CALL_INTERVAL_S = 0.02


class StoppedProcessTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, stop_ms):
        """Start a site with a host in a process of its own; set the attributes."""
        self.bookings = Replica("s1", slots=400)
        self.streams = Replica("e1", events=400, slots=20)
        self.streams.event_ms = 50
        services = {"reservas": [self.bookings], "asistente": [self.streams]}
        site = Site(services, [BOOKING, SUMMARY], hosts=0)
        self.site = await self.enterAsyncContext(site)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.host = HostProcess(
            0, self.site.store.address, folder, BOUNDS, stop_ms=stop_ms
        )
        settings = types.SimpleNamespace(caller_address=self.host.address)
        self.site.hosts.append(types.SimpleNamespace(settings=settings))
        self.addAsyncCleanup(self.host.close)
        await self.host.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.host.is_ready():
                await asyncio.sleep(0.02)

    def call(self, path, limit_ms):
        """Return the task of a request."""
        call = call_raw(
            self.site, path, method="POST", body=b"x", Deadline_Ms=str(limit_ms)
        )
        return asyncio.create_task(call)

    async def call_until_refused(self, *limits_ms):
        """Send requests until no connection is accepted.

        Returns
        =======
        list of list of asyncio.Task
            For each time limit.
        """
        tasks = [[] for _ in limits_ms]
        for number, limit_ms in enumerate(itertools.cycle(limits_ms)):
            task = self.call(f"/book-hall/{number}", limit_ms)
            await asyncio.sleep(CALL_INTERVAL_S)
            if task.done() and isinstance(task.exception(), ConnectionRefusedError):
                return tasks
            tasks[number % len(limits_ms)].append(task)
        return None

    async def send_signals(self, stop_ms):
        """Stop the host as impatient supervisors do."""
        stopping = asyncio.create_task(self.host.stop())
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            await asyncio.sleep(stop_ms / 10_000)
            self.host.send(number)
        return await stopping

    async def test_each_request_of_a_stopped_process_has_an_answer(self):
        """Guards against requests that a planned stop cuts without an answer."""
        for stop_ms in (1_000, 3_000):
            with self.subTest(stop_ms=stop_ms):
                await self.check_answers(stop_ms)

    async def check_answers(self, stop_ms):
        await self.start(stop_ms)
        self.bookings.behaviour = Behaviour.HANGS
        open_calls = [self.call(f"/book-hall/open-{n}", 9_000) for n in range(20)]
        streams = [self.call(f"/summary/{n}", 9_000) for n in range(5)]
        while len(self.bookings.ran) < 20 or len(self.streams.ran) < 5:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        self.bookings.behaviour = Behaviour.NORMAL
        self.bookings.delay_ms = 50
        stopping = asyncio.create_task(self.send_signals(stop_ms))
        long, short = await self.call_until_refused(9_000, stop_ms // 3)
        ended_by_itself = await stopping
        statuses = collections.Counter(
            [answer.status for answer in await asyncio.gather(*open_calls)]
        )
        self.assertEqual(statuses, {502: 20})
        refused = [answer.status for answer in await asyncio.gather(*long)]
        self.assertGreater(len(refused), 5)
        self.assertEqual(set(refused), {503})
        answers = await asyncio.gather(*short)
        served = collections.Counter(answer.status for answer in answers)
        self.assertNotIn(None, served)
        self.assertEqual(len(self.bookings.ran), 20 + len(short) - served[503])
        for answer in await asyncio.gather(*streams):
            self.assertEqual(answer.status, 200)
            self.assertFalse(answer.states_end)
        self.assertTrue(ended_by_itself)
        self.assertEqual(self.host.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
