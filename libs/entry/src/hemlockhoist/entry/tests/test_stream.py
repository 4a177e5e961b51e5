import asyncio

from hemlockhoist.base import Clock, DispatchError, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.stream import READ_GRACE_MS, StallWatchdog


class FakeResponse:
    """Records whether it was closed."""

    closed = False

    def close(self):
        self.closed = True


class StallWatchdogTests(PausedTestCase):
    async def asyncSetUp(self):
        self.response = FakeResponse()
        self.watchdog = StallWatchdog(self.response, 1_000, Clock.from_running_loop())
        self.watchdog.start()
        self.addCleanup(self.watchdog.close)

    async def test_unresponsive_upstream_is_abandoned(self):
        """Guards against a stream that hangs while another upstream could resume it."""
        await asyncio.sleep(0.999)
        self.assertFalse(self.response.closed)
        await asyncio.sleep(0.2)
        self.assertTrue(self.response.closed)
        connection_error = DispatchError("closed", ResultCode.UPSTREAM_BROKE_OFF)
        error = self.watchdog.classify_error(connection_error)
        self.assertIs(error.code, ResultCode.UPSTREAM_TIMEOUT)

    async def test_progress_extends_the_limit(self):
        for _ in range(5):
            await asyncio.sleep(0.8)
            self.watchdog.on_progress(1_000)
        self.assertFalse(self.response.closed)

    async def test_events_received_during_a_suspension_are_read_first(self):
        """Guards against abandoning a stream whose rest is available.

        The host resumes from a suspension after the limit has passed. What the upstream
        sent meanwhile is in the socket, and is read in the event loop's next iteration.
        """
        await asyncio.sleep(1.0 + READ_GRACE_MS / 2_000)
        self.watchdog.on_progress(1_000)
        await asyncio.sleep(0.9)
        self.assertFalse(self.response.closed)

    async def test_error_before_the_limit_is_unchanged(self):
        connection_error = DispatchError("reset", ResultCode.UPSTREAM_BROKE_OFF)
        self.assertIs(self.watchdog.classify_error(connection_error), connection_error)

    async def test_watchdog_without_a_limit_never_closes(self):
        response = FakeResponse()
        watchdog = StallWatchdog(response, None, Clock.from_running_loop())
        watchdog.start()
        await asyncio.sleep(3_600)
        self.assertFalse(response.closed)
        watchdog.close()
