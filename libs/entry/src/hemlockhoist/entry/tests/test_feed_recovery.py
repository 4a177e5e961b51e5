import asyncio
import collections

from hemlockhoist.entry.tests.feed_fleet import (
    IN_FORCE_S,
    REVOCATION_MS,
    TABLE,
    UPSTREAMS,
    FeedFleetCase,
)

# Time of an answer of a store that is 340 times slower than usual, and of a transaction.
SLOW_ANSWER_MS = 1_360
SLOW_COMMIT_S = 3.1
SETTLE_S = 2
LINK_BYTES_PER_S = 10_000_000 / 8


class RecoveryCase(FeedFleetCase):
    """Hosts with a large configuration, behind links that take 0.3 s for it."""

    domains = "abcd"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.network.bytes_per_s = LINK_BYTES_PER_S
        await self.start_probes()
        await self.write_routes(2)
        await asyncio.sleep(IN_FORCE_S)
        self.whole_reads = collections.Counter()
        self.max_proof_age_ms = 0
        for host in self.hosts:
            host.store.whole_reads = self.whole_reads
            host.store.answer_bytes = 0
        task = asyncio.create_task(self._watch_proof())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def _watch_proof(self):
        while True:
            await asyncio.sleep(0.05)
            ages_ms = [host.proof_age_ms() for host in self.hosts]
            self.max_proof_age_ms = max(self.max_proof_age_ms, *ages_ms)

    async def time_change(self, version):
        """Return after how many seconds the last host has a change in force."""
        written_s = asyncio.get_running_loop().time()
        value = await self.write_routes(version)
        await asyncio.sleep(IN_FORCE_S)
        self.check_all_know(value)
        return max(host.in_force_s[value] for host in self.hosts) - written_s

    async def lose_history_of_slow_store(self):
        """Let a slow store drop its history and take one change, then be well again."""
        self.conditions.answer_ms = SLOW_ANSWER_MS
        await asyncio.sleep(SETTLE_S)
        for table in (TABLE, UPSTREAMS):
            await self.store[table].drop_history()
        await asyncio.sleep(SETTLE_S)
        value = await self.write_routes(3)
        await asyncio.sleep(SLOW_COMMIT_S + IN_FORCE_S)
        self.check_all_know(value)
        self.conditions.answer_ms = 4

    async def check_proof_stays_fresh(self):
        await self.lose_history_of_slow_store()
        await asyncio.sleep(1)
        self.assertLess(self.max_proof_age_ms, REVOCATION_MS)


class LargeFleetRecoveryTests(RecoveryCase):
    host_count = 72

    async def test_lost_history_is_read_again_by_one_host_a_domain(self):
        """Guards against hosts that all read everything again, over callers' links."""
        await self.lose_history_of_slow_store()
        for table in (TABLE, UPSTREAMS):
            self.assertLessEqual(self.whole_reads[table], len(self.domains))
        readers = {host for host in self.hosts if host.feeds.is_reader}
        for host in set(self.hosts) - readers:
            self.assertEqual(host.store.answer_bytes, 0)

    async def test_proof_stays_fresh_beside_a_slow_store(self):
        """Guards against callers refused for readings that are begun again for ever."""
        await self.check_proof_stays_fresh()

    async def test_changes_arrive_as_usual_once_the_store_is_well_again(self):
        """Guards against a storm of readings that outlives the slow store."""
        usual_s = await self.time_change(10)
        await self.lose_history_of_slow_store()
        for version in (11, 12, 13):
            await asyncio.sleep(1)
            self.assertLess(await self.time_change(version), usual_s + 0.05)

    async def test_hosts_take_over_in_turn_where_the_readers_are_rejected(self):
        """Guards against whole readings by all hosts once their readers have failed."""
        for host in self.hosts:
            host.store.is_partitioned = host.feeds.is_reader
        await asyncio.sleep(SETTLE_S)
        self.whole_reads.clear()
        for table in (TABLE, UPSTREAMS):
            await self.store[table].drop_history()
        value = await self.write_routes(3)
        await asyncio.sleep(IN_FORCE_S)
        self.check_all_know(value)
        for table in (TABLE, UPSTREAMS):
            self.assertLessEqual(self.whole_reads[table], 2 * len(self.domains))


class SmallFleetRecoveryTests(RecoveryCase):
    host_count = 7

    async def test_proof_stays_fresh_beside_a_slow_store(self):
        """Guards against callers refused for readings that are begun again for ever."""
        await self.check_proof_stays_fresh()


class SlowStartTests(FeedFleetCase):
    """All hosts start at once, beside a slow store with a large configuration."""

    host_count = 72
    domains = "abcd"
    start_answer_ms = SLOW_ANSWER_MS
    start_bytes_per_s = LINK_BYTES_PER_S

    async def write_first(self):
        return await self.write_routes(1)

    async def test_hosts_start_with_one_whole_reading_a_domain(self):
        """Guards against all hosts that read everything after a loss of power."""
        for host in self.hosts:
            started_s = host.in_force_s[self.first_value] - self.started_s
            self.assertLess(started_s, SLOW_ANSWER_MS / 1_000 + 1)
        for table in (TABLE, UPSTREAMS):
            count = sum(host.store.whole_reads[table] for host in self.hosts)
            self.assertLessEqual(count, len(self.domains))
