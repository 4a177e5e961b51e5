"""Gates, which may refuse requests before they reach a pool's scheduler."""

import math

import msgspec

from hemlockhoist.base import ResultCode


class GateRefusal(msgspec.Struct, frozen=True):
    """A refusal of a request before it reaches the scheduler.

    Parameters
    ==========
    code : ResultCode
    retry_after_ms : int
    reason : str
    """

    code: ResultCode
    retry_after_ms: int
    reason: str


class AllowAllGate:
    """A gate that admits every request to the scheduler."""

    __slots__ = ()

    def refusal(self, pool, request, now_ms):
        """Return the ``GateRefusal`` of a request, or None when it is admitted."""
        return

    def retries_left(self, pool, now_ms):
        """Return how many more retries would be admitted now."""
        return math.inf

    def on_not_run(self, pool, request, since_ms, now_ms):
        """Handle the end of a request, admitted at ``since_ms``, that did not run."""

    def on_dequeued(self, pool, request, since_ms, now_ms):
        """Handle the grant of an admitted request that was queued at ``since_ms``."""

    def retry_records(self, pool, now_ms):
        """Return what homes counted against the limit on retries.

        Returns
        =======
        tuple of RetryRecord
        """
        return ()

    def adopt_retry_records(self, pool, records, now_ms):
        """Count what other homes counted against the limit on retries."""

    def on_takeover(self, hosts, now_ms):
        """Handle the start of a home at this host, which queries ``hosts``."""

    def on_usage_report(self, host, held, now_ms):
        """Handle an entry host's report of usage under a previous home.

        Parameters
        ==========
        host : str
        held : HeldGrants
        now_ms : int
        """
