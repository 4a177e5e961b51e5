"""Random disturbances of a fleet of feed stores, and how late changes are at its hosts."""

import asyncio
import random

import msgspec

# Hosts are held to that from so long after the end of a disturbance of the whole store.
CONTACT_S = 3.0
# Bound beside a store that answers in up to a second, also for small fleets.
SLOW_IN_FORCE_S = 3.0
PLAY_S = 24.0
PROBE_INTERVAL_S = 1.0
WATCH_INTERVAL_S = 0.02


class Span(msgspec.Struct, frozen=True):
    """A time during which something was disturbed."""

    begin_s: float
    end_s: float

    def overlaps(self, begin_s, end_s):
        """Return whether it has a part between two times."""
        return self.begin_s < end_s and begin_s < self.end_s


class LateHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host that had a change in force too late.

    Parameters
    ==========
    host : str
    change : str
    late_s : float
        How long after the confirmation of the change, beyond its bound.
    """

    host: str
    change: str
    late_s: float


class Disturbances:
    """Draws disturbances, plays them, and finds the hosts that were late.

    A change is visible at the store only as it is confirmed, and a call sees what the
    store had as it began: the least favourable order of both.

    Parameters
    ==========
    case : FeedFleetCase
    seed : int
    in_force_s : float
        Declared time from the confirmation of a change until it is in force.
    """

    def __init__(self, case, seed, in_force_s):
        self.rng = random.Random(seed)
        self.case = case
        self.in_force_s = in_force_s
        self.hosts = case.hosts
        self.network = case.network
        self.conditions = case.conditions
        self.store = case.store
        # When each change was confirmed, in their order.
        self.confirmed_s = {}
        # When the store was slow, and when it served no host.
        self.slow = []
        self.away = []
        # When single hosts did not run, by address.
        self.frozen = {host.member.address: [] for host in self.hosts}

    async def play(self, kinds, count):
        """Play changes and disturbances at once, and then wait for the last change.

        Parameters
        ==========
        kinds : sequence of callable
            Of which kinds the disturbances are, methods of this class.
        count : int
            How many there are.
        """
        chosen = [kind(self) for kind in self.rng.choices(kinds, k=count)]
        tasks = [asyncio.create_task(self._probe(host)) for host in self.hosts]
        tasks.append(asyncio.create_task(self._watch_store()))
        try:
            await asyncio.gather(self._change(), *chosen)
            await asyncio.sleep(CONTACT_S + SLOW_IN_FORCE_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def late_hosts(self):
        """Return a ``LateHost`` for each change and host that broke its bound."""
        order = list(self.confirmed_s)
        found = []
        for index, change in enumerate(order):
            due_s = self._due_s(self.confirmed_s[change])
            for host in self.hosts:
                if self._is_excused(host, self.confirmed_s[change], due_s):
                    continue
                known = [host.in_force_s.get(item) for item in order[index:]]
                known_s = min((s for s in known if s is not None), default=float("inf"))
                if known_s > due_s:
                    address = host.member.address
                    late_s = known_s - self.confirmed_s[change]
                    found.append(LateHost(host=address, change=change, late_s=late_s))
        return found

    def _due_s(self, confirmed_s):
        """Return until when a change has to be in force."""
        due_s = confirmed_s + self.in_force_s
        for span in sorted(self.away, key=lambda item: item.begin_s):
            if span.overlaps(confirmed_s - CONTACT_S, due_s):
                due_s = max(due_s, span.end_s + CONTACT_S)
        if any(span.overlaps(confirmed_s - CONTACT_S, due_s) for span in self.slow):
            due_s = max(due_s, confirmed_s + SLOW_IN_FORCE_S)
        return due_s

    def _is_excused(self, host, confirmed_s, due_s):
        spans = self.frozen[host.member.address]
        return any(span.overlaps(confirmed_s - CONTACT_S, due_s) for span in spans)

    # What happens.

    async def _change(self):
        until_s = self._now_s() + PLAY_S
        number = 0
        while self._now_s() < until_s:
            await asyncio.sleep(self.rng.choice((0.3, 0.6, 1.2, 2.5)))
            number += 1
            await self.case.write(f"c{number}")
            self.confirmed_s[f"c{number}"] = self._now_s()

    async def reject(self):
        """Let the store reject some hosts, or leave their calls unanswered."""
        await self._begin()
        count = self.rng.randint(1, len(self.hosts) - 1)
        silent = self.rng.random() < 0.5
        rejected = self.rng.sample(self.hosts, count)
        for host in rejected:
            if silent:
                host.store.silence()
            else:
                host.store.is_partitioned = True
        await asyncio.sleep(self.rng.uniform(2, 9))
        for host in rejected:
            host.store.is_silent = host.store.is_partitioned = False

    async def slow_down(self):
        await self._begin()
        begin_s = self._now_s()
        self.conditions.answer_ms = self.rng.choice((240, 500, 1_040))
        await asyncio.sleep(self.rng.uniform(2, 9))
        self.conditions.answer_ms = 4
        self.slow.append(Span(begin_s, self._now_s()))

    async def drop_history(self):
        await self._begin()
        for table in self.store.values():
            await table.drop_history()

    async def freeze(self):
        """Let some hosts neither run nor be reached."""
        await self._begin()
        begin_s = self._now_s()
        frozen = self.rng.sample(self.hosts, self.rng.randint(1, 3))
        for host in frozen:
            host.store.silence()
            self.network.disconnected.add(host.member.address)
        await asyncio.sleep(self.rng.uniform(1, 5))
        for host in frozen:
            host.store.is_silent = False
            self.network.disconnected.discard(host.member.address)
            span = Span(begin_s, self._now_s())
            self.frozen[host.member.address].append(span)

    async def silence_connections(self):
        """Let calls in progress stay unanswered, as if their connections were lost."""
        await self._begin()
        for host in self.rng.sample(self.hosts, len(self.hosts) * 2 // 3):
            host.store.silence()
            host.store.is_silent = False
        self.away.append(Span(self._now_s(), self._now_s()))

    async def _watch_store(self):
        """Record when the store serves no running host."""
        while True:
            if not any(self._is_served(host) for host in self.hosts):
                now_s = self._now_s()
                self.away.append(Span(now_s, now_s + WATCH_INTERVAL_S))
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _is_served(self, host):
        return not (host.store.is_silent or host.store.is_partitioned)

    async def go_away(self):
        await self._begin()
        for host in self.hosts:
            host.store.silence()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        for host in self.hosts:
            host.store.is_silent = False

    async def _begin(self):
        await asyncio.sleep(self.rng.uniform(0, PLAY_S - 8))

    async def _probe(self, host):
        """Exchange a message with one other host after the other."""
        others = [item for item in self.hosts if item is not host]
        await asyncio.sleep(self.rng.random() * PROBE_INTERVAL_S)
        while True:
            self.rng.shuffle(others)
            for other in others:
                self.network.exchange(host.member.address, other.member.address)
                await asyncio.sleep(PROBE_INTERVAL_S)

    def _now_s(self):
        return asyncio.get_running_loop().time()
