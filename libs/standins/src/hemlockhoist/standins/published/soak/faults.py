"""What goes wrong in a soak: drawn by a seed, overlapping, healed at the end."""

import asyncio
import signal

from hemlockhoist.standins.published.replica import Behaviour
from hemlockhoist.standins.published.soak.callers import now_s
from hemlockhoist.standins.published.soak.proxy import Mode

# A host that has come back needs this long until nothing of its loss is felt any more.
AFTER_S = 2.0
_BAD = (
    Behaviour.FAILS,
    Behaviour.SHEDS,
    Behaviour.WRONG_ATTEMPT_ID,
    Behaviour.NO_RECEIPT,
    Behaviour.TRUNCATED,
    Behaviour.RESETS,
    Behaviour.HANGS,
    Behaviour.STOPS_MID_EVENT,
    Behaviour.SKIPS_EVENT,
    Behaviour.EXTRA_RESPONSE,
)


class SoakFaults:
    """Makes faults one after the other; most last for a while and overlap.

    Parameters
    ==========
    run : SoakRun
    rng : random.Random
    """

    def __init__(self, run, rng):
        self._run = run
        self._rng = rng
        self._tasks = set()
        self.disturbances = []
        self.stops = []
        self.counts = {}

    @property
    def kinds(self):
        """All kinds of fault."""
        return (
            self.kill_host,
            self.kill_all_hosts,
            self.pause_host,
            self.stop_host,
            self.stop_in_turn,
            self.hang_up_host,
            self.cut_from_store,
            self.reset_connections,
            self.delay_store,
            self.store_out,
            self.lose_store_answers,
            self.truncate_history,
            self.spoil_replica,
            self.crash_replica,
            self.drain_replica,
            self.slow_replica,
            self.revoke_key,
            self.change_routes,
            self.order_rollout,
        )

    async def disturb(self, seconds, pause_s):
        """Draw faults for a while."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            kind = self._rng.choice(self.kinds)
            name = kind.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            task = asyncio.create_task(kind())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*pause_s))

    async def heal(self):
        """Wait for what is under way, and mend all."""
        await asyncio.gather(*self._tasks)
        run = self._run
        run.store.faults.heal()
        for proxy in (*run.store_proxies, *run.replica_proxies()):
            proxy.heal()
            proxy.reset_all()
        for replica in run.live_replicas():
            replica.behaviour = Behaviour.NORMAL
            replica.delay_ms = run.default_delay_ms
        for host in run.hosts:
            host.resume()
            if not host.is_running:
                await host.start()

    async def close(self):
        """End what is under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _host(self):
        """Return a host that is well, or None."""
        well = [h for h in self._run.hosts if h.is_running and not h.stopping]
        return self._rng.choice(well) if well else None

    async def _for_a_while(self, low_s, high_s):
        await asyncio.sleep(self._rng.uniform(low_s, high_s))

    def _note(self, begin_s, after_s=AFTER_S):
        self.disturbances.append((begin_s, now_s() + after_s))

    # Hosts.

    async def kill_host(self):
        """A process is killed and started again."""
        host = self._host()
        if host is None:
            return
        begin_s = now_s()
        host.stopping = True
        await host.kill()
        await self._for_a_while(0.0, 1.0)
        await host.start()
        self._note(begin_s)

    async def kill_all_hosts(self):
        """All processes are killed at once."""
        begin_s = now_s()
        hosts = [h for h in self._run.hosts if h.is_running and not h.stopping]
        for host in hosts:
            host.stopping = True
        await asyncio.gather(*(host.kill() for host in hosts))
        await self._for_a_while(0.0, 1.0)
        for host in hosts:
            await host.start()
        self._note(begin_s)

    async def pause_host(self):
        """A process stands still and goes on."""
        host = self._host()
        if host is None or host.is_paused:
            return
        begin_s = now_s()
        host.pause()
        await self._for_a_while(0.3, 4.0)
        host.resume()
        self._note(begin_s)

    async def stop_host(self):
        """A host is stopped by plan and started again."""
        host = self._host()
        if host is None or host.is_paused:
            return
        signal_s = now_s()
        if await host.stop():
            self.stops.append((host.address, signal_s, now_s()))
        await host.start()

    async def stop_in_turn(self):
        """All hosts are stopped and started, the next before the last is back."""
        for host in list(self._run.hosts):
            if host.is_running and not host.stopping and not host.is_paused:
                task = asyncio.create_task(self._stop_one(host))
                self._tasks.add(task)
                await asyncio.sleep(1.0)

    async def _stop_one(self, host):
        signal_s = now_s()
        if await host.stop():
            self.stops.append((host.address, signal_s, now_s()))
        await host.start()

    async def hang_up_host(self):
        """The settings are said to have changed, twice in a row."""
        host = self._host()
        if host is not None:
            host.send(signal.SIGHUP)
            host.send(signal.SIGHUP)

    # The store.

    async def cut_from_store(self):
        """One host loses the store, in one of three ways."""
        begin_s = now_s()
        proxy = self._rng.choice(self._run.store_proxies)
        proxy.mode = self._rng.choice(
            (Mode.BLACKHOLE, Mode.BLACKHOLE_REPLIES, Mode.REFUSE)
        )
        if proxy.mode is Mode.REFUSE:
            proxy.reset_all()
        await self._for_a_while(0.5, 7.0)
        proxy.heal()
        self._note(begin_s)

    async def reset_connections(self):
        """All connections of one host to the store, or of a replica, are reset."""
        begin_s = now_s()
        proxies = [*self._run.store_proxies, *self._run.replica_proxies()]
        self._rng.choice(proxies).reset_all()
        self._note(begin_s)

    async def delay_store(self):
        """One host's way to the store is slow."""
        begin_s = now_s()
        proxy = self._rng.choice(self._run.store_proxies)
        proxy.delay_ms = self._rng.choice((50, 200, 800))
        await self._for_a_while(0.5, 4.0)
        proxy.heal()
        self._note(begin_s)

    async def store_out(self):
        """The store answers nobody, or turns everybody away."""
        begin_s = now_s()
        faults = self._run.store.faults
        faults.status = self._rng.choice((None, 503, 429))
        faults.hangs = faults.status is None
        await self._for_a_while(0.5, 5.0)
        faults.heal()
        self._note(begin_s)

    async def lose_store_answers(self):
        """Writes are done and not answered."""
        begin_s = now_s()
        self._run.store.faults.loses_answers = True
        await self._for_a_while(0.5, 3.0)
        self._run.store.faults.loses_answers = False
        self._note(begin_s)

    async def truncate_history(self):
        """The store drops its history."""
        begin_s = now_s()
        self._run.store.truncate_history()
        self._note(begin_s)

    # Replicas.

    async def spoil_replica(self):
        """A replica answers badly for a while."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        replica.behaviour = self._rng.choice(_BAD)
        await self._for_a_while(0.3, 2.0)
        replica.behaviour = Behaviour.NORMAL
        self._note(begin_s)

    async def crash_replica(self):
        """A replica ends; another one begins at its address under another id."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        await self._run.replace_replica(replica, self._rng.uniform(0.0, 1.5))
        self._note(begin_s)

    async def drain_replica(self):
        """A replica says that it leaves, goes on for a while, and is gone."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        await self._run.drain_replica(replica)
        self._note(begin_s)

    async def slow_replica(self):
        """A replica takes its time."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        replica.delay_ms = self._rng.choice((200, 800))
        await self._for_a_while(0.3, 2.0)
        replica.delay_ms = self._run.default_delay_ms
        self._note(begin_s)

    # Operators.

    async def revoke_key(self):
        """A customer's key is taken away."""
        await self._run.revoke_key()

    async def change_routes(self):
        """A newer version of the routes."""
        await self._run.declare()

    async def order_rollout(self):
        """A service's requests are to move to the other version."""
        await self._run.order_rollout()
