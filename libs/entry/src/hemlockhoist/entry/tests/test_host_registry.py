import asyncio
import itertools
import types

from hemlockhoist.base import Clock, PlatformError, StoreAnswerLost, StoreConflict
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.entry.host_registry import HostRegistry
from hemlockhoist.store import Reading, RowStore, StoreRow

HOUR_S = 3_600
COMMIT_TIMEOUT_S = 4.5


class MemoryStore(RowStore):
    """One table of rows with versions, whose changes can be waited for."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.fails = False
        # Whether it answers no commit that arrives now, and applies none of them.
        self.loses_commits = False
        # Whether it applies commits that arrive now, and answers none of them.
        self.loses_answers = False
        self.read_count = 0
        self.changed = asyncio.Condition()

    async def start(self):
        """Nothing to open."""

    async def close(self):
        """Nothing to close."""

    async def read_table(self, table):
        self.read_count += 1
        return self._reading(self.rows.values())

    async def read_changes(self, table, since_version, wait_ms):
        async with self.changed:
            await self.changed.wait_for(lambda: self.version > since_version)
        return self._reading(
            row for row in self.rows.values() if row.version > since_version
        )

    async def commit(self, changes):
        if self.fails:
            raise PlatformError("the store is unreachable")
        if self.loses_commits:
            await asyncio.sleep(COMMIT_TIMEOUT_S)
            raise StoreAnswerLost("no answer to a commit")
        for change in changes:
            row = self.rows.get(change.key)
            if change.if_version not in (None, row.version if row else 0):
                raise StoreConflict("another version")
        self.version += 1
        for change in changes:
            self.rows[change.key] = StoreRow(
                key=change.key, value=change.value, version=self.version
            )
        async with self.changed:
            self.changed.notify_all()
        if self.loses_answers:
            await asyncio.sleep(COMMIT_TIMEOUT_S)
            raise StoreAnswerLost("no answer to a commit")
        return self.version

    def names(self):
        return sorted(key for key, row in self.rows.items() if row.value is not None)

    def _reading(self, rows):
        return Reading(rows=tuple(rows), version=self.version, store_ms=0, sent_ms=0)


class FakeFleet:
    """A fleet whose live hosts are set by the test."""

    def __init__(self, own):
        self.live = {own}
        self.introductions = 0
        self.listed = ()

    def on_list(self, listed):
        self.listed = sorted(item.address for item in listed)

    def introduce(self):
        self.introductions += 1

    def live_hosts(self):
        return tuple(self.live)


class HostRegistryTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()

    async def start(self, name, seeds=()):
        settings = types.SimpleNamespace(
            seed_peer_addresses=seeds, processor_millicores=500
        )
        platform = types.SimpleNamespace(store=self.store, host_table="hosts")
        identity = types.SimpleNamespace(
            host_id=name,
            address=f"{name}:80",
            failure_domain="a",
            incarnation=f"r-{name}",
        )
        context = types.SimpleNamespace(
            settings=settings,
            platform=platform,
            identity=identity,
            clock=Clock.from_running_loop(),
            fleet=FakeFleet(name),
            leaving=False,
        )
        host_registry = HostRegistry(context)
        await host_registry.start()
        self.addAsyncCleanup(host_registry.close)
        await asyncio.sleep(0.1)
        return host_registry, context

    async def test_host_registers_and_finds_others_and_seeds(self):
        await self.start("h1")
        _, context = await self.start("h2", seeds=("h1", "h9"))
        self.assertEqual(context.fleet.listed, ["h1", "h2", "h9"])
        self.assertEqual(self.store.names(), ["h1", "h2"])

    async def test_registration_is_retried_while_the_store_fails(self):
        self.store.fails = True
        await self.start("h1")
        self.store.fails = False
        await asyncio.sleep(3)
        self.assertEqual(self.store.names(), ["h1"])

    async def test_host_whose_registration_is_not_answered_finds_the_others(self):
        """Guards against a host that serves alone while its first commit hangs."""
        await self.start("h1")
        self.store.loses_commits = True
        _, context = await self.start("h2")
        # With the 0.1 s of its start, less than a starting host waits for the list.
        await asyncio.sleep(0.15)
        self.assertEqual(context.fleet.listed, ["h1"])
        self.assertEqual(context.fleet.introductions, 1)

    async def test_hosts_started_while_commits_are_lost_find_each_other(self):
        """Guards against hosts that stay alone after the store has come back."""
        self.store.loses_commits = True
        contexts = [(await self.start(name))[1] for name in ("h1", "h2", "h3")]
        self.store.loses_commits = False
        await asyncio.sleep(2.5)
        names = ["h1", "h2", "h3"]
        self.assertEqual(self.store.names(), names)
        await asyncio.sleep(0.5)
        # Of two hosts, the later reader finds the other one, and introduces itself.
        lists = dict(zip(names, (item.fleet.listed for item in contexts), strict=True))
        for one, other in itertools.combinations(names, 2):
            self.assertTrue(one in lists[other] or other in lists[one], lists)

    async def test_registration_is_sent_again_once_the_store_answers(self):
        """Guards against a commit sent to a silent store that holds up the next one."""
        self.store.loses_commits = True
        host_registry, context = await self.start("h2")
        self.store.loses_commits = False
        host_registry.read_again()
        await asyncio.sleep(0.5)
        self.assertEqual(self.store.names(), ["h2"])
        self.assertEqual(context.fleet.listed, ["h2"])

    async def test_host_finds_its_own_row_if_the_answer_was_lost(self):
        """Guards against a host that writes its row again and again."""
        self.store.loses_answers = True
        await self.start("h1")
        await asyncio.sleep(10)
        self.assertEqual(self.store.version, 1)

    async def test_registered_host_reads_the_list_once(self):
        """Guards against a fleet's start that reads the list twice for each host."""
        await self.start("h1")
        reads = self.store.read_count
        await self.start("h2")
        await asyncio.sleep(1)
        self.assertEqual(self.store.read_count, reads + 1)

    async def test_row_of_a_host_lost_long_ago_is_removed(self):
        """Guards against rows of killed hosts that accumulate and are probed by all."""
        lost, _ = await self.start("h2")
        _, context = await self.start("h1")
        await lost.close()
        await asyncio.sleep(HOUR_S - 60)
        self.assertEqual(self.store.names(), ["h1", "h2"])
        await asyncio.sleep(180)
        self.assertEqual(self.store.names(), ["h1"])
        self.assertEqual(context.fleet.listed, ["h1"])

    async def test_host_whose_row_was_removed_registers_again(self):
        await self.start("h1")
        await self.start("h2")
        await asyncio.sleep(2 * HOUR_S)
        self.assertEqual(self.store.names(), ["h1", "h2"])
        version = self.store.rows["h2"].version
        self.assertGreater(version, 2)

    async def test_leaving_host_removes_its_row_permanently(self):
        host_registry, context = await self.start("h1")
        context.leaving = True
        await host_registry.leave()
        await asyncio.sleep(10)
        self.assertEqual(self.store.names(), [])
