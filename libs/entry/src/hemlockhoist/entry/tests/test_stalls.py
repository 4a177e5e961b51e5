import asyncio

from hemlockhoist.base import Clock, DispatchError, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.stalls import READ_GRACE_MS, StallWatchdog


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

    async def test_shorter_limit_holds_from_the_first_data(self):
        """Guards against silence after a first event that is noticed a second late."""
        self.watchdog.on_progress(300)
        await asyncio.sleep(0.3 + 2 * READ_GRACE_MS / 1_000)
        self.assertTrue(self.response.closed)

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


class Replacements:
    """Grants another upstream after a time, or refuses; records the searches."""

    def __init__(self, is_granted, after_s=0.0):
        self.is_granted = is_granted
        self.after_s = after_s
        self.searches = 0
        self.cancelled = 0

    async def find(self):
        self.searches += 1
        try:
            await asyncio.sleep(self.after_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.is_granted


class ReplacementTests(PausedTestCase):
    def start(self, replacements):
        response, clock = FakeResponse(), Clock.from_running_loop()
        watchdog = StallWatchdog(response, 1_000, clock, replacements.find)
        watchdog.start()
        self.addCleanup(watchdog.close)
        return response, watchdog

    async def test_silent_upstream_is_kept_while_no_other_is_granted(self):
        """Guards against a stream that is cut for the silence of a busy upstream."""
        replacements = Replacements(is_granted=False)
        response, watchdog = self.start(replacements)
        await asyncio.sleep(3.5)
        self.assertFalse(response.closed)
        self.assertEqual(replacements.searches, 3)
        error = DispatchError("reset", ResultCode.UPSTREAM_BROKE_OFF)
        self.assertIs(watchdog.classify_error(error), error)

    async def test_upstream_is_kept_until_another_is_granted(self):
        """Guards against a stream that is closed before another can continue it."""
        response, _ = self.start(Replacements(is_granted=True, after_s=0.5))
        await asyncio.sleep(1.5)
        self.assertFalse(response.closed)
        await asyncio.sleep(0.1)
        self.assertTrue(response.closed)

    async def test_data_ends_the_search(self):
        """Guards against a grant for a stream that goes on, and a stopped watchdog."""
        replacements = Replacements(is_granted=True, after_s=0.5)
        response, watchdog = self.start(replacements)
        await asyncio.sleep(1.2)
        self.assertEqual(replacements.searches, 1)
        watchdog.on_progress(1_000)
        await asyncio.sleep(0.9)
        self.assertEqual(replacements.cancelled, 1)
        self.assertFalse(response.closed)
        await asyncio.sleep(0.8)
        self.assertTrue(response.closed)

    async def test_closed_watchdog_stops_its_search(self):
        """Guards against a slot that is granted to a stream that has ended."""
        replacements = Replacements(is_granted=True, after_s=0.5)
        _, watchdog = self.start(replacements)
        await asyncio.sleep(1.2)
        watchdog.close()
        await asyncio.sleep(0.1)
        self.assertEqual(replacements.cancelled, 1)
