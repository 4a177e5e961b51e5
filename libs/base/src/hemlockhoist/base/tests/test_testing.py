import asyncio
import time

from hemlockhoist.base import Clock
from hemlockhoist.base.testing import PausedSocketTestCase, PausedTestCase

LINES = 100


class PausedLoopTests(PausedTestCase):
    async def test_sleep_advances_virtual_time(self):
        """Sleeping for an hour advances the clock by exactly one hour, at once."""
        clock = Clock(asyncio.get_running_loop())
        before_ms = clock.now_ms()
        await asyncio.sleep(3600)
        self.assertEqual(clock.now_ms() - before_ms, 3_600_000)


class PausedSocketLoopTests(PausedSocketTestCase):
    async def asyncSetUp(self):
        self.clock = Clock(asyncio.get_running_loop())

    async def test_answer_after_an_hour_takes_no_longer(self):
        """Guards against a clock that jumps while data is on its way."""

        async def answer(reader, writer):
            for _ in range(LINES):
                line = await reader.readline()
                await asyncio.sleep(3600)
                writer.write(line)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server:
            address = server.sockets[0].getsockname()
            before_ms = self.clock.now_ms()
            reader, writer = await asyncio.open_connection(*address)
            for number in range(LINES):
                line = b"%d\n" % number
                writer.write(line)
                async with asyncio.timeout(3601):
                    self.assertEqual(await reader.readline(), line)
            self.assertEqual(self.clock.now_ms() - before_ms, LINES * 3_600_000)
            writer.close()
            await writer.wait_closed()

    async def test_clock_stands_still_while_a_thread_works(self):
        """Guards against time limits that pass while a thread works for the loop."""
        before_ms = self.clock.now_ms()
        async with asyncio.timeout(0.001):
            await asyncio.to_thread(time.sleep, 0.05)
        self.assertEqual(self.clock.now_ms(), before_ms)
