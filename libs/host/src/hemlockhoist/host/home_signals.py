"""What upstreams said about themselves to entry hosts, as their pool's home uses it."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import (
    GRANTS_HELD_BACK,
    UPSTREAMS_RELEASED,
    UPSTREAMS_SUPPRESSED,
)
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.messages import NO_LIMIT

_log = get_logger("host.home")

# Number of upstreams that a log line names.
MAX_NAMED = 5
# Values of the label of metrics: an upstream advertised a limit on its request rate, or
# wants no requests from the entry host for a while.
LIMIT_CAUSE = "limit"
BACK_OFF_CAUSE = "back_off"
# Connections to an upstream failed, or it turned requests away.
SUSPENSION_CAUSE = "suspension"
# An upstream fails if it has to turn too many requests away.
BRITTLE_CAUSE = "brittle"
# An upstream went down and came back repeatedly.
FLAPPING_CAUSE = "flapping"


class HomeSignals:
    """Passes what upstreams said to a pool's scheduler, and explains its effects.

    Parameters
    ==========
    pool : str
    scheduler : PoolScheduler
    clock : Clock
    metrics : Metrics
    on_leaving : callable
        ``on_leaving(upstream_id, started_unix_ms)`` is called when an upstream has
        announced to an entry host that it is about to stop.
    """

    __slots__ = (
        "_clock",
        "_distrusted_hosts",
        "_metrics",
        "_on_leaving",
        "_pool",
        "_scheduler",
        "_suppressed",
        "_suspended",
    )

    def __init__(self, pool, scheduler, clock, metrics, on_leaving):
        self._pool = pool
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._suspended = set()
        self._suppressed = frozenset()
        self._distrusted_hosts = set()

    def log_changes(self, held, kind):
        """Log what an outcome changed in the states of its upstream and of its host.

        Parameters
        ==========
        held : InFlightGrant or None
            The grant that was released, None if it was not in flight.
        kind : OutcomeKind
        """
        if held is None:
            return
        self._log_trust(held.request.entry_host)
        upstream_id = held.grant.upstream_id
        is_suspended = self._scheduler.is_suspended(upstream_id, self._clock.now_ms())
        if is_suspended and upstream_id not in self._suspended:
            self._suspended.add(upstream_id)
            self._log_suspension("upstream_suspended", held, kind)
        elif kind is OutcomeKind.SUCCESS and upstream_id in self._suspended:
            self._suspended.discard(upstream_id)
            self._log_suspension("upstream_resumed", held, kind)

    def log_suppressions(self):
        """Log and count the upstreams that are newly suppressed or released."""
        suppressed = self._scheduler.suppressed_upstreams(self._clock.now_ms())
        if suppressed == self._suppressed:
            return
        for upstream_id in sorted(suppressed - self._suppressed):
            self._metrics.count(UPSTREAMS_SUPPRESSED, self._pool)
            self._log_change("upstream_suppressed", upstream_id)
        for upstream_id in sorted(self._suppressed - suppressed):
            self._metrics.count(UPSTREAMS_RELEASED, self._pool)
            self._log_change("upstream_released", upstream_id)
        self._suppressed = suppressed

    def _log_trust(self, host):
        """Log that a host seems to have lost its links, or has them again."""
        is_trusted = self._scheduler.trusts_failures_of(host)
        if is_trusted and host in self._distrusted_hosts:
            self._distrusted_hosts.discard(host)
            _log.info("host_failures_trusted", pool=self._pool, entry_host=host)
        elif not is_trusted and host not in self._distrusted_hosts:
            self._distrusted_hosts.add(host)
            _log.warning("host_failures_distrusted", pool=self._pool, entry_host=host)

    def _log_suspension(self, event, held, kind):
        _log.info(
            event,
            pool=self._pool,
            upstream=held.grant.upstream_id,
            reported_by=held.request.entry_host,
            outcome=kind.value,
            request=held.request.request_id,
        )

    def observe(self, message, late_ms=0):
        """Record the signals in a message about a grant that is still in flight.

        Parameters
        ==========
        message : FirstToken or GrantRelease
        late_ms : int, optional
            Time since the message was sent.
        """
        held = self._scheduler.in_flight_grant(message.grant_id)
        signals = message.signals
        if held is None or signals is None:
            return
        now_ms, upstream_id = self._clock.now_ms(), held.grant.upstream_id
        if signals.limit_per_s is not None:
            self._record_limit(upstream_id, signals.limit_per_s, now_ms)
        if signals.rejections_per_s is not None:
            self._record_brittle(upstream_id, signals.rejections_per_s, now_ms)
        if signals.is_rejection:
            self._scheduler.observe_rejection(upstream_id, now_ms)
        if signals.slowdown_percent is not None:
            measured_ms = now_ms - max(0, late_ms + signals.slowdown_age_ms)
            percent = signals.slowdown_percent
            self._record_slowdown(upstream_id, percent, measured_ms)
        if signals.back_off_ms:
            host = held.request.entry_host
            self._record_back_off(upstream_id, host, signals.back_off_ms)
        if signals.leaving_started_unix_ms is not None:
            self._on_leaving(upstream_id, signals.leaving_started_unix_ms)

    def adopt(self, sender, report):
        """Record what an entry host reports to a new home.

        Parameters
        ==========
        sender : str
        report : HeldGrants
        """
        now_ms = self._clock.now_ms()
        for item in report.limits:
            heard_ms = now_ms - item.age_ms
            self._record_limit(item.upstream_id, item.per_s, heard_ms)
        for item in report.brittle:
            heard_ms = now_ms - item.age_ms
            self._record_brittle(item.upstream_id, item.per_s, heard_ms)
        for item in report.back_offs:
            self._record_back_off(item.upstream_id, sender, item.remaining_ms)

    def _record_limit(self, upstream_id, requests_per_s, heard_ms):
        now_ms, scheduler = self._clock.now_ms(), self._scheduler
        if scheduler.observe_limit(upstream_id, requests_per_s, heard_ms, now_ms):
            is_over = requests_per_s == NO_LIMIT
            event = "limit_lifted" if is_over else "limit_enforced"
            value = "" if is_over else requests_per_s
            self._log_change(event, upstream_id, requests_per_s=value)

    def _record_brittle(self, upstream_id, rejections_per_s, heard_ms):
        now_ms, scheduler = self._clock.now_ms(), self._scheduler
        if scheduler.observe_brittle(upstream_id, rejections_per_s, heard_ms, now_ms):
            is_over = rejections_per_s == NO_LIMIT
            event = "brittle_lifted" if is_over else "brittle_respected"
            value = "" if is_over else rejections_per_s
            self._log_change(event, upstream_id, rejections_per_s=value)

    def _record_slowdown(self, upstream_id, percent, measured_ms):
        """Pass a slowdown on; log the first one of an upstream.

        It changes many times a second, so each answer's is in its ``attempt_ended``.
        """
        now_ms, scheduler = self._clock.now_ms(), self._scheduler
        if scheduler.observe_slowdown(upstream_id, percent, measured_ms, now_ms):
            self._log_change("slowdown_reported", upstream_id, percent=percent)

    def _log_change(self, event, upstream_id, **values):
        _log.info(event, pool=self._pool, upstream=upstream_id, **values)

    def _record_back_off(self, upstream_id, host, back_off_ms):
        now_ms = self._clock.now_ms()
        until_ms = now_ms + back_off_ms
        self._scheduler.observe_back_off(upstream_id, host, until_ms, now_ms)

    def count_held_back(self, request):
        """Count a request that got no slot at once, by what kept free ones from it."""
        held_back = self._held_back(request, 1)
        if held_back.limited:
            self._metrics.count(GRANTS_HELD_BACK, LIMIT_CAUSE)
        if held_back.backed_off:
            self._metrics.count(GRANTS_HELD_BACK, BACK_OFF_CAUSE)
        if held_back.suspended:
            self._metrics.count(GRANTS_HELD_BACK, SUSPENSION_CAUSE)
        if held_back.brittle:
            self._metrics.count(GRANTS_HELD_BACK, BRITTLE_CAUSE)
        if held_back.flapping:
            self._metrics.count(GRANTS_HELD_BACK, FLAPPING_CAUSE)

    def held_back_text(self, request):
        """Return which upstreams have a slot that a request may not use, for logs."""
        return str(self._held_back(request, MAX_NAMED))

    def refusal_text(self, request):
        """Return what the upstreams' states contribute to a refusal, for logs."""
        evacuated = self._scheduler.evacuated_domains()
        leaving = self._scheduler.leaving_upstreams()[:MAX_NAMED]
        text = f" evacuated {','.join(evacuated)}" if evacuated else ""
        if leaving:
            text += f" leaving {','.join(leaving)}"
        held_back = self.held_back_text(request)
        return f"{text} {held_back}" if held_back else text

    def _held_back(self, request, max_count):
        now_ms = self._clock.now_ms()
        return self._scheduler.held_back(request.entry_host, now_ms, max_count)
