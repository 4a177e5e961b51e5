"""The faults of a soak run: drawn from its seed, overlapping, removed at the end."""

import asyncio
import signal

from hemlockhoist.standins.published.behaviours import (
    BEGIN_MOMENTS,
    FAULTY_BEHAVIOURS,
    Behaviour,
    CrashMoment,
)
from hemlockhoist.standins.published.soak.callers import BODY, REQUEST_KINDS, now_s
from hemlockhoist.standins.published.soak.crash_checks import CrashSpan
from hemlockhoist.standins.published.soak.crowd import Crowd, CrowdKind
from hemlockhoist.standins.published.soak.cut_checks import CutSpan
from hemlockhoist.standins.published.soak.end_faults import EndFaultKinds
from hemlockhoist.standins.published.soak.fall_checks import BrittleSpan
from hemlockhoist.standins.published.soak.limit_checks import LimitSpan
from hemlockhoist.standins.published.soak.proxy import Cut
from hemlockhoist.standins.published.soak.repeat_checks import RepeatedRequest
from hemlockhoist.standins.published.soak.second_faults import SecondFaultKinds
from hemlockhoist.standins.published.soak.service_faults import ServiceFaultKinds
from hemlockhoist.standins.published.soak.slowdown_faults import SlowdownFaultKinds
from hemlockhoist.standins.published.soak.store_faults import StoreFaultKinds

# The services whose replicas have faults in common.
SERVICES = ("asistente", "reservas")
# The effects of a fault, such as a lost host, last up to this long after its end.
SETTLE_S = 2.0
# Longest time in which faults go on for a number of requests.
MAX_INJECT_S = 60.0
# Fraction of the runs in which replicas crash on parts of prompts.
CRASHING_RUNS = 0.5


class SoakFaults(
    SlowdownFaultKinds,
    StoreFaultKinds,
    ServiceFaultKinds,
    EndFaultKinds,
    SecondFaultKinds,
):
    """Injects faults one after the other; most have a duration and overlap.

    Parameters
    ==========
    run : SoakRun
    rng : random.Random
    names : sequence of str, optional
        The names of the faults to draw from; by default all.

    Attributes
    ==========
    outages : list of (str, float, float)
        Host, begin and end of each time in which it was killed, stopped or suspended.
    limit_spans : list of LimitSpan
    cut_spans : list of CutSpan
    brittle_spans : list of BrittleSpan
    store_spans : list of (str, float, float)
        Host, begin and end of each time in which the store did not serve it.
    history_spans : list of HistorySpan
        The times in which a slow store had dropped its history.
    truncations_s : list of float
        When a store of the usual pace dropped its history.
    crash_spans : list of CrashSpan
    repeated : list of RepeatedRequest
        Requests that ended each replica that ran them.
    """

    def __init__(
        self,
        run,
        rng,
        names=(),
        crash_rng=None,
        crowd_rng=None,
        ends_rng=None,
        second_rng=None,
    ):
        self._second_rng = second_rng
        self._crash_rng = crash_rng
        self._crowd_rng = crowd_rng
        self._ends_rng = ends_rng
        self.crash_spans = []
        self.repeated = []
        self._names = frozenset(names)
        self._run = run
        self._rng = rng
        self._tasks = set()
        self.disturbances = []
        self.outages = []
        self.limit_spans = []
        self.cut_spans = []
        self.brittle_spans = []
        self.store_spans = []
        self.history_spans = []
        self.truncations_s = []
        self._has_cut = False
        self.stops = []
        self.counts = {}

    @property
    def fault_kinds(self):
        """The methods that inject a fault; one is drawn at a time."""
        kinds = (
            self.kill_host,
            self.kill_all_hosts,
            self.pause_host,
            self.stop_host,
            self.stop_hosts_in_turn,
            self.reload_host,
            self.cut_host_from_store,
            self.reject_hosts_at_store,
            self.reset_connections,
            self.delay_store,
            self.fail_store,
            self.lose_store_answers,
            self.truncate_history,
            self.slow_store_without_history,
            self.make_replica_faulty,
            self.crash_replica,
            self.drain_replica,
            self.slow_replica,
            self.report_slowdowns,
            self.silence_replica,
            self.make_service_brittle,
            self.cut_links,
            self.limit_replica,
            self.make_replica_ask_for_rest,
            self.announce_leaving,
            self.revoke_key,
            self.change_routes,
            self.change_routes_quickly,
            self.grow_declarations,
            self.order_rollout,
        )
        if not self._names:
            # Without the kinds that are played by name only, so that seeds keep their
            # faults.
            return kinds
        named = (*kinds, self.fail_service)
        return tuple(kind for kind in named if kind.__name__ in self._names)

    async def inject(self, seconds, interval_s, min_calls=0):
        """Inject random faults for ``seconds``, at intervals drawn from a range.

        They go on until ``min_calls`` requests were sent, ``MAX_INJECT_S`` at most.
        """
        begin_s = now_s()
        end_s = begin_s + seconds
        if self._has_crashing_parts():
            self._tasks.add(asyncio.create_task(self.crash_on_parts(end_s)))
        elif self._has_crashing_requests():
            self._tasks.add(asyncio.create_task(self.crash_on_requests(end_s)))
        if not self._names or self.crowd_hosts.__name__ in self._names:
            self._tasks.add(asyncio.create_task(self.crowd_hosts(end_s)))
        if self._has_closing_replicas():
            self._tasks.add(asyncio.create_task(self.close_answers(end_s)))
        if self._has_second_answers():
            self._tasks.add(asyncio.create_task(self.send_second_answers(end_s)))
        if not self.fault_kinds:
            await asyncio.sleep(seconds)
        calls = self._run.callers.calls
        while now_s() < end_s or (
            len(calls) < min_calls and now_s() < begin_s + MAX_INJECT_S
        ):
            kind = self._rng.choice(self.fault_kinds)
            name = kind.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            task = asyncio.create_task(kind())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*interval_s))

    def _has_crashing_parts(self):
        """Return whether replicas crash on parts of prompts in this run.

        Not in all: while they do, no planned stop is without another fault beside it.
        """
        if self._names:
            return self.crash_on_parts.__name__ in self._names
        return self._crash_rng.random() < CRASHING_RUNS

    def _has_crashing_requests(self):
        """Return whether replicas crash on requests that are sent again in this run."""
        return not self._names or self.crash_on_requests.__name__ in self._names

    async def heal(self):
        """Wait for the faults in progress, and remove all that is left of them."""
        await self._wait_for_tasks()
        run = self._run
        run.store.faults.heal()
        for proxy in (*run.store_proxies, *run.replica_proxies()):
            proxy.heal()
            proxy.reset_all()
        for replica in run.live_replicas():
            replica.behaviour = Behaviour.NORMAL
            replica.delay_ms = run.default_delay_ms
            replica.limit_per_s = replica.rest_s = replica.brittle_at = None
            replica.is_silent = False
            replica.slowdown_percent = None
        for host in run.hosts:
            host.resume()
            if not host.is_running:
                await host.start()

    async def _wait_for_tasks(self):
        """Wait for all faults, also for those that others start meanwhile.

        Otherwise a host that is about to be started again is started twice.
        """
        awaited = set()
        while started := self._tasks - awaited:
            awaited |= started
            await asyncio.gather(*started)

    async def close(self):
        """Cancel the faults in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _pick_host(self):
        """Return a random host that runs and is not stopping, or None."""
        candidates = [h for h in self._run.hosts if h.is_running and not h.is_stopping]
        return self._rng.choice(candidates) if candidates else None

    async def _sleep_between(self, low_s, high_s):
        await asyncio.sleep(self._rng.uniform(low_s, high_s))

    def _record_disturbance(self, begin_s, settle_s=SETTLE_S):
        self.disturbances.append((begin_s, now_s() + settle_s))

    def _record_outage(self, host, begin_s):
        self.outages.append((host.address, begin_s, now_s()))

    # Hosts.

    async def kill_host(self):
        """Kill a host process and start it again."""
        host = self._pick_host()
        if host is None:
            return
        begin_s = now_s()
        host.is_stopping = True
        await host.kill()
        await self._sleep_between(0.0, 1.0)
        await host.start()
        self._record_outage(host, begin_s)
        self._record_disturbance(begin_s)

    async def kill_all_hosts(self):
        """Kill all host processes at once and start them again."""
        begin_s = now_s()
        hosts = [h for h in self._run.hosts if h.is_running and not h.is_stopping]
        for host in hosts:
            host.is_stopping = True
        await asyncio.gather(*(host.kill() for host in hosts))
        await self._sleep_between(0.0, 1.0)
        for host in hosts:
            await host.start()
            self._record_outage(host, begin_s)
        self._record_disturbance(begin_s)

    async def pause_host(self):
        """Suspend a host process and resume it."""
        host = self._pick_host()
        if host is None or host.is_paused:
            return
        begin_s = now_s()
        host.pause()
        await self._sleep_between(0.3, 4.0)
        host.resume()
        self._record_outage(host, begin_s)
        self._record_disturbance(begin_s)

    async def stop_host(self):
        """Stop a host as planned and start it again."""
        host = self._pick_host()
        if host is None or host.is_paused:
            return
        signal_s = now_s()
        if await host.stop():
            self.stops.append((host.address, signal_s, now_s()))
        await host.start()
        self._record_outage(host, signal_s)

    async def stop_hosts_in_turn(self):
        """Stop and start all hosts in turn, each before the previous one is back."""
        for host in list(self._run.hosts):
            if host.is_running and not host.is_stopping and not host.is_paused:
                task = asyncio.create_task(self._stop_one(host))
                self._tasks.add(task)
                await asyncio.sleep(1.0)

    async def _stop_one(self, host):
        signal_s = now_s()
        if await host.stop():
            self.stops.append((host.address, signal_s, now_s()))
        await host.start()
        self._record_outage(host, signal_s)

    async def reload_host(self):
        """Signal a host twice in a row that its settings have changed."""
        host = self._pick_host()
        if host is not None:
            host.send(signal.SIGHUP)
            host.send(signal.SIGHUP)

    # Replicas.

    async def make_replica_faulty(self):
        """Give a replica a faulty behaviour for a while."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        replica.behaviour = self._rng.choice(FAULTY_BEHAVIOURS)
        await self._sleep_between(0.3, 2.0)
        replica.behaviour = Behaviour.NORMAL
        self._record_disturbance(begin_s)

    async def crash_replica(self):
        """End a replica; another one starts at its address with another id."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        await self._run.replace_replica(replica, self._rng.uniform(0.0, 1.5))
        self._record_disturbance(begin_s)

    async def drain_replica(self):
        """Drain a replica, which announces it, serves for a while and ends."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        await self._run.drain_replica(replica)
        self._record_disturbance(begin_s)

    async def silence_replica(self):
        """Let a replica send nothing for about a second, and go on."""
        replica = self._rng.choice(self._run.live_replicas())
        replica.is_silent = True
        await self._sleep_between(0.5, 1.3)
        replica.is_silent = False

    async def make_service_brittle(self):
        """Let all replicas of a service fall over at more than a few rejections."""
        service = self._rng.choice(SERVICES)
        replicas = self._run.live_replicas(service)
        if any(replica.brittle_at is not None for replica in replicas):
            return
        begin_s = now_s()
        rejections_per_s = self._rng.choice((0, 1, 4))
        for replica in replicas:
            replica.brittle_at = rejections_per_s
        await self._sleep_between(4.0, 8.0)
        for replica in replicas:
            replica.brittle_at = None
        self.brittle_spans.append(BrittleSpan(tuple(replicas), begin_s, now_s()))

    async def crash_on_parts(self, end_s):
        """Let all replicas crash on one part of prompts after the other until a time."""
        run, rng = self._run, self._crash_rng
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            part, begin_s = f"bad{len(self.crash_spans)}", now_s()
            for replica in run.live_replicas():
                replica.crash_moment = rng.choice(BEGIN_MOMENTS)
                replica.down_s = rng.uniform(1.0, 2.5)
                replica.is_unframed = rng.random() < 0.5
            run.crashing_parts.add(part)
            run.callers.guilty_part = part
            await asyncio.sleep(rng.uniform(5.0, 9.0))
            run.callers.guilty_part = None
            self.crash_spans.append(CrashSpan(part, begin_s, now_s()))
            self._record_disturbance(begin_s)

    async def crash_on_requests(self, end_s):
        """Let all replicas crash on one request after the other until a time."""
        run, rng = self._run, self._crash_rng
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            kind, begin_s = rng.choice(REQUEST_KINDS), now_s()
            key = rng.choice(run.callers.keys)
            name = f"bad{len(self.repeated)}"
            request = RepeatedRequest(
                path=kind.path,
                method=kind.method,
                name=name,
                customer=run.tenant(key),
                key=key,
                body=BODY,
                parts=f"c0de:60,5e5500:200,{name}:90" if kind.is_stream else "",
                from_s=begin_s,
            )
            for replica in run.live_replicas():
                replica.crash_moment = rng.choice(tuple(CrashMoment))
                replica.crash_after_events = rng.randint(1, 3)
                replica.down_s = rng.uniform(1.0, 2.5)
            run.crashing_targets.add(request.target)
            self.repeated.append(request)
            run.callers.repeated = request
            await asyncio.sleep(rng.uniform(4.0, 7.0))
            run.callers.repeated = None
            self._record_disturbance(begin_s)

    async def crowd_hosts(self, end_s):
        """Let callers crowd one host after the other with connections, until a time."""
        rng = self._crowd_rng
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            host = rng.choice(self._run.hosts)
            crowd = Crowd(host.address, rng.choice(tuple(CrowdKind)))
            self.counts["crowd_hosts"] = self.counts.get("crowd_hosts", 0) + 1
            await crowd.stay(rng.uniform(2.0, 6.0))

    async def cut_links(self):
        """Cut one or two hosts from one replica, from a service's or from all."""
        if self._has_cut:
            return
        self._has_cut = True
        service = self._rng.choice((None, *SERVICES))
        proxies = self._run.replica_proxies(service)
        is_one = self._rng.random() < 0.25
        if is_one:
            proxies = [self._rng.choice(proxies)]
        hosts = self._rng.sample(self._run.hosts, self._rng.choice((1, 1, 2)))
        kind = self._rng.choice(tuple(Cut))
        begin_s = now_s()
        for proxy in proxies:
            for host in hosts:
                proxy.cut(host.ip, kind)
        await self._sleep_between(1.0, 7.0)
        for proxy in proxies:
            for host in hosts:
                proxy.mend(host.ip, kind)
        self._has_cut = False
        addresses = frozenset(host.address for host in hosts)
        services = () if is_one else (service,) if service else SERVICES
        self.cut_spans.append(CutSpan(addresses, services, begin_s, now_s()))
        self._record_disturbance(begin_s)

    async def limit_replica(self):
        """Let a replica name a limit on requests, and withdraw it."""
        replica = self._rng.choice(self._run.live_replicas())
        if replica.limit_per_s is not None:
            return
        begin_s = now_s()
        replica.limit_per_s = limit_per_s = self._rng.choice((0.5, 1.5, 6.0))
        await self._sleep_between(6.0, 10.0)
        replica.limit_per_s = None
        self.limit_spans.append(LimitSpan(replica, limit_per_s, begin_s, now_s()))

    async def make_replica_ask_for_rest(self):
        """Let a replica turn all requests away and ask for rest, for a while."""
        begin_s = now_s()
        replica = self._rng.choice(self._run.live_replicas())
        replica.rest_s = self._rng.choice((1.0, 3.0))
        replica.behaviour = Behaviour.SHEDS
        await self._sleep_between(1.0, 4.0)
        replica.behaviour = Behaviour.NORMAL
        replica.rest_s = None
        self._record_disturbance(begin_s)

    async def announce_leaving(self):
        """Let a replica say in its answers that it leaves; its row changes late."""
        replica = self._rng.choice(self._run.live_replicas())
        replica.announce_leaving()
        await self._sleep_between(0.0, 3.0)
        await self._run.drain_replica(replica)

    # Operators.

    async def revoke_key(self):
        """Revoke the key of a customer."""
        await self._run.revoke_key()

    async def change_routes(self):
        """Write a new version of the routes."""
        await self._run.declare()

    async def change_routes_quickly(self):
        """Write several new versions of the routes, one shortly after the other."""
        for _ in range(self._rng.randint(3, 8)):
            await self._run.declare()
            await self._sleep_between(0.2, 0.8)

    async def grow_declarations(self):
        """Declare many more routes, or take them away again."""
        await self._run.grow_declarations()

    async def order_rollout(self):
        """Order the move of a service to another version."""
        await self._run.order_rollout()
