"""The queue of one pool shard under random callers, late messages and moving homes."""

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
    """Entry hosts ask one home, which may move; their messages come late or twice.

    A subclass sets ``tally``.
    """

    tally = None

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
        """A request arrives."""
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
        self._decide(self.home.submit(request, self.now_ms))

    @precondition(lambda self: self.requests)
    @rule(index=_INDEX)
    @step
    def submit_again(self, index):
        """A submit comes a second time, perhaps after its request has ended."""
        self.tally.fault("submit doubled")
        request = self.requests[-1 - index % len(self.requests)]
        self._decide(self.home.submit(request, self.now_ms))

    @precondition(lambda self: self.dispatched)
    @rule(index=_INDEX, kind=st.sampled_from([OutcomeKind.SUCCESS, OutcomeKind.FAILED]))
    @step
    def release(self, index, kind):
        """A dispatched request ends."""
        names = sorted(self.dispatched)
        grant = self.dispatched.pop(names[index % len(names)])[1]
        outcome = Outcome(kind=kind, first_token_ms=100, total_ms=1_000)
        self.released.append((grant.grant_id, outcome))
        self._decide(self.home.release(grant.grant_id, outcome, self.now_ms))

    @precondition(lambda self: self.released)
    @rule(index=_INDEX)
    @step
    def release_again(self, index):
        """A release comes a second time."""
        self.tally.fault("release doubled")
        grant_id, outcome = self.released[-1 - index % len(self.released)]
        self._decide(self.home.release(grant_id, outcome, self.now_ms))

    @rule(duration_ms=st.sampled_from([50, 400, 2_000, 9_000]))
    @step
    def advance(self, duration_ms):
        """Time passes."""
        self.now_ms += duration_ms
        self._decide(self.home.tick(self.now_ms))

    @rule(number=st.integers(0, _UPSTREAMS - 1), listed=st.booleans())
    @step
    def upstream_leaves(self, number, listed):
        """An upstream leaves, by its own word or the list's."""
        self.tally.fault("upstream leaves")
        if listed:
            self.leaving.add(number)
            self._decide(self.home.set_upstreams(self._upstreams(), self.now_ms))
            return
        report = LoadReport(
            upstream_id=f"u{number}",
            in_flight=0,
            queued=0,
            state=UpstreamState.LEAVING,
        )
        self._decide(self.home.observe_load(report, self.now_ms))

    @rule(known=st.booleans())
    @step
    def move_home(self, known):
        """Another host becomes home; the entry host reports what it holds, or dies."""
        self.tally.fault("home moved")
        self.home = self._start_home()
        self.home.begin_recovery(self.now_ms)
        if not known:
            self.tally.fault("entry host died with its grants")
            self.dispatched.clear()
        for request, grant in self.dispatched.values():
            self._decide(self.home.adopt(request, grant, self.now_ms))
        self._decide(self.home.end_recovery(self.now_ms))

    def _start_home(self):
        self.homes += 1
        home = PoolScheduler.from_config(
            _POOL, _TIERS, f"i{self.homes}", None, self.tally.invariants
        )
        self._decide(home.set_upstreams(self._upstreams(), self.now_ms))
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

    def _decide(self, decisions):
        for decision in decisions:
            if isinstance(decision, Granted):
                self._dispatch(decision.request, decision.grant)

    def _dispatch(self, request, grant):
        held = self.dispatched.get(request.request_id)
        same = held is None or held[1].grant_id == grant.grant_id
        self.tally.invariants.check(
            Property.DISPATCHED_AT_MOST_ONCE,
            same,
            f"{request.request_id} has two grants",
        )
        self.dispatched[request.request_id] = (request, grant)
