"""Version moves that operators order by a row of the store."""

import collections
import enum

import msgspec

from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.versions import MoveState
from hemlockhoist.decisions.work import UpstreamState


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a pool's requests to a version.

    Parameters
    ==========
    order_id : str
        Differs for each order of a pool, and is the same on all hosts.
    pool, to_version : str
    duration_ms : int
        Within which it is to be over.
    """

    order_id: str
    pool: str
    to_version: str
    duration_ms: int


class OrderState(enum.Enum):
    """What operators are told of an order."""

    IN_PROGRESS = "in progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


def live_versions(upstreams, pool):
    """Return the versions of a pool's upstreams that stay, each with its count.

    Those of an evacuated failure domain stay: their version has not gone.

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
    """Return the version that an order moves away from, or "" where there is none.

    That of most live upstreams beside the ordered one: a few upstreams of a third
    version are left over from a release.

    Parameters
    ==========
    order : MoveOrder
    counts : mapping of str to int
        Of ``live_versions``.
    """
    others = {name: n for name, n in counts.items() if name != order.to_version}
    return max(others, key=lambda name: (others[name], name), default="")


def order_state(row, old_in_flight):
    """Return what to tell operators of an order.

    Harm prevented: the old version's upstreams are stopped as soon as the order is
    told to be completed, and the answers under way there are lost. So that is told
    when the last of them has ended.

    Parameters
    ==========
    row : hemlockhoist.decisions.versions.Move
    old_in_flight : int
        Requests that the old version's upstreams still have.
    """
    if row.state is MoveState.FINISHED:
        return OrderState.IN_PROGRESS if old_in_flight else OrderState.COMPLETED
    if row.state is MoveState.RUNNING:
        return OrderState.IN_PROGRESS
    return OrderState.ROLLED_BACK


class WithheldVersionPolicy(VersionPolicy):
    """Keeps a version back whose move has been ordered and has not begun.

    Failure: the new version's upstreams are listed together with the order, and the
    home needs some calls of the store before the move has begun; or a host decides
    alone and has never heard of it. Without a move every version may serve, and a bad
    one would get its full part of the requests.

    Parameters
    ==========
    controller : MoveController
    order_of : callable
        ``order_of()`` gives the pool's present ``MoveOrder``, or None where there is
        none or no other version is left: an order that was carried out long ago is
        still to be read.
    """

    __slots__ = ("_order_of", "controller")

    def __init__(self, controller, order_of):
        self.controller = controller
        self._order_of = order_of

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve a request, preferred first."""
        found = self.controller.candidates(request, versions, now_ms)
        order, row = self._order_of(), self.controller.row
        if order is None or (row is not None and row.move_id == order.order_id):
            return found
        return tuple(item for item in found if item != order.to_version)

    def on_grant(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a version."""
        self.controller.on_grant(request, version, now_ms, upstream_id)

    def on_adopt(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a former home that is still in flight."""
        self.controller.on_adopt(request, version, now_ms, upstream_id)

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Take the outcome of a granted request as evidence."""
        self.controller.on_outcome(request, version, outcome, now_ms, upstream_id)

    def on_forget(self, request, version, now_ms):
        """Stop counting a grant whose outcome nobody will report."""
        self.controller.on_forget(request, version, now_ms)
