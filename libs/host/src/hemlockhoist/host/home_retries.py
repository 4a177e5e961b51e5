"""Client retries at a pool's home: their reservations in logs, metrics and reports."""

import msgspec

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.base.metrics_table import (
    CALLERS_RETRIED,
    RESERVATIONS_LAPSED,
    RESERVATIONS_MADE,
    RESERVATIONS_MOVED,
    RESERVATIONS_USED,
)
from hemlockhoist.decisions.scheduling.admission import MAX_RETRY_AFTER_MS

_log = get_logger("host.home")

# The lines about reservations are written at most this often, with counts: in a burst,
# a home refuses thousands of requests a second.
LOG_INTERVAL_MS = MS_PER_S
# Time after which a host that is gone is no longer known to have reported: no retry that
# it could report a second time is still to come.
GONE_REPORTER_TTL_MS = MAX_RETRY_AFTER_MS
_METRICS = {
    "made": RESERVATIONS_MADE,
    "used": RESERVATIONS_USED,
    "lapsed": RESERVATIONS_LAPSED,
    "moved": RESERVATIONS_MOVED,
}
_EVENTS = {
    "made": "retries_reserved",
    "used": "reservations_used",
    "lapsed": "reservations_lapsed",
    "moved": "reservations_moved",
}


class HomeRetries:
    """Counts and logs what a pool's scheduler does with client retries.

    Parameters
    ==========
    pool : str
    scheduler : PoolScheduler
    metrics : Metrics
    """

    __slots__ = (
        "_counted",
        "_logged",
        "_logged_ms",
        "_metrics",
        "_pool",
        "_reporters",
        "_retry_count",
        "_scheduler",
    )

    def __init__(self, pool, scheduler, metrics):
        self._pool = pool
        self._scheduler = scheduler
        self._metrics = metrics
        # The hosts that have reported, and when they were gone, or reported after that;
        # None for those present.
        self._reporters = {}
        self._retry_count = 0
        self._counted = self._logged = self._counts()
        self._logged_ms = None

    def _counts(self):
        reservations = self._scheduler.reservations
        return (
            {} if reservations is None else msgspec.structs.asdict(reservations.counts)
        )

    def on_submitted(self):
        """Count a request that its client retried, if the last one was one."""
        if self._scheduler.client_retry_count > self._retry_count:
            self._retry_count = self._scheduler.client_retry_count
            self._metrics.count(CALLERS_RETRIED, self._pool)

    def adopt(self, sender, report, now_ms, is_present):
        """Pass the retries that an entry host announced to its callers to the scheduler.

        Only its first report counts: requests without a size are counted and not
        identified, so a repeated report would reserve twice for them. A host that was
        gone for ``GONE_REPORTER_TTL_MS`` counts as new.

        Parameters
        ==========
        sender : str
        report : HeldGrants
        now_ms : int
        is_present : bool
            Whether the sender is not gone: its report may arrive after that is known.
        """
        reservations = self._scheduler.reservations
        if reservations is None or sender in self._reporters:
            return
        self._reporters[sender] = None if is_present else now_ms
        adopted = sum(
            reservations.adopt(item, now_ms) for item in report.announced_retries
        )
        if adopted:
            _log.info(
                "reservations_adopted",
                pool=self._pool,
                reported_by=sender,
                count=adopted,
            )

    def on_host_gone(self, host, now_ms):
        """Record that an entry host is gone."""
        if host in self._reporters:
            self._reporters[host] = now_ms

    def on_host_joined(self, host):
        """Record that an entry host is present, possibly again."""
        if host in self._reporters:
            self._reporters[host] = None

    def tick(self, now_ms):
        """Count and log the reservations made, used, lapsed and moved meanwhile."""
        self._forget_gone(now_ms)
        counts = self._counts()
        for name, count in counts.items():
            if count > self._counted[name]:
                metric = _METRICS[name]
                self._metrics.count(metric, self._pool, count - self._counted[name])
        self._counted = counts
        is_due = self._logged_ms is None or now_ms - self._logged_ms >= LOG_INTERVAL_MS
        if counts == self._logged or not is_due:
            return
        outstanding = self._scheduler.reservations.outstanding
        for name, count in counts.items():
            if count > self._logged[name]:
                _log.info(
                    _EVENTS[name],
                    pool=self._pool,
                    count=count - self._logged[name],
                    outstanding=outstanding,
                )
        self._logged = counts
        self._logged_ms = now_ms

    def _forget_gone(self, now_ms):
        before_ms = now_ms - GONE_REPORTER_TTL_MS
        for host, gone_ms in list(self._reporters.items()):
            if gone_ms is not None and gone_ms <= before_ms:
                del self._reporters[host]
