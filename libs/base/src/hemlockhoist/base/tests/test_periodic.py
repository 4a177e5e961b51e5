import asyncio

from hemlockhoist.base import PeriodicTask
from hemlockhoist.base.testing import PausedTestCase


class PeriodicTaskTests(PausedTestCase):
    async def test_exception_does_not_end_the_task(self):
        """A call that raises is followed by further calls.

        If an exception in a probe round ended the task, the host would continue to
        answer callers without detecting the failure of other hosts.
        """
        calls = []

        async def fail_once():
            calls.append(1)
            if len(calls) == 1:
                raise ZeroDivisionError

        task = PeriodicTask(100, fail_once)
        await task.start()
        await asyncio.sleep(0.35)
        await task.close()
        self.assertEqual(len(calls), 4)

    async def test_nothing_is_called_after_close(self):
        """A closed task makes no calls; closing one that was not started is allowed."""
        calls = []
        task = PeriodicTask(100, lambda: calls.append(1))
        await task.close()
        await task.start()
        await asyncio.sleep(0.05)
        await task.close()
        await asyncio.sleep(1)
        self.assertEqual(calls, [1])
