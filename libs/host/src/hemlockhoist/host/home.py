"""The home side of grants: runs one pool's scheduler on behalf of the entry hosts."""

import msgspec

from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.metrics_table import WASTED_TOKENS
from hemlockhoist.decisions import (
    Grant,
    Granted,
    Outcome,
    OutcomeKind,
    WorkRequest,
)
from hemlockhoist.host.crash_checks import CrashChecks
from hemlockhoist.host.gates import AllowAllGate
from hemlockhoist.host.home_dry_run import dry_run_request
from hemlockhoist.host.home_log import HomeLog
from hemlockhoist.host.home_replies import HomeReplies
from hemlockhoist.host.home_retries import HomeRetries
from hemlockhoist.host.home_signals import HomeSignals
from hemlockhoist.host.home_spans import HomeSpans
from hemlockhoist.host.quarantine import QuarantineService
from hemlockhoist.host.takeover import HolderQueries
from hemlockhoist.host.waiting_copies import MAX_WAIT_MS, WaitingCopies
from hemlockhoist.host.work_requests import work_request
from hemlockhoist.messages import HomeClosed

# A grant that expired longer ago than this and is missing from its entry host's list
# was never used: a list already in transit when the grant was issued would have
# arrived before.
LOST_GRANT_MS = 5_000


class QueueEntry(msgspec.Struct, frozen=True):
    """A request that waits for a slot.

    Parameters
    ==========
    request : WorkRequest
    since_ms : int
        When it was queued.
    """

    request: WorkRequest
    since_ms: int


class PoolHome:
    """The home of one pool: queues requests and issues grants for its upstreams.

    Parameters
    ==========
    pool : str
    scheduler : PoolScheduler
    identity : HostIdentity
    clock : Clock
    send : callable
        ``send(host_id, message)``.
    declared : tuple
        The pool's declaration and the tiers that the scheduler was built from.
    traces : Traces
    metrics : Metrics, optional
    gate : AllowAllGate, optional
        Refuses requests before they reach the scheduler.
    reconnect : callable, optional
        ``reconnect(host_id)`` replaces the connection to a host that missed a reply.
    on_leaving : callable, optional
        ``on_leaving(upstream_id, started_unix_ms)`` is called when an upstream has
        announced to an entry host that it is about to stop.
    quarantine : QuarantineService, optional
        Keeps requests back that crash upstreams.
    is_alone : bool, optional
        Whether it decides for this host only, as no home answers.
    """

    __slots__ = (
        "_cached_elsewhere_tokens",
        "_crash_checks",
        "_clock",
        "_copies",
        "_gate",
        "_granted",
        "_holders",
        "_identity",
        "_last_request_ms",
        "_log",
        "_metrics",
        "_queued",
        "_reconnect",
        "_replies",
        "_retries",
        "_send",
        "_signals",
        "_spans",
        "_started_ms",
        "declared",
        "first_grant_ms",
        "pool",
        "recovered_ms",
        "scheduler",
    )

    def __init__(
        self,
        pool,
        scheduler,
        identity,
        clock,
        send,
        declared,
        traces,
        metrics=None,
        gate=None,
        reconnect=lambda host_id: None,
        on_leaving=lambda upstream_id, started_unix_ms: None,
        quarantine=None,
        is_alone=False,
    ):
        self._crash_checks = CrashChecks(
            quarantine or QuarantineService(clock),
            scheduler,
            clock,
            self._waiting_requests,
            self._issued_grants,
            is_alone,
        )
        self._reconnect = reconnect
        self.pool = pool
        self.declared = declared
        self.scheduler = scheduler
        self._identity = identity
        self._clock = clock
        self._send = send
        self._metrics = metrics or Metrics(None)
        self._gate = gate or AllowAllGate()
        self._holders = HolderQueries(pool, identity.incarnation, clock, send)
        self._signals = HomeSignals(pool, scheduler, clock, self._metrics, on_leaving)
        self._retries = HomeRetries(pool, scheduler, self._metrics)
        self._cached_elsewhere_tokens = {}
        self._copies = WaitingCopies()
        self._queued = {}
        self._granted = {}
        self._replies = HomeReplies(pool, send)
        self._log = HomeLog(pool, self._metrics)
        self._spans = HomeSpans(pool, traces)
        self._started_ms = 0
        self._last_request_ms = clock.now_ms()
        self.first_grant_ms = None
        self.recovered_ms = None

    def start(self, hosts):
        """Begin recovery: query all live hosts for the pool's grants that they hold.

        Parameters
        ==========
        hosts : iterable of str
            Includes this host.
        """
        now_ms = self._clock.now_ms()
        self._started_ms = now_ms
        self._holders.start(hosts)
        self._gate.on_takeover(self._holders.queried, now_ms)
        self._emit(self.scheduler.begin_recovery(now_ms), now_ms)
        self._holders.send()
        self._log.on_started(self._holders.pending_count)

    def on_host_joined(self, host_id):
        """Query a host that was not known before for the grants that it holds."""
        self._retries.on_host_joined(host_id)
        self._holders.add(host_id)

    def on_predecessor_closed(self, message):
        """Query all hosts again, since the previous home has only now closed.

        Failure prevented: hosts disagree for a second on which of two hosts is home,
        and both admit requests against customers' quotas. What the previous home
        admitted after this one had sent its queries would never be counted, and a
        customer at its quota would get that much on top.
        """
        now_ms = self._clock.now_ms()
        self._gate.adopt_retry_records(self.pool, message.retry_records, now_ms)
        self._holders.restart()

    def close(self, new_home):
        """Stop issuing grants and refer queued requests to the new home."""
        if new_home:
            records = self._gate.retry_records(self.pool, self._clock.now_ms())
            closed = HomeClosed(pool=self.pool, retry_records=records)
            self._send(new_home, closed)
        for waiting in (*self._queued.values(), *self._copies.clear()):
            request = waiting.request
            self._replies.not_home(request.entry_host, request.request_id, new_home)
        self._queued.clear()
        self._spans.close()
        self._log.on_closed(new_home)

    @property
    def recovering(self):
        """Whether some entry host has not reported the grants that it holds."""
        return bool(self._holders.pending_count)

    def reconfigure(self, declared):
        """Apply a changed declaration of the pool or of the tiers."""
        self.declared = declared
        now_ms = self._clock.now_ms()
        self._emit(self.scheduler.reconfigure(*declared, now_ms), now_ms)

    def on_request(self, sender, message, late_ms):
        """Handle a grant request, or a repeat of one."""
        brief = message.brief
        granted = self._granted.get(brief.request_id)
        if granted is not None:
            self._reconnect(sender)
            self._resend(sender, granted[0])
            return
        if brief.request_id in self._queued or brief.request_id in self._copies:
            self._replies.queued(sender, brief.request_id)
            return
        now_ms = self._last_request_ms = self._clock.now_ms()
        request = work_request(brief, sender, now_ms - late_ms)
        self._crash_checks.on_request(request)
        kept_back = self._crash_checks.kept_back(request)
        if kept_back is None:
            self._submit(brief, request, now_ms)
        elif kept_back.may_pass and self._copies.add(brief, request, now_ms):
            self._replies.queued(sender, brief.request_id)
        else:
            self._refuse_kept_back(request, kept_back)

    def _review_copies(self, now_ms):
        """Submit the copies that may be sent now, refuse those that have waited long."""
        for item in self._copies:
            request = item.request
            kept_back = self._crash_checks.kept_back(request)
            is_due = now_ms - item.since_ms >= MAX_WAIT_MS
            if kept_back is not None and kept_back.may_pass and not is_due:
                continue
            self._copies.remove(request.request_id)
            if kept_back is None:
                self._submit(item.brief, request, now_ms)
            else:
                self._refuse_kept_back(request, kept_back)

    def _submit(self, brief, request, now_ms):
        """Let the gate and the scheduler decide on a request."""
        refusal = self._gate.refusal(self.pool, request, now_ms)
        if refusal is not None:
            self._refuse(request, refusal.code, refusal.retry_after_ms, refusal.reason)
            return
        if request.is_retry:
            left = self._gate.retries_left(self.pool, now_ms)
            self._log.on_retry_charged(request, left, now_ms - self._started_ms)
        self._spans.begin(brief)
        decisions = self.scheduler.submit(request, now_ms)
        self._retries.on_submitted()
        request_id = request.request_id
        is_decided = any(item.request.request_id == request_id for item in decisions)
        if not request.is_hedge and not self.scheduler.is_granted(request_id):
            self._signals.count_held_back(request)
        if not is_decided:
            self._queued[request.request_id] = QueueEntry(request, now_ms)
        self._emit(decisions, now_ms)
        if not is_decided:
            held_back = self._signals.held_back_text(request)
            self._log.on_queued(request, *self.counts(), held_back)
            self._replies.queued(request.entry_host, request.request_id)

    def _keep_back(self, request):
        """Refuse a request that may crash its upstream; return whether it is refused."""
        kept_back = self._crash_checks.kept_back(request)
        if kept_back is None:
            return False
        self._refuse_kept_back(request, kept_back)
        return True

    def _refuse_kept_back(self, request, kept_back):
        code, retry_after_ms = kept_back.code, kept_back.retry_after_ms
        self._refuse(request, code, retry_after_ms, kept_back.reason)

    def dry_run(self, request):
        """Return the ``PlacementReport`` of a request, which has no effect."""
        kept_back = self._crash_checks.check(request)
        scheduler, now_ms = self.scheduler, self._clock.now_ms()
        return dry_run_request(
            request, self.pool, scheduler, self._gate, kept_back, now_ms
        )

    def _waiting_requests(self):
        return [queued.request for queued in self._queued.values()]

    def _issued_grants(self):
        return [grant for grant, _ in self._granted.values()]

    def review_queue(self):
        """Refuse queued requests that must not be sent any more."""
        now_ms = self._clock.now_ms()
        for queued in list(self._queued.values()):
            request = queued.request
            if self._keep_back(request):
                self._remove_queued(request.request_id, now_ms)
                self._spans.end(request.request_id, cancelled=True)
                decisions = self.scheduler.cancel(request.request_id, now_ms)
                self._emit(decisions, now_ms)

    def on_cancel(self, message):
        """Drop a request whose caller has disconnected."""
        now_ms = self._clock.now_ms()
        self._copies.remove(message.request_id)
        self._remove_queued(message.request_id, now_ms)
        self._spans.end(message.request_id, cancelled=True)
        self._emit(self.scheduler.cancel(message.request_id, now_ms), now_ms)
        granted = self._granted.get(message.request_id)
        if granted is not None:
            outcome = Outcome(kind=OutcomeKind.NOT_SENT)
            self._release(granted[0].grant_id, message.request_id, outcome, now_ms)

    def _remove_queued(self, request_id, now_ms):
        """Drop a queued request and report to the gate that it did not run."""
        queued = self._queued.pop(request_id, None)
        if queued is not None:
            self._crash_checks.on_ended(queued.request)
            self._gate.on_not_run(self.pool, queued.request, queued.since_ms, now_ms)

    def on_first_token(self, message, late_ms=0):
        """Record the time to first token of an answer that is still in progress."""
        now_ms = self._clock.now_ms()
        self._signals.observe(message, late_ms)
        decisions = self.scheduler.observe_first_token(
            message.grant_id, message.first_token_ms, now_ms, message.relay
        )
        self._crash_checks.on_first_token(message.grant_id)
        self._emit(decisions, now_ms)

    def on_release(self, message, late_ms=0):
        """Release a grant and record its outcome."""
        self._signals.observe(message, late_ms)
        outcome = Outcome(
            kind=OutcomeKind(message.outcome),
            first_token_ms=message.first_token_ms,
            total_ms=message.total_ms,
            output_tokens=message.output_tokens,
            cached_tokens=message.cached_tokens,
            token_us=message.token_us,
            relay=message.relay,
            is_overtaken=message.is_overtaken,
            is_crash_suspect=message.is_crash_suspect,
            is_upstream_lost=message.is_upstream_lost,
            is_misdirected=message.is_misdirected,
            is_not_run=message.is_not_run and not _asks_for_rest(message),
        )
        now_ms = self._clock.now_ms()
        # Before the release, which may give the slot to another such request.
        self._crash_checks.on_release(message)
        self._release(message.grant_id, message.request_id, outcome, now_ms)
        self._review_copies(now_ms)

    def on_upstream_lost(self, message):
        """Record that an upstream ended shortly after a run had been given up."""
        self._crash_checks.on_upstream_lost(message)

    def on_upstream_reached(self, upstream_id):
        """Record that a host reaches an upstream to which another could not connect."""
        now_ms = self._clock.now_ms()
        self._emit(self.scheduler.observe_reachable(upstream_id, now_ms), now_ms)

    def _release(self, grant_id, request_id, outcome, now_ms):
        granted = self._granted.get(request_id)
        if granted is not None and granted[0].grant_id == grant_id:
            del self._granted[request_id]
            self._count_wasted(request_id, outcome)
        held = self.scheduler.in_flight_grant(grant_id)
        is_request_at_fault = self._crash_checks.explains(held, outcome.kind)
        decisions = self.scheduler.release(
            grant_id, outcome, now_ms, is_request_at_fault
        )
        self._signals.log_changes(held, outcome.kind)
        self._signals.log_suppressions()
        self._emit(decisions, now_ms)

    def _count_wasted(self, request_id, outcome):
        """Count prompt tokens computed again although another upstream had them cached.

        Incomplete answers are counted by their entry host.
        """
        cached = self._cached_elsewhere_tokens.pop(request_id, 0)
        if outcome.kind is OutcomeKind.SUCCESS and cached > outcome.cached_tokens:
            wasted = cached - outcome.cached_tokens
            self._metrics.count(WASTED_TOKENS, self.pool, wasted)

    def on_held_grants(self, sender, message):
        """Adopt the grants of a previous home that an entry host still holds."""
        if message.home_incarnation != self._identity.incarnation:
            return
        now_ms = self._clock.now_ms()
        for held in message.grants:
            request = work_request(held.brief, sender, now_ms)
            grant = Grant(
                grant_id=held.grant_id,
                request_id=request.request_id,
                upstream_id=held.upstream_id,
                address=held.address,
                version=held.version,
                expires_ms=now_ms,
            )
            self._granted[request.request_id] = (grant, sender)
            self._emit(self.scheduler.adopt(request, grant, now_ms), now_ms)
            self._crash_checks.on_adopted(request)
        self._signals.adopt(sender, message)
        is_present = sender in self._holders.queried
        self._retries.adopt(sender, message, now_ms, is_present)
        self._crash_checks.on_held_grants(message)
        if self._holders.is_pending(sender):
            self._gate.on_usage_report(sender, message, now_ms)
            if self._holders.discard(sender):
                self._end_recovery(now_ms)

    def on_held_ids(self, sender, message):
        """Free the slots of grants that their entry host does not hold.

        Either the reply with the grant or the message that released it was lost.
        Without this the slot would stay occupied until the request's deadline.
        """
        now_ms = self._clock.now_ms()
        held = frozenset(message.grant_ids)
        for request_id, (grant, entry_host) in list(self._granted.items()):
            due = now_ms - grant.expires_ms > LOST_GRANT_MS
            if entry_host == sender and due and grant.grant_id not in held:
                outcome = Outcome(kind=OutcomeKind.NOT_SENT)
                self._release(grant.grant_id, request_id, outcome, now_ms)

    def forget_host(self, host_id):
        """Drop the requests, grants and pending report of a host that is gone."""
        now_ms = self._clock.now_ms()
        self._crash_checks.on_host_lost(self._grants_of(host_id))
        self._copies.forget_host(host_id)
        self._emit(self.scheduler.forget_entry_host(host_id, now_ms), now_ms)
        self._retries.on_host_gone(host_id, now_ms)
        waiting = [queued.request for queued in self._queued.values()]
        gone = [request for request in waiting if request.entry_host == host_id]
        for request in gone:
            self._remove_queued(request.request_id, now_ms)
            self._spans.end(request.request_id, cancelled=True)
        # The scheduler has already dropped these grants. Kept here, they would be
        # reported as granted and use memory for as long as this host is home.
        lost = [r for r, (_, host) in self._granted.items() if host == host_id]
        for request_id in lost:
            del self._granted[request_id]
            self._cached_elsewhere_tokens.pop(request_id, None)
        if self._holders.forget(host_id):
            self._end_recovery(now_ms)

    def _grants_of(self, host_id):
        return [grant for grant, host in self._granted.values() if host == host_id]

    def _end_recovery(self, now_ms):
        """Decide by all grants; hosts that join later are asked beside that."""
        if self.recovered_ms is None:
            self.recovered_ms = now_ms - self._started_ms
            self._log.on_ready(self.recovered_ms)
        self._emit(self.scheduler.end_recovery(now_ms), now_ms)

    def tick(self):
        """Do the periodic work: repeat unanswered queries, let the scheduler tick."""
        now_ms = self._clock.now_ms()
        self._holders.resend_if_due()
        self._crash_checks.tick()
        self._review_copies(now_ms)
        self._retries.tick(now_ms)
        self._emit(self.scheduler.tick(now_ms), now_ms)
        self._signals.log_suppressions()

    def set_upstreams(self, upstreams):
        """Set the pool's upstreams, as the platform lists them."""
        now_ms = self._clock.now_ms()
        upstreams = tuple(upstreams)
        self._crash_checks.on_upstreams(upstreams)
        self._emit(self.scheduler.set_upstreams(upstreams, now_ms), now_ms)

    def observe_load(self, report):
        """Pass an upstream's load report to the scheduler."""
        now_ms = self._clock.now_ms()
        self._emit(self.scheduler.observe_load(report, now_ms), now_ms)

    def is_idle(self, idle_ms):
        """Return whether no request is open and none came within ``idle_ms``."""
        if self._queued or self._granted or len(self._copies):
            return False
        return self._clock.now_ms() - self._last_request_ms >= idle_ms

    def counts(self):
        """Return the numbers of queued and of granted requests."""
        return len(self._queued), len(self._granted)

    def _emit(self, decisions, now_ms):
        for decision in decisions:
            request = decision.request
            queued = self._queued.pop(request.request_id, None)
            if isinstance(decision, Granted):
                if queued is not None:
                    self._gate.on_dequeued(self.pool, request, queued.since_ms, now_ms)
                self._send_grant(decision, queued is not None, now_ms)
            else:
                since_ms = now_ms if queued is None else queued.since_ms
                self._reject(decision, since_ms, now_ms)

    def _reject(self, decision, since_ms, now_ms):
        request, code = decision.request, decision.code
        self._spans.end(request.request_id, code=int(code))
        self._gate.on_not_run(self.pool, request, since_ms, now_ms)
        reason = f"queued {len(self._queued)} granted {len(self._granted)}"
        reason += self._signals.refusal_text(request)
        reserved_ms = int(decision.reserved_ms)
        if reserved_ms:
            reason += f" reserved {reserved_ms} ms"
        self._refuse(request, code, decision.retry_after_ms, reason, reserved_ms)

    def _refuse(self, request, code, retry_after_ms, reason, reserved_ms=0):
        """Count a request no longer, and send a refusal."""
        self._crash_checks.on_ended(request)
        self._replies.refusal(request, code, retry_after_ms, reason, reserved_ms)

    def _send_grant(self, decision, has_waited, now_ms):
        grant = decision.grant
        if self.first_grant_ms is None:
            self.first_grant_ms = now_ms - self._started_ms
        self._spans.end(
            grant.request_id, upstream=grant.upstream_id, version=grant.version
        )
        entry_host = decision.request.entry_host
        # A grant without a wait appears in the entry host's log line of the attempt.
        # With a hundred upstreams, logging took a fifth of a grant's processor time.
        if has_waited:
            self._log.on_granted(decision, *self.counts())
        self._granted[grant.request_id] = (grant, entry_host)
        self._crash_checks.on_sent(decision.request)
        cached = self.scheduler.cached_elsewhere(decision.request, grant.upstream_id)
        if cached:
            self._cached_elsewhere_tokens[grant.request_id] = cached
        retry_records = ()
        if decision.request.is_retry:
            retry_records = self._gate.retry_records(self.pool, now_ms)
        self._replies.grant(entry_host, grant, now_ms, retry_records)

    def _resend(self, sender, grant):
        now_ms = self._clock.now_ms()
        if grant.expires_ms > now_ms:
            self._replies.grant(sender, grant, now_ms)
            return
        # The entry host repeats its request, so it has not used the grant, and can no
        # longer use it.
        outcome = Outcome(kind=OutcomeKind.NOT_SENT)
        self._release(grant.grant_id, grant.request_id, outcome, now_ms)
        self._replies.queued(sender, grant.request_id)


def _asks_for_rest(message):
    """Return whether the upstream asked for rest, which counts as a rejection itself."""
    return message.signals is not None and message.signals.back_off_ms > 0
