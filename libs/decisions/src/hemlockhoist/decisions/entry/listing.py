"""Usable upstreams, from a list whose entries are kept by leases."""

import collections

import msgspec

from hemlockhoist.decisions.work import UpstreamState, leaving_upstream

# An upstream that vanished from the list without announcing that it leaves is used for
# this much longer if its version has no other. This covers an outage of the store: all
# entries expire together, and are listed again within two seconds of its recovery, each
# at another moment. It is less than the time after which a removed upstream must get no
# more requests.
VANISHED_GRACE_MS = 1_500
# Removed entries that are kept with the version of their removal, so that other hosts
# can be notified. A fleet replaces some upstreams per minute.
MAX_REMOVED = 1_024


class UpstreamListing:
    """Holds the listed upstreams and those that have recently vanished from the list.

    The list is empty right after an outage of the store, and following it would refuse
    every request although all upstreams are healthy. On the other hand, an upstream
    that was really removed must get no work after its time.
    """

    __slots__ = ("_leaving", "_listed", "_live_counts", "_removed", "_vanished")

    def __init__(self):
        self._listed = {}
        # Upstreams that announced themselves that they are about to stop, with the
        # start time of the process that did.
        self._leaving = collections.OrderedDict()
        self._vanished = {}
        self._removed = collections.OrderedDict()
        # Number of live upstreams by pool and version; read before each send.
        self._live_counts = collections.Counter()

    def __len__(self):
        return len(self._listed)

    def put(self, upstream):
        """Add or update an entry, unless a newer removal of it is known."""
        if upstream.listed_version < self._removed.get(upstream.upstream_id, 0):
            return
        previous = self._listed.get(upstream.upstream_id)
        if previous is not None and previous.listed_version == upstream.listed_version:
            # The same entry read again: its cold period counts from the first reading.
            upstream = msgspec.structs.replace(
                upstream, cold_until_ms=previous.cold_until_ms
            )
        if self._leaving.get(upstream.upstream_id) == upstream.started_unix_ms:
            upstream = leaving_upstream(upstream)
        self._removed.pop(upstream.upstream_id, None)
        self._remove(upstream.upstream_id)
        self._listed[upstream.upstream_id] = upstream
        is_live = upstream.state is UpstreamState.LIVE
        self._live_counts[upstream.pool, upstream.version] += is_live
        self._vanished.pop(upstream.upstream_id, None)

    def drop(self, upstream_id, now_ms, version=0):
        """Remove an entry that is no longer in the list.

        Parameters
        ==========
        upstream_id : str
        now_ms : int
        version : int, optional
            Version of the list without the entry.
        """
        upstream = self._remove(upstream_id)
        if upstream is not None and upstream.state is UpstreamState.LIVE:
            self._vanished[upstream_id] = (upstream, now_ms)
        self._removed[upstream_id] = max(version, self._removed.get(upstream_id, 0))
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)

    def removed_version(self, upstream_id):
        """Return the list version at which an upstream was removed or leaving, or None.

        None is also returned for an upstream that was never listed on this host, as the
        host may be behind.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is not None and upstream.state is UpstreamState.LEAVING:
            return upstream.listed_version
        return self._removed.get(upstream_id)

    def announce_leaving(self, upstream_id, started_unix_ms):
        """Record an upstream's own word that it leaves; return whether that is news.

        It holds until the upstream is listed with another start, whatever the list says
        of this process: its entry may change late or never, and a request that is sent
        to it after the time that it allows is lost when it stops.

        Parameters
        ==========
        upstream_id : str
        started_unix_ms : int
            Start time of the process that announced it.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is None:
            upstream, _ = self._vanished.get(upstream_id, (None, 0))
        if upstream is None or upstream.started_unix_ms != started_unix_ms:
            return False
        if upstream.state is UpstreamState.LEAVING:
            return False
        self._leaving[upstream_id] = started_unix_ms
        self._leaving.move_to_end(upstream_id)
        if len(self._leaving) > MAX_REMOVED:
            self._leaving.popitem(last=False)
        if self._vanished.pop(upstream_id, None) is None:
            self.put(upstream)
        return True

    def announced_start(self, upstream_id):
        """Return the start time of an upstream that announced that it leaves, or None."""
        return self._leaving.get(upstream_id)

    def count_announced(self):
        """Return the number of listed upstreams that announced it, by pool."""
        return collections.Counter(
            item.pool
            for key, item in self._listed.items()
            if self._leaving.get(key) == item.started_unix_ms
        )

    def mark_removed(self, upstream_id, version, now_ms):
        """Remove an entry on another host's report; return whether it was removed.

        A host that was cut off from the store when an upstream left would otherwise
        keep granting it to hosts that know of the removal. An entry newer than their
        knowledge stays.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is None or upstream.listed_version >= version:
            return False
        self.drop(upstream_id, now_ms, version)
        return True

    def mark_cold(self, upstream_id, version, cold_until_ms):
        """Mark an upstream cold as another host reports; return whether it was marked.

        An entry as new as the other host's knowledge already contains the state.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is None or upstream.listed_version >= version:
            return False
        self._listed[upstream_id] = msgspec.structs.replace(
            upstream, cold_until_ms=max(cold_until_ms, upstream.cold_until_ms)
        )
        return True

    def _remove(self, upstream_id):
        upstream = self._listed.pop(upstream_id, None)
        if upstream is not None:
            is_live = upstream.state is UpstreamState.LIVE
            self._live_counts[upstream.pool, upstream.version] -= is_live
        return upstream

    def replace(self, upstreams, now_ms):
        """Replace the list by a complete new one."""
        found = {item.upstream_id: item for item in upstreams}
        # The list is at least as new as its newest entry.
        version = max((item.listed_version for item in upstreams), default=0)
        for upstream_id in [key for key in self._listed if key not in found]:
            self.drop(upstream_id, now_ms, version)
        for upstream in upstreams:
            self.put(upstream)

    def next_change_ms(self):
        """Return when the next vanished upstream stops being usable, or None."""
        times = [at_ms + VANISHED_GRACE_MS for _, at_ms in self._vanished.values()]
        return min(times, default=None)

    def usable(self, now_ms):
        """Return the listed upstreams and vanished ones that may still get work.

        Leaving upstreams are included, with their state.

        Returns
        =======
        tuple of Upstream
        """
        self._vanished = {
            key: (item, at_ms)
            for key, (item, at_ms) in self._vanished.items()
            if now_ms - at_ms < VANISHED_GRACE_MS
        }
        vanished = [item for item, _ in self._vanished.values()]
        kept = [item for item in vanished if not self._has_live(item)]
        return (*self._listed.values(), *kept)

    def get(self, upstream_id, now_ms):
        """Return the upstream of an id if it is among the usable ones, or None.

        Takes constant time, as it is called before each send.
        """
        upstream = self._listed.get(upstream_id)
        if upstream is not None:
            return upstream
        upstream, at_ms = self._vanished.get(upstream_id, (None, 0))
        if upstream is None or now_ms - at_ms >= VANISHED_GRACE_MS:
            return None
        return None if self._has_live(upstream) else upstream

    def _has_live(self, upstream):
        """Return whether another upstream of the same version is listed as live."""
        return self._live_counts[upstream.pool, upstream.version] > 0
