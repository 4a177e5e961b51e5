import asyncio
import collections
import itertools
import random
import types

import msgspec
import structlog

from hemlockhoist.base import Clock, PlatformError, SuspendAwareClock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import Freshness
from hemlockhoist.entry.feeds import RELAYED_WAIT_MS, FeedStore
from hemlockhoist.entry.tests.test_host_registry import MemoryStore
from hemlockhoist.messages import (
    FeedAnswer,
    FeedQuestion,
    Member,
)
from hemlockhoist.store import SLOW_RETRY, RowChange, TableWatch

TABLE = "op"
UPSTREAMS = "servers"
# Declared time from the confirmation of a change until it is in force at every host.
IN_FORCE_S = 3
# Declared time after which a key may not be accepted without a newer proof.
REVOCATION_MS = 4_750
# How long a call to a store that does not answer takes beyond its wait.
CALL_TIMEOUT_MS = 1_500


class CountedStore(MemoryStore):
    """Counts one host's calls; its answers use the host's link."""

    def __init__(self, tables, address, network):
        super().__init__()
        self.tables = tables
        self.address = address
        self.network = network
        self.calls = 0
        self.is_partitioned = False
        self.is_silent = False

    async def read_table(self, table):
        await self._count()
        reading = await self.tables[table].read_table(table)
        await self.network.receive(self.address, reading)
        return reading

    async def read_changes(self, table, since_version, wait_ms):
        await self._count(wait_ms)
        shared = self.tables[table]
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                reading = await shared.read_changes(table, since_version, wait_ms)
        except TimeoutError:
            rows = shared.rows.values()
            reading = shared._reading(r for r in rows if r.version > since_version)
        await self.network.receive(self.address, reading)
        return reading

    async def _count(self, wait_ms=0):
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep((wait_ms + CALL_TIMEOUT_MS) / 1_000)
            raise PlatformError("the store does not answer")
        if self.is_partitioned:
            raise PlatformError("the store is unreachable")


class Network:
    """Delivers messages to the hosts' feed stores, as fast as the hosts' links allow.

    Attributes
    ==========
    bytes_per_s : float
        Rate of each host's link, in each direction.
    """

    def __init__(self):
        self.feeds = {}
        self.disconnected = set()
        self.bytes_per_s = float("inf")
        # When the link of a host is free again, by host and direction.
        self._free_s = {}

    def send(self, sender, address, message):
        if self.disconnected & {sender, address}:
            return
        loop = asyncio.get_running_loop()
        size_s = len(msgspec.msgpack.encode(message)) / self.bytes_per_s
        sent_s = self._occupy((sender, "out"), loop.time(), size_s)
        arrived_s = self._occupy((address, "in"), sent_s - size_s, size_s) + 0.001
        news = self.feeds[sender].news()
        loop.call_at(arrived_s, self._deliver, sender, address, message, news)

    async def probe(self, rng):
        """Let each host send a message to another one each second."""
        while True:
            await asyncio.sleep(1 / len(self.feeds))
            sender, address = rng.sample(sorted(self.feeds), 2)
            self.send(sender, address, FeedAnswer(number=0))

    async def receive(self, address, reading):
        """Wait until a host has received an answer of the store."""
        size_s = len(msgspec.msgpack.encode(reading)) / self.bytes_per_s
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._occupy((address, "in"), now_s, size_s) - now_s)

    def _occupy(self, link, from_s, size_s):
        """Return when a message has passed a link that it reaches at a time."""
        self._free_s[link] = max(from_s, self._free_s.get(link, 0)) + size_s
        return self._free_s[link]

    def _deliver(self, sender, address, message, news):
        feeds = self.feeds[address]
        if news is not None:
            feeds.on_news(sender, news)
        if isinstance(message, FeedQuestion):
            feeds.on_query(sender, message)
        elif isinstance(message, FeedAnswer):
            feeds.on_answer(message)


async def return_at_once(limit_ms):
    """Return at once, as if the list of hosts had been read."""


class FeedHost:
    """One host that watches the routes' table."""

    def __init__(self, member, members, store, network):
        self.member = member
        self.known = members
        self.store = CountedStore(store, member.address, network)
        self.rows = {}
        self.ways = collections.Counter()
        clock = Clock.from_running_loop()
        self.boot_clock = SuspendAwareClock(lambda: clock.now_ms() * 1_000_000)
        self.freshness = Freshness()
        context = types.SimpleNamespace(
            clock=clock,
            boot_clock=self.boot_clock,
            metrics=types.SimpleNamespace(
                count=lambda metric, label, value=1: self.ways.update({label: value})
            ),
            platform=types.SimpleNamespace(config_table=TABLE),
            fleet=types.SimpleNamespace(
                stable_members=lambda: (member, self.known),
                live_hosts=lambda: [item.address for item in members],
                is_high_capacity=False,
                wait_introduced=return_at_once,
            ),
            store_view=types.SimpleNamespace(
                proof_age_ms=self.proof_age_ms,
                store_now_ms=lambda: self.freshness.store_ms(self.boot_clock.now_ms()),
            ),
            bus=types.SimpleNamespace(
                send=lambda address, message: network.send(
                    member.address, address, message
                ),
                reconnect=lambda address: None,
            ),
        )
        self.feeds = FeedStore(context, self.store, (TABLE, UPSTREAMS))
        network.feeds[member.address] = self.feeds
        self.watch = TableWatch(
            self.feeds,
            TABLE,
            2_400,
            self.apply_rows,
            self.record_reading,
            self.record_failure,
        )
        self.has_failed = False
        self.upstreams = {}
        self.upstreams_watch = TableWatch(
            self.feeds,
            UPSTREAMS,
            20_000,
            lambda reading, is_snapshot: self.upstreams.update(
                {row.key: row.value for row in reading.rows}
            ),
            retry_delay=SLOW_RETRY,
        )
        self.feeds.set_offer(self.watch.offer)

    def proof_age_ms(self):
        return self.freshness.age_ms(self.boot_clock.now_ms())

    def apply_rows(self, reading, is_snapshot):
        self.rows.update({row.key: row.value for row in reading.rows})

    def record_failure(self):
        self.has_failed = True

    def record_reading(self, reading):
        if self.has_failed:
            self.has_failed = False
            self.upstreams_watch.read_again()
        if reading.clock_ms is None:
            self.freshness.record(reading.sent_ms, reading.store_ms)
        else:
            self.freshness.record_relayed(
                reading.sent_ms, reading.store_ms, reading.clock_ms
            )


class ClockedStore(MemoryStore):
    """A store whose readings carry the time of the event loop."""

    def _reading(self, rows):
        reading = super()._reading(rows)
        now_ms = int(asyncio.get_running_loop().time() * 1_000)
        return type(reading)(
            rows=reading.rows, version=self.version, store_ms=now_ms, sent_ms=now_ms
        )


class FeedFleetCase(PausedTestCase):
    """Hosts that watch one table."""

    host_count = 13
    domains = "a"

    async def asyncSetUp(self):
        self.store = {TABLE: ClockedStore(), UPSTREAMS: ClockedStore()}
        self.network = Network()
        members = [
            Member(address=f"h{number}", incarnation="r1", failure_domain=domain)
            for number, domain in zip(
                range(self.host_count), itertools.cycle(self.domains), strict=False
            )
        ]
        self.hosts = [
            FeedHost(member, members, self.store, self.network) for member in members
        ]
        await self.write("v1")
        for host in self.hosts:
            await host.watch.start()
            await host.upstreams_watch.start()
            self.addAsyncCleanup(host.upstreams_watch.close)
            self.addAsyncCleanup(host.feeds.close)
            self.addAsyncCleanup(host.watch.close)
        await asyncio.sleep(5)
        self.reader = next(host for host in self.hosts if host.feeds.is_reader)
        self.others = [host for host in self.hosts if host is not self.reader]
        for host in self.hosts:
            host.store.calls = 0

    async def write(self, value, table=TABLE):
        change = RowChange(table=table, key="config", value=value)
        await self.store[table].commit((change,))

    def check_all_know(self, value):
        for host in self.hosts:
            self.assertEqual(host.rows["config"], value)

    async def start_probes(self):
        task = asyncio.create_task(self.network.probe(random.Random(3)))
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def check_changes_with_one_host_at_the_store(self, only, count):
        for host in self.hosts:
            host.store.is_partitioned = host is not only
        await asyncio.sleep(2)
        for number in range(count):
            await self.write(f"v{number}")
            await asyncio.sleep(IN_FORCE_S)
            self.check_all_know(f"v{number}")
            for host in self.hosts:
                self.assertLess(host.proof_age_ms(), REVOCATION_MS)


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
        host = FeedHost(member, members, self.store, self.network)
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

    async def write_routes(self, version):
        """Write a configuration of 1,400 routes; return its value."""
        names = itertools.count(1)
        routes = [
            {
                "name": f"r-{n}",
                "host": f"h{n * 7919 % 9973}.example",
                "prefix": f"/{n}/",
            }
            | {"kind": "idempotent", "timeout_ms": 900, "target_latency_ms": 170}
            | {"priority": 2, "service": "halls", "split": [], "max_attempts": 2}
            | {"anonymous": False, "resumable": False, "allowed_regions": []}
            for n in itertools.islice(names, 1_400)
        ]
        config = {"version": version, "route_table": routes, "services": []}
        value = msgspec.json.encode(config)
        await self.write(value)
        return value

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
        late = FeedHost(member, [member], self.store, self.network)
        await late.watch.start()
        self.addAsyncCleanup(late.watch.close)
        self.addAsyncCleanup(late.feeds.close)
        await asyncio.sleep(IN_FORCE_S)
        self.check_all_know("v2")
