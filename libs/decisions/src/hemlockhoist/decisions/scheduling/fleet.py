"""The upstreams of a pool shard as places: listed, tracked, and in recovery."""

import statistics

from hemlockhoist.decisions.scheduling.recovery import RecoveryPhase
from hemlockhoist.decisions.scheduling.upstreams import UpstreamTable

# A grant is not called overdue by a multiple of less: a few long prompts at one
# engine make every short request there wait about as long.
MIN_EXPECTED_MS = 1_000.0
# The review walks all grants in flight, so it is made this often and not at a tick.
REVIEW_MS = 1_000


class Fleet:
    """Says which upstreams have a free place, and learns from what comes back.

    Parameters
    ==========
    grants : GrantTable
    tracks : Tracks
    """

    __slots__ = ("_grants", "_reviewed_ms", "recovery", "table", "tracks")

    def __init__(self, grants, tracks):
        self._grants = grants
        self._reviewed_ms = 0
        self.table = UpstreamTable()
        self.tracks = tracks
        self.recovery = RecoveryPhase(tracks.recovery_ms)

    def replace(self, upstreams, now_ms):
        """Take a new list; an empty one keeps the former."""
        if self.table.replace(upstreams):
            self.tracks.keep(self.table)
            self.tracks.set_usable(self.table.usable(), now_ms)

    def observe(self, report, now_ms):
        """Take an upstream's load report."""
        was_leaving = self.table.is_leaving(report.upstream_id)
        self.table.observe(report, now_ms)
        if self.table.is_leaving(report.upstream_id) != was_leaving:
            self.tracks.set_usable(self.table.usable(), now_ms)

    def free(self, now_ms):
        """Return the upstreams that may be given one more request."""
        usable = self.table.usable()
        if self.recovery.is_active(now_ms):
            return [item for item in usable if self.has_place(item, now_ms)]
        return self.tracks.with_place(usable, self._grants.in_flight, now_ms)

    def has_place(self, upstream, now_ms):
        """Return whether an upstream may be given one more request."""
        upstream_id = upstream.upstream_id
        held = self._grants.in_flight(upstream_id)
        if self.recovery.is_active(now_ms):
            report = self.table.report(upstream_id)
            held = self.recovery.held(upstream_id, held, report, now_ms)
        if held is None or held >= self.tracks.places(upstream_id, now_ms):
            return False
        return self.tracks.takes_more(upstream_id, now_ms)

    def places(self, now_ms):
        """Return the places of all upstreams that take work."""
        return self.tracks.count_places(self.table.usable(), now_ms)

    def on_grant(self, held, now_ms):
        """Count a grant that was just made."""
        upstream_id = held.grant.upstream_id
        held.in_flight_at_grant = self._grants.in_flight(upstream_id)
        self.tracks.on_grant(held, now_ms)
        self.recovery.note_grant(upstream_id, now_ms)

    def on_adopt(self, held, now_ms):
        """Let an upstream keep what a former home had granted."""
        upstream_id = held.grant.upstream_id
        track = self.tracks.get(upstream_id)
        if track is not None:
            track.limit.raise_to(self._grants.in_flight(upstream_id))
            self.tracks.on_adopt(held, now_ms)

    def review(self, estimate, now_ms):
        """Find upstreams that hold grants far longer than predicted; once a second."""
        self.tracks.review(now_ms)
        if now_ms - self._reviewed_ms < REVIEW_MS:
            return
        self._reviewed_ms = now_ms
        self.tracks.drift()
        if not estimate.known:
            return
        ratios = {}
        for held in self._grants.all_grants():
            expected_ms = held.cost_ms + held.prompt_wait_ms
            ratio = (now_ms - held.granted_ms) / max(MIN_EXPECTED_MS, expected_ms)
            ratios.setdefault(held.grant.upstream_id, []).append(ratio)
        for upstream_id, values in ratios.items():
            median = statistics.median(values)
            self.tracks.on_overdue(upstream_id, len(values), median, now_ms)
