"""Upstreams that may get new work, by the platform's list and their own reports."""

from hemlockhoist.base import Property
from hemlockhoist.decisions.work import UpstreamState

# The list alone may report that an upstream leaves; hosts read it every few seconds.
LEAVING_GRACE_MS = 5_000


class UpstreamView:
    """Merges the platform's list with the reports of the upstreams.

    Leaving is final for an upstream id: a list that lags behind the upstream's own
    report does not reset it.

    Parameters
    ==========
    invariants : hemlockhoist.base.InvariantLog
    """

    __slots__ = ("_invariants", "_leaving_ms", "_upstreams")

    def __init__(self, invariants):
        self._invariants = invariants
        self._upstreams = {}
        self._leaving_ms = {}

    @classmethod
    def from_config(cls, invariants):
        """Return a view without upstreams."""
        return cls(invariants)

    def set_list(self, upstreams, now_ms):
        """Set the platform's list of ``Upstream``.

        An empty list, or None if the platform is unreachable, changes nothing: work
        still goes to the known upstreams, and one that is gone is detected by failed
        connections.
        """
        if not upstreams:
            return
        self._upstreams = {item.upstream_id: item for item in upstreams}
        for item in upstreams:
            if item.state is UpstreamState.LEAVING:
                self._leaving_ms.setdefault(item.upstream_id, now_ms)
        for upstream_id in set(self._leaving_ms) - set(self._upstreams):
            del self._leaving_ms[upstream_id]

    def on_leaving(self, upstream_id, now_ms):
        """Record an upstream's own report that it leaves, with immediate effect."""
        self._leaving_ms.setdefault(upstream_id, now_ms)

    def assignable(self):
        """Return the upstreams that may be assigned new work, by id."""
        return {
            upstream_id: item
            for upstream_id, item in self._upstreams.items()
            if upstream_id not in self._leaving_ms
        }

    def check_grant(self, upstream_id, now_ms):
        """Check the property that no leaving upstream gets new work."""
        since_ms = self._leaving_ms.get(upstream_id, now_ms)
        self._invariants.check(
            Property.LEAVING_UPSTREAM_NO_WORK,
            now_ms - since_ms <= LEAVING_GRACE_MS,
            f"upstream {upstream_id} got work {now_ms - since_ms} ms after leaving",
        )
