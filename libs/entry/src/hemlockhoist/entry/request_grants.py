"""The grants of one request: for its attempts, and to continue a silent stream."""

import itertools

from hemlockhoist.base.metrics_table import QUEUE_WAIT_MS
from hemlockhoist.base.traces import Hop
from hemlockhoist.declarations import CallKind
from hemlockhoist.messages import RequestBrief

# Prefix of the incarnation in grant request ids; long enough to distinguish a fleet's
# hosts.
INCARNATION_DIGITS = 6
# Upstreams without a link that a request names; more would make it long.
MAX_UNREACHABLE = 8


class RequestGrants:
    """Acquires the grants of one request, one at a time.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    waits_until_ms : callable
        Returns when the caller disconnects if it receives nothing more until then.
    check_unchanged : callable, optional
        ``check_unchanged(admitted)`` raises ``RouteChanged`` if the request has to be
        admitted again.

    Attributes
    ==========
    request_id : str
        The caller's id, or one of this host.
    current : Attempt
        The attempt in progress; None if there is none.
    """

    _numbers = itertools.count(1)

    __slots__ = (
        "_admitted",
        "_arrival_count",
        "_avoided_upstreams",
        "_check_unchanged",
        "_context",
        "_number",
        "_request_count",
        "_run_count",
        "_waits_until_ms",
        "current",
        "request_id",
    )

    def __init__(
        self,
        context,
        admitted,
        waits_until_ms,
        check_unchanged=lambda admitted: None,
    ):
        self._check_unchanged = check_unchanged
        self._waits_until_ms = waits_until_ms
        self._context = context
        self._admitted = admitted
        self._number = next(self._numbers)
        self._request_count = 0
        self._arrival_count = 0
        self._run_count = 0
        self._avoided_upstreams = []
        self.current = None
        self.request_id = admitted.call.request_id or f"r{self._number}"

    async def acquire(self, is_hedge=False):
        """Return the grant of the next attempt, and the time spent waiting for it.

        Parameters
        ==========
        is_hedge : bool, optional
            Whether the attempt in progress goes on, so that the home should refuse this
            one unless it has capacity to spare.

        Returns
        =======
        (GrantHold, int)
            The time is in milliseconds.

        Raises
        ======
        Refused
        """
        admitted, clock = self._admitted, self._context.clock
        self._request_count += 1
        requested_ms = clock.now_ms()
        brief = self._hedge_brief if is_hedge else self._brief
        with self._context.traces.span(Hop.GRANT, pool=admitted.pool):
            hold = await self._context.grants.acquire(
                admitted.pool, brief, admitted.deadline_ms, self._check_waiting
            )
        waited_ms = clock.now_ms() - requested_ms
        self._context.metrics.time(QUEUE_WAIT_MS, waited_ms, admitted.tier)
        return hold, waited_ms

    def _check_waiting(self):
        """Refuse a request that has not been sent, and can't be sent as admitted.

        One that may have run gets no such answer: another attempt can only help it.
        """
        if not self._run_count and self.current is None:
            self._context.drain.check(self._admitted)
            self._check_unchanged(self._admitted)

    def on_attempt_started(self, attempt):
        """Record the attempt that is in progress."""
        self.current = attempt

    def on_attempt_ended(self, attempt):
        """Record the end of an attempt, which may not have been the one in progress."""
        self._arrival_count += attempt.may_have_arrived
        self._run_count += attempt.may_have_run
        if attempt is self.current:
            self.current = None

    def avoid(self, upstream_id):
        """Ask for other upstreams from now on, while there are any."""
        self._avoided_upstreams.append(upstream_id)

    def _brief(self, now_ms):
        return self._new_brief(now_ms, False)

    def _hedge_brief(self, now_ms):
        return self._new_brief(now_ms, True)

    def _new_brief(self, now_ms, is_hedge):
        admitted = self._admitted
        arrival_count, run_count = self._arrival_count, self._run_count
        avoid = tuple(self._avoided_upstreams)
        if self.current is not None:
            # An attempt that has waited long for its connection may still be sent.
            arrival_count += is_hedge or self.current.may_have_arrived
            run_count += is_hedge or self.current.may_have_run
            avoid += (self.current.hold.upstream_id,)
        avoid += self._unreachable_upstreams()
        return RequestBrief(
            request_id=self._grant_request_id,
            route=admitted.route.name,
            customer=admitted.customer.name if admitted.customer else "",
            tier_rank=admitted.rank,
            # A stream broken by a bad version is lost but has no side effects.
            idempotent=admitted.route.kind is not CallKind.NON_IDEMPOTENT,
            prompt_tokens=admitted.call.prompt_tokens,
            output_tokens=admitted.output_tokens,
            deadline_in_ms=admitted.deadline_ms - now_ms,
            first_token_in_ms=admitted.target_by_ms - now_ms,
            max_wait_ms=self._waits_until_ms() - now_ms,
            max_gap_ms=admitted.route.max_gap_ms,
            failure_domain=self._context.identity.failure_domain,
            trace=self._context.traces.context_for_peer(),
            run_number=1 + run_count,
            arrival_number=1 + arrival_count,
            # Charged once: a request whose upstream was unreachable requests another
            # grant without being counted again.
            units=admitted.units if self._request_count == 1 else 0,
            is_new=self._request_count == 1,
            avoid=avoid,
            prefix_hashes=admitted.prefix_hashes,
            prefix_tokens=admitted.prefix_tokens,
            regions=admitted.regions,
            parts=admitted.parts,
            is_hedge=is_hedge,
            connected=self._connected(),
            is_stream=admitted.route.kind is CallKind.STREAM,
            fingerprint=admitted.fingerprint,
        )

    def _connected(self):
        """Return upstreams to which a connection is kept that the request may use."""
        if not self._admitted.route.is_repeatable:
            return ()
        return self._context.upstreams.connected(self._admitted.pool)

    def _unreachable_upstreams(self):
        """Return upstreams to avoid as this host's links to them are lost.

        None where the links to all of a pool are: then any may be reached only through
        another host.
        """
        links, pool = self._context.upstreams.links, self._admitted.pool
        if links.is_pool_lost(pool):
            return ()
        return tuple(links.lost_in(pool)[:MAX_UNREACHABLE])

    @property
    def _grant_request_id(self):
        """The id of the latest request for a grant between hosts.

        It starts with the caller's request id, so that one search finds all log lines
        of a request on all hosts, and is unique even if a caller reuses its id.
        """
        prefix = self._context.identity.incarnation[:INCARNATION_DIGITS]
        return f"{self.request_id}/{prefix}{self._number:x}.{self._request_count}"
