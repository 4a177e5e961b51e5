"""What is known of the upstreams of one pool shard."""

from hemlockhoist.decisions.work import UpstreamState


class UpstreamTable:
    """Upstreams from the platform's list, and what each last said of itself."""

    __slots__ = ("_leaving", "_reports", "_upstreams", "_usable")

    def __init__(self):
        self._usable = None
        self._upstreams = {}
        self._reports = {}
        self._leaving = {}

    def __len__(self):
        return len(self._upstreams)

    def __iter__(self):
        return iter(self._upstreams.values())

    def get(self, upstream_id):
        """Return the upstream, or None where the list has it no more."""
        return self._upstreams.get(upstream_id)

    def replace(self, upstreams):
        """Take a new list; return whether it was taken.

        An empty list keeps the former one. The list lags and its service has
        outages; one that reads as empty shows as every request of the pool refused
        at once, while its upstreams are well. If they are truly gone, connecting
        fails before a byte is sent, which refuses the same requests truthfully.
        """
        if not upstreams and self._upstreams:
            return False
        self._usable = None
        self._upstreams = {item.upstream_id: item for item in upstreams}
        self._reports = _only(self._reports, self._upstreams)
        self._leaving = _only(self._leaving, self._upstreams)
        return True

    def observe(self, report, now_ms):
        """Take an upstream's load report, unless a later one was seen."""
        measured_ms = now_ms - report.age_ms
        former = self._reports.get(report.upstream_id)
        if former is not None and measured_ms < former[0]:
            return
        self._reports[report.upstream_id] = (measured_ms, report)
        self._usable = None
        if report.state is UpstreamState.LEAVING:
            self._leaving[report.upstream_id] = measured_ms
        else:
            self._leaving.pop(report.upstream_id, None)

    def report(self, upstream_id):
        """Return when the last report was measured and the report, or None."""
        return self._reports.get(upstream_id)

    def is_leaving(self, upstream_id):
        """Return whether it gets nothing more: the list, an operator, or it says so."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            return True
        return upstream_id in self._leaving

    def evacuated_domains(self):
        """Return the failure domains of evacuated upstreams, in order."""
        return sorted(
            {
                item.failure_domain
                for item in self._upstreams.values()
                if item.state is UpstreamState.EVACUATED
            }
        )

    def is_evacuated(self):
        """Return whether evacuations leave no upstream that may be given work."""
        return not self.usable() and bool(self.evacuated_domains())

    def serves(self, regions):
        """Return whether any upstream of some regions may be given work.

        Parameters
        ==========
        regions : tuple of str
            Empty for anywhere.
        """
        if not regions:
            return bool(self.usable())
        return any(item.region in regions for item in self.usable())

    def usable(self):
        """Return the upstreams that are not leaving.

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


def _only(mapping, kept):
    return {key: value for key, value in mapping.items() if key in kept}
