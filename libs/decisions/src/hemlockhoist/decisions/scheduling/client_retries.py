"""Refused requests that come back as they were told."""

import collections

from hemlockhoist.decisions.scheduling.admission import MIN_RETRY_AFTER_MS

# A caller comes back after at most this part of the time that it has left, whatever it
# is told.
RETRY_WAIT_FRACTION = 1 / 3
# A returned request waits for a place once more, and may get a slow upstream: of its time,
# this many usual answers are kept for it.
ANSWER_TIME_FACTOR = 3.0
# Messages and callers' clocks make the time of a return inexact by about this.
EARLY_TOLERANCE_MS = 100
# How long after the told time a request still counts as having come back.
LATE_TOLERANCE_MS = 2_000
# Bound on what is remembered, for a burst that is refused as a whole.
MAX_REMEMBERED = 10_000


class ClientRetries:
    """Knows a request that comes back after it was refused.

    Made for bursts that outlast what a caller can wait. A caller comes back once; one
    that is refused again has waited in vain, while a new one still has its return. A
    caller that comes back before the time that it was told gains nothing by it.

    A request has another id when it comes back, and is known by its route, customer
    and size. One without a size can not be told from others.

    Attributes
    ==========
    client_retry_count : int
        How many have come back as told.
    """

    __slots__ = ("_due", "client_retry_count")

    def __init__(self):
        self._due = collections.OrderedDict()
        self.client_retry_count = 0

    def record_refusal(self, request, retry_after_ms, now_ms):
        """Remember a refused request."""
        if not request.prompt_tokens:
            return
        self._forget(now_ms)
        key = _key(request)
        self._due[key] = now_ms + retry_after_ms
        self._due.move_to_end(key)
        if len(self._due) > MAX_REMEMBERED:
            self._due.popitem(last=False)

    def wait_before_retry_ms(self, request, hold_ms, now_ms):
        """Return after how long a refused request should come back.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        hold_ms : float or None
            How long its answer takes on a usual upstream.
        now_ms : int

        Returns
        =======
        int or None
            None where the queue is to say it.
        """
        if hold_ms is None:
            return None
        return longest_retry_wait_ms(request, hold_ms, now_ms)

    def take(self, request, now_ms):
        """Return whether a request was refused before, and has waited as told."""
        due_ms = self._due.get(_key(request))
        if due_ms is None or now_ms < due_ms - EARLY_TOLERANCE_MS:
            return False
        del self._due[_key(request)]
        is_retry = now_ms <= due_ms + LATE_TOLERANCE_MS
        self.client_retry_count += is_retry
        return is_retry

    def _forget(self, now_ms):
        while self._due:
            key, due_ms = next(iter(self._due.items()))
            if now_ms <= due_ms + LATE_TOLERANCE_MS:
                return
            del self._due[key]


def longest_retry_wait_ms(request, hold_ms, now_ms):
    """Return after how long a refused request should come back.

    Made for bursts of some seconds: who comes back sooner is refused again by the same
    burst. It is the longest time that a caller waits and that leaves enough of its own
    for a whole answer.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    hold_ms : float
        How long its answer takes on a usual upstream.
    now_ms : int
    """
    left_ms = request.deadline_ms - now_ms
    spare_ms = left_ms - ANSWER_TIME_FACTOR * hold_ms
    return int(max(MIN_RETRY_AFTER_MS, min(RETRY_WAIT_FRACTION * left_ms, spare_ms)))


def _key(request):
    return (
        request.customer,
        request.route,
        request.prompt_tokens,
        request.output_tokens,
    )
