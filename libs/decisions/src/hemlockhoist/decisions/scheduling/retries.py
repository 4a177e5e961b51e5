"""Whether a request that was not sent may be tried on another upstream."""

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.work import OutcomeKind

# Only where not one byte of the request can have left: anything else may have run.
RETRYABLE = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.NOT_SENT})
# Retries over requests. Made for a failure domain that goes dark while the list still
# shows it: without a budget each request tries one dead upstream after the other, and
# connects multiply just when the rest of the pool is short of places. A tenth covers
# single upstreams that restart.
RETRY_RATIO = 0.1
# Retries a quiet host may still make, so that one bad upstream among few does not
# refuse the few requests there are.
MIN_RETRIES_PER_S = 1.0
# Budget that may be saved up. More would let a burst of retries through.
MAX_BUDGET = 10.0
# Dispatch attempts of one request, the first included.
MAX_ATTEMPTS = 3


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    One for each pool and entry host.

    Examples
    ========
    >>> from hemlockhoist.decisions import OutcomeKind
    >>> from hemlockhoist.decisions.scheduling.retries import RetryBudget
    >>> budget = RetryBudget()
    >>> budget.take(OutcomeKind.CONNECT_FAILED, attempts=1, now_ms=0)
    True
    >>> budget.take(OutcomeKind.BROKE_OFF, attempts=1, now_ms=0)
    False
    """

    __slots__ = ("_at_ms", "_tokens", "refused")

    def __init__(self):
        self._tokens = MAX_BUDGET
        self._at_ms = 0
        self.refused = 0

    def on_request(self):
        """Count a request that a caller sent."""
        self._tokens = min(MAX_BUDGET, self._tokens + RETRY_RATIO)

    def take(self, kind, attempts, now_ms):
        """Return whether a request may be tried again, and count it if so.

        Parameters
        ==========
        kind : hemlockhoist.decisions.OutcomeKind
            How the last attempt ended.
        attempts : int
            Made so far.
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
