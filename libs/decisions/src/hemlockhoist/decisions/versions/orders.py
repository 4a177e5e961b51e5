"""Orders to upstreams to load a version, under a lease that may pass to another host.

Some engines refuse an order with an old fencing number. Others ignore the number: a
host that was frozen past its lease can still change them when it wakes. Against that
stand three things: orders may be repeated without harm, what an upstream runs is read
back and put right, and a new holder of the lease waits with its first order until the
longest pause of its predecessor is past, so that the predecessor's order comes first
and is overwritten.
"""

import enum

import msgspec

# An order that was not read back by then is sent again: it or its answer was lost.
RESEND_MS = 5_000
# A frozen process is taken to wake, or to be restarted by its supervisor, within this.
LONGEST_PAUSE_MS = 60_000


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one upstream.

    Parameters
    ==========
    order_id : str
        The same for each repetition.
    upstream_id, version : str
    fencing : int
    """

    order_id: str
    upstream_id: str
    version: str
    fencing: int


class OrderState(enum.Enum):
    """How far an order has come."""

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
    """What one lease holder has ordered, and what is to be sent now.

    Parameters
    ==========
    fencing : int
        Of the lease.
    lease_until_ms : int
        On the holder's clock, counted from before the lease was asked for.
    hold_until_ms : int
        No order is sent before.

    Examples
    ========
    >>> book = OrderTracker.from_config(checks_fencing=True, fencing=3, lease_until_ms=9_000, now_ms=0)
    >>> book.want("engine-1", "v2")
    >>> [order.version for order in book.due(10)]
    ['v2']
    >>> book.observe("engine-1", "v2")
    >>> book.due(8_000)
    []
    """

    __slots__ = (
        "_entries",
        "_fencing",
        "_hold_until_ms",
        "_is_lost",
        "_lease_until_ms",
    )

    def __init__(self, fencing, lease_until_ms, hold_until_ms):
        self._fencing = fencing
        self._lease_until_ms = lease_until_ms
        self._hold_until_ms = hold_until_ms
        self._is_lost = False
        self._entries = {}

    @classmethod
    def from_config(
        cls,
        checks_fencing,
        fencing,
        lease_until_ms,
        now_ms,
        longest_pause_ms=LONGEST_PAUSE_MS,
    ):
        """Return the book of a host that has just taken the lease.

        Parameters
        ==========
        checks_fencing : bool
            Whether the pool's upstreams refuse old fencing numbers.
        fencing : int
        lease_until_ms, now_ms : int
        longest_pause_ms : int, optional
            How long a former holder may be frozen and still send an order.
        """
        pause_ms = 0 if checks_fencing else longest_pause_ms
        return cls(fencing, lease_until_ms, now_ms + pause_ms)

    def renew(self, lease_until_ms):
        """Take a renewed lease; the fencing number stays."""
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)

    def want(self, upstream_id, version):
        """Have an upstream run a version; repeating it changes nothing."""
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

        Nothing is due past the lease: a holder that was frozen finds that out here,
        before it sends.
        """
        if self._is_lost or now_ms >= self._lease_until_ms:
            return []
        if now_ms < self._hold_until_ms:
            return []
        entries = [entry for entry in self._entries.values() if _is_due(entry, now_ms)]
        for entry in entries:
            entry.state = OrderState.SENT
            entry.sent_ms = now_ms
        return [entry.order for entry in entries]

    def observe(self, upstream_id, version):
        """Take what an upstream was read back to run.

        Another version than the one ordered, although that was in force before, is
        the work of a former holder that woke late: the order is due again.
        """
        entry = self._entries.get(upstream_id)
        if entry is None:
            return
        if entry.order.version == version:
            entry.state = OrderState.IN_FORCE
        elif entry.state is OrderState.IN_FORCE:
            entry.state = OrderState.WAITING

    def refuse(self, upstream_id, fencing):
        """Take an upstream's refusal, which names the number that it holds.

        A higher number than this book's is proof that the lease has passed on.
        """
        if fencing > self._fencing:
            self._is_lost = True

    def state(self, upstream_id):
        """Return the state of the order to an upstream, or None."""
        entry = self._entries.get(upstream_id)
        return None if entry is None else entry.state

    @property
    def is_lost(self):
        """Whether an upstream has shown that the lease passed to another host."""
        return self._is_lost


def _is_due(entry, now_ms):
    if entry.state is OrderState.WAITING:
        return True
    if entry.state is OrderState.IN_FORCE:
        return False
    return now_ms - entry.sent_ms >= RESEND_MS
