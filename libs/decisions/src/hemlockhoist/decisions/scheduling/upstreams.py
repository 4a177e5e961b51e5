"""The table of the listed upstreams of one pool shard and their load reports."""

from hemlockhoist.decisions.work import UpstreamState


class UpstreamTable:
    """Upstreams from the platform's list, with the latest load report of each."""

    __slots__ = ("_leaving", "_leaving_ids", "_reports", "_upstreams", "_usable")

    def __init__(self):
        # Computed when needed, and dropped with each change of the upstreams.
        self._usable = None
        self._leaving_ids = None
        self._upstreams = {}
        self._reports = {}
        self._leaving = {}

    def __len__(self):
        return len(self._upstreams)

    def __iter__(self):
        return iter(self._upstreams.values())

    def get(self, upstream_id):
        """Return the upstream, or None if it is not listed."""
        return self._upstreams.get(upstream_id)

    def replace(self, upstreams):
        """Replace the list of upstreams; return whether it was replaced.

        An empty list is ignored if there was one with upstreams. The list lags and its
        service has outages, and a list that wrongly reads as empty would refuse all
        requests of a pool whose upstreams are healthy. If the upstreams are really
        gone, connecting fails before a byte is sent, and the same requests are refused
        for that reason.
        """
        if not upstreams and self._upstreams:
            return False
        self._usable = self._leaving_ids = None
        self._upstreams = {item.upstream_id: item for item in upstreams}
        self._reports = _retain(self._reports, self._upstreams)
        self._leaving = _retain(self._leaving, self._upstreams)
        return True

    def observe(self, report, now_ms):
        """Record an upstream's load report, unless it is older than the latest one."""
        measured_ms = now_ms - report.age_ms
        previous = self._reports.get(report.upstream_id)
        if previous is not None and measured_ms < previous[0]:
            return
        self._reports[report.upstream_id] = (measured_ms, report)
        self._usable = self._leaving_ids = None
        if report.state is UpstreamState.LEAVING:
            self._leaving[report.upstream_id] = measured_ms
        else:
            self._leaving.pop(report.upstream_id, None)

    def report(self, upstream_id):
        """Return the latest report as ``(measured_ms, report)``, or None."""
        return self._reports.get(upstream_id)

    def is_leaving(self, upstream_id):
        """Return whether an upstream gets no new work.

        The list, an operator's evacuation or its own load report may say so.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            return True
        return upstream_id in self._leaving

    def leaving(self):
        """Return the sorted ids of the upstreams that leave.

        Returns
        =======
        tuple of str
        """
        if self._leaving_ids is None:
            self._leaving_ids = tuple(
                sorted(
                    item.upstream_id
                    for item in self._upstreams.values()
                    if item.state is UpstreamState.LEAVING
                    or item.upstream_id in self._leaving
                )
            )
        return self._leaving_ids

    def evacuated_domains(self):
        """Return the sorted failure domains of evacuated upstreams."""
        return sorted(
            {
                item.failure_domain
                for item in self._upstreams.values()
                if item.state is UpstreamState.EVACUATED
            }
        )

    def is_evacuated(self):
        """Return whether no upstream is usable and some are evacuated."""
        return not self.usable() and bool(self.evacuated_domains())

    def serves(self, regions):
        """Return whether any upstream of the given regions is usable.

        Parameters
        ==========
        regions : tuple of str
            Empty for any region.
        """
        if not regions:
            return bool(self.usable())
        return any(item.region in regions for item in self.usable())

    def usable(self):
        """Return the upstreams that are neither leaving nor evacuated.

        Returns
        =======
        tuple of Upstream
        """
        if self._usable is None:
            self._usable = tuple(
                item
                for item in self._upstreams.values()
                if item.state is UpstreamState.LIVE
                and item.upstream_id not in self._leaving
            )
        return self._usable


def _retain(mapping, listed):
    return {key: value for key, value in mapping.items() if key in listed}
