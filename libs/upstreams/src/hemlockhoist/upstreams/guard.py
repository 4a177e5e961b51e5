"""The last check before the first byte of a request leaves."""

import collections

from hemlockhoist.base import Property, Refused, ResultCode

# Request ids kept to check against: over an hour at 31 requests a second of one host.
REGISTER_SIZE = 131_072


class DispatchRegister:
    """The request ids that this process dispatched, to assert that none comes twice.

    The mechanism is ``SendGuard``; this is the independent check of it, over all
    guards that may have been made for one request.

    Parameters
    ==========
    invariants : InvariantLog
    size : int
        Ids kept; the oldest are forgotten.
    """

    __slots__ = ("_ids", "_invariants", "_size")

    def __init__(self, invariants, size=REGISTER_SIZE):
        self._ids = collections.OrderedDict()
        self._invariants = invariants
        self._size = size

    def __contains__(self, request_id):
        return request_id in self._ids

    def record(self, request_id):
        """Note a dispatch.

        Raises
        ======
        PropertyViolation
            When the id was dispatched before and violations are fatal.
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
    """Lets one dispatch through once, while its grant is in force.

    The check runs in the same step of the event loop as the hand-over of the first
    bytes to the kernel. It guards against four failures:

    * the process was stopped between taking the grant and sending: the clock is read
      afresh here, so the grant shows as expired;
    * the version was halted or the upstream left meanwhile: ``revoke`` was called;
    * the HTTP library repeats a request by itself when the connection breaks
      (aiohttp does for GET and some others): the second pass finds the guard used;
    * an error of this program dispatches twice: the same.

    Until ``begin_dispatch`` has returned nothing has been sent, so "not run" is true; from then
    on it may never be said.

    Parameters
    ==========
    clock : Clock
    expires_ms : int
        On that clock.
    register : DispatchRegister
    request_id : str
    on_dispatch : callable, optional
        Called without arguments when the guard opens, before the first byte.
    """

    __slots__ = (
        "_clock",
        "_on_dispatch",
        "_register",
        "dispatched_ms",
        "expires_ms",
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

    @property
    def dispatched(self):
        """Whether a byte may have left."""
        return self.dispatched_ms is not None

    def revoke(self, reason):
        """Forbid the dispatch; without effect once it has begun."""
        self.revoked = reason

    def begin_dispatch(self):
        """Pass the point of no return.

        Raises
        ======
        Refused
            ``GRANT_EXPIRED`` when the grant lapsed or was revoked.
        RepeatedDispatch
            When the guard was open before.
        """
        now_ms = self._clock.now_ms()
        if self.dispatched:
            raise RepeatedDispatch(self.request_id)
        if self.revoked is not None:
            raise Refused(f"grant revoked: {self.revoked}", ResultCode.GRANT_EXPIRED)
        if now_ms >= self.expires_ms:
            late_ms = now_ms - self.expires_ms
            raise Refused(f"grant lapsed {late_ms} ms ago", ResultCode.GRANT_EXPIRED)
        if self._on_dispatch is not None:
            self._on_dispatch()
        self.dispatched_ms = now_ms
        self._register.record(self.request_id)


class RepeatedDispatch(Exception):  # noqa: N818
    """The HTTP library was about to send a request a second time; it was stopped."""
