"""Capacity that is reserved for client retries of refused requests."""

import collections
import heapq

import msgspec

from hemlockhoist.decisions.scheduling.admission import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    TierLoad,
)
from hemlockhoist.decisions.scheduling.client_retries import (
    EARLY_TOLERANCE_MS,
    LATE_TOLERANCE_MS,
    ClientRetries,
    accepted_retry_wait_ms,
    longest_retry_wait_ms,
    retry_key,
)
from hemlockhoist.decisions.scheduling.reserved_work import (
    EXPECTED_LATE_MS,
    ReservedWork,
)

# Bound on the reservations, for a burst that is refused as a whole.
MAX_RESERVATIONS = 10_000
# Time constant of the measured work of new requests. It covers the pauses between the
# requests of small pools, and is shorter than bursts.
ARRIVAL_WINDOW_MS = 2_000
# Weight of one reservation in the observed share of those that are claimed.
SHARE_EWMA_WEIGHT = 0.01
# Least assumed share, which bounds overbooking: at most two reservations are made for the
# capacity of one.
MIN_CLAIMED_SHARE = 0.5


class ReservationCounts(msgspec.Struct):
    """Numbers of reservations so far; ``moved`` ones are also ``made`` ones."""

    made: int = 0
    used: int = 0
    lapsed: int = 0
    moved: int = 0


class Reservation(msgspec.Struct, frozen=True):
    """Capacity reserved for one client retry.

    Parameters
    ==========
    key : tuple
        Customer, route and size, by which the retry is recognised.
    rank : int
        Of its tier.
    weight : int
        Of its customer.
    due_ms : int
        The time to retry that its client was given.
    cost_ms : float
        Predicted time for which it will hold a slot.
    is_moved : bool, optional
        Whether it replaces a claimed one whose request was refused as well.
    """

    key: tuple
    rank: int
    weight: int
    due_ms: int
    cost_ms: float
    is_moved: bool = False

    @property
    def customer(self):
        """The customer of the refused request."""
        return self.key[0]


class RetryReservations(ClientRetries):
    """Reserves capacity for refused requests until their clients retry.

    Load: a burst of some seconds on a pool without free slots. A client retries once,
    at the stated time. Without a reservation it competes then with the new requests of
    the same burst.

    The stated time is the earliest at which the slots that new requests leave free have
    done the queued and the reserved work, and at most the longest wait that the client
    accepts: serving retries earlier would only refuse new requests in their place.
    The reserved work is that of the tier and the tiers above. New requests are admitted
    only if they can be served after the reserved work that falls due before them.

    A request that is refused again although it claimed a reservation, because higher
    tiers needed the slots, gets one that is moved to a later time, once. One that is
    sent again before its time gets no second one.

    A retry for which nothing could be reserved is treated as a new request.

    Attributes
    ==========
    counts : ReservationCounts
    """

    __slots__ = (
        "_arrivals",
        "_by_key",
        "_claimed",
        "_expected",
        "_lapsed",
        "_outstanding",
        "_sequence",
        "_unclaimed",
        "_work",
        "counts",
    )
    reserves = True

    def __init__(self):
        super().__init__()
        self.counts = ReservationCounts()
        self._arrivals = TierLoad(ARRIVAL_WINDOW_MS)
        self._work = ReservedWork()
        self._sequence = 0
        # Heaps of (due time, sequence, reservation): of each key, and of all whose due
        # time has not passed. A claimed one leaves the second when it is due.
        self._by_key = {}
        self._outstanding = []
        # Sequence numbers of the reservations that have neither been claimed nor lapsed,
        # and of those whose work counts in forecasts. They are not attributes of the
        # reservations, so that a copy of this object can share these.
        self._unclaimed = set()
        self._expected = set()
        self._lapsed = collections.deque()
        # Whether the reservation that a request claimed was a moved one, by its id.
        self._claimed = collections.OrderedDict()

    @property
    def outstanding(self):
        """Number of reservations that have neither been claimed nor lapsed."""
        return sum(len(heap) for heap in self._by_key.values())

    def reserve(self, request, cost_ms, ahead_ms, slots, pool_slots, now_ms):
        """Reserve capacity for a refused request if there is any in time.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        cost_ms : float
            Predicted time for which it will hold a slot.
        ahead_ms : float
            Queued work that is served before it.
        slots : float
            Slots that the tiers above leave to its tier.
        pool_slots : float
            All slots of the pool.
        now_ms : int

        Returns
        =======
        tuple of (int, float)
            Time until the client is to retry, and the reserved work; 0 if there is no
            capacity before the client must have retried, or a reservation already.
        """
        self._advance(now_ms)
        key = retry_key(request)
        earlier = self._by_key.get(key)
        if earlier and request.prompt_tokens and earlier[0][0] > now_ms:
            return max(MIN_RETRY_AFTER_MS, earlier[0][0] - now_ms), 0.0
        wait_ms, longest_ms = self._wait_ms(
            request, cost_ms, ahead_ms, slots, pool_slots, now_ms
        )
        was_moved = self._claimed.pop(request.request_id, None)
        accepted_ms = accepted_retry_wait_ms(request, cost_ms, now_ms)
        is_too_late = wait_ms > longest_ms or accepted_ms < MIN_RETRY_AFTER_MS
        if was_moved or is_too_late or self._is_full:
            return min(MAX_RETRY_AFTER_MS, wait_ms), 0.0
        rank, weight = request.tier_rank, max(1, request.weight)
        due_ms = now_ms + wait_ms
        is_moved = was_moved is not None
        self._add(Reservation(key, rank, weight, due_ms, cost_ms, is_moved))
        self.counts.made += 1
        self.counts.moved += is_moved
        return wait_ms, cost_ms

    def _wait_ms(self, request, cost_ms, ahead_ms, slots, pool_slots, now_ms):
        """Return the time until the forecast has capacity, and the longest useful one.

        The first is at most the second, unless the slots could not do the work until
        then even if no new request came.
        """
        work_ms = ahead_ms + self._work.ahead_ms(request, cost_ms)
        earliest_ms = max(MIN_RETRY_AFTER_MS, work_ms / slots)
        longest_ms = longest_retry_wait_ms(request, cost_ms, now_ms)
        # What new requests of its tier and above leave free.
        free_slots = pool_slots - self._arrivals.slots_above(
            request.tier_rank + 1, now_ms
        )
        wait_ms = longest_ms
        if free_slots * longest_ms > work_ms:
            wait_ms = work_ms / free_slots
        return int(max(earliest_ms, wait_ms)), longest_ms

    def claim(self, request, now_ms, cost_ms=0.0):
        """Return whether a request is a retry, and use up its reservation if any.

        Parameters as of ``ClientRetries.claim``.
        """
        self._advance(now_ms)
        key = retry_key(request)
        reservations = self._by_key.get(key)
        if not reservations or now_ms < reservations[0][0] - EARLY_TOLERANCE_MS:
            is_retry = super().claim(request, now_ms)
            if not is_retry:
                self._arrivals.add(request.tier_rank, cost_ms, now_ms)
            return is_retry
        entry = self._pop(key)
        self._end_expected(entry)
        self._observe(True)
        self._claimed[request.request_id] = entry[2].is_moved
        if len(self._claimed) > MAX_RESERVATIONS:
            self._claimed.popitem(last=False)
        self.counts.used += 1
        self.client_retry_count += 1
        return True

    def has_reservation(self, request):
        """Return whether a request has claimed a reservation."""
        return request.request_id in self._claimed

    def wait_ms(self, request, cost_ms, ahead_ms, slots, max_ms, now_ms):
        """Return how long a new request waits, as ``ReservedWork.wait_ms``."""
        self._advance(now_ms)
        return self._work.wait_ms(request, cost_ms, ahead_ms, slots, max_ms, now_ms)

    def reserved_slots(self, hold_ms, now_ms):
        """Return how many slots retries need while another request holds one.

        Each reservation that falls due in that time counts, whatever its tier, and
        however many are expected to be claimed: a request without a claim of its own
        must not take the slot of one that is.

        Parameters
        ==========
        hold_ms : float
        now_ms : int
        """
        self._advance(now_ms)
        return self._work.count_until(int(now_ms + hold_ms) + EARLY_TOLERANCE_MS)

    def adopt(self, announced, now_ms):
        """Add a reservation that a previous home made; return whether it was added.

        Parameters
        ==========
        announced : hemlockhoist.messages.AnnouncedRetry
        now_ms : int
        """
        self._advance(now_ms)
        key = retry_key(announced)
        if announced.prompt_tokens and key in self._by_key:
            return False
        if self._is_full:
            return False
        due_ms = now_ms + min(MAX_RETRY_AFTER_MS, announced.remaining_ms)
        if due_ms + EXPECTED_LATE_MS < now_ms:
            return False
        cost_ms = max(1.0, announced.reserved_ms)
        weight = max(1, announced.weight)
        self._add(Reservation(key, announced.tier_rank, weight, due_ms, cost_ms))
        return True

    @property
    def _is_full(self):
        return len(self._outstanding) >= MAX_RESERVATIONS

    def _add(self, reservation):
        self._sequence += 1
        entry = reservation.due_ms, self._sequence, reservation
        heapq.heappush(self._by_key.setdefault(reservation.key, []), entry)
        heapq.heappush(self._outstanding, entry)
        self._unclaimed.add(self._sequence)
        self._expected.add(self._sequence)
        self._work.add(reservation)

    def _pop(self, key):
        """Remove and return the entry of the earliest reservation of a key."""
        reservations = self._by_key[key]
        entry = heapq.heappop(reservations)
        if not reservations:
            del self._by_key[key]
        self._unclaimed.discard(entry[1])
        return entry

    def _advance(self, now_ms):
        """Release the work of overdue reservations, and drop those that lapsed.

        Each reservation is visited twice, so the cost per request is constant.
        """
        while self._outstanding and self._outstanding[0][0] + EXPECTED_LATE_MS < now_ms:
            entry = heapq.heappop(self._outstanding)
            if entry[1] in self._unclaimed:
                self._end_expected(entry)
                self._lapsed.append(entry)
        while self._lapsed and self._lapsed[0][0] + LATE_TOLERANCE_MS < now_ms:
            _, sequence, reservation = self._lapsed.popleft()
            if sequence in self._unclaimed:
                self._pop(reservation.key)
                self._observe(False)
                self.counts.lapsed += 1

    def _end_expected(self, entry):
        _, sequence, reservation = entry
        if sequence in self._expected:
            self._expected.remove(sequence)
            self._work.remove(reservation)

    def _observe(self, is_claimed):
        share = self._work.claimed_share
        share += SHARE_EWMA_WEIGHT * (is_claimed - share)
        self._work.claimed_share = max(MIN_CLAIMED_SHARE, share)
