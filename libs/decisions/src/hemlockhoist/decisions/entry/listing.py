"""Which upstreams may be used, from a list that is kept by leases."""

import collections

import msgspec

from hemlockhoist.decisions.work import UpstreamState

# An upstream that vanished from the list without saying that it leaves is used this
# much longer where its pool has no other. Made for an outage of the store: all entries
# lapse together, and are back within two seconds of its return. It is less than the
# time within which a removed upstream must get nothing more.
VANISHED_GRACE_MS = 1_500
# Entries that are gone, remembered with the version at which they went, so that others
# can be told of it. A fleet replaces some upstreams a minute.
MAX_REMOVED = 1_024


class UpstreamListing:
    """The upstreams of the list, and those that vanished from it lately.

    Harm prevented: the list reads as empty right after an outage, and every request is
    refused while all upstreams are well; or an upstream that was removed in earnest
    gets work after its time.
    """

    __slots__ = ("_left", "_listed", "_served", "_vanished")

    def __init__(self):
        self._listed = {}
        self._vanished = {}
        self._left = collections.OrderedDict()
        # Live upstreams of each pool, counted: asked before each send.
        self._served = collections.Counter()

    def __len__(self):
        return len(self._listed)

    def put(self, upstream):
        """Take an entry, unless what is known of it is newer."""
        if upstream.listed_version < self._left.get(upstream.upstream_id, 0):
            return
        former = self._listed.get(upstream.upstream_id)
        if former is not None and former.listed_version == upstream.listed_version:
            # Read again: how long it is cold counts from the first reading.
            upstream = msgspec.structs.replace(
                upstream, cold_until_ms=former.cold_until_ms
            )
        self._left.pop(upstream.upstream_id, None)
        self._forget(upstream.upstream_id)
        self._listed[upstream.upstream_id] = upstream
        self._served[upstream.pool] += upstream.state is UpstreamState.LIVE
        self._vanished.pop(upstream.upstream_id, None)

    def drop(self, upstream_id, now_ms, version=0):
        """Take notice that an entry has gone.

        Parameters
        ==========
        upstream_id : str
        now_ms : int
        version : int, optional
            Of the list without it.
        """
        upstream = self._forget(upstream_id)
        if upstream is not None and upstream.state is UpstreamState.LIVE:
            self._vanished[upstream_id] = (upstream, now_ms)
        self._left[upstream_id] = max(version, self._left.get(upstream_id, 0))
        if len(self._left) > MAX_REMOVED:
            self._left.popitem(last=False)

    def removed_version(self, upstream_id):
        """Return the version of the list at which an upstream left, or None.

        None also stands for one that was never listed here: this host may be behind.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is not None and upstream.state is UpstreamState.LEAVING:
            return upstream.listed_version
        return self._left.get(upstream_id)

    def mark_removed(self, upstream_id, version, now_ms):
        """Drop an entry that another host knows to have left; return whether it was.

        Failure: a host was cut off from the store when an upstream left, and goes on
        granting it to hosts that know better. An entry that is newer than what they
        know stays.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is None or upstream.listed_version >= version:
            return False
        self.drop(upstream_id, now_ms, version)
        return True

    def mark_cold(self, upstream_id, version, cold_until_ms):
        """Take another host's word that an upstream is cold; return whether it was.

        An entry that is as new as what the other knows says it itself.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is None or upstream.listed_version >= version:
            return False
        self._listed[upstream_id] = msgspec.structs.replace(
            upstream, cold_until_ms=max(cold_until_ms, upstream.cold_until_ms)
        )
        return True

    def _forget(self, upstream_id):
        upstream = self._listed.pop(upstream_id, None)
        if upstream is not None:
            self._served[upstream.pool] -= upstream.state is UpstreamState.LIVE
        return upstream

    def replace(self, upstreams, now_ms):
        """Take a whole new list."""
        found = {item.upstream_id: item for item in upstreams}
        # The list is at least as new as its newest entry.
        version = max((item.listed_version for item in upstreams), default=0)
        for upstream_id in [key for key in self._listed if key not in found]:
            self.drop(upstream_id, now_ms, version)
        for upstream in upstreams:
            self.put(upstream)

    def next_change_ms(self):
        """Return when a vanished upstream is given up, or None."""
        times = [at_ms + VANISHED_GRACE_MS for _, at_ms in self._vanished.values()]
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
            if now_ms - at_ms < VANISHED_GRACE_MS
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
        if upstream is None or now_ms - at_ms >= VANISHED_GRACE_MS:
            return None
        return None if self._served[upstream.pool] else upstream
