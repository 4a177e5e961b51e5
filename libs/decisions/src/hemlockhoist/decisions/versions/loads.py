"""Load of each version's upstreams, measured by the rate of this home's grants.

The number of requests in flight is not used: it also rises when answers become slow, so
a slow version would be compared with the old one at a load caused by its own slowness.
"""

import math

# Time constant of the exponentially decaying count of grants: long enough for a stable
# count, short enough to detect a burst while its answers arrive.
WINDOW_MS = 4_000
# An upstream without a grant for this long is no longer counted.
_FORGET_AFTER_MS = 60_000


class _VersionLoad:
    """Recent grants of one version and the upstreams that got them."""

    __slots__ = ("at_ms", "grants", "upstreams")

    def __init__(self):
        self.at_ms = 0
        self.grants = 0.0
        self.upstreams = {}

    def grants_at(self, now_ms):
        """Return the exponentially decayed count of grants at a time."""
        return self.grants * math.exp((self.at_ms - now_ms) / WINDOW_MS)


class VersionLoads:
    """Recent grants per upstream of each version."""

    __slots__ = ("_by_version",)

    def __init__(self):
        self._by_version = {}

    def count_grant(self, version, upstream_id, now_ms):
        """Count a grant on an upstream of the version."""
        found = self._by_version.get(version)
        if found is None:
            found = self._by_version[version] = _VersionLoad()
        found.grants = found.grants_at(now_ms) + 1
        found.at_ms = now_ms
        found.upstreams[upstream_id] = now_ms

    def load(self, version, now_ms):
        """Return the grants per upstream in about the last four seconds."""
        found = self._by_version.get(version)
        if found is None:
            return 0.0
        return found.grants_at(now_ms) / max(1, len(found.upstreams))

    def forget_idle(self, now_ms):
        """Remove upstreams that have had no grant for a minute."""
        for found in self._by_version.values():
            idle = [
                upstream_id
                for upstream_id, granted_ms in found.upstreams.items()
                if now_ms - granted_ms > _FORGET_AFTER_MS
            ]
            for upstream_id in idle:
                del found.upstreams[upstream_id]
