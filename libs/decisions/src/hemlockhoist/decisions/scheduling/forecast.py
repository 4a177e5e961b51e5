"""What the scheduler of a pool shard expects: capacity, waits, and times to retry."""

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.scheduling.admission import PoolCapacity

# Refusals for lack of slots; capacity does not help against the others.
_FOR_LACK_OF_SLOTS = frozenset(
    {
        ResultCode.OVERLOADED,
        ResultCode.DISPLACED,
        ResultCode.DEADLINE_UNREACHABLE,
    }
)


class Forecast:
    """Predicts the waits of new and refused requests from the state of a shard.

    Parameters
    ==========
    queue : RequestQueue
    upstreams : ShardUpstreams
    admission : Admission
    estimate : ServiceEstimate
    client_retries : ClientRetries
    """

    __slots__ = ("_admission", "_client_retries", "_estimate", "_queue", "_upstreams")

    def __init__(self, queue, upstreams, admission, estimate, client_retries):
        self._queue = queue
        self._upstreams = upstreams
        self._admission = admission
        self._estimate = estimate
        self._client_retries = client_retries

    def refusal_code(self, request, now_ms):
        """Return the code with which a new request is refused, or None to admit it."""
        capacity = self._capacity(request, now_ms)
        return self._admission.refusal_code(
            request, self._queue, capacity, self._estimate, now_ms
        )

    def wait_ms(self, request, now_ms):
        """Return how long a new request is expected to wait for a slot."""
        capacity = self._capacity(request, now_ms)
        return self._admission.wait_ms(request, self._queue, capacity, now_ms)

    def late_review_ms(self, request, now_ms):
        """Return the time to the next review of a late request, or None to refuse it."""
        capacity = self._capacity(request, now_ms)
        return self._admission.late_review_ms(
            request, self._queue, capacity, self._estimate, now_ms
        )

    def refuse(self, request, code, now_ms):
        """Return when a refused request should be retried, and what is reserved.

        Returns
        =======
        tuple of (int, float)
            Time from now, and the predicted work for which capacity is reserved at that
            time; 0 if none is.
        """
        retries = self._client_retries
        capacity = self._capacity(request, now_ms)
        if retries.reserves and code in _FOR_LACK_OF_SLOTS and capacity.slots > 0:
            cost_ms = self._estimate.hold_ms(request)
            wait_ms = self._admission.wait_ms(request, self._queue, capacity, now_ms)
            slots = self._admission.slots_left(request.tier_rank, capacity, now_ms)
            return retries.reserve(
                request, cost_ms, wait_ms * slots, slots, capacity.slots, now_ms
            )
        retry_after_ms = self._retry_after_ms(request, capacity, now_ms)
        retries.record_refusal(request, retry_after_ms, now_ms)
        return retry_after_ms, 0.0

    def _retry_after_ms(self, request, capacity, now_ms):
        hold_ms = self._upstreams.tracker.hold_ms(request)
        wait_ms = self._client_retries.wait_before_retry_ms(request, hold_ms, now_ms)
        has_upstreams = capacity.slots or self._upstreams.table.is_evacuated()
        if has_upstreams and wait_ms is not None:
            return max(wait_ms, capacity.start_wait_ms)
        return self._admission.retry_after_ms(
            request, self._queue, capacity, self._estimate, now_ms
        )

    def _capacity(self, request, now_ms):
        return PoolCapacity(
            self._upstreams.slots(now_ms),
            self._upstreams.start_wait_ms(request.entry_host, now_ms),
        )
