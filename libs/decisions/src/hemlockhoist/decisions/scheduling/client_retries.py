"""Recognition of refused requests that clients retry after the stated time."""

import collections

from hemlockhoist.decisions.scheduling.admission import MIN_RETRY_AFTER_MS

# A client retries after at most this fraction of its remaining time, whatever
# Retry-After says.
RETRY_WAIT_FRACTION = 1 / 3
# A retried request waits for a slot once more and may get a slow upstream: this many
# times the usual answer time is reserved for it.
ANSWER_TIME_FACTOR = 3.0
# Message delays and client clocks make the time of a retry inexact by about this.
EARLY_TOLERANCE_MS = 100
# How long after the stated time a request still counts as a retry.
LATE_TOLERANCE_MS = 2_000
# Bound on the number of remembered refusals, for a burst that is refused as a whole.
MAX_REMEMBERED = 10_000


class ClientRetries:
    """Recognises requests that are retried after a refusal.

    Bursts can outlast the time that a caller can wait. A client retries once: a request
    that is refused a second time has waited in vain, whereas a new one can still be
    retried. Retrying before the stated time gains nothing.

    A retry has a new request id, so it is recognised by route, customer and size. A
    request without a size cannot be distinguished from others.

    Attributes
    ==========
    client_retry_count : int
        Number of requests that were retried after the stated time.
    """

    __slots__ = ("_due", "client_retry_count")
    # Whether capacity is reserved for retries, as ``RetryReservations`` does.
    reserves = False

    def __init__(self):
        self._due = collections.OrderedDict()
        self.client_retry_count = 0

    def record_refusal(self, request, retry_after_ms, now_ms):
        """Record a refused request."""
        if not request.prompt_tokens:
            return
        self._forget_expired(now_ms)
        key = retry_key(request)
        self._due[key] = now_ms + retry_after_ms
        self._due.move_to_end(key)
        if len(self._due) > MAX_REMEMBERED:
            self._due.popitem(last=False)

    def wait_before_retry_ms(self, request, hold_ms, now_ms):
        """Return after how long a refused request should be retried.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        hold_ms : float or None
            How long its answer takes at a typical upstream; None where unknown.
        now_ms : int

        Returns
        =======
        int or None
            None where the time is to be computed from the queue.
        """
        if hold_ms is None:
            return None
        return longest_retry_wait_ms(request, hold_ms, now_ms)

    def claim(self, request, now_ms, cost_ms=0.0):
        """Return whether a request is a retry made after the stated time, once.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        now_ms : int
        cost_ms : float, optional
            Predicted time for which it will hold a slot; only used where capacity is
            reserved.
        """
        due_ms = self._due.get(retry_key(request))
        if due_ms is None or now_ms < due_ms - EARLY_TOLERANCE_MS:
            return False
        del self._due[retry_key(request)]
        is_retry = now_ms <= due_ms + LATE_TOLERANCE_MS
        self.client_retry_count += is_retry
        return is_retry

    def has_reservation(self, request):
        """Return False: no capacity is reserved."""
        return False

    def reserved_slots(self, hold_ms, now_ms):
        """Return 0: no capacity is reserved."""
        return 0

    def _forget_expired(self, now_ms):
        while self._due:
            key, due_ms = next(iter(self._due.items()))
            if now_ms <= due_ms + LATE_TOLERANCE_MS:
                return
            del self._due[key]


def longest_retry_wait_ms(request, hold_ms, now_ms):
    """Return the longest useful wait before a refused request is retried.

    In a burst of some seconds, a client that retries sooner is refused again by the
    same burst. The wait is the longest that a client accepts and that leaves enough
    time before the deadline for a whole answer.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    hold_ms : float
        How long its answer takes at a typical upstream.
    now_ms : int
    """
    return int(
        max(MIN_RETRY_AFTER_MS, accepted_retry_wait_ms(request, hold_ms, now_ms))
    )


def accepted_retry_wait_ms(request, hold_ms, now_ms):
    """Return the wait that a client accepts and that leaves time for a whole answer.

    No retry comes in time if it is less than ``MIN_RETRY_AFTER_MS``, also negative.
    Parameters as of ``longest_retry_wait_ms``.
    """
    left_ms = request.deadline_ms - now_ms
    spare_ms = left_ms - ANSWER_TIME_FACTOR * hold_ms
    return min(RETRY_WAIT_FRACTION * left_ms, spare_ms)


def retry_key(request):
    """Return the customer, route and size by which a retry is recognised.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest or hemlockhoist.messages.AnnouncedRetry
    """
    return (
        request.customer,
        request.route,
        request.prompt_tokens,
        request.output_tokens,
    )
