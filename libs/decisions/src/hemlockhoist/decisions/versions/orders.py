"""Orders to upstreams to load a version, issued by the holder of a lease.

Some engines reject an order with an old fencing token. Others ignore the token, so a
host that was suspended past its lease can still change them when it resumes. There are
three safeguards: orders are idempotent, the version that an upstream runs is read back
and corrected, and a new lease holder delays its first order by the longest assumed
suspension of the previous holder, so that the latter's order arrives first and is
overwritten.
"""

import enum

import msgspec

# An order that is not confirmed by reading back within this time is sent again, as the
# order or its response may be lost.
RESEND_MS = 5_000
# A suspended process is assumed to resume, or to be restarted by its supervisor, within
# this time.
MAX_SUSPENSION_MS = 60_000


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one upstream to load a version.

    Parameters
    ==========
    order_id : str
        Stays the same when the order is sent again.
    upstream_id, version : str
    fencing : int
    """

    order_id: str
    upstream_id: str
    version: str
    fencing: int


class OrderState(enum.Enum):
    """State of an order."""

    WAITING = "waiting"
    SENT = "sent"
    IN_FORCE = "in force"


class _Entry:
    """An order with its state."""

    __slots__ = ("order", "sent_ms", "state")

    def __init__(self, order):
        self.order = order
        self.state = OrderState.WAITING
        self.sent_ms = 0


class OrderTracker:
    """Tracks the orders of one lease holder and which of them to send.

    Parameters
    ==========
    fencing : int
        Fencing token of the lease.
    lease_until_ms : int
        End of the lease on the holder's clock, measured from before the lease was
        requested.
    not_before_ms : int
        Time before which no order is sent.

    Examples
    ========
    >>> tracker = OrderTracker.from_config(
    ...     checks_fencing=True, fencing=3, lease_until_ms=9_000, now_ms=0
    ... )
    >>> tracker.set_target("engine-1", "v2")
    >>> [order.version for order in tracker.due(10)]
    ['v2']
    >>> tracker.observe("engine-1", "v2")
    >>> tracker.due(8_000)
    []
    """

    __slots__ = (
        "_entries",
        "_fencing",
        "_is_lease_lost",
        "_lease_until_ms",
        "_not_before_ms",
    )

    def __init__(self, fencing, lease_until_ms, not_before_ms):
        self._fencing = fencing
        self._lease_until_ms = lease_until_ms
        self._not_before_ms = not_before_ms
        self._is_lease_lost = False
        self._entries = {}

    @classmethod
    def from_config(
        cls,
        checks_fencing,
        fencing,
        lease_until_ms,
        now_ms,
        max_suspension_ms=MAX_SUSPENSION_MS,
    ):
        """Return the tracker of a host that has just acquired the lease.

        Parameters
        ==========
        checks_fencing : bool
            Whether the pool's upstreams reject old fencing tokens.
        fencing : int
        lease_until_ms, now_ms : int
        max_suspension_ms : int, optional
            How long a previous holder may be suspended and still send an order.
        """
        suspension_ms = 0 if checks_fencing else max_suspension_ms
        return cls(fencing, lease_until_ms, now_ms + suspension_ms)

    def renew(self, lease_until_ms):
        """Extend the lease; the fencing token stays the same."""
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)

    def set_target(self, upstream_id, version):
        """Set the version that an upstream is to run; idempotent."""
        entry = self._entries.get(upstream_id)
        if entry is not None and entry.order.version == version:
            return
        order = Order(
            order_id=f"{self._fencing}:{upstream_id}:{version}",
            upstream_id=upstream_id,
            version=version,
            fencing=self._fencing,
        )
        self._entries[upstream_id] = _Entry(order)

    def due(self, now_ms):
        """Return the orders to send now.

        Nothing is due after the end of the lease, so a holder that was suspended sends
        none when it resumes.
        """
        if self._is_lease_lost or now_ms >= self._lease_until_ms:
            return []
        if now_ms < self._not_before_ms:
            return []
        entries = [entry for entry in self._entries.values() if _is_due(entry, now_ms)]
        for entry in entries:
            entry.state = OrderState.SENT
            entry.sent_ms = now_ms
        return [entry.order for entry in entries]

    def observe(self, upstream_id, version):
        """Record the version that an upstream was read back to run.

        If the upstream no longer runs a version that was in force, a previous holder
        that resumed late has changed it, and the order is due again.
        """
        entry = self._entries.get(upstream_id)
        if entry is None:
            return
        if entry.order.version == version:
            entry.state = OrderState.IN_FORCE
        elif entry.state is OrderState.IN_FORCE:
            entry.state = OrderState.WAITING

    def record_refusal(self, upstream_id, fencing):
        """Record that an upstream rejected an order, stating the token that it holds.

        A higher token than this holder's proves that another host holds the lease.
        """
        if fencing > self._fencing:
            self._is_lease_lost = True

    def state(self, upstream_id):
        """Return the state of the order to an upstream, or None."""
        entry = self._entries.get(upstream_id)
        return None if entry is None else entry.state

    @property
    def is_lease_lost(self):
        """Whether a rejection has shown that another host holds the lease."""
        return self._is_lease_lost


def _is_due(entry, now_ms):
    if entry.state is OrderState.WAITING:
        return True
    if entry.state is OrderState.IN_FORCE:
        return False
    return now_ms - entry.sent_ms >= RESEND_MS
