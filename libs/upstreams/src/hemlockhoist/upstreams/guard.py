"""Final check of a grant before the first byte of a request is sent."""

import collections

from hemlockhoist.base import Property, Refused, ResultCode

# Number of request ids kept for the check: more than an hour of requests at 31 per
# second on one host.
REGISTER_SIZE = 131_072


class DispatchRegister:
    """Ids of the requests that this process dispatched, to detect a second dispatch.

    ``SendGuard`` prevents second dispatches; this is an independent check of it, over
    all guards that may have been created for one request.

    Parameters
    ==========
    invariants : InvariantLog
    size : int
        Maximum number of ids, of which the oldest are dropped.
    """

    __slots__ = ("_ids", "_invariants", "_size")

    def __init__(self, invariants, size=REGISTER_SIZE):
        self._ids = collections.OrderedDict()
        self._invariants = invariants
        self._size = size

    def __contains__(self, request_id):
        return request_id in self._ids

    def record(self, request_id):
        """Record a dispatch.

        Raises
        ======
        PropertyViolation
            When the id was dispatched before, and violations are fatal.
        """
        self._invariants.check(
            Property.DISPATCHED_AT_MOST_ONCE,
            request_id not in self._ids,
            f"second dispatch of {request_id}",
        )
        self._ids[request_id] = None
        if len(self._ids) > self._size:
            self._ids.popitem(last=False)


class SendGuard:
    """Permits one dispatch, once, while its grant is valid.

    The check runs in the same step of the event loop as the handover of the first
    bytes to the kernel. It guards against four failures:

    * the process was suspended between receiving the grant and sending: the clock is
      read here, so the grant is found expired;
    * the version was halted or the upstream left meanwhile: ``revoke`` was called;
    * the HTTP library resends a request on its own when the connection breaks (aiohttp
      does for GET and some others): the second call finds the guard used;
    * a fault of this program dispatches twice: likewise.

    Until ``begin_dispatch`` has returned, nothing was sent and "not run" is a correct
    report; afterwards it must never be given.

    Parameters
    ==========
    clock : Clock
    expires_ms : int
        Expiry of the grant on that clock.
    register : DispatchRegister
    request_id : str
    on_dispatch : callable, optional
        Called without arguments when the dispatch is permitted, before the first byte.

    Attributes
    ==========
    on_connected : callable
        Called without arguments when a connection to the upstream has been made.
    relay : str
        Id of the host through which the upstream is reached; empty for none.
    """

    __slots__ = (
        "_clock",
        "_on_dispatch",
        "_register",
        "dispatched_ms",
        "expires_ms",
        "on_connected",
        "relay",
        "request_id",
        "revoked",
    )

    def __init__(self, clock, expires_ms, register, request_id, on_dispatch=None):
        self._clock = clock
        self._register = register
        self._on_dispatch = on_dispatch
        self.expires_ms = expires_ms
        self.request_id = request_id
        self.dispatched_ms = None
        self.revoked = None
        self.on_connected = lambda: None
        self.relay = ""

    @property
    def dispatched(self):
        """Whether any byte may have been sent."""
        return self.dispatched_ms is not None

    def revoke(self, reason):
        """Forbid the dispatch; has no effect once it has begun."""
        self.revoked = reason

    async def prepare(self):
        """Do what is due between the connection and the last check.

        Raises
        ======
        RepeatedDispatch
            The HTTP library connected once more to send the request again.
        """
        if self.dispatched:
            raise RepeatedDispatch(self.request_id)
        self.on_connected()

    def begin_dispatch(self):
        """Check the grant and permit the dispatch.

        Raises
        ======
        Refused
            ``GRANT_EXPIRED`` when the grant has expired or was revoked.
        RepeatedDispatch
            When the dispatch was permitted before.
        """
        now_ms = self._clock.now_ms()
        if self.dispatched:
            raise RepeatedDispatch(self.request_id)
        if self.revoked is not None:
            raise Refused(f"grant revoked: {self.revoked}", ResultCode.GRANT_EXPIRED)
        if now_ms >= self.expires_ms:
            late_ms = now_ms - self.expires_ms
            raise Refused(f"grant expired {late_ms} ms ago", ResultCode.GRANT_EXPIRED)
        if self._on_dispatch is not None:
            self._on_dispatch()
        self.dispatched_ms = now_ms
        # Timers made while a request is sent keep its guard for as long as they exist,
        # which must not keep the caller's request as well.
        self._on_dispatch = None
        self._register.record(self.request_id)


class RepeatedDispatch(Exception):  # noqa: N818
    """The HTTP library was prevented from sending a request a second time."""
