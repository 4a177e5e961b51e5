"""A site in one process whose service is deployed in several versions.

It plays successions of what operators and the platform do: orders, releases, replicas
that are lost, outages after which the entries of replicas are back one after the other,
and hosts that are all killed. What replicas received and callers got is kept.
"""

import asyncio
import collections
import itertools
import random

import msgspec

from hemlockhoist.standins.published.behaviours import Behaviour
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import Site, route
from hemlockhoist.standins.rejections import Rejection

SERVICE = "label-registry"
LOOKUP = route("lot-lookup", SERVICE, timeout_ms=3_000)
ISSUE = route("lot-issue", SERVICE, "non_idempotent", timeout_ms=3_000, max_attempts=1)
WORK_MS = 90
SLOTS = 6
REPLICAS = 3
# Of the answers of a bad version.
BAD_PERMILLE = 450
ORDER_S = 12
# For a report; orders are late where requests are few.
WAIT_S = 30
# From the confirmation of an order to the starts of its replicas.
START_S = (0.5, 2.0)
# An entry lapses after three intervals between two pings.
PING_S = 1.2
LAPSE_S = 3 * PING_S
# From the end of an outage until a replica is entered again.
RETURN_S = (0.0, PING_S)
LATE_RETURN_S = (1.7, 1.9)
# What a replica serves after it has announced that it leaves.
DRAIN_S = 3.0
# From the report of a rollback until the new replicas leave.
ROLLBACK_DRAIN_S = 5.0
# After a disturbance, until hosts count as in touch with the store.
CONTACT_S = 3.0
DEADLINE_MS = 3_000
_PERMILLE = 1_000


class VersionReplica(Replica):
    """A replica of a version, which fails a share of its requests.

    Attributes
    ==========
    version : str
    bad_permille : int
        Share of its answers that are failures.
    arrivals_s : list of float
        When the requests arrived that it ran.
    """

    def __init__(self, replica_id, version, bad_permille=0):
        super().__init__(replica_id, slots=SLOTS)
        self.version = version
        self.bad_permille = bad_permille
        self.delay_ms = WORK_MS
        self.arrivals_s = []
        self._credit_permille = 0

    async def _respond(self, received, writer):
        self.arrivals_s.append(received.started_s)
        self._credit_permille += self.bad_permille
        fails = self._credit_permille >= _PERMILLE
        self._credit_permille -= _PERMILLE * fails
        self.behaviour = Behaviour.FAILS if fails else Behaviour.NORMAL
        await super()._respond(received, writer)


class Order(msgspec.Struct, frozen=True):
    """An order that was given, and when it was confirmed."""

    version: str
    begin_s: float
    duration_s: float


class Answer(msgspec.Struct, frozen=True):
    """What a caller got, and when it sent the request."""

    sent_s: float
    status: int


class Report(msgspec.Struct, frozen=True):
    """A state that the hosts reported to operators."""

    at_s: float
    version: str
    state: str


class VersionSite(Site):
    """A site that plays successions of versions.

    Parameters
    ==========
    seed : int
        Of the callers' times and of the starts and returns of replicas.
    requests_per_s : float
    first_version : str
    hosts : int
    """

    def __init__(self, seed=1, requests_per_s=40.0, first_version="v1", hosts=3):
        self.rng = random.Random(seed)
        self.requests_per_s = requests_per_s
        self.first_version = first_version
        first = [self.new_replica(first_version) for _ in range(REPLICAS)]
        super().__init__({SERVICE: first}, [LOOKUP, ISSUE], hosts=hosts)
        # Those that are started and neither leave nor have ended, by version.
        self.deployed = collections.defaultdict(list)
        self.all_replicas = []
        self.orders = []
        self.reports = []
        self.answers = []
        self.out_of_touch = []
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._is_calling = False

    def new_replica(self, version, bad_permille=0):
        """Return a replica of a version that is not started yet."""
        number = self.rng.randrange(1 << 32)
        return VersionReplica(f"i-{version}-{number:08x}", version, bad_permille)

    async def __aenter__(self):
        await super().__aenter__()
        for replica in self.replicas[SERVICE]:
            self.deployed[replica.version].append(replica)
            self.all_replicas.append(replica)
        self._is_calling = True
        self._spawn(self._call_repeatedly())
        self._spawn(self._follow_reports())
        return self

    async def __aexit__(self, *error):
        self._is_calling = False
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().__aexit__(*error)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def now_s(self):
        """The time on the clock of the event loop."""
        return asyncio.get_running_loop().time()

    async def register_replica(self, service, replica, **fields):
        """Write the row of a replica to the store, as the replica does."""
        version = replica.version
        await super().register_replica(service, replica, version=version, **fields)

    # Callers.

    async def _call_repeatedly(self):
        while self._is_calling:
            self._spawn(self._call_once(next(self._numbers)))
            await asyncio.sleep(self.rng.expovariate(self.requests_per_s))

    async def _call_once(self, number):
        name = "lot-lookup" if number % 2 else "lot-issue"
        method = "GET" if number % 2 else "POST"
        sent_s, status = self.now_s, 0
        try:
            async with self.call(
                f"/{name}/{number}",
                number % len(self.hosts),
                method,
                Attempt_Id=f"a{number}",
                Deadline_Ms=str(DEADLINE_MS),
            ) as answer:
                status = answer.status
                await answer.read()
        except OSError:
            # A host that is killed answers nothing.
            status = 0
        self.answers.append(Answer(sent_s, status))

    def served_ratio(self, since_s):
        """Return the fraction of the requests sent since then that were answered 200."""
        statuses = [item.status for item in self.answers if item.sent_s >= since_s]
        return statuses.count(200) / max(1, len(statuses))

    # Operators and their platform.

    async def order(self, version, bad_permille=0, duration_s=ORDER_S, start_s=START_S):
        """Order a move, and start the version's replicas unless they are deployed."""
        body = {"service": SERVICE, "target": version, "duration_s": duration_s}
        await self.store.put("op", f"rollout/{SERVICE}", body)
        self.orders.append(Order(version, self.now_s, duration_s))
        for _ in range(REPLICAS - len(self.deployed[version])):
            replica = self.new_replica(version, bad_permille)
            self._spawn(self._start_later(replica, self.rng.uniform(*start_s)))

    async def _start_later(self, replica, delay_s):
        await asyncio.sleep(delay_s)
        await self.start_replica(replica)

    async def start_replica(self, replica):
        """Start a replica, which enters itself as soon as the store takes its ping."""
        await self._open(replica)
        self.all_replicas.append(replica)
        self.deployed[replica.version].append(replica)
        # The first of several replicas to ping after an outage.
        while self.is_store_down:
            await asyncio.sleep(0.05)
        if replica in self.deployed[replica.version]:
            await self.register_replica(SERVICE, replica)

    async def release(self, replicas, version, gap_s=1.0):
        """Replace replicas one after the other; each new one starts first."""
        for old in list(replicas):
            await self.start_replica(self.new_replica(version))
            self._spawn(self.drain(old))
            await asyncio.sleep(gap_s)

    async def drain(self, replica):
        """Have a replica announce that it leaves, and end some seconds later."""
        self.deployed[replica.version].remove(replica)
        await self.register_replica(SERVICE, replica, state="draining")
        await asyncio.sleep(DRAIN_S)
        await self._end(replica)

    async def stop_version(self, version):
        """End a version's replicas at once, without draining them."""
        for replica in list(self.deployed[version]):
            self.deployed[version].remove(replica)
            await self._end(replica)

    async def _end(self, replica):
        await replica.close()
        await self.store.put("servers", replica.replica_id, None)

    async def crash(self, version, count=REPLICAS):
        """End some of a version's replicas, whose entries lapse later."""
        for replica in self.deployed[version][:count]:
            self.deployed[version].remove(replica)
            await replica.close()
            self._spawn(self._lapse(replica))

    async def _lapse(self, replica):
        await asyncio.sleep(LAPSE_S)
        await self.store.put("servers", replica.replica_id, None)

    async def _follow_reports(self):
        """Do what the platform does on each state that is reported of an order."""
        last = None
        while True:
            status = self.store.payload("status", f"rollout/{SERVICE}")
            if status is not None and status != last:
                last = status
                report = Report(self.now_s, status["target"], status["state"])
                self.reports.append(report)
                self._spawn(self._on_report(report))
            await asyncio.sleep(0.02)

    async def _on_report(self, report):
        if report.state == "completed":
            others = [item for item in self.deployed if item != report.version]
            for version in others:
                await self.stop_version(version)
        elif report.state == "rolled_back":
            await asyncio.sleep(ROLLBACK_DRAIN_S)
            if self._is_ordered_since(report):
                return
            for replica in list(self.deployed[report.version]):
                self._spawn(self.drain(replica))

    def _is_ordered_since(self, report):
        """Return whether the version of a report has been ordered again."""
        last = self.orders[-1]
        return last.version == report.version and last.begin_s > report.at_s

    async def wait_for(self, version, state, limit_s=WAIT_S):
        """Wait until a state was reported of an order for a version."""
        async with asyncio.timeout(limit_s):
            while not self.has_reported(version, state):
                await asyncio.sleep(0.02)

    def has_reported(self, version, state):
        """Return whether a state was reported of an order for a version."""
        return any((x.version, x.state) == (version, state) for x in self.reports)

    # Disturbances.

    @property
    def is_store_down(self):
        """Whether the store rejects each call."""
        return bool(self.store.faults.rejections)

    async def have_outage(self, duration_s, late=()):
        """Have the store reject all calls; entries lapse, and come back afterwards.

        Parameters
        ==========
        duration_s : float
        late : sequence of str, optional
            Versions whose entries are back after all others.
        """
        begin_s = self.now_s
        # All calls come from one address here.
        self.store.faults.rejections = {None: Rejection.BUSY}
        await asyncio.sleep(LAPSE_S - PING_S)
        lapsed = [item for items in self.deployed.values() for item in items]
        for replica in lapsed:
            await self.store.put("servers", replica.replica_id, None)
        await asyncio.sleep(duration_s - (self.now_s - begin_s))
        self.store.faults.rejections = {}
        self.out_of_touch.append((begin_s, self.now_s + CONTACT_S))
        for replica in lapsed:
            self._spawn(
                self._return_later(replica, self.rng.uniform(0.0, PING_S + 0.6))
            )

    async def _return_later(self, replica, delay_s):
        await asyncio.sleep(delay_s)
        if replica in self.deployed[replica.version]:
            await self.register_replica(SERVICE, replica)

    async def kill_hosts(self, down_s=0.3):
        """Kill all hosts, and start others in their place."""
        begin_s = self.now_s
        # What a killed host would not write any more is rejected.
        self.store.faults.rejections = {None: Rejection.BUSY}
        for host in self.hosts:
            await host.close()
        self.store.faults.rejections = {}
        await asyncio.sleep(down_s)
        count = len(self.hosts)
        self.hosts.clear()
        for number in range(count):
            await self.add_host(number)
        self.out_of_touch.append((begin_s, self.now_s + CONTACT_S))

    # What the rules bound.

    def count_exposed(self, order):
        """Return how many requests an order's version got, and how many were allowed.

        Counted are those within the order's time, but for what hosts sent that were out
        of touch with the store.
        """
        end_s = order.begin_s + order.duration_s
        bounds = self._bounds
        exposed = total = 0
        for replica in self.all_replicas:
            for at_s in replica.arrivals_s:
                if order.begin_s <= at_s <= end_s:
                    total += 1
                    exposed += replica.version == order.version and self._in_touch(at_s)
        return exposed, bounds.trial_share * total + bounds.trial_tolerance

    def _in_touch(self, at_s):
        return not any(begin <= at_s <= end for begin, end in self.out_of_touch)
