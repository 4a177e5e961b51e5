import asyncio
import time
import unittest

from hemlockhoist.base import MS_PER_S, io_timeout
from hemlockhoist.base.testing import PausedTestCase

LIMIT_MS = 100


class PausedProcessTests(unittest.IsolatedAsyncioTestCase):
    async def test_data_received_during_a_pause_is_in_time(self):
        """Guards against a live peer that seems unreachable after a pause."""
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, 3 * LIMIT_MS / MS_PER_S)
        async with io_timeout(LIMIT_MS):
            transport, _ = await loop.create_connection(
                asyncio.Protocol, "127.0.0.1", port
            )
        transport.close()

    async def test_pause_does_not_disable_the_limit(self):
        """Guards against a wait without end after a pause."""
        asyncio.get_running_loop().call_soon(time.sleep, 3 * LIMIT_MS / MS_PER_S)
        with self.assertRaises(TimeoutError):
            async with io_timeout(LIMIT_MS):
                await asyncio.sleep(60)


class LimitTests(PausedTestCase):
    async def test_limit_is_not_extended_without_a_pause(self):
        """Guards against failures that are found later than the limit says."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with self.assertRaises(TimeoutError):
            async with io_timeout(LIMIT_MS):
                await asyncio.sleep(60)
        self.assertAlmostEqual(loop.time() - started_s, LIMIT_MS / MS_PER_S)

    async def test_timer_ends_with_the_operation(self):
        """Guards against a timer that cancels what the task does later."""
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        async with io_timeout(LIMIT_MS):
            await asyncio.sleep(0)
        await asyncio.sleep(2 * LIMIT_MS / MS_PER_S)
        self.assertEqual(errors, [])

    async def test_cancellation_is_no_timeout(self):
        """Guards against a cancelled operation that is reported as timed out."""

        async def wait():
            async with io_timeout(LIMIT_MS):
                await asyncio.sleep(60)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
