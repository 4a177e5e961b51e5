"""The scheduler of one pool shard: admits, queues, refuses and places requests."""

from hemlockhoist.base import InvariantLog, ResultCode
from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.scheduling.adaptive_tracker import AdaptiveTracker
from hemlockhoist.decisions.scheduling.admission import (
    LATE_REVIEW_MS,
    Admission,
    latest_start_ms,
    slack_ms,
)
from hemlockhoist.decisions.scheduling.assignment import SlotAssigner
from hemlockhoist.decisions.scheduling.estimates import ServiceEstimate
from hemlockhoist.decisions.scheduling.experiments import Experiments
from hemlockhoist.decisions.scheduling.fleet import Fleet
from hemlockhoist.decisions.scheduling.grants import GrantTable, InFlightGrant
from hemlockhoist.decisions.scheduling.overtaking import OvertakingCheck
from hemlockhoist.decisions.scheduling.queue import QueuedRequest, RequestQueue
from hemlockhoist.decisions.scheduling.shedding import Shedder
from hemlockhoist.decisions.work import Granted, OutcomeKind

# A grant is counted no longer than this after its request's deadline. Made for a
# release that was lost with a message: without it the place would be lost for good.
LOST_GRANT_MS = 5_000
_NOT_SENT = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.NOT_SENT})


class PoolScheduler:
    """Admits, queues, refuses and places the requests of one pool shard.

    All methods take the home's clock and return the decisions that follow. The
    caller sends them; nothing here waits. Every method may be called again with the
    same request or grant id without harm.
    """

    __slots__ = (
        "_admission",
        "_estimate",
        "_experiments",
        "_fleet",
        "_assigner",
        "_grants",
        "_order",
        "_passing",
        "_policy",
        "_queue",
        "_returns",
        "_shedder",
    )

    def __init__(
        self, pool, tiers, incarnation, policy, invariants, tracker, experiments
    ):
        self._experiments = experiments
        self._policy = policy
        self._admission = Admission.from_config(tiers)
        self._queue = RequestQueue([tier.rank for tier in tiers])
        self._estimate = ServiceEstimate()
        self._grants = GrantTable()
        self._fleet = Fleet(self._grants, tracker)
        turns = experiments.overtaking_budget()
        self._returns = experiments.client_retries()
        self._passing = OvertakingCheck(self._queue, self._fleet, turns)
        self._assigner = SlotAssigner(
            pool.name,
            incarnation,
            self._queue,
            self._fleet,
            self._grants,
            self._passing,
            turns,
            self._admission,
            policy,
            invariants,
        )
        self._shedder = Shedder(
            self._queue,
            self._admission,
            turns,
            self._returns,
            invariants,
            self._retry_after_ms,
            self._passing.predicate_at,
        )
        self._order = 0

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
    ):
        """Return a scheduler without upstreams.

        Parameters
        ==========
        pool : hemlockhoist.declarations.Pool
        tiers : sequence of hemlockhoist.declarations.Tier
        incarnation : str
            Of this home; makes grant ids unique over restarts.
        policy : VersionPolicy, optional
        invariants : hemlockhoist.base.InvariantLog, optional
            Takes the checks of tier order and of leaving upstreams.
        tracker : DeclaredSlotsTracker, optional
            For upstreams that declare their places; by default their limits are
            found.
        experiments : Experiments, optional
            Mechanisms that are left out.
        """
        return cls(
            pool,
            tiers,
            incarnation,
            policy or VersionPolicy(),
            invariants or InvariantLog(fatal=False),
            tracker or AdaptiveTracker(pool.max_in_flight_per_upstream),
            experiments or Experiments(),
        )

    @property
    def queued(self):
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def in_flight(self):
        """Number of grants that entry hosts hold."""
        return len(self._grants)

    @property
    def client_retry_count(self):
        """Number of requests so far that came back as they were told."""
        return self._returns.client_retry_count

    def evacuated_domains(self):
        """Return the failure domains whose upstreams get nothing, by order."""
        return self._fleet.table.evacuated_domains()

    def in_flight_at(self, version):
        """Return the number of grants that upstreams of a version have."""
        return self._grants.of_version(version)

    def cached_elsewhere(self, request, upstream_id):
        """Return the most prompt tokens that another upstream probably has cached."""
        return self._fleet.tracker.cached_elsewhere(request, upstream_id)

    def reconfigure(self, pool, tiers, now_ms):
        """Take changed declarations without losing queue or grants."""
        self._admission.set_tiers(tiers)
        self._fleet.tracker.set_max_limit(pool.max_in_flight_per_upstream)
        return self._drain(now_ms)

    def submit(self, request, now_ms):
        """Take a request; return decisions on it and on others.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        now_ms : int

        Returns
        =======
        list of Granted and Rejected
            Without one for ``request`` when it waits. A repeated submit of a granted
            request returns the same grant again.
        """
        held = self._grants.of_request(request.request_id)
        if held is not None:
            return [Granted(request=held.request, grant=held.grant)]
        if request.request_id in self._queue:
            return []
        if self._grants.has_ended(request.request_id):
            return []
        decisions = self._admit(self._experiments.mask(request), now_ms)
        return decisions + self._decide(now_ms)

    def cancel(self, request_id, now_ms):
        """Forget a queued request, whose caller has gone."""
        self._queue.remove(request_id)
        return []

    def release(self, grant_id, outcome, now_ms):
        """Take a grant back with its outcome; return what can be granted now."""
        held = self._grants.remove(grant_id)
        if held is None:
            return []
        self._learn(held, outcome, now_ms)
        return self._decide(now_ms, held.grant.upstream_id)

    def observe_first_token(self, grant_id, first_token_ms, now_ms):
        """Take the first token time of an answer that is still under way.

        Optional: without it the same is learned from the outcome, which for a long
        answer comes many seconds later.

        Parameters
        ==========
        grant_id : str
        first_token_ms : int
            From dispatch.
        now_ms : int
        """
        held = self._grants.get(grant_id)
        if held is None:
            return []
        self._fleet.tracker.on_first_token(held, first_token_ms, now_ms)
        return self._decide(now_ms, held.grant.upstream_id)

    def adopt(self, request, grant, now_ms):
        """Count a grant of a former home that an entry host still holds.

        A copy of the request that waits here, submitted before the report came, is
        dropped: it is dispatched already.
        """
        self._queue.remove(request.request_id)
        cost_ms = self._estimate.hold_ms(request)
        held = InFlightGrant(request, grant, now_ms, cost_ms)
        if self._grants.add(held):
            self._fleet.on_adopt(held, now_ms)
            self._policy.on_adopt(request, grant.version, now_ms, grant.upstream_id)
        return []

    def begin_recovery(self, now_ms):
        """Begin the time in which grants of a former home are still unknown."""
        self._fleet.recovery.begin(now_ms)
        self._fleet.tracker.begin_takeover(now_ms)
        return []

    def set_share(self, share):
        """Take the part of what is bounded over all hosts that is given out here."""
        self._fleet.tracker.set_share(share)

    def end_recovery(self, now_ms):
        """Take notice that all entry hosts have reported the grants they hold."""
        self._fleet.recovery.end()
        return self._drain(now_ms)

    def forget_entry_host(self, host_id, now_ms):
        """Stop counting what a dead entry host held and had waiting."""
        for request_id in self._queue.of_entry_host(host_id):
            self._queue.remove(request_id)
        for grant_id in self._grants.of_entry_host(host_id):
            self._lose(grant_id, now_ms)
        return self._drain(now_ms)

    def set_upstreams(self, upstreams, now_ms):
        """Replace the list of upstreams; an empty list keeps the former one."""
        self._fleet.replace(upstreams, now_ms)
        return self._drain(now_ms)

    def observe_load(self, report, now_ms):
        """Take an upstream's load report."""
        self._fleet.observe(report, now_ms)
        return self._drain(now_ms)

    def tick(self, now_ms):
        """Refuse what waited too long; return the decisions due.

        To be called every 100 ms or so, and when ``next_due_ms`` has come.
        """
        self._grants.forget_ended(now_ms)
        self._queue.forget_idle()
        self._fleet.on_tick(self._estimate, now_ms)
        for grant_id in self._grants.past_deadline(now_ms - LOST_GRANT_MS):
            self._lose(grant_id, now_ms)
        return self._drain(now_ms)

    def next_due_ms(self):
        """Return when ``tick`` next has a decision to make, or None."""
        return self._queue.next_due_ms()

    def _admit(self, request, now_ms):
        is_retry = self._returns.take(request, now_ms)
        code = self._refusal(request, is_retry, now_ms)
        if code is ResultCode.OVERLOADED:
            return self._shedder.shed(request, code, now_ms)
        if code is not None:
            return [self._shedder.reject(request, code, now_ms)]
        decisions = self._shedder.make_room(request, now_ms)
        if any(item.request is request for item in decisions):
            return decisions
        self._order += 1
        cost_ms = self._estimate.hold_ms(request)
        wait_ms = slack_ms(request, self._estimate, now_ms)
        if is_retry:
            wait_ms = latest_start_ms(request, self._estimate) - now_ms
        due_ms = int(now_ms + max(1, wait_ms))
        turn_ms = self._fleet.tracker.sort_key_ms(now_ms, cost_ms, due_ms)
        waiting = QueuedRequest(
            request, cost_ms, turn_ms, self._order, is_retry=is_retry
        )
        self._queue.push(waiting, due_ms)
        return decisions

    def _refusal(self, request, is_retry, now_ms):
        if not self._fleet.table.serves(request.regions):
            return ResultCode.NO_UPSTREAM
        held = self._grants.of_customer(request.customer)
        held += self._queue.of_customer(request.customer)
        if held >= request.max_in_flight:
            return ResultCode.CUSTOMER_LIMIT
        if self._queue.count_above(request.tier_rank) and self._passing.may_overtake(
            request, now_ms
        ):
            return None
        if is_retry:
            return None
        if self._admission.is_shedding_above(request.tier_rank, self._queue):
            return ResultCode.OVERLOADED
        slots = self._fleet.slots(now_ms)
        return self._admission.refusal_code(
            request, self._queue, slots, self._estimate, now_ms
        )

    def _drain(self, now_ms):
        """Decide after a change that may have made room anywhere."""
        self._assigner.begin_round()
        return self._decide(now_ms)

    def _decide(self, now_ms, changed=""):
        """Decide after a change at one upstream, or at none."""
        if not len(self._queue):
            return []
        if self._fleet.table.is_evacuated():
            return self._refuse_waiting(now_ms)
        decisions = self._assigner.assign(now_ms, changed)
        return decisions + self._give_up(now_ms)

    def _refuse_waiting(self, now_ms):
        """Refuse all that waits, the lowest tier first.

        Harm prevented: all failure domains of a pool are evacuated, and callers wait to
        the end of their time for what will not come.
        """
        decisions = []
        for rank in reversed(list(self._queue.ranks)):
            while (taken := self._queue.take(rank)) is not None:
                request = taken[0].request
                code = ResultCode.NO_UPSTREAM
                decisions.append(self._shedder.reject(request, code, now_ms))
        return decisions

    def _give_up(self, now_ms):
        """Refuse the waiting requests whose time has come.

        A request that is late for its first token waits on only while nobody else
        wants its place, or while lower tiers are given places. With others of its
        tier waiting, serving late ones makes every answer late in a saturation; and
        refused while lower tiers are served, it would be shed before them.
        """
        decisions = []
        for waiting in self._queue.take_due(now_ms):
            request = waiting.request
            code = self._end_of_wait(request, now_ms)
            if code is None:
                waiting.is_late = True
                due_ms = latest_start_ms(request, self._estimate)
                due_ms = min(now_ms + LATE_REVIEW_MS, max(now_ms + 1, due_ms))
                self._queue.push(waiting, due_ms)
            else:
                decisions += self._shedder.shed(request, code, now_ms)
        return decisions

    def _end_of_wait(self, request, now_ms):
        """Return why a request whose time has come is refused, or None."""
        if request.deadline_ms <= now_ms:
            return ResultCode.DEADLINE_PASSED
        if latest_start_ms(request, self._estimate) <= now_ms:
            return ResultCode.DEADLINE_UNREACHABLE
        rank = request.tier_rank
        if self._admission.lower_tier_served(rank, now_ms):
            return None
        return ResultCode.OVERLOADED if self._queue.tier(rank).size else None

    def _lose(self, grant_id, now_ms):
        held = self._grants.get(grant_id)
        self._grants.remove(grant_id)
        if held is not None:
            self._fleet.tracker.forget(held, now_ms)
            self._policy.on_forget(held.request, held.grant.version, now_ms)

    def _learn(self, held, outcome, now_ms):
        request = held.request
        hold_ms = now_ms - held.granted_ms
        predicted_ms = self._estimate.hold_ms(request)
        self._fleet.tracker.on_outcome(held, outcome, hold_ms, predicted_ms, now_ms)
        if outcome.kind is OutcomeKind.SUCCESS:
            self._estimate.observe(request, hold_ms, outcome.first_token_ms)
        if outcome.kind not in _NOT_SENT:
            self._grants.record_ended(request.request_id, now_ms)
        grant = held.grant
        self._policy.on_outcome(
            request, grant.version, outcome, now_ms, grant.upstream_id
        )

    def _retry_after_ms(self, request, now_ms):
        slots = self._fleet.slots(now_ms)
        hold_ms = self._fleet.tracker.hold_ms(request)
        wait_ms = self._returns.wait_before_retry_ms(request, hold_ms, now_ms)
        has_rest = slots or self._fleet.table.is_evacuated()
        if has_rest and wait_ms is not None:
            return wait_ms
        return self._admission.retry_after_ms(
            request, self._queue, slots, self._estimate, now_ms
        )
