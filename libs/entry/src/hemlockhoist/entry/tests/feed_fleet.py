"""A fleet of feed stores over simulated links and a simulated store, for tests."""

import asyncio
import collections
import itertools
import random
import types

import msgspec

from hemlockhoist.base import Clock, PlatformError, SuspendAwareClock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import Freshness
from hemlockhoist.entry.feeds import FeedStore
from hemlockhoist.entry.tests.test_host_registry import MemoryStore
from hemlockhoist.messages import (
    FeedAnswer,
    FeedQuestion,
    Member,
)
from hemlockhoist.store import (
    SLOW_RETRY,
    HistoryGone,
    RowChange,
    StoreCalls,
    TableWatch,
)

TABLE = "op"
UPSTREAMS = "servers"
# Declared time from the confirmation of a change until it is in force at every host.
IN_FORCE_S = 3
# Declared time after which a key may not be accepted without a newer proof.
REVOCATION_MS = 4_750


class StoreConditions:
    """The state of the store, for all hosts.

    Attributes
    ==========
    answer_ms : int
        Time that each answer takes.
    """

    def __init__(self):
        self.answer_ms = 0


class CountedStore(MemoryStore):
    """Counts one host's calls; its answers use the host's link."""

    def __init__(self, tables, address, network, conditions):
        super().__init__()
        self.tables = tables
        self.address = address
        self.network = network
        self.conditions = conditions
        self.limits = StoreCalls()
        self.calls = 0
        # Bytes of the answers that were sent to this host, and whole tables that the
        # store began to send.
        self.answer_bytes = 0
        self.whole_reads = collections.Counter()
        self.is_partitioned = False
        self.is_silent = False
        # Counts the times at which the calls in progress were silenced.
        self.silenced_count = 0

    def silence(self):
        """Leave all calls unanswered, also those in progress."""
        self.is_silent = True
        self.silenced_count += 1

    @property
    def answer_ms(self):
        return self.limits.answer_ms

    async def read_table(self, table):
        return await self.limits.read(
            lambda progress, wait_ms: self._read_table(table, progress)
        )

    async def _read_table(self, table, progress):
        silenced_count = await self._begin()
        self.whole_reads[table] += 1
        reading = await self.tables[table].read_table(table)
        return await self._receive(reading, progress, silenced_count)

    async def read_changes(self, table, since_version, wait_ms):
        return await self.limits.read(
            lambda progress, wait_ms: self._read_changes(
                table, since_version, wait_ms, progress
            ),
            wait_ms,
        )

    async def _read_changes(self, table, since_version, wait_ms, progress):
        silenced_count = await self._begin()
        try:
            reading = await self._changes(self.tables[table], since_version, wait_ms)
        except HistoryGone:
            await self._answer(progress, silenced_count)
            raise
        return await self._receive(reading, progress, silenced_count)

    async def _changes(self, table, since_version, wait_ms):
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await table.read_changes(table, since_version, wait_ms)
        except TimeoutError:
            return table.changes_since(since_version)

    async def _begin(self):
        self.calls += 1
        if self.is_silent:
            await asyncio.Event().wait()
        if self.is_partitioned:
            raise PlatformError("the store is unreachable")
        return self.silenced_count

    async def _answer(self, progress, silenced_count):
        await asyncio.sleep(self.conditions.answer_ms / 1_000)
        if silenced_count != self.silenced_count:
            await asyncio.Event().wait()
        # A call that waits for a change is rejected too.
        if self.is_partitioned:
            raise PlatformError("the store is unreachable")
        progress.on_bytes()

    async def _receive(self, reading, progress, silenced_count):
        await self._answer(progress, silenced_count)
        self.answer_bytes += encoded_bytes(reading)
        await self.network.receive(self.address, reading)
        progress.on_bytes()
        return reading


def encoded_bytes(reading):
    """Return the size of an answer of the store, whose values are in base64."""
    return sum(4 * len(row.value or b"") // 3 + 100 for row in reading.rows) + 100


class Network:
    """Delivers messages to the hosts' feed stores, as fast as the hosts' links allow.

    Attributes
    ==========
    bytes_per_s : float
        Rate of each host's link, in each direction.
    sent_count : int
        Messages that were sent so far.
    """

    def __init__(self):
        self.feeds = {}
        self.disconnected = set()
        self.bytes_per_s = float("inf")
        self.sent_count = 0
        # When the link of a host is free again, by host and direction.
        self._free_s = {}

    def send(self, sender, address, message):
        if self.disconnected & {sender, address}:
            return
        self.sent_count += 1
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

    def exchange(self, sender, address):
        """Let two hosts exchange a probe and its answer."""
        self.send(sender, address, FeedAnswer(number=0))
        loop = asyncio.get_running_loop()
        loop.call_later(0.002, self.send, address, sender, FeedAnswer(number=0))

    async def receive(self, address, reading):
        """Wait until a host has received an answer of the store."""
        size_s = encoded_bytes(reading) / self.bytes_per_s
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

    def __init__(self, member, members, store, network, conditions):
        self.member = member
        self.known = members
        self.store = CountedStore(store, member.address, network, conditions)
        self.rows = {}
        # When each value of the configuration was first in force here.
        self.in_force_s = {}
        self.ways = collections.Counter()
        clock = Clock.from_running_loop()
        self.boot_clock = SuspendAwareClock(lambda: clock.now_ms() * 1_000_000)
        self.freshness = Freshness()
        context = types.SimpleNamespace(
            clock=clock,
            boot_clock=self.boot_clock,
            identity=types.SimpleNamespace(host_id=member.address),
            metrics=types.SimpleNamespace(
                count=lambda metric, label, value=1: self.ways.update({label: value})
            ),
            platform=types.SimpleNamespace(config_table=TABLE),
            settings=types.SimpleNamespace(
                bounds=types.SimpleNamespace(revocation_ms=5_000)
            ),
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
        self.feeds.set_offer(TABLE, self.watch.offer)
        self.feeds.set_offer(UPSTREAMS, self.upstreams_watch.offer)

    def proof_age_ms(self):
        return self.freshness.age_ms(self.boot_clock.now_ms())

    def apply_rows(self, reading, is_snapshot):
        self.rows.update({row.key: row.value for row in reading.rows})
        now_s = asyncio.get_running_loop().time()
        for row in reading.rows:
            self.in_force_s.setdefault(row.value, now_s)

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

    def __init__(self):
        super().__init__()
        self.oldest_version = 0

    async def read_changes(self, table, since_version, wait_ms):
        async with self.changed:
            await self.changed.wait_for(
                lambda: (
                    self.version > since_version or since_version < self.oldest_version
                )
            )
        return self.changes_since(since_version)

    def changes_since(self, since_version):
        if since_version < self.oldest_version:
            raise HistoryGone("the history is gone")
        rows = self.rows.values()
        return self._reading(row for row in rows if row.version > since_version)

    async def drop_history(self):
        """Forget all changes, and answer the calls that wait for one."""
        self.version += 1
        self.oldest_version = self.version
        async with self.changed:
            self.changed.notify_all()

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
    # Time of an answer of the store as the hosts start, and the rate of their links.
    start_answer_ms = 0
    start_bytes_per_s = float("inf")

    async def asyncSetUp(self):
        self.hosts = []
        self.addAsyncCleanup(self.close_hosts)
        await self.start_hosts()

    async def close_hosts(self):
        for host in self.hosts:
            await host.watch.close()
            await host.feeds.close()
            await host.upstreams_watch.close()

    async def start_hosts(self):
        """Start a fleet with a store and a network of its own."""
        self.store = {TABLE: ClockedStore(), UPSTREAMS: ClockedStore()}
        self.network = Network()
        self.network.bytes_per_s = self.start_bytes_per_s
        self.conditions = StoreConditions()
        self.conditions.answer_ms = self.start_answer_ms
        members = [
            Member(address=f"h{number}", incarnation="r1", failure_domain=domain)
            for number, domain in zip(
                range(self.host_count), itertools.cycle(self.domains), strict=False
            )
        ]
        self.hosts = [
            FeedHost(member, members, self.store, self.network, self.conditions)
            for member in members
        ]
        self.first_value = await self.write_first()
        self.started_s = asyncio.get_running_loop().time()
        for host in self.hosts:
            await host.watch.start()
            await host.upstreams_watch.start()
        await asyncio.sleep(5)
        self.reader = next(host for host in self.hosts if host.feeds.is_reader)
        self.others = [host for host in self.hosts if host is not self.reader]
        for host in self.hosts:
            host.store.calls = 0
            host.ways.clear()

    async def write_first(self):
        """Write what is in force as the hosts start; return its value."""
        await self.write("v1")
        return "v1"

    async def write(self, value, table=TABLE):
        change = RowChange(table=table, key="config", value=value)
        await self.store[table].commit((change,))

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
