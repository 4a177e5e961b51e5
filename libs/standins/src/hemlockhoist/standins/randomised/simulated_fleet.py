"""A simulated fleet: hosts, the links between them, a store, a service and a clock."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.membership import ListedHost
from hemlockhoist.messages.membership import Member
from hemlockhoist.standins.randomised.call import CallPhase
from hemlockhoist.standins.randomised.host import SoakHost
from hemlockhoist.standins.randomised.link import Link
from hemlockhoist.standins.randomised.service import CountingService
from hemlockhoist.standins.randomised.table import FaultyTable

HOSTS = 4
STEP_MS = 500


class SimulatedFleet:
    """The simulated system under test of one example.

    Parameters
    ==========
    tally : Tally
    """

    __slots__ = (
        "declarations_by_version",
        "hosts",
        "incarnation_count",
        "link",
        "now_ms",
        "service",
        "store",
        "tally",
    )

    def __init__(self, tally):
        self.tally = tally
        self.now_ms = 0
        self.link = Link(tally)
        self.store = FaultyTable()
        self.service = CountingService(tally)
        self.hosts = {}
        self.incarnation_count = 0
        self.declarations_by_version = {}
        for number in range(HOSTS):
            self.start(number)
        self.advance(2_000)

    def start(self, number):
        """Start host ``number`` as a new incarnation, and return it."""
        self.incarnation_count += 1
        member = Member(
            address=f"h{number}",
            incarnation=f"h{number}-{self.incarnation_count}",
            started_unix_ms=self.incarnation_count,
            caller_address=f"c{number}",
            failure_domain=f"d{number % 2}",
        )
        host = SoakHost(member, self.tally, self.service, self.incarnation_count)
        listed = [ListedHost(address=f"h{n}") for n in range(HOSTS)]
        host.membership.set_list(listed, self.now_ms)
        self.hosts[number] = host
        return host

    def running_hosts(self):
        """Return the hosts whose processes are not frozen."""
        return [host for host in self.hosts.values() if not host.is_frozen]

    def send(self, host, outgoing):
        """Send a host's messages, and deliver those that are due now."""
        for item in outgoing:
            self.link.send(host.address, item.address, item.message, self.now_ms)
        self.deliver()

    def deliver(self):
        """Deliver the messages that are due; those of a frozen host stay queued."""
        waiting = []
        while due := self.link.take_due(self.now_ms):
            for item in due:
                host = self._host_at(item[2])
                if host is None:
                    continue
                if host.is_frozen:
                    waiting.append(item)
                    continue
                for answer in host.receive(item[3], self.now_ms):
                    self.link.send(
                        host.address, answer.address, answer.message, self.now_ms
                    )
        self.link.messages += waiting

    def advance(self, duration_ms):
        """Advance the clock by ``duration_ms`` in steps, ticking the running hosts."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + STEP_MS)
            self.deliver()
            for host in self.running_hosts():
                self.send(host, host.tick(self.now_ms))
                self._read_store(host)
                self.check_serving(host)

    def check_serving(self, host):
        """Check that a host serves the same content of a version as all before."""
        declarations = host.serve(self.now_ms)
        if declarations is None:
            return
        known = self.declarations_by_version.setdefault(
            declarations.version, declarations
        )
        self.tally.invariants.check(
            Property.CONFIGURATION_NEVER_REVERTS,
            known == declarations,
            f"{host.address} serves different content of {declarations.version}",
        )

    def freeze(self, host):
        """Suspend a host process without ending it."""
        host.is_frozen = True

    def resume(self, host):
        """Resume a frozen process at the point where it was suspended."""
        host.is_frozen = False
        for call in host.calls:
            if call.phase is CallPhase.DISPATCHED:
                host.send(call)
        self.check_serving(host)
        self.deliver()

    def _read_store(self, host):
        if not host.configuration.store_read_due(self.now_ms):
            return
        row = self.store.read()
        if row is None:
            host.configuration.on_store_failure(self.now_ms)
        else:
            self.send(host, host.configuration.on_store_answer(row, self.now_ms))

    def _host_at(self, address):
        for host in self.hosts.values():
            if host.address == address:
                return host
        return None
