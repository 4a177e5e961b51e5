"""The declarations in force at this host, and their propagation between hosts.

A few hosts read the store's row. Each host that applies a higher version sends a digest
to a few peers at once, and to one random peer every second. This gossip reaches all of
a large fleet in a few rounds and repairs every loss. Only a higher version is ever
applied.
"""

import random

from hemlockhoist.base import Property
from hemlockhoist.decisions.configuration import exchange
from hemlockhoist.decisions.configuration.acknowledgements import AcknowledgementLog
from hemlockhoist.decisions.configuration.backoff import StoreBackoff
from hemlockhoist.decisions.configuration.content import FullContent
from hemlockhoist.decisions.configuration.halts import HaltedSet
from hemlockhoist.decisions.membership.records import Outgoing
from hemlockhoist.declarations import Declarations
from hemlockhoist.messages.configuration import (
    ConfigurationAck,
    ConfigurationDigest,
    ConfigurationSummaryRequest,
    HaltedVersion,
    HaltedVersions,
)

# Enough for a new version to reach nearly all of 1,300 hosts in five or six rounds of
# gossip; the digest sent every second reaches the rest.
FANOUT = 4
DIGEST_INTERVAL_MS = 1_000
STORE_READ_INTERVAL_MS = 2_000
# Number of hosts that read the store and collect acknowledgements: if one of them is
# gone and one is partitioned, one is left.
READER_COUNT = 3
ACK_INTERVAL_MS = 15_000
# A host that was not scheduled for this long may have missed a change that came into
# force everywhere before it resumed.
SUSPENSION_LIMIT_MS = 5_000
# How long such a host waits for a peer's confirmation. Without one it then serves the
# version that it has.
CONFIRM_TIMEOUT_MS = 3_000
# A new host first waits for a peer to send the declarations. Then it draws the time of
# its own read from a span that grows with the fleet: 1,300 hosts that start together
# cause 50 reads per second.
FIRST_WAIT_MS = 5_000
FIRST_SPREAD_MS_PER_HOST = 20
# After a change of a collector, its hosts report again, spread over this time.
REACK_SPREAD_MS = 3_000
_NUMBER_BITS = 31


class ConfigurationState:
    """Configuration state of a host: its declarations, acknowledgements and gossip.

    Parameters
    ==========
    address, incarnation : str
        Address and incarnation of this host.
    invariants : hemlockhoist.base.InvariantLog
    rng : random.Random
    content : FullContent
        Encodes declarations for a peer.
    store_read_interval_ms : int
        Interval between a reader's reads of the store.
    """

    __slots__ = (
        "_ack_due_ms",
        "_acknowledged",
        "_collectors",
        "_confirm_by_ms",
        "_confirm_number",
        "_confirm_version",
        "_digest_due_ms",
        "_digest_number",
        "_last_read_ms",
        "_last_tick_ms",
        "_peers",
        "_reporting_members",
        "_resumed_ms",
        "_rng",
        "_started_ms",
        "_store",
        "acknowledgements",
        "address",
        "content",
        "current",
        "halted",
        "incarnation",
        "invariants",
        "requested",
    )

    def __init__(
        self, address, incarnation, invariants, rng, content, store_read_interval_ms
    ):
        self.address = address
        self.incarnation = incarnation
        self.invariants = invariants
        self.content = content
        self.current = Declarations()
        self.halted = HaltedSet()
        self.acknowledgements = AcknowledgementLog(address)
        self.requested = (0, 0)
        self._rng = rng
        self._store = StoreBackoff(store_read_interval_ms, rng)
        self._acknowledged = 0
        self._peers = ()
        self._collectors = ()
        self._reporting_members = ()
        self._started_ms = None
        self._last_tick_ms = None
        self._confirm_by_ms = None
        self._confirm_number = 0
        self._confirm_version = None
        self._digest_due_ms = None
        self._ack_due_ms = None
        self._resumed_ms = 0
        self._last_read_ms = 0
        # Starts at random, so that no reply to a previous incarnation matches a request
        # of this one.
        self._digest_number = rng.getrandbits(_NUMBER_BITS)

    @classmethod
    def from_config(
        cls,
        address,
        incarnation,
        invariants,
        seed,
        content=None,
        store_read_interval_ms=STORE_READ_INTERVAL_MS,
    ):
        """Return a state without declarations, which is not yet ready.

        Parameters
        ==========
        address, incarnation : str
        invariants : hemlockhoist.base.InvariantLog
        seed : int or str
        content : FullContent, optional
        store_read_interval_ms : int, optional
        """
        rng = random.Random(seed)
        content = content or FullContent()
        return cls(
            address, incarnation, invariants, rng, content, store_read_interval_ms
        )

    @property
    def version(self):
        """Version of the declarations that this host has; 0 for none."""
        return self.current.version

    @property
    def acknowledged_version(self):
        """Highest version that this host has acknowledged to be in force."""
        return self._acknowledged

    def set_view(self, members, collectors, now_ms):
        """Set the live hosts and the collectors, as the membership reports them.

        Parameters
        ==========
        members : sequence of Member
            The live hosts.
        collectors : sequence of str
            Addresses by rendezvous rank for "configuration". The first
            ``READER_COUNT`` read the store and collect acknowledgements.
        now_ms : int
        """
        addresses = [item.address for item in members]
        self._peers = tuple(item for item in addresses if item != self.address)
        chosen = tuple(collectors[:READER_COUNT])
        if chosen != self._collectors:
            self._collectors = chosen
            self._ack_due_ms = now_ms + self._rng.randrange(REACK_SPREAD_MS)
        self._reporting_members = ()
        if self.address in chosen:
            self._reporting_members = tuple(
                item
                for item in members
                if exchange.collector_of(item.address, chosen) == self.address
            )
        reporting = [item.address for item in self._reporting_members]
        self.acknowledgements.keep_only(reporting, chosen)

    def is_ready(self, now_ms):
        """Return whether requests may be served under this host's declarations."""
        return self.version > 0 and not self.is_confirming(now_ms)

    def is_confirming(self, now_ms):
        """Return whether this host was suspended and waits for a peer to confirm."""
        if self._was_suspended(now_ms):
            return True
        if self._confirm_by_ms is None or now_ms >= self._confirm_by_ms:
            return False
        return self._confirm_version is None or self.version < self._confirm_version

    def record_confirmation(self, number, version):
        """Record that an up-to-date peer confirms ``version`` as the newest it knows.

        Only replies to digests sent since the host resumed count: messages that waited
        in a socket during the suspension describe the state before it.
        """
        if number >= self._confirm_number:
            known = self._confirm_version or 0
            self._confirm_version = max(known, version)

    def serving_declarations(self, now_ms):
        """Return the declarations under which to decide a request."""
        self.invariants.check(
            Property.CONFIGURATION_NEVER_REVERTS,
            self.version >= self._acknowledged,
            f"{self.address} serves version {self.version} "
            f"after acknowledging {self._acknowledged}",
        )
        return self.current

    def apply_if_newer(self, declarations, now_ms):
        """Apply declarations if they are newer and return the ``Outgoing`` digests.

        Parameters
        ==========
        declarations : Declarations
            Declarations from the store or a peer, or written by an operator at this
            host and confirmed by the store. A write whose answer was lost is read back
            first.
        now_ms : int
        """
        if declarations.version <= self.version:
            same = declarations.version < self.version or declarations == self.current
            self.invariants.check(
                Property.CONFIGURATION_NEVER_REVERTS,
                same,
                f"two contents of version {declarations.version} at {self.address}",
            )
            return []
        self.current = declarations
        return self._digest_messages(self._sample_peers(), False, now_ms)

    def mark_in_force(self, version, now_ms):
        """Record that ``version`` is in force here; return the acknowledgement."""
        self.invariants.check(
            Property.CONFIGURATION_NEVER_REVERTS,
            self._acknowledged <= version <= self.version,
            f"{self.address} acknowledges version {version} after {self._acknowledged}",
        )
        self._acknowledged = max(self._acknowledged, version)
        return self._acknowledge(now_ms)

    def halt(self, halted, now_ms):
        """Halt a version and return the messages that spread it; needs no store.

        Parameters
        ==========
        halted : HaltedVersion
        now_ms : int
        """
        return self.gossip_halted(self.halted.merge([halted]))

    def is_halted(self, pool, move_id, version):
        """Return whether a version was rolled back under a move."""
        return HaltedVersion(pool=pool, move_id=move_id, version=version) in self.halted

    def store_read_due(self, now_ms):
        """Return whether this host has to read the store's row now."""
        if self._started_ms is None:
            self._started_ms = now_ms
        spread_ms = FIRST_SPREAD_MS_PER_HOST * len(self._peers)
        if self.address in self._collectors or not self._peers:
            spread_ms = 0
        elif self.version or now_ms - self._started_ms < FIRST_WAIT_MS:
            return False
        if not self._store.is_due(now_ms, spread_ms):
            return False
        self._last_read_ms = now_ms
        return True

    def on_store_answer(self, declarations, now_ms):
        """Process the row that was read and return the resulting messages."""
        self._store.on_success()
        if self._last_read_ms >= self._resumed_ms:
            self._confirm_by_ms = None
        return self.apply_if_newer(declarations, now_ms)

    def on_store_failure(self, now_ms):
        """Record that the store did not answer; the next read is delayed further."""
        self._store.on_failure(now_ms)

    def tick(self, now_ms):
        """Perform what is due and return the messages; call at least once a second."""
        resumed = self._record_tick(now_ms)
        outgoing = []
        if resumed or now_ms >= self._digest_due_ms:
            self._digest_due_ms = now_ms + DIGEST_INTERVAL_MS
            peers = self._sample_peers() if resumed else self._sample_peers(1)
            outgoing += self._digest_messages(peers, True, now_ms)
            outgoing += self._summarize()
        if self._acknowledged and now_ms >= (self._ack_due_ms or 0):
            outgoing += self._acknowledge(now_ms)
        return outgoing

    def on_message(self, message, now_ms):
        """Process a peer's message and return the resulting messages."""
        return exchange.respond(message, self, now_ms)

    def request_summaries(self):
        """Return the messages that request the collectors' summaries."""
        request = ConfigurationSummaryRequest(address=self.address)
        others = [item for item in self._collectors if item != self.address]
        return [Outgoing(address, request) for address in others]

    def summary(self):
        """Return this host's summary as a collector."""
        return self.acknowledgements.summarize(self.version, self._reporting_members)

    def report(self, version):
        """Return the ``InForceReport`` on a version from the summaries received."""
        self._summarize()
        return self.acknowledgements.report(version, self._collectors)

    def digest(self, wants_reply, now_ms, reply_to=0):
        """Return this host's ``ConfigurationDigest``."""
        return ConfigurationDigest(
            address=self.address,
            version=self.version,
            number=self._digest_number,
            reply_to=reply_to,
            halted_hash=self.halted.hash,
            wants_reply=wants_reply,
            is_current=not self.is_confirming(now_ms),
        )

    def halted_messages(self, addresses, items):
        """Return the messages that send halted versions to ``addresses``."""
        message = HaltedVersions(address=self.address, halted=items)
        return [Outgoing(address, message) for address in addresses]

    def gossip_halted(self, items):
        """Return the messages that forward new halted versions to a few peers."""
        return self.halted_messages(self._sample_peers(), items) if items else []

    def _was_suspended(self, now_ms):
        last_ms = self._last_tick_ms
        return (
            last_ms is not None
            and now_ms - last_ms >= SUSPENSION_LIMIT_MS
            and self._peers
        )

    def _record_tick(self, now_ms):
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is None:
            self._digest_due_ms = now_ms + self._rng.randrange(DIGEST_INTERVAL_MS)
            return not self.version
        if now_ms - last_ms < SUSPENSION_LIMIT_MS or not self._peers:
            return False
        # A host may be suspended while a change comes into force "everywhere". If it
        # resumed under the old version, the change would revert for some callers. It
        # serves again once an up-to-date peer has confirmed the newest version.
        self._resumed_ms = now_ms
        self._confirm_by_ms = now_ms + CONFIRM_TIMEOUT_MS
        self._confirm_version = None
        self._confirm_number = self._digest_number + 1
        return True

    def _sample_peers(self, count=FANOUT):
        return self._rng.sample(self._peers, min(count, len(self._peers)))

    def _digest_messages(self, addresses, wants_reply, now_ms):
        self._digest_number += 1
        digest = self.digest(wants_reply, now_ms)
        return [Outgoing(address, digest) for address in addresses]

    def _acknowledge(self, now_ms):
        self._ack_due_ms = (
            now_ms + ACK_INTERVAL_MS + self._rng.randrange(ACK_INTERVAL_MS // 4)
        )
        collector = exchange.collector_of(self.address, self._collectors)
        ack = ConfigurationAck(
            address=self.address,
            incarnation=self.incarnation,
            version=self._acknowledged,
        )
        if collector in (self.address, None):
            self.acknowledgements.on_ack(ack)
            return []
        return [Outgoing(collector, ack)]

    def _summarize(self):
        if self.address not in self._collectors:
            return []
        summary = self.summary()
        self.acknowledgements.on_summary(summary)
        others = [item for item in self._collectors if item != self.address]
        return [Outgoing(address, summary) for address in others]
