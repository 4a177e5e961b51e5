"""The soak run of one seed: processes, callers, faults and the result."""

import asyncio
import contextlib
import itertools
import pathlib
import random

import msgspec

from hemlockhoist.decisions.entry import MAX_DIRECT_READERS
from hemlockhoist.entry.environment import PERMILLE_VARIABLE
from hemlockhoist.standins.published.keep_alive import KeepAlive
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import route
from hemlockhoist.standins.published.soak.callers import (
    MAX_REQUEST_GAP_S,
    Callers,
    now_s,
)
from hemlockhoist.standins.published.soak.checks import RunChecker
from hemlockhoist.standins.published.soak.config_checks import DeclaredVersion
from hemlockhoist.standins.published.soak.contact_checks import ContactProbes
from hemlockhoist.standins.published.soak.faults import SoakFaults
from hemlockhoist.standins.published.soak.hedge_checks import HEDGE_LOG_TEXT
from hemlockhoist.standins.published.soak.hosts import START_TIMEOUT_S, HostProcess
from hemlockhoist.standins.published.soak.proxy import Proxy
from hemlockhoist.standins.published.soak.retry_checks import (
    ReplicaOutages,
    RetryBounds,
)
from hemlockhoist.standins.published.store import StoreStandin

HOST_COUNT = 3
REPLICA_COUNT = 3
CALLER_COUNT = 8
EVENT_COUNT = 6
# The services, and the events of a stream of theirs; 0 for answers with a plain body.
SERVICES = {"reservas": 0, "asistente": EVENT_COUNT}
# With fewer slots than callers, some requests wait for a slot, or are refused.
SLOT_COUNT = 2
KEY_COUNT = 12
# Versions whose own routes are asked for: those of some seconds of quick changes.
PROBED_COUNT = 12
# As many as make the declarations some hundred KB large.
EXTRA_ROUTE_COUNT = 1_400
REVOCATION_MS = 3_000
DRAIN_MS = 2_000
FAULT_INTERVAL_S = (0.1, 0.9)
# The even seeds run with hedges, the odd ones with the other features that are off by
# default.
HEDGING_VARIABLES = {PERMILLE_VARIABLE: "100"}
FEATURE_VARIABLES = {
    "HEMLOCKHOIST_KEPT_CONNECTIONS": "20",
    "HEMLOCKHOIST_FLAP_DAMPING_MAX_MS": "10000",
}
# Share of the replicas that close idle connections earlier than they announce.
EARLY_CLOSE_SHARE = 0.3
# Time after the last fault in which leases and backoffs expire and all hosts get ready.
RECOVERY_TIMEOUT_S = 20.0
# Texts of log lines that fail a run: violated invariants and unexpected errors.
FORBIDDEN_LOG_TEXTS = (
    "property_violated",
    "Traceback",
    "request_failed",
    "level=error",
)

ROUTES = (
    route("check-free", "reservas", timeout_ms=1_000),
    route("book-hall", "reservas", "non_idempotent", max_attempts=1, timeout_ms=1_000),
    route("report", "asistente", "streaming", resumable=True, timeout_ms=2_000),
    route("summary", "asistente", "streaming", max_attempts=1, timeout_ms=2_000),
)


class SoakResult(msgspec.Struct):
    """The result of a run.

    Parameters
    ==========
    violations : list of str
    check_counts, fault_counts : dict of str to int
        How often each check was made, and each fault injected.
    calls, served : int
        Number of requests, and of those answered completely with status 200.
    """

    violations: list[str]
    check_counts: dict[str, int]
    fault_counts: dict[str, int]
    calls: int
    served: int


class SoakRun:
    """Starts the processes of one seed, injects faults and checks the outcome.

    Parameters
    ==========
    seed : int
    folder : pathlib.Path
        Folder for settings and logs.
    fault_names : sequence of str, optional
        The faults to draw from, of ``SoakFaults``; by default all.
    host_count : int, optional
        From 13 hosts on, one host of each failure domain reads the store for all.
    slot_count : int, optional
        Slots of each replica.
    """

    default_delay_ms = 15
    max_request_gap_s = MAX_REQUEST_GAP_S
    replica_count = REPLICA_COUNT
    services = tuple(SERVICES)
    retry_bounds = RetryBounds()
    routes = ROUTES

    def __init__(
        self,
        seed,
        folder,
        fault_names=(),
        host_count=HOST_COUNT,
        slot_count=SLOT_COUNT,
    ):
        self._host_count = host_count
        self._slot_count = slot_count
        self.store = StoreStandin()
        self.store_proxies = []
        self.hosts = []
        self._folder = pathlib.Path(folder)
        self._rng = random.Random(seed)
        self._has_features = seed % 2 == 1
        self._feature_rng = random.Random(f"features of {seed}")
        self._replicas = {}
        self._ended_replicas = []
        self._numbers = itertools.count(1)
        self._version = 0
        # Routes that are declared beside the usual ones, to make the declarations large.
        self._extra_routes = []
        self._declared = []
        self._keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self._revoked = {}
        self._exit_stack = contextlib.AsyncExitStack()
        self.callers = Callers(
            self._addresses,
            list(self._keys),
            CALLER_COUNT,
            self._rng,
            self.max_request_gap_s,
        )
        crash_rng = random.Random(f"crashes of {seed}")
        crowd_rng = random.Random(f"crowds of {seed}")
        self.faults = SoakFaults(
            self,
            self._rng,
            fault_names,
            crash_rng,
            crowd_rng=crowd_rng,
            ends_rng=random.Random(f"ends of {seed}"),
            second_rng=random.Random(f"second answers of {seed}"),
        )
        self.contacts = None
        # Parts of prompts on which replicas that start crash too.
        self.crashing_parts = set()
        # Targets of requests on which they crash.
        self.crashing_targets = set()

    async def run(self, seconds, min_calls=0):
        """Run the seed, and return the ``SoakResult``.

        Parameters
        ==========
        seconds : float
            Time with faults.
        min_calls : int, optional
            Requests without which the faults go on, as a busy machine sends few a second.
        """
        async with self._exit_stack:
            await self._start()
            await self._open(self.callers)
            self.contacts = await self._open(ContactProbes(self.hosts))
            await asyncio.sleep(0.5)
            await self.faults.inject(seconds, FAULT_INTERVAL_S, min_calls)
            await self.faults.heal()
            recovered = await self._wait_ready()
            await asyncio.sleep(0.5)
            await self.callers.finish()
            return self._evaluate(recovered)

    async def _open(self, part):
        await part.start()
        self._exit_stack.push_async_callback(part.close)
        return part

    async def _start(self):
        await self._open(self.store)
        self.store.sender_of = self._store_sender
        for service, events in SERVICES.items():
            for _ in range(self.replica_count):
                await self._add_replica(service, events)
        await self.declare()
        bounds = {
            "revocation_ms": REVOCATION_MS,
            "drain_ms": DRAIN_MS,
            "retry_ratio": self.retry_bounds.ratio,
            "retry_allowance": self.retry_bounds.allowance,
            "retry_window_s": self.retry_bounds.window_s,
        }
        for number in range(self._host_count):
            proxy = await self._open(Proxy(self.store.address))
            self.store_proxies.append(proxy)
            variables = FEATURE_VARIABLES if self._has_features else HEDGING_VARIABLES
            host = HostProcess(number, proxy.address, self._folder, bounds, variables)
            self.hosts.append(await self._open(host))
        self._exit_stack.push_async_callback(self.faults.close)
        if not await self._wait_ready():
            raise TimeoutError("the hosts did not become ready")

    async def _wait_ready(self):
        """Wait until all hosts are ready; return whether they became so."""
        end_s = now_s() + max(RECOVERY_TIMEOUT_S, START_TIMEOUT_S)
        while now_s() < end_s:
            ready = await asyncio.gather(*(host.is_ready() for host in self.hosts))
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    def _addresses(self):
        return [host.address for host in self.hosts]

    def _store_sender(self, port):
        """Return the IP address of the host whose calls come from a proxy's port."""
        found = (proxy.sender(port) for proxy in self.store_proxies)
        return next((ip for ip in found if ip is not None), None)

    def _host_address(self, ip):
        found = (host.address for host in self.hosts if host.ip == ip)
        return next(found, "")

    # Replicas.

    def live_replicas(self, service=None):
        """Return the replicas that have not ended, of one service or of all."""
        return [
            replica
            for replica, _, (name, _) in self._replicas.values()
            if service in (None, name)
        ]

    def replica_proxies(self, service=None):
        """Return the proxies in front of the replicas of one service or of all."""
        return [
            proxy
            for _, proxy, (name, _) in self._replicas.values()
            if service in (None, name)
        ]

    async def _add_replica(self, service, events, version="v1", target=None):
        replica = Replica(f"i-{next(self._numbers)}", events, self._slot_count)
        replica.delay_ms = self.default_delay_ms
        replica.event_ms = 5
        if self._has_features:
            replica.keep_alive = self._new_keep_alive()
        await self._open(replica)
        proxy = target
        if proxy is None:
            proxy = await self._open(Proxy(replica.address))
        if not proxy.is_listening:
            await proxy.listen_again()
        proxy.target = replica.address
        replica.sender_of = lambda port: self._host_address(proxy.sender(port))
        replica.crashing_parts = self.crashing_parts
        replica.crashing_targets = self.crashing_targets
        replica.on_crash = proxy.stop_listening
        replica.on_restart = lambda: self._rename_replica(replica)
        self._replicas[replica.replica_id] = (replica, proxy, (service, version))
        await self._register(replica)

    def _new_keep_alive(self):
        """Return how a replica keeps connections, in some as it must not."""
        keep_alive = KeepAlive(self._feature_rng.randint(1, 3))
        if self._feature_rng.random() < EARLY_CLOSE_SHARE:
            keep_alive.closes_after_s = self._feature_rng.uniform(0.05, 0.5)
        return keep_alive

    async def _rename_replica(self, replica):
        """Register a replica that started again at its address under a new id."""
        old_id = replica.replica_id
        entry = self._replicas.get(old_id)
        if entry is None:
            return
        await entry[1].listen_again()
        # Until here it counts under its old id, also if its proxy can't listen again.
        if self._replicas.pop(old_id, None) is None:
            return
        replica.replica_id = f"i-{next(self._numbers)}"
        self._replicas[replica.replica_id] = entry
        await self._register(replica)
        await self.store.put("servers", old_id, None)

    async def _register(self, replica, **fields):
        _, proxy, (service, version) = self._replicas[replica.replica_id]
        row = replica.row(service, version=version, **fields)
        row["address"] = proxy.address
        await self.store.put("servers", replica.replica_id, row)

    async def replace_replica(self, replica, pause_s):
        """End a replica and start another at its address, before the list shows it."""
        entry = self._replicas.pop(replica.replica_id, None)
        if entry is None:
            return
        self._ended_replicas.append(replica)
        await replica.close()
        _, proxy, (service, version) = entry
        proxy.reset_all()
        await self._add_replica(service, replica.events, version, proxy)
        await asyncio.sleep(pause_s)
        await self.store.put("servers", replica.replica_id, None)

    async def drain_replica(self, replica):
        """Drain a replica as the protocol prescribes, and start another one."""
        if replica.replica_id not in self._replicas:
            return
        await self._register(replica, state="draining")
        service, version = self._replicas[replica.replica_id][2]
        await self._add_replica(service, replica.events, version)
        await asyncio.sleep(DRAIN_MS / 1_000 + 1.0)
        if self._replicas.pop(replica.replica_id, None) is not None:
            self._ended_replicas.append(replica)
            await self.store.put("servers", replica.replica_id, None)

    # Operators.

    async def declare(self):
        """Write a new version of the declarations, without the revoked keys.

        Each version has a route of its own, which the next one drops.
        """
        self._version += self._rng.randint(1, 4)
        declared = DeclaredVersion(f"added-{self._version}", begun_s=now_s())
        self._declared.append(declared)
        self.callers.probe_paths = [
            item.path for item in self._declared[-PROBED_COUNT:]
        ]
        added = route(declared.path, "reservas", anonymous=True)
        tenants = [
            {"name": self.tenant(key), "api_keys": [key], "priority": 1}
            for key in self._keys
            if key not in self._revoked
        ]
        body = {
            "version": self._version,
            "route_table": [*self.routes, added, *self._extra_routes],
            "services": [
                {"name": name, "health_path": "/healthz", "max_connections": 100}
                for name in ("reservas", "asistente")
            ],
            "limits": {},
            "tenants": tenants,
        }
        await self.store.put("op", "config", body)
        declared.confirmed_s = now_s()

    async def grow_declarations(self):
        """Declare many more routes, or as few as at the start."""
        grown = [route(f"extra-{n}", "reservas") for n in range(EXTRA_ROUTE_COUNT)]
        self._extra_routes = [] if self._extra_routes else grown
        await self.declare()

    def tenant(self, key):
        """Return the customer that holds a key."""
        return f"customer-of-{key}"

    async def revoke_key(self):
        """Revoke a key, with which callers go on sending."""
        valid_keys = self.callers.keys
        if len(valid_keys) <= KEY_COUNT // 2:
            return
        key = self._rng.choice(valid_keys)
        valid_keys.remove(key)
        # A time no later than the confirmation by the store, replaced after it.
        self._revoked[key] = now_s()
        await self.declare()
        self._revoked[key] = now_s()
        self.callers.revoked_keys.append(key)

    async def order_rollout(self):
        """Order the move of the booking service to a version with two replicas."""
        version = f"v{next(self._numbers)}"
        for _ in range(2):
            await self._add_replica("reservas", 0, version)
        body = {"service": "reservas", "target": version, "duration_s": 6}
        await self.store.put("op", "rollout/reservas", body)

    # The result.

    def _evaluate(self, recovered):
        replicas = [*self.live_replicas(), *self._ended_replicas]
        checker = RunChecker(self.callers.calls, replicas, EVENT_COUNT)
        tenants = {key: self.tenant(key) for key in self._keys}
        faults = self.faults
        checker.check(
            self._revoked, REVOCATION_MS, tenants, faults.stops, faults.disturbances
        )
        checker.check_bodies(self.callers.surplus)
        checker.check_limits(faults.limit_spans, faults.outages)
        checker.check_rests(replicas, faults.outages, DRAIN_MS)
        checker.check_cuts(faults.cut_spans, faults.outages)
        checker.check_falls(faults.brittle_spans)
        checker.check_contacts(self.contacts.probes, faults.outages)
        checker.check_crashes(
            faults.crash_spans,
            replicas,
            faults.outages,
            self.store.payloads("crashing_parts"),
        )
        checker.check_repeats(
            faults.repeated,
            replicas,
            faults.outages,
            self.store.payloads("crashing_parts"),
        )
        checker.check_retries(
            replicas,
            self.retry_bounds,
            self._max_attempts,
            self._replica_outages(replicas),
        )
        checker.check_declarations(
            self._declared, faults.store_spans, faults.outages, self._addresses()
        )
        checker.check_history(
            faults.history_spans,
            self.store.whole_reads,
            self._other_disturbances(),
            self._reader_count,
        )
        if not recovered:
            checker.violations.append(
                "a host was not ready after all faults were removed"
            )
        for host in self.hosts:
            checker.check_hedges(host.log_lines(HEDGE_LOG_TEXT))
        checker.violations += self._forbidden_lines()
        calls = self.callers.calls
        served = sum(call.status == 200 and call.is_complete for call in calls)
        return SoakResult(
            violations=checker.violations,
            check_counts=dict(checker.check_counts),
            fault_counts=faults.counts,
            calls=len(calls),
            served=served,
        )

    def _max_attempts(self, path):
        """Return the attempts that a route allows, which added ones have by default."""
        declared = {item["name"]: item for item in (route("", ""), *self.routes)}
        return declared.get(path, declared[""])["max_attempts"]

    def _replica_outages(self, replicas):
        """Return when replicas ended, or hosts were cut from them."""
        ends = []
        for replica in replicas:
            times_s = [*replica.falls, *(at_s for at_s, _ in replica.crashes)]
            ids = {item.replica_id for item in replica.ran}
            ends += [(name, at_s) for name in ids for at_s in times_s]
        return ReplicaOutages(
            replaced_ids=frozenset(item.replica_id for item in self._ended_replicas),
            ends=ends,
            cuts=[(span.from_s, span.until_s) for span in self.faults.cut_spans],
        )

    def _other_disturbances(self):
        """Return what may cause whole readings besides a dropped history."""
        faults = self.faults
        spans = {(span.begin_s, span.end_s) for span in faults.history_spans}
        outages = {(begin_s, end_s) for _, begin_s, end_s in faults.outages}
        store = {(begin_s, end_s) for _, begin_s, end_s in faults.store_spans}
        of_spans = {
            (a, b)
            for a, b in store
            if any(a <= begin_s and end_s <= b for begin_s, end_s in spans)
        }
        truncations = {(at_s, at_s) for at_s in faults.truncations_s}
        return list(outages | (store - of_spans) | truncations)

    @property
    def _reader_count(self):
        """The number of hosts that read the store, by the design's own rule."""
        if self._host_count <= MAX_DIRECT_READERS:
            return self._host_count
        return len({host.failure_domain for host in self.hosts})

    def _forbidden_lines(self):
        return [
            f"log of {host.name}: {line[:300]}"
            for host in self.hosts
            for line in host.log_lines(*FORBIDDEN_LOG_TEXTS)
        ]
