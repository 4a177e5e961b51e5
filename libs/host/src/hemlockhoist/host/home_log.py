"""The log lines and counters of what a pool's home decides."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import RETRIES_ALLOWED

_log = get_logger("host.home")


class HomeLog:
    """Logs the decisions of one pool's home, and the changes of its state.

    Parameters
    ==========
    pool : str
    metrics : Metrics
    """

    __slots__ = ("_metrics", "_pool")

    def __init__(self, pool, metrics):
        self._pool = pool
        self._metrics = metrics

    def on_started(self, asked_count):
        """Log that this host is the home, and how many hosts it has asked."""
        _log.info("home_started", pool=self._pool, asked=asked_count)

    def on_ready(self, recovered_ms):
        """Log that all hosts have reported the grants that they hold."""
        _log.info("home_ready", pool=self._pool, recovered_ms=recovered_ms)

    def on_closed(self, new_home):
        """Log that another host is the home."""
        _log.info("home_closed", pool=self._pool, new_home=new_home)

    def on_retry_charged(self, request, left, home_ms):
        """Log and count a retry that was charged to the fleet's limit.

        Parameters
        ==========
        request : WorkRequest
        left : float
            Number of further retries that would be admitted now.
        home_ms : int
            How long this host has been the home.
        """
        self._metrics.count(RETRIES_ALLOWED, self._pool)
        _log.info(
            "retry_charged",
            request=request.request_id,
            pool=self._pool,
            arrival=request.arrival_number,
            run=request.run_number,
            hedge=request.is_hedge,
            left=left,
            home_started_ms_ago=home_ms,
        )

    def on_queued(self, request, queued_count, granted_count, held_back):
        """Log that a request waits, and which upstreams are held back from it."""
        _log.info(
            "request_queued",
            request=request.request_id,
            pool=self._pool,
            tier=request.tier_rank,
            queued=queued_count,
            granted=granted_count,
            held_back=held_back,
        )

    def on_granted(self, decision, queued_count, granted_count):
        """Log the grant of a request that has waited."""
        _log.info(
            "place_granted",
            request=decision.grant.request_id,
            pool=self._pool,
            tier=decision.request.tier_rank,
            upstream=decision.grant.upstream_id,
            version=decision.grant.version,
            queued=queued_count,
            granted=granted_count,
        )
