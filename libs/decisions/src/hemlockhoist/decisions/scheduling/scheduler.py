"""The scheduler of one pool shard: admission, queueing, refusal and placement."""

from hemlockhoist.base import InvariantLog, ResultCode
from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.scheduling.adaptive_tracker import AdaptiveTracker
from hemlockhoist.decisions.scheduling.admission import (
    Admission,
    latest_start_ms,
    slack_ms,
    unanswerable_code,
)
from hemlockhoist.decisions.scheduling.assignment import SlotAssigner
from hemlockhoist.decisions.scheduling.estimates import ServiceEstimate
from hemlockhoist.decisions.scheduling.experiments import Experiments
from hemlockhoist.decisions.scheduling.forecast import Forecast
from hemlockhoist.decisions.scheduling.grants import GrantTable, InFlightGrant
from hemlockhoist.decisions.scheduling.overtaking import OvertakingCheck
from hemlockhoist.decisions.scheduling.queue import RequestQueue
from hemlockhoist.decisions.scheduling.queued_request import QueuedRequest
from hemlockhoist.decisions.scheduling.shard_upstreams import ShardUpstreams
from hemlockhoist.decisions.scheduling.shedding import Shedder
from hemlockhoist.decisions.work import Granted, Outcome, OutcomeKind, Rejected

# A grant is dropped this long after its request's deadline. Where the message that
# carried its release was lost, the slot would otherwise stay occupied permanently.
LOST_GRANT_MS = 5_000
_NOT_SENT = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.LINK_FAILED, OutcomeKind.NOT_SENT}
)


class PoolScheduler:
    """Admits, queues, refuses and places the requests of one pool shard.

    All methods take the time on the home's clock and return the resulting decisions,
    which the caller sends; no method blocks. Every method is idempotent for the same
    request or grant id.
    """

    __slots__ = (
        "_admission",
        "_arrival_count",
        "_assigner",
        "_client_retries",
        "_estimate",
        "_experiments",
        "_forecast",
        "_grants",
        "_overtaking",
        "_policy",
        "_queue",
        "_shedder",
        "_upstreams",
    )

    def __init__(
        self,
        pool,
        tiers,
        incarnation,
        policy,
        invariants,
        tracker,
        experiments,
        reserves_retries,
        max_suppressed_ms=0,
    ):
        self._experiments = experiments
        self._policy = policy
        self._client_retries = experiments.client_retries(reserves_retries)
        self._admission = Admission.from_config(tiers, self._client_retries)
        self._queue = RequestQueue([tier.rank for tier in tiers])
        self._estimate = ServiceEstimate()
        self._grants = GrantTable()
        damping = experiments.flap_damping(max_suppressed_ms)
        self._upstreams = ShardUpstreams(self._grants, tracker, damping)
        overtaking_budget = experiments.overtaking_budget()
        self._forecast = Forecast(
            self._queue,
            self._upstreams,
            self._admission,
            self._estimate,
            self._client_retries,
        )
        self._overtaking = OvertakingCheck(
            self._queue, self._upstreams, overtaking_budget
        )
        self._assigner = SlotAssigner(
            pool.name,
            incarnation,
            self._queue,
            self._upstreams,
            self._grants,
            self._overtaking,
            overtaking_budget,
            self._admission,
            policy,
            invariants,
        )
        self._shedder = Shedder(
            self._queue,
            self._admission,
            overtaking_budget,
            self._forecast,
            invariants,
            self._overtaking.predicate_at,
        )
        self._arrival_count = 0

    @classmethod
    def from_config(
        cls,
        pool,
        tiers,
        incarnation,
        policy=None,
        invariants=None,
        tracker=None,
        experiments=None,
        reserves_retries=False,
        max_suppressed_ms=0,
    ):
        """Return a scheduler that has no upstreams yet.

        Parameters
        ==========
        pool : hemlockhoist.declarations.Pool
        tiers : sequence of hemlockhoist.declarations.Tier
        incarnation : str
            Of this home; makes grant ids unique across restarts.
        policy : VersionPolicy, optional
        invariants : hemlockhoist.base.InvariantLog, optional
            Records the checks of tier order and of leaving upstreams.
        tracker : DeclaredSlotsTracker, optional
            For upstreams that declare their slots; by default the limits are
            estimated.
        experiments : Experiments, optional
            The disabled mechanisms.
        reserves_retries : bool, optional
            Whether capacity is reserved for refused requests that clients retry.
        max_suppressed_ms : int, optional
            Longest suppression of a flapping upstream; 0 for none.
        """
        return cls(
            pool,
            tiers,
            incarnation,
            policy or VersionPolicy(),
            invariants or InvariantLog(fatal=False),
            tracker or AdaptiveTracker(pool.max_in_flight_per_upstream),
            experiments or Experiments(),
            reserves_retries,
            max_suppressed_ms,
        )

    @property
    def queued(self):
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def in_flight(self):
        """Number of grants that entry hosts hold."""
        return len(self._grants)

    @property
    def client_retry_count(self):
        """Number of requests so far that clients retried after the stated time."""
        return self._client_retries.client_retry_count

    @property
    def reservations(self):
        """The ``RetryReservations``, or None if no capacity is reserved."""
        return self._client_retries if self._client_retries.reserves else None

    def evacuated_domains(self):
        """Return the evacuated failure domains, whose upstreams get no work, sorted."""
        return self._upstreams.table.evacuated_domains()

    def leaving_upstreams(self):
        """Return the ids of the listed upstreams that leave, sorted."""
        return self._upstreams.table.leaving()

    def in_flight_besides(self, version):
        """Return the number of grants in flight at upstreams of other versions."""
        return self._grants.besides_version(version)

    def cached_elsewhere(self, request, upstream_id):
        """Return how many prompt tokens are computed here though another holds them.

        As ``UpstreamTracker.cached_elsewhere``.
        """
        return self._upstreams.tracker.cached_elsewhere(request, upstream_id)

    def reconfigure(self, pool, tiers, now_ms):
        """Apply changed declarations; the queue and the grants are kept."""
        self._admission.set_tiers(tiers)
        self._upstreams.tracker.set_max_limit(pool.max_in_flight_per_upstream)
        return self._decide_everywhere(now_ms)

    def submit(self, request, now_ms):
        """Admit a request; return the decisions on it and on others.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        now_ms : int

        Returns
        =======
        list of Granted and Rejected
            None of them is for ``request`` when it is queued. A repeated submit of a
            granted request returns the same grant. A hedge is never queued.
        """
        held = self._grants.of_request(request.request_id)
        if held is not None:
            return [Granted(request=held.request, grant=held.grant)]
        if request.request_id in self._queue:
            return []
        if self._grants.has_ended(request.request_id):
            return []
        if request.is_hedge:
            return [self._decide_hedge(self._experiments.mask(request), now_ms)]
        decisions = self._admit(self._experiments.mask(request), now_ms)
        return decisions + self._decide(now_ms)

    def cancel(self, request_id, now_ms):
        """Remove a queued request whose caller has disconnected."""
        self._queue.remove(request_id)
        return []

    def release(self, grant_id, outcome, now_ms, is_request_at_fault=False):
        """Release a grant with its outcome; return the decisions that follow.

        Parameters
        ==========
        grant_id : str
        outcome : Outcome
        now_ms : int
        is_request_at_fault : bool, optional
            Whether a prompt crashed the upstream, which says nothing of its version.
        """
        held = self._grants.remove(grant_id)
        if held is None:
            return []
        self._record_outcome(held, outcome, now_ms, is_request_at_fault)
        return self._decide(now_ms, held.grant.upstream_id)

    def observe_first_token(self, grant_id, first_token_ms, now_ms, relay=""):
        """Record the time to first token of an answer that is still in progress.

        Optional: without it the time is learned from the outcome, which for a long
        answer arrives many seconds later.

        Parameters
        ==========
        grant_id : str
        first_token_ms : int
            From dispatch.
        now_ms : int
        relay : str, optional
            The host through which the upstream was reached; empty for none.
        """
        held = self._grants.get(grant_id)
        if held is None:
            return []
        self._upstreams.on_first_token(held, first_token_ms, now_ms, relay)
        return self._decide(now_ms, held.grant.upstream_id)

    def in_flight_grant(self, grant_id):
        """Return the ``InFlightGrant`` of an id, or None."""
        return self._grants.get(grant_id)

    def is_granted(self, request_id):
        """Return whether a request holds a grant."""
        return self._grants.of_request(request_id) is not None

    def observe_limit(self, upstream_id, requests_per_s, heard_ms, now_ms):
        """Record the limit on its request rate that an upstream advertised.

        Parameters
        ==========
        upstream_id : str
        requests_per_s : float
            From all hosts together; infinite if it no longer advertises a limit.
        heard_ms : int
            When an entry host heard it, on this home's clock.
        now_ms : int

        Returns
        =======
        bool
            Whether the limit changed. Decisions that follow are made at the next tick.
        """
        tracker = self._upstreams.tracker
        return tracker.observe_limit(upstream_id, requests_per_s, heard_ms, now_ms)

    def observe_brittle(self, upstream_id, rejections_per_s, heard_ms, now_ms):
        """Record how many rejections a second an upstream bears; return if it changed.

        Parameters as of ``observe_limit``.
        """
        tracker = self._upstreams.tracker
        return tracker.observe_brittle(upstream_id, rejections_per_s, heard_ms, now_ms)

    def observe_rejection(self, upstream_id, now_ms):
        """Record that an upstream turned a request away for want of room."""
        self._upstreams.tracker.observe_rejection(upstream_id, now_ms)

    def observe_slowdown(self, upstream_id, percent, measured_ms, now_ms):
        """Record how slow an upstream says it is.

        Return whether it is the upstream's first report.

        Parameters as of ``UpstreamTracker.observe_slowdown``. Decisions that follow are
        made with those on the answer that carried the report.
        """
        tracker = self._upstreams.tracker
        return tracker.observe_slowdown(upstream_id, percent, measured_ms, now_ms)

    @property
    def slowed_count(self):
        """Number of upstreams that are slower or faster than usual, by their reports."""
        return self._upstreams.tracker.slowed_count

    def observe_reachable(self, upstream_id, now_ms):
        """Record that another host reaches an upstream that one could not."""
        self._upstreams.on_reachable(upstream_id, now_ms)
        return self._decide_everywhere(now_ms)

    def observe_back_off(self, upstream_id, host, until_ms, now_ms):
        """Record that an upstream wants no requests from an entry host until a time."""
        self._upstreams.on_back_off(upstream_id, host, until_ms, now_ms)

    def is_suspended(self, upstream_id, now_ms):
        """Return whether an upstream gets no request now, as others failed there."""
        tracker = self._upstreams.tracker
        return tracker.get(upstream_id) is not None and tracker.is_suspended(
            upstream_id, now_ms
        )

    def suppressed_upstreams(self, now_ms):
        """Return the ids of the upstreams that are suppressed as they flap."""
        return self._upstreams.damping.suppressed(now_ms)

    def trusts_failures_of(self, host):
        """Return whether a host's failed connections count against upstreams."""
        return self._upstreams.trusts_failures_of(host)

    def held_back(self, host, now_ms, max_count):
        """Return the upstreams with a free slot that a host's requests may not use.

        Returns
        =======
        HeldBack
            With at most ``max_count`` upstreams for each cause.
        """
        return self._upstreams.held_back(host, now_ms, max_count)

    def adopt(self, request, grant, now_ms):
        """Count a grant of a previous home that an entry host still holds.

        A copy of the request that was queued here before the report arrived is
        removed, as the request is already dispatched.
        """
        self._queue.remove(request.request_id)
        cost_ms = self._estimate.hold_ms(request)
        held = InFlightGrant(request, grant, now_ms, cost_ms)
        if self._grants.add(held):
            self._upstreams.on_adopt(held, now_ms)
            self._policy.on_adopt(request, grant.version, now_ms, grant.upstream_id)
        return []

    def begin_recovery(self, now_ms):
        """Begin the phase in which grants of a previous home are still unknown."""
        self._upstreams.recovery.begin(now_ms)
        self._upstreams.tracker.begin_takeover(now_ms)
        return []

    def set_share(self, share):
        """Set the share of the fleet-wide bounds that this home may use."""
        self._upstreams.tracker.set_share(share)

    def end_recovery(self, now_ms):
        """End the recovery phase: all entry hosts have reported their grants."""
        self._upstreams.recovery.end()
        return self._decide_everywhere(now_ms)

    def forget_entry_host(self, host_id, now_ms):
        """Drop the grants and the queued requests of a dead entry host."""
        self._upstreams.forget_host(host_id)
        for request_id in self._queue.of_entry_host(host_id):
            self._queue.remove(request_id)
        for grant_id in self._grants.of_entry_host(host_id):
            self._drop_grant(grant_id, now_ms)
        return self._decide_everywhere(now_ms)

    def set_upstreams(self, upstreams, now_ms):
        """Replace the list of upstreams; an empty list is ignored."""
        self._upstreams.replace(upstreams, now_ms)
        return self._decide_everywhere(now_ms)

    def observe_load(self, report, now_ms):
        """Record an upstream's load report."""
        self._upstreams.observe(report, now_ms)
        return self._decide_everywhere(now_ms)

    def tick(self, now_ms):
        """Refuse requests that have waited too long; return the decisions due.

        To be called about every 100 ms, and at ``next_due_ms``.
        """
        self._update_slowdown(now_ms)
        self._grants.forget_ended(now_ms)
        self._queue.forget_idle()
        self._upstreams.on_tick(self._estimate, now_ms)
        for grant_id in self._grants.past_deadline(now_ms - LOST_GRANT_MS):
            self._drop_grant(grant_id, now_ms)
        return self._decide_everywhere(now_ms)

    def next_due_ms(self):
        """Return the time at which ``tick`` next has a decision to make, or None."""
        return self._queue.next_due_ms()

    def _admit(self, request, now_ms):
        self._update_slowdown(now_ms)
        # Before a reservation is claimed: capacity does not help against these refusals.
        code = self._unservable_code(request)
        if code is not None:
            return [self._shedder.reject(request, code, now_ms)]
        self._upstreams.damping.record_arrival(request, now_ms)
        cost_ms = self._estimate.hold_ms(request)
        is_retry = self._client_retries.claim(request, now_ms, cost_ms)
        code = self._refusal_code(request, is_retry, now_ms)
        if code is ResultCode.OVERLOADED:
            return self._shedder.shed(request, code, now_ms)
        if code is not None:
            return [self._shedder.reject(request, code, now_ms)]
        decisions = self._shedder.make_room(request, now_ms)
        if any(item.request is request for item in decisions):
            return decisions
        self._arrival_count += 1
        wait_ms = slack_ms(request, self._estimate, now_ms)
        if is_retry:
            wait_ms = latest_start_ms(request, self._estimate) - now_ms
        due_ms = int(now_ms + max(1, wait_ms))
        sort_key_ms = self._upstreams.tracker.sort_key_ms(now_ms, cost_ms, due_ms)
        is_reserved = self._client_retries.has_reservation(request)
        waiting = QueuedRequest(
            request,
            cost_ms,
            sort_key_ms,
            self._arrival_count,
            is_retry=is_retry and not is_reserved,
            is_reserved=is_reserved,
        )
        self._queue.push(waiting, due_ms)
        return decisions

    def _update_slowdown(self, now_ms):
        self._estimate.slowdown = self._upstreams.tracker.pool_slowdown(now_ms)

    def _decide_hedge(self, request, now_ms):
        """Grant a second attempt if capacity is to spare; refuse it otherwise.

        The caller is not told of the refusal, so it counts as none for shedding.
        """
        held = self._grants.of_customer(request.customer)
        granted = None
        if not len(self._queue) and held < request.max_in_flight:
            cost_ms = self._estimate.hold_ms(request)
            waiting = QueuedRequest(request, cost_ms, 0, 0)
            reserved_slots = self._client_retries.reserved_slots(cost_ms, now_ms)
            granted = self._assigner.assign_hedge(waiting, reserved_slots, now_ms)
        if granted is not None:
            return granted
        return Rejected(request=request, code=ResultCode.OVERLOADED, retry_after_ms=0)

    def _unservable_code(self, request):
        """Return the code of a refusal that does not depend on the load, or None."""
        if not self._upstreams.table.serves(request.regions):
            return ResultCode.NO_UPSTREAM
        held = self._grants.of_customer(request.customer)
        held += self._queue.of_customer(request.customer)
        if held >= request.max_in_flight:
            return ResultCode.CUSTOMER_LIMIT
        return None

    def _refusal_code(self, request, is_retry, now_ms):
        if self._queue.count_above(request.tier_rank) and self._overtaking.may_overtake(
            request, now_ms
        ):
            return None
        if is_retry:
            return None
        if self._admission.is_shedding_above(request.tier_rank, self._queue):
            return ResultCode.OVERLOADED
        return self._forecast.refusal_code(request, now_ms)

    def _decide_everywhere(self, now_ms):
        """Decide after a change that may have freed slots at any upstream."""
        self._assigner.begin_round()
        return self._decide(now_ms)

    def _decide(self, now_ms, changed=""):
        """Decide after a change at one upstream, or at none."""
        if not len(self._queue):
            return []
        if self._upstreams.table.is_evacuated():
            return self._refuse_all(now_ms)
        decisions = self._assigner.assign(now_ms, changed)
        return decisions + self._refuse_due(now_ms)

    def _refuse_all(self, now_ms):
        """Refuse all waiting requests, the lowest tier first.

        When all failure domains of a pool are evacuated, callers would otherwise wait
        until their deadlines for a slot that does not become free.
        """
        decisions = []
        for rank in reversed(list(self._queue.ranks)):
            while (taken := self._queue.take(rank)) is not None:
                request = taken[0].request
                code = ResultCode.NO_UPSTREAM
                decisions.append(self._shedder.reject(request, code, now_ms))
        return decisions

    def _refuse_due(self, now_ms):
        """Refuse the waiting requests whose due time has passed.

        A request that has missed its first token target stays queued only as long as
        ``Admission.late_review_ms`` allows. Serving late requests ahead of others of
        their tier would make every answer late under saturation; refusing them while
        lower tiers are served would shed a higher tier before a lower one.
        """
        decisions = []
        for waiting in self._queue.take_due(now_ms):
            request = waiting.request
            code = unanswerable_code(request, self._estimate, now_ms)
            review_ms = None
            if code is None:
                review_ms = self._forecast.late_review_ms(request, now_ms)
            if review_ms is None:
                code = code or ResultCode.OVERLOADED
                decisions += self._shedder.shed(request, code, now_ms)
                continue
            waiting.is_late = True
            due_ms = latest_start_ms(request, self._estimate)
            due_ms = min(now_ms + review_ms, max(now_ms + 1, due_ms))
            self._queue.push(waiting, due_ms)
        return decisions

    def _drop_grant(self, grant_id, now_ms):
        held = self._grants.get(grant_id)
        self._grants.remove(grant_id)
        if held is not None:
            self._upstreams.tracker.forget(held, now_ms)
            self._policy.on_forget(held.request, held.grant.version, now_ms)

    def _record_outcome(self, held, outcome, now_ms, is_request_at_fault):
        request = held.request
        outcome = self._upstreams.attributed(held, outcome, self._estimate, now_ms)
        if not is_request_at_fault:
            self._upstreams.record_stability(held, outcome, now_ms)
        hold_ms = now_ms - held.granted_ms
        predicted_ms = self._estimate.hold_ms(request)
        self._upstreams.tracker.on_outcome(held, outcome, hold_ms, predicted_ms, now_ms)
        if outcome.kind is OutcomeKind.SUCCESS:
            self._update_slowdown(now_ms)
            self._estimate.observe(request, hold_ms, outcome.first_token_ms)
        if outcome.kind not in _NOT_SENT:
            self._grants.record_ended(request.request_id, now_ms)
        grant = held.grant
        if is_request_at_fault:
            # The kind of failures that say nothing about the upstream.
            outcome = Outcome(kind=OutcomeKind.LINK_LOST)
        self._policy.on_outcome(
            request, grant.version, outcome, now_ms, grant.upstream_id
        )
