"""Pool, requests, and a home with a store, for the tests of this package."""

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.versions import MoveController, MoveRequest, start_move
from hemlockhoist.decisions.work import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.declarations import model

POOL = model.Pool(
    name="reservations",
    kind=model.PoolKind.SERVICE,
    stable_version="v1",
    idempotent_calls=(model.IdempotentCall(method="GET"),),
)
UNIX_MS = 1_700_000_000_000
HOUR_MS = 3_600_000


def new_row(moved_by_ms=HOUR_MS, move_id="m1"):
    order = MoveRequest(
        move_id=move_id,
        pool=POOL.name,
        from_version="v1",
        to_version="v2",
        moved_by_unix_ms=UNIX_MS + moved_by_ms,
        reason="faster search",
        author="operator",
    )
    return start_move(None, order, UNIX_MS)


def answer(total_ms=100, kind=OutcomeKind.SUCCESS):
    return Outcome(kind=kind, total_ms=total_ms)


def failed():
    return answer(kind=OutcomeKind.FAILED)


class Traffic:
    """Sends requests through one controller; ``row`` is the stored row."""

    def __init__(self, controller=None, moved_by_ms=HOUR_MS):
        self.row = new_row(moved_by_ms)
        self.now_ms = 0
        self.store_up = True
        self.fencing = 1
        self.events = []
        self.sequence = 0
        self.counts = {"v1": 0, "v2": 0}
        self.log = InvariantLog(fatal=True)
        self.controller = controller or self.new_home()

    def new_home(self, kind=MoveController, pool=POOL):
        return kind.from_config(
            pool, self.row, self.now_ms, UNIX_MS + self.now_ms, self.log
        )

    def request(self, idempotent=True, route="GET /halls", entry_host="host-1"):
        self.sequence += 1
        return WorkRequest(
            request_id=f"r{self.sequence}",
            route=route if idempotent else f"POST {route}",
            customer="c1",
            tier_rank=0,
            entry_host=entry_host,
            idempotent=idempotent,
            deadline_ms=self.now_ms + 60_000,
            first_token_by_ms=self.now_ms + 60_000,
        )

    def grant(self, request, versions=("v1", "v2"), upstream=1):
        """Issue a grant as a scheduler does and return the version, or None."""
        chosen = self.controller.candidates(request, versions, self.now_ms)
        if not chosen:
            return None
        version = chosen[0]
        upstream_id = f"{version}-{upstream}"
        self.controller.on_grant(request, version, self.now_ms, upstream_id)
        self.counts[version] += 1
        return version

    def serve(self, outcome_of, count, gap_ms=100, idempotent=True, upstreams=3):
        """Serve requests sequentially, each answered before the next one."""
        for _ in range(count):
            request = self.request(idempotent)
            upstream = self.sequence % upstreams
            version = self.grant(request, upstream=upstream)
            self.advance(gap_ms)
            if version is None:
                continue
            outcome = outcome_of(version, upstream)
            if outcome is not None:
                upstream_id = f"{version}-{upstream}"
                self.controller.on_outcome(
                    request, version, outcome, self.now_ms, upstream_id
                )

    def advance(self, ms):
        self.now_ms += ms
        self.events += self.controller.tick(self.now_ms)
        if not self.store_up:
            return
        wanted = self.controller.wanted_row(self.now_ms, self.fencing)
        if wanted is not None:
            self.row = wanted
            self.controller.observe_row(wanted, self.now_ms)

    def events_of_type(self, kind):
        return [event for event in self.events if isinstance(event, kind)]


def good(version, upstream):
    return answer()


def bad(version, upstream):
    return failed() if version == "v2" else answer()
