"""Signals that reach an entry host process while its program is loaded."""

import asyncio
import signal
import tempfile
import unittest

from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.soak.hosts import HostProcess

ROUTES = [route("check-free", "reservas")]
BOUNDS = {
    "revocation_ms": 5_000,
    "drain_ms": 2_000,
    "retry_ratio": 0.2,
    "retry_allowance": 50,
    "retry_window_s": 10,
}
START_TIMEOUT_S = 20


class EarlySignalTests(unittest.IsolatedAsyncioTestCase):
    async def wait_until_accepting(self, address):
        """Wait until the listening socket is open, which precedes the loading."""
        ip, _, port = address.rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(0.002)
            else:
                writer.close()
                return

    async def test_changed_settings_end_no_process_that_loads(self):
        """Guards against a host that SIGHUP ends before its handler is installed."""
        site = Site({"asistente": [], "reservas": [Replica("a")]}, ROUTES, hosts=0)
        await self.enterAsyncContext(site)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        host = HostProcess(0, site.store.address, folder, BOUNDS)
        self.addAsyncCleanup(host.close)
        async with asyncio.timeout(START_TIMEOUT_S):
            await host.start()
            await self.wait_until_accepting(host.address)
            host.send(signal.SIGHUP)
            while not await host.is_ready():
                self.assertTrue(host.is_running)
                await asyncio.sleep(0.02)
