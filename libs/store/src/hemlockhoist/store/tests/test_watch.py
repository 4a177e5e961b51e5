import asyncio

from hemlockhoist.base import PlatformError
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.store import SLOW_RETRY, HistoryGone, Reading, StoreRow, TableWatch


class FakeStore:
    """Store whose calls fail as scripted; other calls wait for their full time."""

    def __init__(self):
        self.version = 1
        self.script = []
        self.calls = []
        self.rows = {}
        self.answer_s = 0

    async def read_table(self, table):
        self.calls.append("table")
        self._fail()
        await asyncio.sleep(self.answer_s)
        rows = [StoreRow(key=k, value=v, version=1) for k, v in self.rows.items()]
        return self._reading(rows)

    async def read_changes(self, table, since_version, wait_ms):
        self.calls.append("changes")
        self._fail()
        await asyncio.sleep(wait_ms / 1000)
        return self._reading(())

    def _fail(self):
        if self.script:
            error = self.script.pop(0)
            if error is not None:
                raise error

    def _reading(self, rows):
        return Reading(rows=tuple(rows), version=self.version, store_ms=0, sent_ms=0)


class WatchTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = FakeStore()
        self.applied = []
        self.readings = []

    async def start(self, **options):
        self.watch = TableWatch(
            self.store,
            "op",
            1_000,
            lambda reading, is_snapshot: self.applied.append(
                (reading.rows, is_snapshot)
            ),
            self.readings.append,
            **options,
        )
        await self.watch.start()
        self.addAsyncCleanup(self.watch.close)

    async def test_table_is_read_once_and_then_its_changes(self):
        await self.start()
        await asyncio.sleep(2.5)
        self.assertEqual(self.store.calls, ["table", "changes", "changes", "changes"])
        self.assertEqual([is_snapshot for _, is_snapshot in self.applied], [True])
        self.assertEqual(len(self.readings), 3)

    async def test_whole_reading_counts_as_whole_though_rows_came_another_way(self):
        """Guards against rows that stay, deleted before the reading of a whole table."""
        self.store.answer_s = 1
        await self.start()
        await asyncio.sleep(0.5)
        row = StoreRow(key="evacuate/a", value=b"{}", version=1)
        offered = Reading(rows=(row,), version=1, store_ms=0, sent_ms=0)
        self.assertTrue(self.watch.offer(offered, None))
        self.store.version = 3
        await asyncio.sleep(1)
        self.assertEqual(self.applied, [((row,), True), ((), True)])

    async def test_table_is_read_again_after_lost_history(self):
        """Guards against keeping a row whose deletion the feed no longer holds.

        A key was deleted while the store dropped its history of changes, so the table
        is read again.
        """
        self.store.script = [None, HistoryGone("gone"), None]
        await self.start()
        await asyncio.sleep(0.5)
        self.assertEqual(self.store.calls[:3], ["table", "changes", "table"])
        self.assertEqual([is_snapshot for _, is_snapshot in self.applied], [True, True])

    async def test_outage_is_retried_at_a_bounded_rate(self):
        self.store.script = [PlatformError("down")] * 1_000
        await self.start()
        await asyncio.sleep(10)
        self.assertLess(len(self.store.calls), 60)
        self.assertGreater(len(self.store.calls), 20)

    async def test_slow_retry_ends_when_the_store_has_recovered(self):
        """Guards against sending work to removed upstreams for 2 s after an outage."""
        self.store.script = [PlatformError("down")] * 99
        await self.start(retry_delay=SLOW_RETRY)
        await asyncio.sleep(3)
        self.store.script = []
        calls = len(self.store.calls)
        self.watch.read_again()
        await asyncio.sleep(0.01)
        self.assertGreater(len(self.store.calls), calls)

    async def test_call_in_progress_is_abandoned_by_read_again(self):
        await self.start()
        await asyncio.sleep(0.1)
        self.watch.read_again()
        await asyncio.sleep(0.1)
        self.assertEqual(self.store.calls, ["table", "changes", "changes"])

    async def test_failing_handler_does_not_end_the_watch(self):
        """Guards against a host receiving no changes after one row it cannot apply."""
        self.store.rows = {"config": b"x"}

        def fail(rows, is_snapshot):
            raise ValueError("a fault")

        watch = TableWatch(self.store, "op", 1_000, fail)
        await watch.start()
        self.addAsyncCleanup(watch.close)
        await asyncio.sleep(2.5)
        self.assertEqual(self.store.calls.count("changes"), 3)

    def reading(self, version, *row_versions):
        rows = [StoreRow(key=f"k{v}", value=b"", version=v) for v in row_versions]
        return Reading(rows=tuple(rows), version=version, store_ms=0, sent_ms=0)

    async def test_reading_that_came_another_way_is_applied_once(self):
        """Guards against a change that waits for a call which nobody answers."""
        self.store.version = 10
        await self.start()
        await asyncio.sleep(0.5)
        self.assertTrue(self.watch.offer(self.reading(12, 11, 12), 10))
        self.assertTrue(self.watch.offer(self.reading(13, 11, 12, 13), 10))
        keys = [[row.key for row in rows] for rows, _ in self.applied]
        self.assertEqual(keys, [[], ["k11", "k12"], ["k13"]])

    async def test_reading_that_leaves_out_changes_is_not_applied(self):
        self.store.version = 10
        await self.start()
        self.assertFalse(self.watch.offer(self.reading(12, 12), 10))
        await asyncio.sleep(0.5)
        self.assertFalse(self.watch.offer(self.reading(14, 14), 12))
        self.assertEqual(len(self.applied), 1)

    async def test_rows_older_than_those_known_are_not_applied(self):
        """Guards against orders that come back after the store dropped its history."""
        self.store.version = 10
        self.store.script = [None, None, HistoryGone("")]
        await self.start()
        await asyncio.sleep(0.5)
        self.watch.offer(self.reading(12, 12), 10)
        await asyncio.sleep(1)
        self.assertEqual(
            [is_snapshot for _, is_snapshot in self.applied], [True, False]
        )
        self.store.version = 12
        await asyncio.sleep(1)
        self.assertEqual(self.applied[-1], ((), True))
