import asyncio

import structlog

from hemlockhoist.entry.feeds import RELAYED_WAIT_MS
from hemlockhoist.entry.tests.feed_fleet import (
    IN_FORCE_S,
    UPSTREAMS,
    FeedFleetCase,
    FeedHost,
)
from hemlockhoist.messages import Member


class FeedStoreTests(FeedFleetCase):
    async def test_one_host_reads_the_store_for_all(self):
        await asyncio.sleep(10)
        await self.write("v2")
        await asyncio.sleep(0.1)
        self.check_all_know("v2")
        self.assertEqual({host.store.calls for host in self.others}, {0})
        self.assertEqual({host.ways["reader"] for host in self.others}, {1})
        self.assertEqual(self.reader.ways["store"], 1)
        for host in self.hosts:
            self.assertLess(host.proof_age_ms(), 2 * RELAYED_WAIT_MS)

    async def start_one(self, is_known_after_ms):
        """Start a host that learns of the others later; return its store calls."""
        member = Member(address="late", incarnation="r1", failure_domain="a")
        members = [*self.others[0].known, member]
        host = FeedHost(member, members, self.store, self.network, self.conditions)
        host.known = [member]
        loop = asyncio.get_running_loop()
        loop.call_later(is_known_after_ms / 1_000, setattr, host, "known", members)
        await host.watch.start()
        self.addAsyncCleanup(host.watch.close)
        await asyncio.sleep(2)
        self.assertEqual(host.rows["config"], "v1")
        return host.store.calls

    async def test_starting_host_queries_a_reader(self):
        """Guards against reading all tables at each restart, as calls are charged."""
        self.assertEqual(await self.start_one(is_known_after_ms=20), 0)

    async def test_starting_host_without_a_reader_reads_the_store(self):
        """Guards against callers that wait for a reader as all hosts start at once."""
        self.assertGreater(await self.start_one(is_known_after_ms=1_000), 0)

    async def test_whole_readings_are_logged(self):
        """Guards against a storm of whole readings that no line of a log tells of."""
        with structlog.testing.capture_logs() as events:
            await self.start_one(is_known_after_ms=20)
            await self.start_one(is_known_after_ms=1_000)
        read = [event for event in events if event["event"] == "table_read"]
        self.assertEqual(
            [(event["relayed_by"], event["row_bytes"]) for event in read],
            [(self.reader.member.address, 2), ("", 2)],
        )

    async def test_changes_arrive_despite_an_unresponsive_reader(self):
        """Guards against requests to a leaving upstream while the reader is frozen."""
        self.network.disconnected.add(self.reader.member.address)
        await self.write("v2")
        await asyncio.sleep(1.6)
        for host in self.others:
            self.assertEqual(host.rows["config"], "v2")
            self.assertLess(host.proof_age_ms(), 2_000)

    async def test_reader_that_loses_the_store_reports_it(self):
        """Guards against hosts that refuse callers although they reach the store."""
        self.reader.store.is_partitioned = True
        await self.write("v2")
        for _ in range(40):
            await asyncio.sleep(0.1)
            for host in self.others:
                self.assertLess(host.proof_age_ms(), 4_000)
        for host in self.others:
            self.assertEqual(host.rows["config"], "v2")

    async def test_reader_serves_a_host_partitioned_from_the_store(self):
        partitioned = self.others[0]
        partitioned.store.is_partitioned = True
        await self.write("v2")
        await asyncio.sleep(10)
        self.check_all_know("v2")
        self.assertLess(partitioned.proof_age_ms(), 2 * RELAYED_WAIT_MS)

    async def test_calls_to_the_store_are_limited_in_an_outage(self):
        """Guards against several calls per second by all hosts to a failing store."""
        for host in self.hosts:
            host.store.is_partitioned = True
        await asyncio.sleep(10)
        calls = sum(host.store.calls for host in self.others)
        self.assertLess(calls, 3 * 10 * len(self.others))
        for host in self.hosts:
            host.store.is_partitioned = False
        await self.write("v2")
        await asyncio.sleep(2.5)
        self.check_all_know("v2")


class LargeFleetTests(FeedFleetCase):
    host_count = 72
    domains = "abcd"

    async def test_large_configuration_reaches_hosts_over_slow_links(self):
        """Guards against queries that are given up while their rows are on the way."""
        self.network.bytes_per_s = 10_000_000 / 8
        for version in range(2, 8):
            value = await self.write_routes(version)
            await asyncio.sleep(IN_FORCE_S)
            self.check_all_know(value)

    async def test_changes_arrive_where_the_store_serves_one_follower(self):
        """Guards against changes that stay with the hosts that the store serves."""
        await self.start_probes()
        only = next(host for host in self.hosts if not host.feeds.is_reader)
        await self.check_changes_with_one_host_at_the_store(only, 3)


class RejectedHostTests(FeedFleetCase):
    host_count = 14
    domains = "ab"

    async def test_reader_without_the_store_follows_another_reader(self):
        """Guards against old routes at a reader for as long as the store rejects it."""
        readers = [host for host in self.hosts if host.feeds.is_reader]
        self.assertEqual(len(readers), 2)
        rejected = readers[0]
        rejected.store.is_partitioned = True
        for number in range(8):
            await self.write(f"v{number}")
            await asyncio.sleep(IN_FORCE_S)
            self.check_all_know(f"v{number}")
            self.assertLess(rejected.proof_age_ms(), 3 * RELAYED_WAIT_MS)

    async def test_changes_arrive_where_the_store_serves_one_reader(self):
        await self.start_probes()
        await self.check_changes_with_one_host_at_the_store(self.reader, 8)

    async def test_changes_arrive_while_calls_hang(self):
        """Guards against a host that hears nothing while it waits for one call."""
        await self.start_probes()
        for host in self.hosts:
            if not host.feeds.is_reader:
                continue
            host.store.is_silent = True
        for number in range(8):
            await self.write(f"v{number}")
            await asyncio.sleep(IN_FORCE_S)
            self.check_all_know(f"v{number}")

    async def test_reader_of_a_silent_store_hears_of_upstreams(self):
        """Guards against requests to upstreams that left while one call hangs."""
        readers = [host for host in self.hosts if host.feeds.is_reader]
        readers[0].store.is_silent = True
        for number in range(5):
            await self.write(f"u{number}", UPSTREAMS)
            await asyncio.sleep(IN_FORCE_S)
            for host in self.hosts:
                self.assertEqual(host.upstreams["config"], f"u{number}")

    async def test_changes_arrive_from_a_host_that_has_just_started(self):
        """Guards against a host that cannot tell what was dropped before its start."""
        await self.start_probes()
        for host in self.hosts:
            host.store.is_partitioned = True
        await asyncio.sleep(2)
        await self.write("v2")
        member = Member(address="late", incarnation="r1", failure_domain="a")
        late = FeedHost(member, [member], self.store, self.network, self.conditions)
        await late.watch.start()
        self.addAsyncCleanup(late.watch.close)
        self.addAsyncCleanup(late.feeds.close)
        await asyncio.sleep(IN_FORCE_S)
        self.check_all_know("v2")
