"""Drives a scheduler into generated states, and compares states."""

import io
import pickle
import types

from hypothesis import strategies as st

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions import LoadReport, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.scheduling import (
    ColdStartLimit,
    DeclaredSlotsTracker,
    PoolScheduler,
    Warmup,
)
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.versions import MoveController, MoveRequest, start_move
from hemlockhoist.decisions.work import Granted, UpstreamState
from hemlockhoist.declarations import Pool, PoolKind, Tier

TARGET_MS = 2_000
NAMES = tuple(f"u{number}" for number in range(4))
REGIONS = ("north", "south")
KINDS = tuple(OutcomeKind)
STATES = (UpstreamState.LIVE, UpstreamState.LEAVING, UpstreamState.EVACUATED)

POOL = Pool(
    name="halls",
    kind=PoolKind.MODEL,
    stable_version="v1",
    max_in_flight_per_upstream=2,
)
TIERS = tuple(
    Tier(
        name=f"t{rank}",
        rank=rank,
        deadline_ms=10_000,
        first_token_target_ms=TARGET_MS,
        max_queued=4,
    )
    for rank in range(3)
)


class _Pickler(pickle.Pickler):
    """Writes functions by their names, as those without a module can't be pickled."""

    def reducer_override(self, value):
        if isinstance(value, types.FunctionType):
            return str, (value.__qualname__,)
        return NotImplemented


def state_of(scheduler):
    """Return all state of a scheduler as bytes, which are equal for equal states.

    Independent of ``StateCopy``, so that a fault there can't hide here.
    """
    file = io.BytesIO()
    _Pickler(file).dump(scheduler)
    return file.getvalue()


def new_upstream(number, state=UpstreamState.LIVE, slot_count=2, started_unix_ms=1):
    return Upstream(
        upstream_id=NAMES[number],
        pool=POOL.name,
        version="v2" if number == 3 else "v1",
        address=f"127.0.0.1:{number + 1}",
        failure_domain="ab"[number % 2],
        region=REGIONS[number % 2],
        state=state,
        slot_count=slot_count,
        started_unix_ms=started_unix_ms,
    )


def request_fields():
    """Return a strategy of the fields of a request."""
    return st.fixed_dictionaries(
        {
            "rank": st.integers(0, 2),
            "customer": st.sampled_from(("aulas", "port", "college")),
            "prompt_tokens": st.sampled_from((0, 64, 600, 4_000)),
            "output_tokens": st.sampled_from((0, 20, 400)),
            "idempotent": st.booleans(),
            "regions": st.sampled_from(((), (), ("north",), ("nowhere",))),
            "entry_host": st.sampled_from(("host-1", "host-2")),
            "failure_domain": st.sampled_from(("a", "b")),
            "max_in_flight": st.sampled_from((100, 100, 3)),
            "prefix": st.sampled_from(((), (1,), (1, 2), (3,))),
            "max_gap_ms": st.sampled_from((0, 300)),
            "deadline_in_ms": st.sampled_from((500, 3_000, 10_000)),
            "waits": st.booleans(),
        }
    )


def build_request(fields, now_ms):
    """Return the request with generated fields that arrives at a time."""
    fields = dict(fields)
    prefix, waits = fields.pop("prefix"), fields.pop("waits")
    deadline_in_ms = fields.pop("deadline_in_ms")
    return b.request(
        now_ms=now_ms,
        prefix_hashes=prefix,
        prefix_tokens=tuple(300 for _ in prefix),
        deadline_ms=now_ms + deadline_in_ms,
        first_token_by_ms=now_ms + min(TARGET_MS, deadline_in_ms),
        waits_until_ms=now_ms + deadline_in_ms // 2 if waits else None,
        **fields,
    )


def steps():
    """Return a strategy of steps, each a name with its values."""
    name = st.integers(0, len(NAMES) - 1)
    submit = st.tuples(st.just("submit"), request_fields())
    release = st.tuples(
        st.just("release"),
        st.integers(0, 30),
        st.sampled_from(KINDS + (OutcomeKind.SUCCESS,) * 8),
        st.booleans(),
    )
    return st.lists(
        st.one_of(
            submit,
            submit,
            submit,
            release,
            release,
            st.tuples(st.just("burst"), st.integers(2, 12), request_fields()),
            st.tuples(st.just("burst"), st.integers(2, 12), request_fields()),
            st.tuples(st.just("flap"), name),
            st.tuples(st.just("first"), st.integers(0, 30)),
            st.tuples(st.just("pass"), st.sampled_from((1, 7, 40, 300, 1_500))),
            st.tuples(st.just("tick")),
            st.tuples(st.just("slow"), name, st.sampled_from((60, 100, 250))),
            st.tuples(st.just("limit"), name, st.sampled_from((0.5, 5.0))),
            st.tuples(st.just("brittle"), name, st.sampled_from((0.5, 5.0))),
            st.tuples(st.just("back_off"), name, st.sampled_from((100, 5_000))),
            st.tuples(st.just("state"), name, st.sampled_from(STATES)),
            st.tuples(st.just("load"), name, st.booleans()),
            st.tuples(st.just("restart"), name),
            st.tuples(st.just("take_over")),
        ),
        max_size=40,
    )


class SchedulerDriver:
    """Applies generated steps to a scheduler.

    Parameters
    ==========
    has_declared_slots, has_move, reserves_retries : bool
        Which of the trackers and version policies it has, and whether it reserves
        capacity for client retries.
    """

    def __init__(self, has_declared_slots, has_move, reserves_retries):
        tracker = None
        if has_declared_slots:
            limit = ColdStartLimit(cold_ms=2_000, requests_per_s=2.0)
            tracker = DeclaredSlotsTracker(8_000, Warmup(lambda: limit))
        self.now_ms = 1_000
        self.states = dict.fromkeys(range(len(NAMES)), UpstreamState.LIVE)
        self.started = dict.fromkeys(range(len(NAMES)), 1)
        self.grants = []
        self.scheduler = PoolScheduler.from_config(
            POOL,
            TIERS,
            "i",
            self._policy() if has_move else VersionPolicy(),
            InvariantLog(fatal=True),
            tracker,
            reserves_retries=reserves_retries,
            max_suppressed_ms=3_000,
        )
        self._list()

    def _policy(self):
        order = MoveRequest(
            move_id="move",
            pool=POOL.name,
            from_version="v1",
            to_version="v2",
            moved_by_unix_ms=10_000_000,
            reason="r",
            author="a",
        )
        row = start_move(None, order, self.now_ms)
        return MoveController.from_config(POOL, row, self.now_ms, self.now_ms)

    def _list(self):
        listed = [
            new_upstream(number, state, started_unix_ms=self.started[number])
            for number, state in self.states.items()
        ]
        self._take(self.scheduler.set_upstreams(listed, self.now_ms))

    def _take(self, decisions):
        self.grants += [item.grant for item in decisions if isinstance(item, Granted)]
        return decisions

    def submit(self, request):
        """Submit a request; return the decisions."""
        return self._take(self.scheduler.submit(request, self.now_ms))

    def apply(self, step):
        """Apply one step."""
        getattr(self, f"_{step[0]}")(*step[1:])

    def _submit(self, fields):
        self.submit(build_request(fields, self.now_ms))

    def _burst(self, count, fields):
        """Submit requests without a region or a limit of their customer."""
        fields = fields | {"regions": (), "max_in_flight": 100}
        for _ in range(count):
            self._submit(fields)

    def _flap(self, number):
        """Let an upstream answer, and then refuse a connection, twice."""
        for _ in range(2):
            for kind in (OutcomeKind.SUCCESS, OutcomeKind.CONNECT_FAILED):
                self.now_ms += 400
                held = [
                    item for item in self.grants if item.upstream_id == NAMES[number]
                ]
                if held:
                    self._release(self.grants.index(held[0]), kind, False)

    def _release(self, number, kind, is_crash):
        if not self.grants:
            return
        grant = self.grants.pop(number % len(self.grants))
        outcome = Outcome(
            kind=kind,
            first_token_ms=40,
            total_ms=200,
            output_tokens=20,
            is_crash_suspect=is_crash,
        )
        self._take(self.scheduler.release(grant.grant_id, outcome, self.now_ms))

    def _first(self, number):
        if self.grants:
            grant = self.grants[number % len(self.grants)]
            scheduler = self.scheduler
            self._take(scheduler.observe_first_token(grant.grant_id, 50, self.now_ms))

    def _pass(self, passed_ms):
        self.now_ms += passed_ms

    def _tick(self):
        self._take(self.scheduler.tick(self.now_ms))

    def _slow(self, number, percent):
        name, now_ms = NAMES[number], self.now_ms
        self.scheduler.observe_slowdown(name, percent, now_ms, now_ms)

    def _limit(self, number, per_s):
        now_ms = self.now_ms
        self.scheduler.observe_limit(NAMES[number], per_s, now_ms, now_ms)

    def _brittle(self, number, per_s):
        now_ms = self.now_ms
        self.scheduler.observe_brittle(NAMES[number], per_s, now_ms, now_ms)

    def _back_off(self, number, for_ms):
        until_ms = self.now_ms + for_ms
        self.scheduler.observe_back_off(NAMES[number], "host-1", until_ms, self.now_ms)

    def _load(self, number, is_leaving):
        state = UpstreamState.LEAVING if is_leaving else UpstreamState.LIVE
        report = LoadReport(
            upstream_id=NAMES[number], in_flight=1, queued=0, state=state
        )
        self._take(self.scheduler.observe_load(report, self.now_ms))

    def _state(self, number, state):
        self.states[number] = state
        self._list()

    def _restart(self, number):
        self.started[number] += 1
        self._list()

    def _take_over(self):
        self._take(self.scheduler.begin_recovery(self.now_ms))
