"""Version moves that operators order through a row of the store."""

import collections
import enum
import itertools

import msgspec

from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.versions import MoveState
from hemlockhoist.decisions.work import UpstreamState


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a pool's requests to a version.

    Parameters
    ==========
    order_id : str
        Unique for each order of a pool, and the same on all hosts.
    pool, to_version : str
    duration_ms : int
        Time within which the move must be complete.
    """

    order_id: str
    pool: str
    to_version: str
    duration_ms: int


class MoveOrderState(enum.Enum):
    """The state of an order as reported to operators."""

    IN_PROGRESS = "in progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


def live_versions(upstreams, pool):
    """Return the number of upstreams of each version of a pool, without leaving ones.

    Upstreams of an evacuated failure domain count: their version is still deployed.

    Parameters
    ==========
    upstreams : iterable of Upstream
    pool : str

    Returns
    =======
    collections.Counter
    """
    return collections.Counter(
        item.version
        for item in upstreams
        if item.pool == pool and item.state is not UpstreamState.LEAVING
    )


def source_version(order, counts):
    """Return the version that an order moves away from, or "" if there is none.

    This is the version of most upstreams besides the ordered one: a few upstreams of a
    third version may be left over from a release.

    Parameters
    ==========
    order : MoveOrder
    counts : mapping of str to int
        As returned by ``live_versions``.
    """
    others = {name: n for name, n in counts.items() if name != order.to_version}
    return max(others, key=lambda name: (others[name], name), default="")


def order_state(row, old_in_flight):
    """Return the state of an order to report to operators.

    An order is reported as completed only when the last request on the old version has
    ended: operators stop its upstreams on that report, and answers in progress there
    would be lost.

    Parameters
    ==========
    row : hemlockhoist.decisions.versions.Move
    old_in_flight : int
        Number of requests in flight on the old version's upstreams.
    """
    if row.state is MoveState.FINISHED:
        return MoveOrderState.IN_PROGRESS if old_in_flight else MoveOrderState.COMPLETED
    if row.state is MoveState.RUNNING:
        return MoveOrderState.IN_PROGRESS
    return MoveOrderState.ROLLED_BACK


class WithheldVersionPolicy(VersionPolicy):
    """Lets versions serve that were released, but none whose ordered move has not begun.

    The new version's upstreams are listed together with the order, while the home needs
    some store calls before the move begins, and a host that decides alone may not have
    learned of the order at all. Without a move in progress every version may serve, and
    a bad one would get its full share of the requests.

    The row of a move stays when its versions are gone. Failure prevented: operators
    release a further version without an order, and it gets no request for good, as only
    the version of the last move may serve.

    Parameters
    ==========
    controller : MoveController
    order_of : callable
        ``order_of()`` returns the pool's current ``MoveOrder``, or None if there is
        none or no other version is left: the row of an order carried out long ago
        remains in the store.
    live_versions_of : callable, optional
        ``live_versions_of()`` returns the number of the pool's upstreams by version.
    """

    __slots__ = ("_live_versions_of", "_order_of", "controller")

    def __init__(self, controller, order_of, live_versions_of=collections.Counter):
        self.controller = controller
        self._order_of = order_of
        self._live_versions_of = live_versions_of

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve a request, in order of preference."""
        order, row = self._order_of(), self.controller.row
        if row is None or self.controller.is_over:
            found = self.controller.candidates(request, versions, now_ms)
            if row is not None:
                found += self._released(row, versions)
        else:
            found = self._candidates_beside_trial(request, row, versions, now_ms)
        if order is None or (row is not None and row.move_id == order.order_id):
            return found
        return tuple(item for item in found if item != order.to_version)

    def _candidates_beside_trial(self, request, row, versions, now_ms):
        """Return the candidates while a version is on trial.

        Failure prevented: a release replaces the old version's upstreams, or those of
        both versions, while the move goes on. It has no end then, and requests would
        be refused for good beside idle upstreams.
        """
        old = row.from_version
        stand_ins = self._stand_ins(row, versions)
        known = (old, *versions) if stand_ins else versions
        found = self.controller.candidates(request, known, now_ms)
        if not stand_ins:
            return found
        expanded = (stand_ins if item == old else (item,) for item in found)
        return tuple(itertools.chain.from_iterable(expanded))

    def _stand_ins(self, row, versions):
        """Return the released versions that serve as no old upstream is free."""
        if row.from_version in versions:
            return ()
        return tuple(item for item in versions if item != row.to_version)

    def _released(self, row, versions):
        """Return the versions that were released since a move has ended.

        Among them is the one that it moved away from, once the other one is gone.
        """
        moved = (row.from_version, row.to_version)
        found = tuple(item for item in versions if item not in moved)
        if row.state is not MoveState.FINISHED or row.from_version not in versions:
            return found
        is_gone = not self._live_versions_of()[row.to_version]
        return (*found, row.from_version) if is_gone else found

    def on_grant(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a version."""
        version = self._counted_version(version)
        self.controller.on_grant(request, version, now_ms, upstream_id)

    def on_adopt(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a previous home that is still in flight."""
        version = self._counted_version(version)
        self.controller.on_adopt(request, version, now_ms, upstream_id)

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Record the outcome of a granted request as evidence."""
        version = self._counted_version(version)
        self.controller.on_outcome(request, version, outcome, now_ms, upstream_id)

    def on_forget(self, request, version, now_ms):
        """Stop counting a grant whose outcome will not be reported."""
        self.controller.on_forget(request, self._counted_version(version), now_ms)

    def _counted_version(self, version):
        """Return the version as which a move counts one: all but the new are the old.

        A trial version's share is one of all requests, whichever version serves the
        others.
        """
        row = self.controller.row
        if row is None or version == row.to_version:
            return version
        return row.from_version
