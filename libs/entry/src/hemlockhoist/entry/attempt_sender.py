"""The sending of one request to its upstreams, one attempt at a time."""

import contextlib

from hemlockhoist.base import (
    DispatchError,
    GrantOutdated,
    Property,
    Refused,
    ResultCode,
    RouteChanged,
)
from hemlockhoist.base.metrics_table import GRANTS_OUTDATED
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt import Attempt
from hemlockhoist.entry.memory import AnswerNotRead
from hemlockhoist.entry.opened_attempt import OpenedAttempt
from hemlockhoist.entry.signals import SignalRecorder
from hemlockhoist.entry.wire import UpstreamDirectives
from hemlockhoist.upstreams import (
    InvalidEvent,
    SecondAnswer,
    SendGuard,
    UpstreamCall,
)


class AttemptSender:
    """Sends one request, and records whether any attempt may have run it.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    body : bytes
    admission : Admission
        Queried again just before each send, as the key may have been revoked.
    request_id : str
        The caller's id of the request, or one of this host.
    last_event_id : callable
        Returns the id of the last event that the caller has, or None.

    Attributes
    ==========
    signals : SignalRecorder
    unsent_error : Refused
        Why the latest attempt was not sent; None if none was.
    """

    __slots__ = (
        "_admission",
        "_admitted",
        "_body",
        "_context",
        "_last_event_id",
        "_request_id",
        "_sent_grants",
        "signals",
        "unsent_error",
    )

    def __init__(self, context, admitted, body, admission, request_id, last_event_id):
        self._context = context
        self._admitted = admitted
        self._admission = admission
        self._body = body
        self._request_id = request_id
        self._last_event_id = last_event_id
        self.signals = SignalRecorder(context)
        # The grants under which the request may have run.
        self._sent_grants = set()
        self.unsent_error = None

    @property
    def may_have_run(self):
        """Whether any attempt so far may have run the request.

        Attempts may overlap: one that did not run says nothing about another.
        """
        return bool(self._sent_grants)

    def drop_body(self):
        """Drop the request's body once nothing more is sent."""
        self._body = b""

    def new_attempt(self, hold, waited_ms, number):
        """Return an attempt under a grant, in which nothing has been sent yet.

        Parameters
        ==========
        hold : GrantHold
        waited_ms : int
            Time spent waiting for the grant.
        number : int
            1 for the request's first attempt.

        Returns
        =======
        OpenedAttempt
        """
        attempt = Attempt(hold, self._send_guard(hold), waited_ms, number)
        attempt.started_unix_ms = self._context.store_view.started_unix_ms(
            hold.upstream_id
        )
        return OpenedAttempt(attempt)

    async def open(self, opened):
        """Send the request, and read and check the head of the response.

        Parameters
        ==========
        opened : OpenedAttempt
            ``end`` is set if the head shows that its response can't be used.

        Raises
        ======
        Refused
            Nothing was sent.
        DispatchError
            The request may have run.
        """
        attempt = opened.attempt
        attempt.is_continued = bool(self._last_event_id())
        call = self.upstream_call(attempt)
        await opened.open(self._context.upstreams.dispatch(call, attempt.guard))
        opened.end = self._read_head(opened)
        if opened.end is AttemptEnd.NOT_RUN:
            is_certain = not opened.response.is_reused or (
                opened.response.matches_request(call.request_id)
            )
            if is_certain:
                attempt.is_not_run = True
                self._sent_grants.discard(attempt.hold.grant_id)
            if attempt.is_misdirected:
                opened.end = AttemptEnd.NOT_SENT

    @contextlib.contextmanager
    def failure_recorded(self, opened):
        """Record how an attempt ended, and why, if it fails."""
        attempt = opened.attempt
        try:
            yield
        except RouteChanged:
            raise
        except GrantOutdated as error:
            attempt.reason = error.message
            attempt.grant_outdated = True
            attempt.signals = self.signals.known(attempt.hold.upstream_id)
            self._context.grants.report_outdated(attempt.hold, error)
            self._context.metrics.count(GRANTS_OUTDATED, error.cause)
            opened.end = AttemptEnd.NOT_SENT
        except Refused as error:
            if error.code is ResultCode.CONFIGURATION_STALE:
                raise
            attempt.reason = error.message
            attempt.is_reachable = error.code is not ResultCode.CONNECT_FAILED
            attempt.is_link_at_fault = error.code is ResultCode.LINK_LOST
            self.unsent_error = error
            opened.end = AttemptEnd.NOT_SENT
        except DispatchError as error:
            attempt.reason = error.message
            # A stream's relay may have set it.
            attempt.is_given_up |= isinstance(error, AnswerNotRead)
            if isinstance(error, (InvalidEvent, SecondAnswer)):
                attempt.is_upstream_at_fault = True
            is_silent = error.code is ResultCode.UPSTREAM_TIMEOUT
            opened.end = AttemptEnd.TIMED_OUT if is_silent else AttemptEnd.BROKEN

    def upstream_call(self, attempt):
        """Return the request as it is sent in an attempt."""
        admitted = self._admitted
        remaining_ms = max(1, admitted.deadline_ms - self._context.clock.now_ms())
        directives = UpstreamDirectives(
            upstream_id=attempt.hold.upstream_id,
            customer=admitted.customer.name if admitted.customer else "",
            remaining_ms=remaining_ms,
            last_event_id=self._last_event_id(),
        )
        wire = self._context.platform.wire
        return UpstreamCall(
            address=attempt.hold.address,
            method=admitted.call.method,
            path=admitted.call.target,
            headers=wire.upstream_headers(admitted.call, directives),
            body=self._body,
            request_id=admitted.call.request_id,
            idle_timeout_ms=remaining_ms,
            pool=attempt.hold.pool,
            upstream_id=attempt.hold.upstream_id,
            version=attempt.hold.version,
            is_cold=attempt.hold.is_cold,
            is_repeatable=admitted.route.is_repeatable,
            may_keep_connection=True,
            regions=admitted.regions,
        )

    def _read_head(self, opened):
        """Read the head of a response; return how the attempt ended, or None."""
        attempt, response = opened.attempt, opened.response
        wire = self._context.platform.wire
        head = wire.read_response_head(response.status, response.headers)
        opened.head = head
        attempt.status = head.status
        attempt.body_end = response.body_end
        attempt.is_reused = response.is_reused
        self.signals.record(head, attempt, self._request_id)
        if head.is_misdirected:
            # The listed process has been replaced by another one: equivalent to a
            # refused connection, so another upstream can be tried safely.
            attempt.is_misdirected = True
            attempt.is_reachable = False
            attempt.reason = "another upstream process answers at this address"
        request_id = self._admitted.call.request_id
        if response.is_of_another_request(request_id):
            # A late answer to an earlier request on the connection, or an answer that
            # was mixed up. It says nothing of this request, whatever it says.
            attempt.is_misdirected = False
            attempt.reason = "the response belongs to an earlier request"
            return AttemptEnd.BROKEN
        if head.is_not_run:
            attempt.reason = attempt.reason or "the upstream did not run the request"
            return AttemptEnd.NOT_RUN
        if not response.matches_request(request_id):
            attempt.reason = "the response belongs to another request"
            return AttemptEnd.BROKEN
        if response.is_reused and not response.body_end.is_certain:
            # Bytes of an earlier request's answer may stand within it or behind it.
            attempt.reason = "neither a length nor chunks on a kept connection"
            return AttemptEnd.BROKEN
        if head.status < 300 and not head.has_signature:
            attempt.reason = "successful response without a signature"
            return AttemptEnd.BROKEN
        return None

    def _send_guard(self, hold):
        return SendGuard(
            self._context.clock,
            hold.expires_ms,
            self._context.register,
            hold.brief.request_id,
            lambda: self._check_before_send(hold),
        )

    def _check_before_send(self, hold):
        """Check all preconditions again, and mark the request as possibly run.

        An error is raised before anything has been sent. Failure prevented: while a
        request waits for a slot, its customer's key is revoked, its route changes, its
        time limit passes, its upstream leaves, or the host is suspended or stops. The checks at
        admission no longer hold then, and no later step would detect it.
        """
        if self._context.clock.now_ms() >= self._admitted.deadline_ms:
            raise Refused("", ResultCode.DEADLINE_PASSED)
        if not self.may_have_run:
            self._context.drain.check(self._admitted)
            self._admission.check_route(self._admitted)
        self._admission.check_customer(self._admitted, self.may_have_run)
        self._context.store_view.check_upstream(hold.upstream_id, hold.is_cold)
        self.signals.check_not_backed_off(hold.upstream_id)
        self._context.store_view.check_region(hold.upstream_id, self._admitted.regions)
        self._context.moves.check_version(hold.pool, hold.version)
        self._context.invariants.check(
            Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE,
            self._admitted.route.is_repeatable or not self.may_have_run,
            f"{self._request_id} is sent again although it may have run",
        )
        self._sent_grants.add(hold.grant_id)
