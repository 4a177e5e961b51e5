"""Which upstreams may be used, from a list that is kept by leases."""

import collections

from hemlockhoist.decisions.work import UpstreamState

# An upstream that vanished from the list without saying that it leaves is used this
# much longer where its pool has no other. Made for an outage of the store: all entries
# lapse together, and are back within two seconds of its return. It is less than the
# time within which a removed upstream must get nothing more.
LAPSE_MS = 1_500


class UpstreamListing:
    """The upstreams of the list, and those that vanished from it lately.

    Harm prevented: the list reads as empty right after an outage, and every request is
    refused while all upstreams are well; or an upstream that was removed in earnest
    gets work after its time.
    """

    __slots__ = ("_listed", "_served", "_vanished")

    def __init__(self):
        self._listed = {}
        self._vanished = {}
        # Live upstreams of each pool, counted: asked before each send.
        self._served = collections.Counter()

    def __len__(self):
        return len(self._listed)

    def put(self, upstream):
        """Take an entry as it is now."""
        self._forget(upstream.upstream_id)
        self._listed[upstream.upstream_id] = upstream
        self._served[upstream.pool] += upstream.state is UpstreamState.LIVE
        self._vanished.pop(upstream.upstream_id, None)

    def drop(self, upstream_id, now_ms):
        """Take notice that an entry has gone."""
        upstream = self._forget(upstream_id)
        if upstream is not None and upstream.state is UpstreamState.LIVE:
            self._vanished[upstream_id] = (upstream, now_ms)

    def _forget(self, upstream_id):
        upstream = self._listed.pop(upstream_id, None)
        if upstream is not None:
            self._served[upstream.pool] -= upstream.state is UpstreamState.LIVE
        return upstream

    def replace(self, upstreams, now_ms):
        """Take a whole new list."""
        found = {item.upstream_id: item for item in upstreams}
        for upstream_id in [key for key in self._listed if key not in found]:
            self.drop(upstream_id, now_ms)
        for upstream in upstreams:
            self.put(upstream)

    def next_change_ms(self):
        """Return when a vanished upstream is given up, or None."""
        times = [at_ms + LAPSE_MS for _, at_ms in self._vanished.values()]
        return min(times, default=None)

    def usable(self, now_ms):
        """Return the upstreams that may be given work, leaving ones marked.

        Returns
        =======
        tuple of Upstream
        """
        self._vanished = {
            key: (item, at_ms)
            for key, (item, at_ms) in self._vanished.items()
            if now_ms - at_ms < LAPSE_MS
        }
        lapsed = [item for item, _ in self._vanished.values()]
        kept = [item for item in lapsed if not self._served[item.pool]]
        return (*self._listed.values(), *kept)

    def get(self, upstream_id, now_ms):
        """Return the upstream of that id where it is among the usable, or None.

        The cost does not grow with the list: this is asked before each send.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is not None:
            return upstream
        upstream, at_ms = self._vanished.get(upstream_id, (None, 0))
        if upstream is None or now_ms - at_ms >= LAPSE_MS:
            return None
        return None if self._served[upstream.pool] else upstream
