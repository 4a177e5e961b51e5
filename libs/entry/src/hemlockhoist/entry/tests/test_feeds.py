import asyncio
import types

from hemlockhoist.base import Clock, PlatformError, SuspendAwareClock
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import Freshness
from hemlockhoist.entry.feeds import RELAYED_WAIT_MS, FeedStore
from hemlockhoist.entry.tests.test_host_registry import MemoryStore
from hemlockhoist.messages import FeedAnswer, FeedQuestion, Member
from hemlockhoist.store import RowChange, TableWatch

TABLE = "op"
UPSTREAMS = "servers"
HOSTS = 13


class CountedStore(MemoryStore):
    """Counts readings, and can be cut off from one host."""

    def __init__(self, rows):
        super().__init__()
        self.shared = rows
        self.calls = 0
        self.is_cut = False

    async def read_table(self, table):
        self._count()
        return await self.shared.read_table(table)

    async def read_changes(self, table, since_version, wait_ms):
        self._count()
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                return await self.shared.read_changes(table, since_version, wait_ms)
        except TimeoutError:
            rows = self.shared.rows.values()
            return self.shared._reading(r for r in rows if r.version > since_version)

    def _count(self):
        self.calls += 1
        if self.is_cut:
            raise PlatformError("no way to the store")


class Network:
    """Hands messages to the hosts' feeds after a millisecond."""

    def __init__(self):
        self.feeds = {}
        self.silent = set()

    def send(self, sender, address, message):
        if not self.silent & {sender, address}:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self._deliver, sender, address, message)

    def _deliver(self, sender, address, message):
        feeds = self.feeds[address]
        if isinstance(message, FeedQuestion):
            feeds.on_query(sender, message)
        elif isinstance(message, FeedAnswer):
            feeds.on_answer(message)


async def wait_nothing(limit_ms):
    """The list of hosts has been read."""


class FeedHost:
    """One host that follows the routes' table."""

    def __init__(self, member, members, store, network):
        self.member = member
        self.known = members
        self.store = CountedStore(store)
        self.rows = {}
        clock = Clock.from_running_loop()
        self.boot_clock = SuspendAwareClock(lambda: clock.now_ms() * 1_000_000)
        self.freshness = Freshness()
        context = types.SimpleNamespace(
            clock=clock,
            boot_clock=self.boot_clock,
            platform=types.SimpleNamespace(config_table=TABLE),
            fleet=types.SimpleNamespace(
                stable_members=lambda: (member, self.known),
                live_hosts=lambda: [item.address for item in members],
                is_high_capacity=False,
                wait_introduced=wait_nothing,
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
        self.feeds = FeedStore(context, self.store, (TABLE,))
        network.feeds[member.address] = self.feeds
        self.watch = TableWatch(
            self.feeds, TABLE, 2_400, self.take_rows, self.record_reading
        )

    def proof_age_ms(self):
        return self.freshness.age_ms(self.boot_clock.now_ms())

    def take_rows(self, reading, is_snapshot):
        self.rows.update({row.key: row.value for row in reading.rows})

    def record_reading(self, reading):
        if reading.clock_ms is None:
            self.freshness.record(reading.sent_ms, reading.store_ms)
        else:
            self.freshness.record_relayed(
                reading.sent_ms, reading.store_ms, reading.clock_ms
            )


class ClockedStore(MemoryStore):
    """A store whose readings carry the time."""

    def _reading(self, rows):
        reading = super()._reading(rows)
        now_ms = int(asyncio.get_running_loop().time() * 1_000)
        return type(reading)(
            rows=reading.rows, version=self.version, store_ms=now_ms, sent_ms=now_ms
        )


class FeedStoreTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = ClockedStore()
        self.network = Network()
        members = [
            Member(address=f"h{number}", incarnation="r1", failure_domain="a")
            for number in range(HOSTS)
        ]
        self.hosts = [
            FeedHost(member, members, self.store, self.network) for member in members
        ]
        await self.write("v1")
        for host in self.hosts:
            await host.watch.start()
            self.addAsyncCleanup(host.watch.close)
        await asyncio.sleep(5)
        self.reader = next(host for host in self.hosts if host.feeds.is_reader)
        self.others = [host for host in self.hosts if host is not self.reader]
        for host in self.hosts:
            host.store.calls = 0

    async def write(self, value):
        change = RowChange(table=TABLE, key="config", value=value)
        await self.store.commit((change,))

    def check_known(self, value):
        for host in self.hosts:
            self.assertEqual(host.rows["config"], value)

    async def test_one_host_reads_and_all_know(self):
        await asyncio.sleep(10)
        await self.write("v2")
        await asyncio.sleep(0.1)
        self.check_known("v2")
        self.assertEqual({host.store.calls for host in self.others}, {0})
        for host in self.hosts:
            self.assertLess(host.proof_age_ms(), 2 * RELAYED_WAIT_MS)

    async def start_one(self, is_known_after_ms):
        """Start a host that hears of the others after a time; return its calls."""
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

    async def test_host_that_starts_beside_others_asks_a_reader(self):
        """Each restart of a host reads all tables, of a store that is paid by call."""
        self.assertEqual(await self.start_one(is_known_after_ms=20), 0)

    async def test_host_that_starts_alone_does_not_wait_for_long(self):
        """Callers wait for routes as all hosts start, and no reader is up."""
        self.assertGreater(await self.start_one(is_known_after_ms=1_000), 0)

    async def test_reader_that_falls_silent_costs_no_news(self):
        """A leaving upstream goes on getting requests while the reader is frozen."""
        self.network.silent.add(self.reader.member.address)
        await self.write("v2")
        await asyncio.sleep(1.6)
        for host in self.others:
            self.assertEqual(host.rows["config"], "v2")
            self.assertLess(host.proof_age_ms(), 2_000)

    async def test_reader_that_loses_the_store_says_so(self):
        """Hosts refuse callers though they could reach the store themselves."""
        self.reader.store.is_cut = True
        await self.write("v2")
        for _ in range(40):
            await asyncio.sleep(0.1)
            for host in self.others:
                self.assertLess(host.proof_age_ms(), 4_000)
        for host in self.others:
            self.assertEqual(host.rows["config"], "v2")

    async def test_host_without_a_way_to_the_store_is_told_by_the_reader(self):
        lost = self.others[0]
        lost.store.is_cut = True
        await self.write("v2")
        await asyncio.sleep(10)
        self.check_known("v2")
        self.assertLess(lost.proof_age_ms(), 2 * RELAYED_WAIT_MS)

    async def test_outage_is_no_storm_of_calls(self):
        """The store is met by each host several times a second as it comes back."""
        for host in self.hosts:
            host.store.is_cut = True
        await asyncio.sleep(10)
        calls = sum(host.store.calls for host in self.others)
        self.assertLess(calls, 3 * 10 * len(self.others))
        for host in self.hosts:
            host.store.is_cut = False
        await self.write("v2")
        await asyncio.sleep(2.5)
        self.check_known("v2")
