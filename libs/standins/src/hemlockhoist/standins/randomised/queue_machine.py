"""Random tests of a pool's queue: requests, repeated messages and home changes."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from hemlockhoist.base import Property
from hemlockhoist.decisions.scheduling import PoolScheduler
from hemlockhoist.decisions.work import (
    Granted,
    LoadReport,
    Outcome,
    OutcomeKind,
    Upstream,
    UpstreamState,
    WorkRequest,
)
from hemlockhoist.declarations import Pool, PoolKind, Tier
from hemlockhoist.standins.randomised.machine import step

QUEUE_PROPERTIES = (
    Property.DISPATCHED_AT_MOST_ONCE,
    Property.TIER_ORDER,
    Property.LEAVING_UPSTREAM_NO_WORK,
)
_UPSTREAMS = 3
_INDEX = st.integers(0, 7)
_POOL = Pool(
    name="hall", kind=PoolKind.MODEL, stable_version="1", max_in_flight_per_upstream=2
)
_TIERS = tuple(
    Tier(
        name=f"t{rank}",
        rank=rank,
        deadline_ms=20_000,
        first_token_target_ms=2_000,
        max_queued=4,
    )
    for rank in range(3)
)


class QueueMachine(RuleBasedStateMachine):
    """Entry hosts send requests to one home, which may move; messages may be repeated.

    A subclass sets ``tally``, and may set ``reserves_retries``. The steps that a seed gives depend on the alphabetical
    order of the names of rules and of their arguments.
    """

    tally = None
    reserves_retries = False

    def __init__(self):
        super().__init__()
        self.tally.begin_example()
        self.now_ms = 0
        self.homes = 0
        self.requests = []
        self.dispatched = {}
        self.released = []
        self.leaving = set()
        self.home = self._start_home()

    @rule(rank=st.integers(0, 2), customer=st.integers(0, 2))
    @step
    def submit(self, rank, customer):
        """Submit a new request."""
        request = WorkRequest(
            request_id=f"r{len(self.requests)}",
            route="/v1/chat/completions",
            customer=f"c{customer}",
            tier_rank=rank,
            output_tokens=50,
            deadline_ms=self.now_ms + 20_000,
            first_token_by_ms=self.now_ms + 2_000,
            entry_host="h0",
        )
        self.requests.append(request)
        self._apply_decisions(self.home.submit(request, self.now_ms))

    @precondition(lambda self: self.requests)
    @rule(index=_INDEX)
    @step
    def submit_again(self, index):
        """Submit a request again, possibly after it has ended."""
        self.tally.fault("submit duplicated")
        request = self.requests[-1 - index % len(self.requests)]
        self._apply_decisions(self.home.submit(request, self.now_ms))

    @precondition(lambda self: self.dispatched)
    @rule(index=_INDEX, kind=st.sampled_from([OutcomeKind.SUCCESS, OutcomeKind.FAILED]))
    @step
    def release(self, index, kind):
        """End a dispatched request and release its grant."""
        names = sorted(self.dispatched)
        grant = self.dispatched.pop(names[index % len(names)])[1]
        outcome = Outcome(kind=kind, first_token_ms=100, total_ms=1_000)
        self.released.append((grant.grant_id, outcome))
        self._apply_decisions(self.home.release(grant.grant_id, outcome, self.now_ms))

    @precondition(lambda self: self.released)
    @rule(index=_INDEX)
    @step
    def release_again(self, index):
        """Release a grant a second time."""
        self.tally.fault("release duplicated")
        grant_id, outcome = self.released[-1 - index % len(self.released)]
        self._apply_decisions(self.home.release(grant_id, outcome, self.now_ms))

    @rule(duration_ms=st.sampled_from([50, 400, 2_000, 9_000]))
    @step
    def advance(self, duration_ms):
        """Advance the clock and tick the home."""
        self.now_ms += duration_ms
        self._apply_decisions(self.home.tick(self.now_ms))

    @rule(number=st.integers(0, _UPSTREAMS - 1), listed=st.booleans())
    @step
    def upstream_leaves(self, number, listed):
        """Mark an upstream as leaving, in the list or by its own load report."""
        self.tally.fault("upstream leaving")
        if listed:
            self.leaving.add(number)
            self._apply_decisions(
                self.home.set_upstreams(self._upstreams(), self.now_ms)
            )
            return
        report = LoadReport(
            upstream_id=f"u{number}",
            in_flight=0,
            queued=0,
            state=UpstreamState.LEAVING,
        )
        self._apply_decisions(self.home.observe_load(report, self.now_ms))

    @rule(known=st.booleans())
    @step
    def move_home(self, known):
        """Start a new home; the entry host reports its grants to it, or is gone."""
        self.tally.fault("home moved")
        self.home = self._start_home()
        self.home.begin_recovery(self.now_ms)
        if not known:
            self.tally.fault("entry host died while holding grants")
            self.dispatched.clear()
        for request, grant in self.dispatched.values():
            self._apply_decisions(self.home.adopt(request, grant, self.now_ms))
        self._apply_decisions(self.home.end_recovery(self.now_ms))

    def _start_home(self):
        self.homes += 1
        home = PoolScheduler.from_config(
            _POOL,
            _TIERS,
            f"i{self.homes}",
            None,
            self.tally.invariants,
            reserves_retries=self.reserves_retries,
        )
        self._apply_decisions(home.set_upstreams(self._upstreams(), self.now_ms))
        return home

    def _upstreams(self):
        states = {True: UpstreamState.LEAVING, False: UpstreamState.LIVE}
        return [
            Upstream(
                upstream_id=f"u{number}",
                pool="hall",
                version="1",
                address="",
                state=states[number in self.leaving],
            )
            for number in range(_UPSTREAMS)
        ]

    def _apply_decisions(self, decisions):
        for decision in decisions:
            if isinstance(decision, Granted):
                self._record_dispatch(decision.request, decision.grant)

    def _record_dispatch(self, request, grant):
        held = self.dispatched.get(request.request_id)
        same = held is None or held[1].grant_id == grant.grant_id
        self.tally.invariants.check(
            Property.DISPATCHED_AT_MOST_ONCE,
            same,
            f"{request.request_id} has two grants",
        )
        self.dispatched[request.request_id] = (request, grant)


class ReservingQueueMachine(QueueMachine):
    """The same with capacity reserved for retries of refused requests."""

    reserves_retries = True
