"""Budget for retries, on another upstream, of requests that were not sent."""

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.work import OutcomeKind

# Only outcomes in which no byte of the request can have been sent: after any other, the
# request may have run.
RETRYABLE = frozenset(
    {OutcomeKind.CONNECT_FAILED, OutcomeKind.LINK_FAILED, OutcomeKind.NOT_SENT}
)
# Ratio of retries to requests. When a failure domain becomes unreachable while the list
# still contains it, each request would without a budget try one dead upstream after the
# other, and connection attempts would multiply just when the rest of the pool is short
# of slots. A tenth covers single upstreams that restart.
RETRY_RATIO = 0.1
# Retries that a host with little traffic may still make, so that one failed upstream of
# a few does not cause its few requests to be refused.
MIN_RETRIES_PER_S = 1.0
# Maximum accumulated budget. A larger one would let a burst of retries through.
MAX_BUDGET = 10.0
# Maximum dispatch attempts of one request, including the first.
MAX_ATTEMPTS = 3


class RetryBudget:
    """A token bucket that is filled by requests and drained by retries.

    There is one for each pool and entry host.

    Examples
    ========
    >>> from hemlockhoist.decisions import OutcomeKind
    >>> from hemlockhoist.decisions.scheduling.retries import RetryBudget
    >>> budget = RetryBudget()
    >>> budget.acquire(OutcomeKind.CONNECT_FAILED, attempts=1, now_ms=0)
    True
    >>> budget.acquire(OutcomeKind.BROKE_OFF, attempts=1, now_ms=0)
    False
    """

    __slots__ = ("_at_ms", "_tokens", "refused")

    def __init__(self):
        self._tokens = MAX_BUDGET
        self._at_ms = 0
        self.refused = 0

    def on_request(self):
        """Credit the budget for one request from a caller."""
        self._tokens = min(MAX_BUDGET, self._tokens + RETRY_RATIO)

    def acquire(self, kind, attempts, now_ms):
        """Return whether a request may be retried, and charge the budget if so.

        Parameters
        ==========
        kind : hemlockhoist.decisions.OutcomeKind
            How the last attempt ended.
        attempts : int
            Number of attempts so far.
        now_ms : int
        """
        self._refill(now_ms)
        if kind not in RETRYABLE or attempts >= MAX_ATTEMPTS:
            return False
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms):
        passed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = max(self._at_ms, now_ms)
        gained = passed_ms * MIN_RETRIES_PER_S / MS_PER_S
        self._tokens = min(MAX_BUDGET, self._tokens + gained)
