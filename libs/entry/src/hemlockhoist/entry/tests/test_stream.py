import asyncio

from hemlockhoist.base import Clock, DispatchError, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.stream import READ_GRACE_MS, StallWatchdog


class FakeAnswer:
    """Notes when it was closed."""

    closed = False

    def close(self):
        self.closed = True


class StallWatchTests(PausedTestCase):
    async def asyncSetUp(self):
        self.answer = FakeAnswer()
        self.watch = StallWatchdog(self.answer, 1_000, Clock.from_running_loop())
        self.watch.start()
        self.addCleanup(self.watch.close)

    async def test_silent_upstream_is_given_up(self):
        """A report stands still for good, and another engine could go on with it."""
        await asyncio.sleep(0.999)
        self.assertFalse(self.answer.closed)
        await asyncio.sleep(0.2)
        self.assertTrue(self.answer.closed)
        broken = DispatchError("closed", ResultCode.UPSTREAM_BROKE_OFF)
        error = self.watch.classify_error(broken)
        self.assertIs(error.code, ResultCode.UPSTREAM_TIMEOUT)

    async def test_progress_moves_the_limit(self):
        for _ in range(5):
            await asyncio.sleep(0.8)
            self.watch.on_progress(1_000)
        self.assertFalse(self.answer.closed)

    async def test_events_that_waited_while_the_host_was_suspended_are_read_first(self):
        """A stream is given up with its rest at hand.

        The host wakes after the limit has passed; what the upstream sent meanwhile
        waits in the socket, and is read in the loop's next turn.
        """
        await asyncio.sleep(1.0 + READ_GRACE_MS / 2_000)
        self.watch.on_progress(1_000)
        await asyncio.sleep(0.9)
        self.assertFalse(self.answer.closed)

    async def test_break_before_the_limit_is_told_as_a_break(self):
        broken = DispatchError("reset", ResultCode.UPSTREAM_BROKE_OFF)
        self.assertIs(self.watch.classify_error(broken), broken)

    async def test_no_limit_watches_nothing(self):
        answer = FakeAnswer()
        watch = StallWatchdog(answer, None, Clock.from_running_loop())
        watch.start()
        await asyncio.sleep(3_600)
        self.assertFalse(answer.closed)
        watch.close()
