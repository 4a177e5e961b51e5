"""Table of the lanes of a move: one for each route and kind of call."""

from hemlockhoist.decisions.versions.lane import Lane
from hemlockhoist.decisions.versions.move import FULL_PERMILLE, MoveState

# Routes beyond this many lanes share one lane for each kind of call. This bounds
# memory, whatever paths callers request.
MAX_LANES = 64
OTHER_ROUTES = "(other routes)"


class LaneTable:
    """Lanes by route and kind of call, with the shares in the row of the move.

    Parameters
    ==========
    row : Move
    rules : hemlockhoist.declarations.VersionRules
    now_ms : int
    """

    __slots__ = ("_lanes", "_row", "_rules")

    def __init__(self, row, rules, now_ms):
        self._row = row
        self._rules = rules
        self._lanes = {}
        self._add_listed_lanes(now_ms)

    def __iter__(self):
        return iter(self._lanes.values())

    def __len__(self):
        return len(self._lanes)

    def get(self, request, now_ms):
        """Return the lane of a request."""
        key = (request.route, request.idempotent)
        lane = self._lanes.get(key)
        if lane is not None:
            return lane
        if len(self._lanes) >= MAX_LANES:
            key = (OTHER_ROUTES, request.idempotent)
        return self._lanes.get(key) or self._add_lane(key, now_ms)

    def _add_lane(self, key, now_ms):
        lane = self._lanes[key] = Lane(*key, self._rules, now_ms)
        lane.set_share(self._share_in_row(lane), now_ms)
        return lane

    def _add_listed_lanes(self, now_ms):
        """Create the lanes that the row lists.

        Failure prevented: a new home gets only non-idempotent calls at first, and
        assumes that the pool has no idempotent ones. It would send those calls to a
        version that was not tested on idempotent ones, and finish the move by the lanes
        it has seen.
        """
        for share in self._row.lanes:
            key = (share.route, share.idempotent)
            if key not in self._lanes:
                self._add_lane(key, now_ms)

    def apply_row(self, row, now_ms):
        """Apply the shares of a later row and return the lanes whose share grew."""
        self._row = row
        if row.state is MoveState.RUNNING:
            self._add_listed_lanes(now_ms)
        widened = []
        for lane in self:
            share = self._share_in_row(lane)
            if share > lane.share_permille:
                widened.append(lane)
            unproven = share <= self._rules.unproven_share_permille
            lane.set_share(share, now_ms, keep_evidence=unproven)
        return widened

    def clear(self):
        """Remove all lanes and their evidence."""
        self._lanes.clear()

    def _share_in_row(self, lane):
        row = self._row
        if row.state is not MoveState.RUNNING:
            return FULL_PERMILLE if row.state is MoveState.FINISHED else 0
        for share in row.lanes:
            if (share.route, share.idempotent) == lane.key:
                return share.share_permille
        is_deferred = self._rules.non_idempotent_last and not lane.idempotent
        return 0 if is_deferred else self._rules.first_share_permille
