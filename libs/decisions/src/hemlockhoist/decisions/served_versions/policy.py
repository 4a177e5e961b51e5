"""The version policy of a pool whose versions are ordered and released."""

import itertools

from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.served_versions.presence import PoolPresence
from hemlockhoist.decisions.served_versions.roles import VersionRole, VersionRoles


class ServedVersionPolicy(VersionPolicy):
    """Lets the versions of a pool serve by what is recorded of each.

    A version that is ordered gets nothing until its move has begun: its upstreams are
    listed together with the order, while the home needs some store calls for the begin,
    and a host that decides alone may not have learned of the order at all.

    While a move goes on, what the old version serves is served by any version that was
    released beside it where no upstream of the old one is free. Failure prevented: a
    release replaces the old version's upstreams, or those of both versions, and
    requests are refused for good beside idle upstreams.

    Parameters
    ==========
    controller : MoveController
    order_of : callable
        ``order_of()`` returns the pool's latest ``MoveOrder``, or None.
    presence_of : callable, optional
        ``presence_of()`` returns the ``PoolPresence``.
    """

    __slots__ = ("_order_of", "_presence_of", "controller")

    def __init__(self, controller, order_of, presence_of=PoolPresence):
        self.controller = controller
        self._order_of = order_of
        self._presence_of = presence_of

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve a request, in order of preference."""
        row = self.controller.row
        roles = VersionRoles(row, self._order_of(), self._presence_of())
        serving = self._serving(roles, versions)
        trial = roles.trial_version
        if trial is None:
            return serving
        new = (trial,) if trial in versions else ()
        return self._beside_trial(request, row, serving, new, now_ms)

    def _serving(self, roles, versions):
        """Return the versions that serve without a share, the recorded one first.

        Those that a move has replaced serve again once no other is left.
        """
        serving = [x for x in versions if roles.of(x) is VersionRole.SERVING]
        if roles.recorded_version in serving:
            serving.remove(roles.recorded_version)
            serving.insert(0, roles.recorded_version)
        if serving or roles.serving() or roles.may_return():
            return tuple(serving)
        return tuple(x for x in versions if roles.of(x) is VersionRole.REPLACED)

    def _beside_trial(self, request, row, serving, trial, now_ms):
        old = (row.from_version,) if serving else ()
        found = self.controller.candidates(request, (*old, *trial), now_ms)
        # Others serve for the old version where that is not free.
        stand_ins = serving[:1] if row.from_version in serving else serving
        expanded = (
            stand_ins if item == row.from_version else (item,) for item in found
        )
        return tuple(itertools.chain.from_iterable(expanded))

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
