"""The faults of the store in a soak run, for all hosts or for some of them."""

from hemlockhoist.standins.published.soak.callers import now_s
from hemlockhoist.standins.published.soak.history_checks import HistorySpan
from hemlockhoist.standins.published.soak.proxy import Mode
from hemlockhoist.standins.rejections import Rejection

# The links of small hosts, of 10 Mbit/s.
SLOW_LINK_BYTES_PER_S = 1_250_000


class StoreFaultKinds:
    """The kinds of faults of ``SoakFaults`` that concern the store."""

    def _record_store_span(self, hosts, begin_s):
        for host in hosts:
            self.store_spans.append((host.address, begin_s, now_s()))

    async def cut_host_from_store(self):
        """Cut one host from the store, in one of three modes."""
        begin_s = now_s()
        host, proxy = self._rng.choice(self._hosts_and_proxies())
        proxy.mode = self._rng.choice(
            (Mode.BLACKHOLE, Mode.BLACKHOLE_REPLIES, Mode.REFUSE)
        )
        if proxy.mode is Mode.REFUSE:
            proxy.reset_all()
        await self._sleep_between(0.5, 7.0)
        proxy.heal()
        self._record_disturbance(begin_s)
        self._record_store_span([host], begin_s)

    def _hosts_and_proxies(self):
        return list(zip(self._run.hosts, self._run.store_proxies, strict=True))

    async def reject_hosts_at_store(self):
        """Let the store reject some hosts, at most all but one, and serve the others."""
        rejections = self._run.store.faults.rejections
        if rejections:
            return
        begin_s = now_s()
        count = self._rng.randint(1, len(self._run.hosts) - 1)
        hosts = self._rng.sample(self._run.hosts, count)
        rejection = self._rng.choice(tuple(Rejection))
        rejections.update((host.ip, rejection) for host in hosts)
        await self._sleep_between(1.0, 8.0)
        for host in hosts:
            rejections.pop(host.ip, None)
        self._record_disturbance(begin_s)
        self._record_store_span(hosts, begin_s)

    async def reset_connections(self):
        """Reset all connections of one host to the store, or of one replica."""
        begin_s = now_s()
        proxies = [*self._run.store_proxies, *self._run.replica_proxies()]
        self._rng.choice(proxies).reset_all()
        self._record_disturbance(begin_s)

    async def delay_store(self):
        """Delay the traffic between one host and the store."""
        begin_s = now_s()
        host, proxy = self._rng.choice(self._hosts_and_proxies())
        proxy.delay_ms = self._rng.choice((50, 200, 800))
        await self._sleep_between(0.5, 4.0)
        proxy.heal()
        self._record_disturbance(begin_s)
        self._record_store_span([host], begin_s)

    async def fail_store(self):
        """Make the store hang, or answer every call with an error."""
        begin_s = now_s()
        faults = self._run.store.faults
        faults.status = self._rng.choice((None, 503, 429))
        faults.hangs = faults.status is None
        await self._sleep_between(0.5, 5.0)
        faults.status, faults.hangs = None, False
        self._record_disturbance(begin_s)
        self._record_store_span(self._run.hosts, begin_s)

    async def lose_store_answers(self):
        """Let the store apply writes without answering them."""
        begin_s = now_s()
        self._run.store.faults.loses_answers = True
        await self._sleep_between(0.5, 3.0)
        self._run.store.faults.loses_answers = False
        self._record_disturbance(begin_s)

    async def slow_store_without_history(self):
        """Let a slow store drop its history beside a large change, over slow links."""
        run, faults = self._run, self._run.store.faults
        if faults.delay_ms:
            return
        begin_s = now_s()
        faults.delay_ms = self._rng.choice((300, 700, 1_200))
        for proxy in run.store_proxies:
            proxy.bytes_per_s = SLOW_LINK_BYTES_PER_S
        await run.grow_declarations()
        await self._sleep_between(0.5, 1.5)
        run.store.truncate_history()
        dropped_s = now_s()
        await run.declare()
        await self._sleep_between(2.0, 4.0)
        faults.delay_ms = 0
        for proxy in run.store_proxies:
            proxy.bytes_per_s = None
        self.history_spans.append(HistorySpan(dropped_s, now_s()))
        self._record_disturbance(begin_s)
        self._record_store_span(run.hosts, begin_s)

    async def truncate_history(self):
        """Let the store drop its change history."""
        begin_s = now_s()
        self._run.store.truncate_history()
        self.truncations_s.append(begin_s)
        self._record_disturbance(begin_s)
