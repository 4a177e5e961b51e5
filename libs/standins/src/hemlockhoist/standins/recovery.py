"""Measures recovery and steady state of many hosts, using the decision code alone.

``python -m hemlockhoist.standins.recovery`` prints the message bytes, the processor
time, the load on the store when all hosts restart together, and the memory of the
ledger. Messages have a fixed latency and are encoded only to count their bytes; no
sockets are used.
"""

import collections
import heapq
import random
import time
import tracemalloc

import click
import msgspec

from hemlockhoist.base import MS_PER_S, InvariantLog
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.decisions.ledger import KeyLedger, parse_key
from hemlockhoist.decisions.membership import Membership
from hemlockhoist.decisions.membership.gossip import (
    MAX_UPDATES_PER_MESSAGE,
    GossipQueue,
)
from hemlockhoist.messages.ledger import StoredAnswer
from hemlockhoist.messages.membership import Member, MembersPage, MemberUpdate, Probe
from hemlockhoist.standins.randomised.table import make_declarations

HOST_COUNTS = (8, 64, 300, 1_300)
LATENCY_MS = 3
TICK_MS = 250
_COLLECTORS = 3


class MessageSimulation:
    """Simulates hosts: ticks them at random phases, delivers and counts messages.

    Parameters
    ==========
    hosts : mapping of str to object
        Each has ``tick(now_ms)`` and ``on_message(message, now_ms)``.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self.now_ms = 0
        self.sent_bytes = 0
        self.messages = 0
        self.bytes_by_kind = collections.Counter()
        self._queue = []
        self._count = 0
        rng = random.Random(1)
        for address in hosts:
            self._push(rng.randrange(TICK_MS), address, None)

    def run(self, duration_ms, until=None):
        """Run for a time or until a condition holds; return the elapsed time."""
        started_ms = self.now_ms
        end_ms = started_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, address, message = heapq.heappop(self._queue)
            host = self.hosts[address]
            if message is None:
                self.send(host.tick(self.now_ms))
                self._push(self.now_ms + TICK_MS, address, None)
            else:
                self.send(host.on_message(message, self.now_ms))
            if until is not None and until():
                return self.now_ms - started_ms
        self.now_ms = end_ms
        return duration_ms

    def send(self, outgoing):
        """Count messages and schedule their delivery."""
        for item in outgoing:
            size_bytes = len(msgspec.msgpack.encode(item.message))
            self.sent_bytes += size_bytes
            self.bytes_by_kind[type(item.message).__name__] += size_bytes
            self.messages += 1
            self._push(self.now_ms + LATENCY_MS, item.address, item.message)

    def _push(self, due_ms, address, message):
        self._count += 1
        heapq.heappush(self._queue, (due_ms, self._count, address, message))


def make_members(count):
    """Return members with addresses and names of realistic length."""
    return [
        Member(
            address=f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:7000",
            incarnation=f"host-{n:04d}-0123456789ab",
            started_unix_ms=1_764_700_000_000 + n,
            caller_address=f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:8000",
            failure_domain=f"domain-{n % 6}",
        )
        for n in range(count)
    ]


def measure_membership(count, seconds):
    """Return bytes and messages a second, and processor percent, of one host."""
    members = make_members(count)
    page = MembersPage(
        sender=MemberUpdate(member=members[0]),
        updates=tuple(MemberUpdate(member=item) for item in members),
    )
    hosts = {}
    for number, member in enumerate(members):
        host = Membership.from_config(member, number)
        host.on_message(page, 0)
        # All hosts know all members: gossip of the start is not steady state.
        host.gossip = GossipQueue()
        hosts[member.address] = host
    exchange = MessageSimulation(hosts)
    exchange.run(2_000)
    exchange.sent_bytes = exchange.messages = 0
    started_s = time.process_time()
    exchange.run(seconds * MS_PER_S)
    processor_s = time.process_time() - started_s
    per_host = count * seconds
    return (
        exchange.sent_bytes / per_host,
        exchange.messages / per_host,
        100 * processor_s / per_host,
    )


def full_probe_bytes():
    """Return the size of a probe with the maximum number of updates."""
    updates = [MemberUpdate(member=item, revision=3) for item in make_members(9)]
    probe = Probe(
        number=1_000_000,
        sender=updates[0],
        updates=tuple(updates[1 : 1 + MAX_UPDATES_PER_MESSAGE]),
    )
    return len(msgspec.msgpack.encode(probe))


class _ConfigurationHost:
    """Reads the store when a read is due, and acknowledges new versions."""

    def __init__(self, state, store):
        self.state = state
        self._store = store

    def tick(self, now_ms):
        outgoing = self.state.tick(now_ms)
        if self.state.store_read_due(now_ms):
            row = self._store.read(now_ms)
            if row is None:
                self.state.on_store_failure(now_ms)
            else:
                outgoing += self.state.on_store_answer(row, now_ms)
        return outgoing + self._acknowledge(now_ms)

    def on_message(self, message, now_ms):
        return self.state.on_message(message, now_ms) + self._acknowledge(now_ms)

    def _acknowledge(self, now_ms):
        if self.state.version > self.state.acknowledged_version:
            return self.state.mark_in_force(self.state.version, now_ms)
        return []


class _CountingStore:
    """A stored row, readable from ``up_ms`` on, with counts of its reads per second."""

    def __init__(self, up_ms):
        self.row = make_declarations(1, "first")
        self.up_ms = up_ms
        self.reads = collections.Counter()

    def read(self, now_ms):
        self.reads[now_ms // MS_PER_S] += 1
        return self.row if now_ms >= self.up_ms else None


def _start_configuration(count, up_ms):
    members = make_members(count)
    store = _CountingStore(up_ms)
    collectors = [item.address for item in members[:_COLLECTORS]]
    hosts = {}
    for number, member in enumerate(members):
        log = InvariantLog(True)
        state = ConfigurationState.from_config(
            member.address, member.incarnation, log, number
        )
        state.set_view(members, collectors, 0)
        hosts[member.address] = _ConfigurationHost(state, store)
    return MessageSimulation(hosts), store


def measure_restart(count, outage_s):
    """Return seconds from the store's recovery to all hosts ready, and its reads.

    The reads are the highest number in one second, and the total.
    """
    exchange, store = _start_configuration(count, outage_s * MS_PER_S)
    states = [host.state for host in exchange.hosts.values()]
    waiting = set(range(count))

    def all_ready():
        for number in list(waiting):
            if not states[number].version:
                return False
            waiting.discard(number)
        return True

    taken_ms = exchange.run(outage_s * MS_PER_S + 120_000, all_ready)
    return (
        taken_ms / MS_PER_S - outage_s,
        max(store.reads.values()),
        store.reads.total(),
    )


def measure_change(count):
    """Return propagation seconds, steady bytes a second and extra bytes of a change.

    The extra bytes are those of one host, without the content of the declarations.
    """
    exchange, store = _start_configuration(count, 0)
    exchange.run(20_000)
    exchange.sent_bytes = 0
    exchange.run(20_000)
    steady = exchange.sent_bytes / count / 20
    store.row = make_declarations(2, "second")
    exchange.sent_bytes = 0
    exchange.bytes_by_kind.clear()
    states = [host.state for host in exchange.hosts.values()]
    taken_ms = exchange.run(60_000, lambda: all(s.version == 2 for s in states))
    extra = exchange.sent_bytes / count - steady * taken_ms / MS_PER_S
    content = exchange.bytes_by_kind["ConfigurationContent"] / count
    return taken_ms / MS_PER_S, steady, max(0, extra - content)


def measure_ledger(records):
    """Return bytes per record, without and with an answer of 256 bytes."""
    sizes = []
    for answer in (None, b"x" * 256):
        tracemalloc.start()
        ledger = KeyLedger.from_config(
            "host-0001-0123456789ab", 600_000, records, 1 << 30, InvariantLog(True)
        )
        prefix = ledger.mint_prefix(0)
        for number in range(records):
            key = parse_key(f"{prefix}.{number:016d}")
            attempt = ledger.begin(
                "customer", key, number.to_bytes(16, "big"), 0
            ).attempt
            ledger.mark_dispatched(attempt, 0)
            body = (
                None if answer is None else StoredAnswer(status=201, body=answer + b"")
            )
            ledger.mark_finished(attempt, body, 0)
        sizes.append(tracemalloc.get_traced_memory()[0] / records)
        tracemalloc.stop()
    return sizes


@click.command()
@click.option("--seconds", default=30, help="Simulated seconds of steady membership.")
def main(seconds):
    """Measure recovery and steady state of up to 1,300 hosts."""
    for count in HOST_COUNTS:
        rate, messages, share = measure_membership(count, seconds)
        click.echo(
            f"membership hosts={count} bytes_per_s={rate:.0f}"
            f" messages_per_s={messages:.1f} core_percent={share:.3f}"
        )
    click.echo(f"membership full_probe_bytes={full_probe_bytes()}")
    for count in HOST_COUNTS:
        taken_s, steady, extra = measure_change(count)
        click.echo(
            f"configuration hosts={count} everywhere_s={taken_s:.2f}"
            f" steady_bytes_per_s={steady:.0f} bytes_per_change={extra:.0f}"
        )
    for count in (8, 1_300):
        for outage_s in (0, 60):
            ready_s, peak, total = measure_restart(count, outage_s)
            click.echo(
                f"restart hosts={count} store_down_s={outage_s}"
                f" ready_after_s={ready_s:.1f} peak_reads_per_s={peak} reads={total}"
            )
    bare, answered = measure_ledger(10_000)
    click.echo(
        f"ledger bytes_per_record={bare:.0f} with_256_byte_answer={answered:.0f}"
    )


if __name__ == "__main__":
    main()
