"""This host's view of the fleet, maintained by the membership protocol."""

import asyncio
import contextlib
import functools

from hemlockhoist.base import MS_PER_S, PeriodicTask, Refused, ResultCode, get_logger
from hemlockhoist.decisions.membership import (
    MemberGone,
    MemberJoined,
    MemberLeaving,
    Membership,
    SuccessorNamed,
)
from hemlockhoist.host.responses import json_response
from hemlockhoist.messages import Member

_log = get_logger("host.fleet")

# The membership has to be called several times a second, as a probe's timeouts are some
# hundreds of milliseconds.
MIN_TICK_INTERVAL_MS = 100
# Without a pending probe or suspicion, the membership is called when its next probe is
# due, and at least this often: it treats a longer gap as a freeze of the process.
MAX_TICK_INTERVAL_MS = 500
# A refused connection is reported within one round trip.
LISTEN_CHECK_TIMEOUT_MS = 500


class Fleet:
    """Drives the membership and notifies the other parts of its changes.

    Parameters
    ==========
    context : HostContext
    membership : Membership
    """

    __slots__ = (
        "_connection_checks",
        "_context",
        "_handled_version",
        "_introduced",
        "_live",
        "_live_version",
        "_membership",
        "_stable",
        "_stable_version",
        "_task",
    )

    def __init__(self, context, membership):
        self._context = context
        self._membership = membership
        self._task = PeriodicTask(self._tick_ms, self._tick)
        self._connection_checks = set()
        self._introduced = asyncio.Event()
        self._handled_version = None
        self._live = ()
        self._live_version = None
        self._stable = []
        self._stable_version = None

    @classmethod
    def from_context(cls, context, processor_millicores=0):
        """Return the view of the fleet for a process that has just started.

        Parameters
        ==========
        context : HostContext
        processor_millicores : int, optional
            Processor time that this host may use, if its settings limit it.
        """
        identity = context.identity
        own = Member(
            address=identity.host_id,
            incarnation=identity.incarnation,
            started_unix_ms=context.clock.unix_ms(),
            caller_address=identity.address,
            failure_domain=identity.failure_domain,
            processor_millicores=processor_millicores,
            relay_address=context.relay_address,
        )
        return cls(context, Membership.from_config(own, identity.incarnation))

    async def start(self):
        """Start to probe other hosts."""
        await self._task.start()

    async def close(self):
        """Stop probing."""
        await self._task.close()
        await asyncio.gather(*self._connection_checks, return_exceptions=True)

    def _tick_ms(self):
        due_ms = self._membership.next_due_ms(self._context.clock.now_ms())
        return min(MAX_TICK_INTERVAL_MS, max(MIN_TICK_INTERVAL_MS, due_ms))

    def _tick(self):
        now_ms = self._context.clock.now_ms()
        self._send(self._membership.tick(now_ms))
        self._process_events()

    def on_message(self, message):
        """Handle a membership message from a peer."""
        now_ms = self._context.clock.now_ms()
        self._send(self._membership.on_message(message, now_ms))
        self._process_events()

    def on_list(self, listed):
        """Update the list of hosts that may be running.

        Parameters
        ==========
        listed : sequence of ListedHost
        """
        self._membership.set_list(listed, self._context.clock.now_ms())
        self._process_events()

    def introduce(self):
        """Announce this host to hosts of the list."""
        self._introduced.set()
        self._send(self._membership.introduce())

    async def wait_introduced(self, limit_ms):
        """Wait until the list has been read, for at most ``limit_ms``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await self._introduced.wait()

    @property
    def is_high_capacity(self):
        """Whether this host may be home, by its own view of the fleet."""
        return self._membership.is_high_capacity

    def on_connection_lost(self, host_id):
        """Check whether a peer whose connection was lost still listens."""
        task = asyncio.create_task(self._check_listening(host_id))
        self._connection_checks.add(task)
        task.add_done_callback(self._connection_checks.discard)

    async def _check_listening(self, host_id):
        ip, _, port = host_id.rpartition(":")
        try:
            async with asyncio.timeout(LISTEN_CHECK_TIMEOUT_MS / MS_PER_S):
                _, writer = await asyncio.open_connection(ip.strip("[]"), int(port))
            writer.close()
        except ConnectionRefusedError:
            now_ms = self._context.clock.now_ms()
            self._membership.report_connection_refused(host_id, now_ms)
            self._process_events()
        except OSError:
            # No answer in time: the peer is frozen or partitioned, which probes detect.
            return

    def on_unresponsive(self, host_id):
        """Report a home that does not answer repeated requests."""
        now_ms = self._context.clock.now_ms()
        self._send(self._membership.report_unresponsive(host_id, now_ms))
        self._process_events()

    def leave(self, successor=""):
        """Announce to the fleet that this host accepts no new work."""
        now_ms = self._context.clock.now_ms()
        self._send(self._membership.leave(now_ms, successor))
        self._process_events()

    def announce_full(self, full):
        """Tell the fleet whether this host can't take new callers."""
        self._send(self._membership.announce_full(full))
        self._process_events()

    @property
    def version(self):
        """Version of the view, which differs after every change."""
        return self._membership.version

    def homes(self, pool, shard):
        """Return the host ids of a shard's home and of its successors, in order."""
        members = self._membership.homes(pool, shard, count=4)
        return tuple(member.address for member in members)

    def live_hosts(self):
        """Return the ids of the hosts that are not gone, this one included."""
        if self._live_version != self._membership.version:
            self._live_version = self._membership.version
            members = self._membership.live_hosts()
            self._live = tuple(member.address for member in members)
        return self._live

    def count_responsive(self, within_ms):
        """Return how many hosts sent a message within a time, this one included."""
        own = self._context.identity.host_id
        bus = self._context.bus
        return sum(
            1
            for host in self.live_hosts()
            if host == own or bus.received_within(host, within_ms)
        )

    def count_known(self, lost_ms):
        """Return the number of hosts in the fleet, with those lost recently.

        Parameters
        ==========
        lost_ms : int
            A host lost within this time still counts: it may be partitioned rather
            than gone.
        """
        now_ms = self._context.clock.now_ms()
        return len(self.live_hosts()) + self._membership.count_lost(now_ms, lost_ms)

    def stable_members(self):
        """Return this host's own member, and those neither suspect nor leaving."""
        if self._stable_version != self._membership.version:
            self._stable_version = self._membership.version
            self._stable = self._membership.confirmed_members()
        return self._membership.own.member, self._stable

    def members(self):
        """Return the members that are not gone."""
        return tuple(self._membership.live_hosts())

    def rank(self, name):
        """Return the usable hosts' ids, ordered by rendezvous score for a name."""
        return tuple(member.address for member in self._membership.rank(name))

    def host_of(self, incarnation):
        """Return the id of the live host with an incarnation, or ""."""
        member = self._membership.find(incarnation)
        return member.address if member is not None else ""

    def successor(self):
        """Return the incarnation to which this host hands its ledger, or ""."""
        own = self._context.identity.host_id
        for member in self._membership.rank(f"successor/{own}"):
            if member.address != own and member.incarnation:
                return member.incarnation
        return ""

    def caller_addresses(self):
        """Return the addresses for callers of all hosts that accept new work."""
        return self._membership.caller_addresses()

    def advertised_members(self):
        """Return the members to advertise to callers, in random order."""
        return self._membership.advertised_members()

    def hosts_response(self):
        """Return the response to ``GET /v1/hosts``.

        Raises
        ======
        Refused
            ``NOT_READY`` when no host accepts new work.
        """
        answer = self._membership.address_answer(self._context.clock.now_ms())
        if not answer.addresses:
            raise Refused("no host accepts new work", ResultCode.NOT_READY)
        payload = {
            "hosts": list(answer.addresses),
            "keep_ms": self._context.settings.address_ttl_ms,
            "host": self._context.identity.address,
            "key_prefix": self._context.ledger.mint_prefix(),
        }
        return json_response(payload)

    def _send(self, outgoing):
        for item in outgoing:
            self._context.bus.send(item.address, item.message)

    def _process_events(self):
        for event in self._membership.take_events():
            _handle(event, self._context)
        # A suspicion raises no event, but reassigns homes.
        if self._membership.version != self._handled_version:
            self._handled_version = self._membership.version
            self._context.homes.update()
            self._context.grants.on_homes_changed()


@functools.singledispatch
def _handle(event, context):
    """Notify the parts concerned of a membership event."""
    raise TypeError(type(event).__name__)


@_handle.register
def _(event: MemberJoined, context):
    _log.info("host_joined", host=event.member.address)
    context.homes.on_host_joined(event.member.address)
    context.quarantine.send_to(event.member.address)


@_handle.register
def _(event: MemberLeaving, context):
    _log.info("host_leaving", host=event.member.address)


@_handle.register
def _(event: MemberGone, context):
    _log.info("host_gone", host=event.member.address)
    context.homes.forget_host(event.member.address)


@_handle.register
def _(event: SuccessorNamed, context):
    context.ledger.record_successor(event.incarnation, event.successor)
