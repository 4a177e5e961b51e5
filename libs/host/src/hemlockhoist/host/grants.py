"""The entry side of grants: requests them from a pool's home and releases them."""

import asyncio

import msgspec

from hemlockhoist.base import MS_PER_S, Refused, ResultCode
from hemlockhoist.host.grant_hold import (
    GrantHold,
    held_grant_message,
    hold_from_reply,
    release_message,
    signals_for_home,
)
from hemlockhoist.host.grant_waiter import RECHECK, RESEND, GrantWaiter
from hemlockhoist.host.holder_report import HolderReport
from hemlockhoist.host.outdated import outdated_message
from hemlockhoist.messages import (
    FirstToken,
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantReply,
    GrantRequest,
    HeldGrantIds,
    NotHome,
    UpstreamLost,
    UpstreamReached,
)

# A reply takes a few milliseconds, and up to a tenth of a second where the home's
# processor is throttled. After this time the request or its reply is assumed to be lost
# and the request is sent again, which is harmless, as the home identifies it by its id.
RESEND_MS = 120
# Interval at which a queued request is sent again, to check that it is still queued.
QUEUED_RESEND_MS = 1_000
# Number of requests without a reply after which the home is reported as unresponsive:
# it is frozen, partitioned or dead, and the next home should take over the pool. A
# single message may simply be lost.
MAX_UNANSWERED = 2
# ... and of those to a home that was just heard: its replies may be late. A pool that
# moves to another home grants little until hosts have reported to that.
MAX_UNANSWERED_IF_HEARD = 4
# Number of consecutive requests without a reply from any home after which the entry
# host turns to its own standby home. With RESEND_MS, a caller then waits less than half
# a second for a home that is frozen or partitioned, whatever its state at other hosts.
STANDBY_AFTER_TIMEOUTS = 3
# A home that was heard within this time is reached late, not lost: a host that decides
# alone beside it gets only a part of each upstream. A request waits for it for longer.
HEARD_WITHIN_MS = 2_000
STANDBY_AFTER_TIMEOUTS_IF_HEARD = 8
# Time without a reply from any home after which a request is refused. Membership
# detects a dead host within about two seconds, and the next home replies at once.
HOME_TIMEOUT_MS = 5_000
# Delay between a NotHome reply and the next request: the hosts' views of the fleet
# converge within one or two probes.
NOT_HOME_DELAY_MS = 50
RETRY_AFTER_MS = 1_000


class GrantClient:
    """Acquires and releases grants for the requests of this host.

    Parameters
    ==========
    clock : Clock
    send : callable
        ``send(host_id, message)``.
    home_of : callable
        ``home_of(pool)`` returns the host id of the pool's home, or "".
    on_unresponsive : callable
        ``on_unresponsive(host_id)`` is called when a home does not reply.
    reconnect : callable, optional
        ``reconnect(host_id)`` replaces the connection to a home that did not reply.
    own_id : callable, optional
        Returns this host's id if it may act as a standby home, or "", the default.
    silent_ms : callable, optional
        ``silent_ms(host_id)`` returns the time since the last message of a host, or
        None if there was none.
    report : HolderReport, optional
        What this host tells a new home beside its grants.
    """

    __slots__ = (
        "_claiming_homes",
        "_clock",
        "_held",
        "_home_of",
        "_on_unresponsive",
        "_own_id",
        "_reconnect",
        "_report",
        "_send",
        "_silent_ms",
        "_waiters",
    )

    def __init__(
        self,
        clock,
        send,
        home_of,
        on_unresponsive,
        reconnect=lambda host_id: None,
        own_id=lambda: "",
        silent_ms=lambda host_id: None,
        report=None,
    ):
        self._silent_ms = silent_ms
        self._report = report or HolderReport(clock.now_ms())
        self._own_id = own_id
        self._reconnect = reconnect
        self._on_unresponsive = on_unresponsive
        self._clock = clock
        self._send = send
        self._home_of = home_of
        self._waiters = {}
        self._held = {}
        # For each grant id, the homes to which the grant was reported on takeover.
        self._claiming_homes = {}

    def held(self):
        """Return the grants that this host holds."""
        return tuple(self._held.values())

    def recheck_waiting(self):
        """Check all requests that wait for a grant again, as ``acquire`` was told.

        Failure prevented: a host that was ordered to stop still has requests in a
        home's queue. When the process ends, their callers see a closed connection and
        cannot know that nothing ran.
        """
        for waiter in self._waiters.values():
            waiter.inbox.put_nowait((RECHECK, 0))

    async def acquire(self, pool, brief, deadline_ms, check=lambda: None):
        """Wait for a grant.

        Parameters
        ==========
        pool : str
        brief : callable
            ``brief(now_ms)`` returns the ``RequestBrief`` with the time left until the
            deadline.
        deadline_ms : int
        check : callable, optional
            Called now and with ``recheck_waiting``; raises ``Refused`` if the request
            must not be sent any more.

        Returns
        =======
        GrantHold

        Raises
        ======
        Refused
            Nothing was sent to an upstream.
        """
        now_ms = self._clock.now_ms()
        waiter = GrantWaiter(pool, brief(now_ms), check)
        self._waiters[waiter.request_id] = waiter
        home = ""
        granted = False
        try:
            home, hold = await self._request(waiter, brief, deadline_ms)
            granted = True
            return hold
        finally:
            del self._waiters[waiter.request_id]
            if not granted:
                self._cancel(waiter, home)

    async def _request(self, waiter, brief, deadline_ms):
        waiter.last_reply_ms = waiter.next_request_ms = self._clock.now_ms()
        while True:
            self._check_limits(waiter, deadline_ms)
            if self._clock.now_ms() >= waiter.next_request_ms:
                self._send_request(waiter, brief)
            reply = await self._next_reply(
                waiter, min(waiter.next_request_ms, deadline_ms)
            )
            if reply is None:
                self._count_timeout(waiter)
                continue
            message, late_ms = reply
            if message is RECHECK:
                continue
            hold = self._handle_reply(waiter, brief, message, late_ms)
            if hold is not None:
                return waiter.queried_home, hold

    def _check_limits(self, waiter, deadline_ms):
        waiter.check()
        now_ms = self._clock.now_ms()
        if now_ms >= deadline_ms:
            raise Refused("", ResultCode.DEADLINE_PASSED, RETRY_AFTER_MS)
        if now_ms - waiter.last_reply_ms >= HOME_TIMEOUT_MS:
            raise Refused("", ResultCode.HOME_UNREACHABLE, RETRY_AFTER_MS)

    def _send_request(self, waiter, brief):
        now_ms = self._clock.now_ms()
        waiter.is_alone = bool(self._own_id()) and self._is_home_lost(waiter)
        if waiter.is_alone:
            waiter.queried_home = self._own_id()
        else:
            waiter.queried_home = waiter.home_hint or self._home_of(waiter.pool)
        waiter.home_hint = ""
        waiter.next_request_ms = now_ms + RESEND_MS
        if waiter.queried_home:
            message = GrantRequest(
                pool=waiter.pool, brief=brief(now_ms), is_alone=waiter.is_alone
            )
            self._send(waiter.queried_home, message)

    def _is_home_lost(self, waiter):
        """Return whether a request has waited for its home for long enough.

        Load: beside links that lose packets, replies come after a retransmission or
        two, while the home serves the fleet.
        """
        timeouts = waiter.timeouts_since_reply
        if timeouts < STANDBY_AFTER_TIMEOUTS:
            return False
        if timeouts >= STANDBY_AFTER_TIMEOUTS_IF_HEARD:
            return True
        return not self._was_heard(self._home_of(waiter.pool), HEARD_WITHIN_MS)

    def _was_heard(self, host, within_ms):
        silent_ms = self._silent_ms(host)
        return silent_ms is not None and silent_ms < within_ms

    def _handle_reply(self, waiter, brief, message, late_ms):
        """Return the grant that a reply carries, or None to keep waiting.

        Raises
        ======
        Refused
            The home refused the request.
        """
        now_ms = self._clock.now_ms()
        waiter.unanswered = 0
        if message is RESEND:
            waiter.next_request_ms = now_ms
            return None
        waiter.last_reply_ms = now_ms
        waiter.timeouts_since_reply = 0
        if isinstance(message, GrantRefusal):
            self._report.on_refused(brief(now_ms), message, now_ms)
            raise Refused(message.reason, message.code, message.retry_after_ms)
        if isinstance(message, GrantReply):
            hold = self._accept_grant(waiter, message, brief(now_ms), late_ms)
            # A grant that expired in transit has been released; request another one.
            waiter.next_request_ms = now_ms
            return hold
        if isinstance(message, GrantQueued) and waiter.is_hedge:
            # A home of an earlier release queues it like any other request.
            raise Refused("queued", ResultCode.OVERLOADED, RETRY_AFTER_MS)
        if isinstance(message, GrantQueued):
            # The next request only checks that the home still has it queued. If it were
            # sent at once, requests and replies would loop as fast as messages travel.
            waiter.next_request_ms = now_ms + QUEUED_RESEND_MS
        elif isinstance(message, NotHome):
            waiter.home_hint = message.home_host
            waiter.next_request_ms = now_ms + NOT_HOME_DELAY_MS
        return None

    def _count_timeout(self, waiter):
        """Record a missing reply; report the home after several in a row."""
        waiter.unanswered += 1
        waiter.timeouts_since_reply += 1
        home = waiter.queried_home
        if not home:
            return
        self._reconnect(home)
        was_heard = self._was_heard(home, HEARD_WITHIN_MS)
        limit = MAX_UNANSWERED_IF_HEARD if was_heard else MAX_UNANSWERED
        if waiter.unanswered >= limit:
            waiter.unanswered = 0
            self._on_unresponsive(home)

    async def _next_reply(self, waiter, until_ms):
        wait_s = max(0, until_ms - self._clock.now_ms()) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                return await waiter.inbox.get()
        except TimeoutError:
            return None

    def _accept_grant(self, waiter, message, brief, late_ms):
        """Return the grant, or None when it expired in transit."""
        self._report.on_reply(message, self._clock.now_ms() - late_ms)
        hold = GrantHold(
            pool=message.pool,
            brief=brief,
            grant_id=message.grant_id,
            upstream_id=message.upstream_id,
            address=message.address,
            version=message.version,
            expires_ms=self._clock.now_ms() + message.expires_in_ms - late_ms,
            home=waiter.queried_home,
            is_alone=waiter.is_alone,
            is_cold=message.is_cold,
            is_limited=message.is_limited,
        )
        if message.expires_in_ms <= late_ms:
            self._release_unsent(hold)
            return None
        self._held[hold.grant_id] = hold
        self._report.on_granted(hold, self._clock.now_ms())
        return hold

    def _cancel(self, waiter, home):
        target = home or self._home_of(waiter.pool)
        if target:
            message = GrantCancel(
                pool=waiter.pool,
                request_id=waiter.request_id,
                is_alone=waiter.is_alone,
            )
            self._send(target, message)

    def report_first_token(self, hold, first_token_ms, signals=None, relay=""):
        """Report the time to first token of an answer to the home.

        Parameters
        ==========
        hold : GrantHold
        first_token_ms : int
        signals : UpstreamSignals or None, optional
            What the answer said about the upstream.
        relay : str, optional
            The host through which the upstream was reached; empty for none.
        """
        message = FirstToken(
            pool=hold.pool,
            grant_id=hold.grant_id,
            first_token_ms=first_token_ms,
            signals=signals_for_home(hold, signals),
            relay=relay,
        )
        self._notify_homes(hold, message)

    def report_lost(self, hold, parts):
        """Report that an upstream ended shortly after a run had been given up.

        Parameters
        ==========
        hold : GrantHold
            Has been released.
        parts : tuple of int
            The parts of the prompt if none of the answer had come.
        """
        message = UpstreamLost(
            pool=hold.pool,
            grant_id=hold.grant_id,
            upstream_id=hold.upstream_id,
            fingerprint=hold.brief.fingerprint,
            parts=parts,
        )
        self._notify_homes(hold, message)

    def report_outdated(self, hold, error):
        """Report to the home that issued a grant why the grant is outdated.

        Failure prevented: a home with outdated state keeps granting an upstream that no
        host may send to.

        Parameters
        ==========
        hold : GrantHold
        error : GrantOutdated
        """
        if error.version is not None:
            self._send(hold.home, outdated_message(error))

    def report_reachable(self, pool, upstream_id):
        """Report that another host reaches an upstream that this one could not.

        The home was told of a failed connection, and keeps the upstream from all hosts
        for a while.
        """
        home = self._home_of(pool)
        if home:
            self._send(home, UpstreamReached(pool=pool, upstream_id=upstream_id))

    def _notify_homes(self, hold, message):
        """Send a message about a grant to every home that may count it.

        Failure prevented: hosts disagree for a second on which of them is home. A grant
        of one home is released at the other, and occupies its slot at the first until
        long after its request's deadline. So the message goes to the home that issued
        the grant, to the present home, which may have adopted it, and to each home that
        it was reported to since.
        """
        homes = {self._home_of(hold.pool), *self._claiming_homes.get(hold.grant_id, ())}
        if hold.is_alone:
            own = msgspec.structs.replace(message, is_alone=True)
            self._send(self._own_id(), own)
        else:
            homes.add(hold.home)
        for home in homes - {""}:
            self._send(home, message)

    def release(self, hold, outcome, signals=None):
        """Release a grant and report its outcome to the homes that may count it.

        Parameters
        ==========
        hold : GrantHold
        outcome : hemlockhoist.decisions.Outcome
        signals : UpstreamSignals or None, optional
            What the answer said about the upstream; None if that was reported before.
        """
        if self._held.pop(hold.grant_id, None) is None:
            return
        outcome = outcome.for_home()
        self._send_release(
            hold, outcome.kind.value, outcome, signals_for_home(hold, signals)
        )
        self._claiming_homes.pop(hold.grant_id, None)

    def _release_unsent(self, hold):
        self._send_release(hold, "not_sent", None)

    def _send_release(self, hold, kind, outcome, signals=None):
        self._notify_homes(hold, release_message(hold, kind, outcome, signals))

    def on_message(self, message, late_ms, sender=""):
        """Handle a home's reply.

        Parameters
        ==========
        message : GrantReply, GrantRefusal, GrantQueued or NotHome
        late_ms : int
        sender : str, optional
            The home.
        """
        waiter = self._waiters.get(message.request_id)
        if waiter is not None:
            waiter.inbox.put_nowait((message, late_ms))
        elif isinstance(message, GrantReply) and message.grant_id not in self._held:
            # The request ended, or got another grant, while this one was in transit:
            # the home has to free the slot.
            self._send_release(hold_from_reply(message, sender), "not_sent", None)

    def on_homes_changed(self):
        """Send requests that wait at a previous home to the new one at once."""
        for waiter in self._waiters.values():
            if waiter.queried_home != self._home_of(waiter.pool):
                waiter.inbox.put_nowait((RESEND, 0))

    def report_held(self, pool, home_incarnation, home):
        """Return the grants held here, in reply to a new home's query.

        Failure prevented: a home is killed and starts again at its address. If it were
        mistaken for the previous process, which counted the usage itself, it would get
        no report of that usage and grant a customer its quota once more. So homes are
        distinguished by incarnation, not by host.

        Parameters
        ==========
        pool, home_incarnation, home : str
            The home is given by its incarnation and by its address.
        """
        held = [hold for hold in self._held.values() if hold.pool == pool]
        for hold in held:
            self._claiming_homes.setdefault(hold.grant_id, set()).add(home)
        grants = tuple(held_grant_message(hold) for hold in held)
        now_ms = self._clock.now_ms()
        return self._report.build(pool, home_incarnation, grants, now_ms)

    def send_held_ids(self, pools):
        """Send the ids of the grants that this host still holds to the pools' homes."""
        for pool in pools:
            home = self._home_of(pool)
            ids = tuple(h.grant_id for h in self._held.values() if h.pool == pool)
            if home:
                self._send(home, HeldGrantIds(pool=pool, grant_ids=ids))
