"""The upstreams of a pool shard and their free slots, also during recovery."""

import itertools
import statistics

import msgspec

from hemlockhoist.decisions.scheduling.connect_failures import ConnectFailures
from hemlockhoist.decisions.scheduling.flap_damping import FlapDamping
from hemlockhoist.decisions.scheduling.host_back_offs import HostBackOffs
from hemlockhoist.decisions.scheduling.recovery import RecoveryPhase
from hemlockhoist.decisions.scheduling.silent_upstreams import SilentUpstreams
from hemlockhoist.decisions.scheduling.upstreams import UpstreamTable
from hemlockhoist.decisions.work import OutcomeKind

# Lower bound of the expected time that overdue ratios are computed from: behind a few
# long prompts, every short request at an engine waits about this long.
MIN_EXPECTED_MS = 1_000.0
# The check for overdue grants iterates over all grants in flight, so it runs at this
# interval instead of at each tick.
OVERDUE_CHECK_INTERVAL_MS = 1_000
# Outcomes of a request that its host passed on to its upstream.
_REACHED = frozenset({OutcomeKind.SUCCESS, OutcomeKind.FAILED})


class HeldBack(msgspec.Struct, frozen=True):
    """Upstreams with a free slot that are not to be sent a request now.

    Parameters
    ==========
    limited : tuple of str
        Those whose advertised limits are used up.
    backed_off : tuple of str
        Those that want no requests from the entry host.
    suspended : tuple of str
        Those that get no requests for a while, as connections to them failed or they
        turned requests away.
    brittle : tuple of str
        Those that would fail if they had to turn it away.
    flapping : tuple of str
        Those that are suppressed, as they went down and came back repeatedly.
    """

    limited: tuple[str, ...] = ()
    backed_off: tuple[str, ...] = ()
    suspended: tuple[str, ...] = ()
    brittle: tuple[str, ...] = ()
    flapping: tuple[str, ...] = ()

    def __str__(self):
        parts = []
        if self.limited:
            parts.append(f"limited {','.join(self.limited)}")
        if self.backed_off:
            parts.append(f"backed off {','.join(self.backed_off)}")
        if self.suspended:
            parts.append(f"suspended {','.join(self.suspended)}")
        if self.brittle:
            parts.append(f"brittle {','.join(self.brittle)}")
        if self.flapping:
            parts.append(f"flapping {','.join(self.flapping)}")
        return " ".join(parts)


class ShardUpstreams:
    """Finds the upstreams with a free slot, and updates what is known of them.

    Parameters
    ==========
    grants : GrantTable
    tracker : UpstreamTracker
    damping : FlapDamping, optional
        Suppresses upstreams that go down and come back; by default none.
    """

    __slots__ = (
        "_connect_failures",
        "_grants",
        "_overdue_checked_ms",
        "_silent",
        "_undamped",
        "back_offs",
        "damping",
        "recovery",
        "table",
        "tracker",
    )

    def __init__(self, grants, tracker, damping=None):
        self._grants = grants
        self.damping = damping or FlapDamping()
        self.damping.is_suspended = tracker.is_suspended
        # The suppressed upstreams and the usable ones that were last compared, and the
        # usable ones that are not suppressed.
        self._undamped = (frozenset(), (), ())
        self._connect_failures = ConnectFailures()
        self._overdue_checked_ms = 0
        self._silent = SilentUpstreams()
        self.back_offs = HostBackOffs()
        self.table = UpstreamTable()
        self.tracker = tracker
        self.recovery = RecoveryPhase(tracker.recovery_ms)

    def replace(self, upstreams, now_ms):
        """Replace the list of upstreams; an empty list is ignored."""
        if self.table.replace(upstreams):
            self.tracker.set_listed(self.table, now_ms)
            self.back_offs.set_listed(self.table, now_ms)
            self._silent.set_listed(self.table, now_ms)
            self.tracker.set_usable(self.table.usable(), now_ms)
            self.damping.set_listed(self.table, self.table.usable(), now_ms)

    def observe(self, report, now_ms):
        """Record an upstream's load report."""
        was_leaving = self.table.is_leaving(report.upstream_id)
        self.table.observe(report, now_ms)
        if self.table.is_leaving(report.upstream_id) != was_leaving:
            self.tracker.set_usable(self.table.usable(), now_ms)
            self.damping.set_usable(self.table.usable(), now_ms)

    def free_upstreams(self, now_ms):
        """Return the upstreams that may be assigned one more request."""
        usable = self.table.usable()
        if self.recovery.is_active(now_ms):
            free = [item for item in usable if self.has_free_slot(item, now_ms)]
        else:
            in_flight = self._grants.in_flight
            free = self.tracker.with_free_slot(usable, in_flight, now_ms)
        return self.damping.available(free, now_ms)

    def free_for(self, request, free, now_ms):
        """Return the free upstreams for a request that some may have refused.

        If all that are not suppressed refuse this request, or requests of its host, it
        is the suppressed one with the lowest penalty.

        Hot path: called for each request, mostly while no upstream has a penalty.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        free : list of hemlockhoist.decisions.Upstream
            As of ``free_upstreams``.
        now_ms : int
        """
        if not self.is_refused_elsewhere(request, now_ms):
            return free
        backed_off = self.back_offs.backed_off_from(request.entry_host, now_ms)
        for item in self.damping.last_resort(request, backed_off, now_ms):
            if self.has_free_slot(item, now_ms):
                return [item]
        return free

    def is_refused_elsewhere(self, request, now_ms):
        """Return whether only suppressed upstreams are left for a request."""
        if not self.damping.any_penalty:
            return False
        backed_off = self.back_offs.backed_off_from(request.entry_host, now_ms)
        return self.damping.is_refused_elsewhere(request, backed_off, now_ms)

    def has_free_slot(self, upstream, now_ms):
        """Return whether an upstream may be assigned one more request."""
        upstream_id = upstream.upstream_id
        held = self._grants.in_flight(upstream_id)
        if self.recovery.is_active(now_ms):
            report = self.table.report(upstream_id)
            held = self.recovery.assumed_in_flight(upstream_id, held, report, now_ms)
        if held is None or held >= self.tracker.slots(upstream_id, now_ms):
            return False
        return self.tracker.accepts_more(upstream_id, now_ms)

    def has_spare_slot(self, free, reserved_slots, now_ms):
        """Return whether one of the free slots is neither reserved nor the last one.

        Parameters
        ==========
        free : iterable of hemlockhoist.decisions.Upstream
            Those with a free slot.
        reserved_slots : int
        now_ms : int
        """
        spare_count = -reserved_slots
        for item in free:
            slots = self.tracker.slots(item.upstream_id, now_ms)
            spare_count += slots - self._grants.in_flight(item.upstream_id)
            if spare_count > 1:
                return True
        return False

    def slots(self, now_ms):
        """Return the number of slots of all usable upstreams."""
        usable = self.table.usable()
        self.damping.ensure_usable(now_ms)
        suppressed = self.damping.suppressed(now_ms)
        if suppressed:
            usable = self._without_suppressed(usable, suppressed)
        return self.tracker.count_slots(usable, now_ms)

    def _without_suppressed(self, usable, suppressed):
        """Return the upstreams that are not suppressed, as the same tuple each time."""
        known = self._undamped
        if known[0] != suppressed or known[1] is not usable:
            kept = tuple(i for i in usable if i.upstream_id not in suppressed)
            self._undamped = known = (suppressed, usable, kept)
        return known[2]

    def backed_off_or_suppressed(self, host, now_ms):
        """Return the upstreams for which a host's requests need not wait.

        They want no requests from the host, or are suppressed.
        """
        backed_off = self.back_offs.backed_off_from(host, now_ms)
        suppressed = self.damping.suppressed(now_ms)
        return suppressed.union(backed_off) if suppressed else backed_off

    def on_back_off(self, upstream_id, host, until_ms, now_ms):
        """Record that an upstream wants no requests from a host until a time.

        An upstream that sheds its load asks each host in turn. If each had to find out
        by itself, it would turn away a request of every host again and again, and some
        callers would be refused after two such upstreams. So it gets single requests of
        the other hosts, at growing intervals, until one succeeds.
        """
        if until_ms > now_ms and not self.back_offs.wait_ms(upstream_id, host, now_ms):
            self.tracker.on_turned_away(upstream_id, now_ms)
        self.back_offs.record(upstream_id, host, until_ms)

    def attributed(self, held, outcome, estimate, now_ms):
        """Return an outcome as it counts for or against its upstream.

        Its kind is changed if the links of its host are at fault, or if a hedge
        overtook it at an upstream that sends nothing.

        Parameters
        ==========
        held : InFlightGrant
        outcome : hemlockhoist.decisions.Outcome
        estimate : ServiceEstimate
        now_ms : int
        """
        host, upstream_id = held.request.entry_host, held.grant.upstream_id
        if outcome.kind in _REACHED:
            self._on_reached(host, upstream_id, outcome.relay, now_ms)
        if outcome.is_overtaken and self._is_timed_out(held, outcome, estimate, now_ms):
            return msgspec.structs.replace(outcome, kind=OutcomeKind.TIMEOUT)
        if outcome.kind is not OutcomeKind.CONNECT_FAILED:
            return outcome
        if outcome.is_misdirected:
            self._connect_failures.record_misdirected(host)
            return outcome
        is_blamed = self._connect_failures.record(
            host, upstream_id, now_ms, bool(outcome.relay)
        )
        for retracted in self._connect_failures.take_retracted():
            self.tracker.on_reachable(retracted, now_ms)
            self.damping.retract(retracted, now_ms)
        if is_blamed:
            return outcome
        return msgspec.structs.replace(outcome, kind=OutcomeKind.LINK_FAILED)

    def _is_timed_out(self, held, outcome, estimate, now_ms):
        """Return whether an attempt that a hedge overtook counts as timed out."""
        upstream_id = held.grant.upstream_id
        if self.tracker.get(upstream_id) is None:
            return False
        usual_ms = self.tracker.usual_first_ms(held, estimate)
        return self._silent.record_overtaken(
            upstream_id, held.granted_ms, outcome.total_ms, usual_ms, now_ms
        )

    def record_stability(self, held, outcome, now_ms):
        """Record what the outcome of a grant says about whether its upstream is up.

        Parameters
        ==========
        held : InFlightGrant
        outcome : hemlockhoist.decisions.Outcome
            As attributed to the upstream.
        now_ms : int
        """
        if not self.damping.is_enabled:
            return
        host, upstream_id = held.request.entry_host, held.grant.upstream_id
        if not self.trusts_failures_of(host):
            self.damping.retract_reports_of(host, now_ms)
            return
        upstream = self.damping.known_upstream(upstream_id)
        if upstream is None:
            return
        if outcome.kind in _REACHED:
            self.damping.record_served(upstream_id, now_ms, held.granted_ms)
        elif outcome.kind is OutcomeKind.CONNECT_FAILED:
            self.damping.record_loss(upstream, now_ms, host)
        elif outcome.kind is OutcomeKind.BROKE_OFF and outcome.is_crash_suspect:
            # It took the request, so it was up since.
            self.damping.record_served(upstream_id, held.granted_ms)
            self.damping.record_loss(upstream, now_ms, host)

    def trusts_failures_of(self, host):
        """Return whether a host's failed connections count against upstreams."""
        return self._connect_failures.is_credible(host)

    def on_first_token(self, held, first_token_ms, now_ms, relay=""):
        """Record the time to first token of an answer that is still in progress."""
        host, upstream_id = held.request.entry_host, held.grant.upstream_id
        self._on_reached(host, upstream_id, relay, now_ms)
        if self.damping.is_enabled:
            self.damping.record_served(upstream_id, now_ms, held.granted_ms)
        self.tracker.on_first_token(held, first_token_ms, now_ms)

    def on_reachable(self, upstream_id, now_ms):
        """Record that a host reaches an upstream to which another could not connect."""
        self._connect_failures.record_reached("", upstream_id)
        self.tracker.on_reachable(upstream_id, now_ms)

    def _on_reached(self, host, upstream_id, relay, now_ms):
        self._silent.record_answer(upstream_id, now_ms)
        self._connect_failures.record_reached("" if relay else host, upstream_id)

    def forget_host(self, host):
        """Forget what is known of a host that is gone."""
        self.back_offs.forget_host(host)
        self._connect_failures.forget_host(host)

    def start_wait_ms(self, host, now_ms):
        """Return after how long any upstream takes the next request of a host.

        It is 0 as long as any usable upstream neither advertises a limit nor wants no
        requests from the host.
        """
        if not self.tracker.any_limited and not self.back_offs.any_recorded:
            return 0
        wait_ms = None
        for item in self.table.usable():
            item_ms = self._item_wait_ms(item.upstream_id, host, now_ms)
            if not item_ms:
                return 0
            wait_ms = item_ms if wait_ms is None else min(wait_ms, item_ms)
        return wait_ms or 0

    def _item_wait_ms(self, upstream_id, host, now_ms):
        return max(
            self.tracker.limit_wait_ms(upstream_id, now_ms),
            self.back_offs.wait_ms(upstream_id, host, now_ms),
        )

    def all_limited(self):
        """Return whether all usable upstreams advertise a limit, and there are any."""
        if not self.tracker.any_limited:
            return False
        usable = self.table.usable()
        is_limited = self.tracker.is_limited
        return bool(usable) and all(is_limited(item.upstream_id) for item in usable)

    def held_back(self, host, now_ms, max_count):
        """Return the upstreams with a free slot that a host's requests may not use.

        Parameters
        ==========
        host : str
        now_ms : int
        max_count : int
            Bound on the number of upstreams for each cause, of which there may be
            hundreds.

        Returns
        =======
        HeldBack
        """
        limited = backed_off = ()
        if self.tracker.any_limited:
            found = self._with_unused_slot(self.tracker.limit_wait_ms, now_ms)
            limited = tuple(itertools.islice(found, max_count))
        if self.back_offs.any_recorded:

            def wait_ms(upstream_id, now_ms):
                return self.back_offs.wait_ms(upstream_id, host, now_ms)

            found = self._with_unused_slot(wait_ms, now_ms)
            backed_off = tuple(itertools.islice(found, max_count))
        suspended = (
            item.upstream_id
            for item in self.table.usable()
            if self.tracker.is_suspended(item.upstream_id, now_ms)
        )
        suspended = tuple(itertools.islice(suspended, max_count))
        brittle = itertools.islice(self._brittle_without_room(now_ms), max_count)
        flapping = itertools.islice(self._flapping(now_ms), max_count)
        return HeldBack(limited, backed_off, suspended, tuple(brittle), tuple(flapping))

    def _flapping(self, now_ms):
        """Yield the suppressed upstreams with a free slot."""
        suppressed = self.damping.suppressed(now_ms)
        for item in self.table.usable() if suppressed else ():
            if item.upstream_id in suppressed and self.has_free_slot(item, now_ms):
                yield item.upstream_id

    def _brittle_without_room(self, now_ms):
        """Yield the brittle upstreams that get no request in spite of a free slot."""
        if not self.tracker.any_brittle:
            return
        for item in self.table.usable():
            upstream_id = item.upstream_id
            if not self.tracker.is_brittle(upstream_id):
                continue
            has_slot = self._grants.in_flight(upstream_id) < item.slot_count
            if has_slot and not self.has_free_slot(item, now_ms):
                yield upstream_id

    def _with_unused_slot(self, wait_ms, now_ms):
        """Yield the upstreams with a free slot whose ``wait_ms`` is not 0."""
        for item in self.table.usable():
            upstream_id = item.upstream_id
            if not wait_ms(upstream_id, now_ms):
                continue
            held = self._grants.in_flight(upstream_id)
            if held < self.tracker.slots(upstream_id, now_ms):
                yield upstream_id

    def on_grant(self, held, now_ms):
        """Record a grant that was just issued."""
        upstream_id = held.grant.upstream_id
        held.in_flight_at_grant = self._grants.in_flight(upstream_id)
        self.tracker.on_grant(held, now_ms)
        self.damping.record_grant(upstream_id, now_ms)
        self.recovery.record_grant(upstream_id, now_ms)

    def on_adopt(self, held, now_ms):
        """Record a grant that a previous home issued, raising the limit to hold it."""
        upstream_id = held.grant.upstream_id
        tracked = self.tracker.get(upstream_id)
        if tracked is not None:
            tracked.limit.raise_to(self._grants.in_flight(upstream_id))
            self.tracker.on_adopt(held, now_ms)

    def on_tick(self, estimate, now_ms):
        """Update time-dependent state; check for overdue grants once a second.

        An upstream whose grants are held far longer than predicted may be ejected.
        """
        self.tracker.on_tick(now_ms)
        self.damping.on_tick(now_ms)
        if now_ms - self._overdue_checked_ms < OVERDUE_CHECK_INTERVAL_MS:
            return
        self._overdue_checked_ms = now_ms
        self.back_offs.forget_passed(now_ms)
        self.tracker.drift()
        if not estimate.has_samples:
            return
        ratios = {}
        for held in self._grants.all_grants():
            expected_ms = held.cost_ms + held.prompt_wait_ms
            ratio = (now_ms - held.granted_ms) / max(MIN_EXPECTED_MS, expected_ms)
            ratios.setdefault(held.grant.upstream_id, []).append(ratio)
        for upstream_id, values in ratios.items():
            median = statistics.median(values)
            self.tracker.on_overdue(upstream_id, len(values), median, now_ms)
