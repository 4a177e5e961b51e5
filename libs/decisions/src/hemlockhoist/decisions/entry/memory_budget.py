"""The memory that an entry host may use for data of requests."""

import enum

BYTES_PER_MB = 1_048_576
# What a process takes without requests: the interpreter, the libraries and the tables.
PROCESS_BASE_MB = 64
# Fraction kept free, for what is not accounted: objects of requests, buffers of the
# HTTP library and of sockets, and copies while a body is put together.
MARGIN_FRACTION = 0.25
# A limit near the base of the process is no use; this much still serves usual bodies.
MIN_BUDGET_BYTES = 8 * BYTES_PER_MB
# Fractions that bodies of the highest and of the lowest tier may use. The rest is for
# answers: a request whose answer does not fit has run, and may not be run again.
HIGHEST_SHARE = 0.8
LOWEST_SHARE = 0.5
# Fraction of the budget that answers of the store may have in addition: most of the
# margin, which is a third of the budget. Tables of the largest fleet have some 5 MB.
STORE_FRACTION = 0.25
# Rank of what belongs to a request that has run, for which the whole budget is there.
STARTED_RANK = -1
# Rank of what comes before a request's customer is known.
LOWEST_RANK = 1_000_000
# Ranks of a route below those of a customer, see ``AdmittedCall.rank``.
_ROUTE_RANKS = 1_000


class MemoryPurpose(enum.Enum):
    """What memory is used for, as in metrics."""

    HEADS = "heads"
    BODIES_READ = "bodies_read"
    BODIES_KEPT = "bodies_kept"
    RESPONSES = "responses"
    STREAM_BUFFERS = "stream_buffers"


class MemoryBudget:
    """Accounts the bytes that requests use on one host, by purpose.

    Load: many large bodies at once, while callers and upstreams read slowly. A host
    that exceeds its limit is killed with all its requests, so a request whose body does
    not fit is refused instead. Each tier may use a smaller share than the next higher
    one. So there is always room left that only higher tiers may use, and the highest
    is refused last. Only what belongs to requests that have run may use the whole.

    Parameters
    ==========
    limit_bytes : int
        0 for no limit.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import MemoryBudget, MemoryPurpose
    >>> budget = MemoryBudget(1_000)
    >>> budget.try_reserve(MemoryPurpose.BODIES_READ, 600, tier_rank=0)
    True
    >>> budget.try_reserve(MemoryPurpose.BODIES_READ, 200, tier_rank=1_000)
    False
    >>> budget.try_reserve(MemoryPurpose.BODIES_READ, 200, tier_rank=0)
    True
    >>> budget.release(MemoryPurpose.BODIES_READ, 800)
    >>> budget.used_bytes
    0
    """

    __slots__ = ("_used_by_purpose", "limit_bytes", "used_bytes")

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._used_by_purpose = dict.fromkeys(MemoryPurpose, 0)

    @classmethod
    def from_max_memory_mb(cls, max_memory_mb):
        """Return the budget of a host that may use this much; 0 for no limit.

        Examples
        ========
        >>> from hemlockhoist.decisions.entry import MemoryBudget
        >>> for max_memory_mb in (0, 60, 160, 200, 552):
        ...     budget = MemoryBudget.from_max_memory_mb(max_memory_mb)
        ...     print(max_memory_mb, budget.limit_bytes // 1_048_576)
        0 0
        60 8
        160 72
        200 102
        552 366
        """
        if not max_memory_mb:
            return cls(0)
        free_bytes = (max_memory_mb - PROCESS_BASE_MB) * BYTES_PER_MB
        budget_bytes = int((1.0 - MARGIN_FRACTION) * free_bytes)
        return cls(max(MIN_BUDGET_BYTES, budget_bytes))

    @property
    def store_answer_bytes(self):
        """What answers of the store may hold at a time; 0 for no limit."""
        if not self.limit_bytes:
            return 0
        return max(MIN_BUDGET_BYTES, int(STORE_FRACTION * self.limit_bytes))

    def used_by(self, purpose):
        """Return the bytes in use for a ``MemoryPurpose``."""
        return self._used_by_purpose[purpose]

    def try_reserve(self, purpose, byte_count, tier_rank):
        """Reserve memory if it fits into the tier's share; return whether it did.

        Parameters
        ==========
        purpose : MemoryPurpose
        byte_count : int
        tier_rank : int
            0 is the highest; ``STARTED_RANK`` for what belongs to a request that has
            run.
        """
        if not self.fits(byte_count, tier_rank):
            return False
        self.add(purpose, byte_count)
        return True

    def add(self, purpose, byte_count):
        """Account memory that is in use already, whether or not it fits."""
        self.used_bytes += byte_count
        self._used_by_purpose[purpose] += byte_count

    def fits(self, byte_count, tier_rank):
        """Return whether this much more fits into the tier's share."""
        if not self.limit_bytes:
            return True
        return self.used_bytes + byte_count <= self._limit_of(tier_rank)

    def exceeds_limit(self, byte_count, tier_rank):
        """Return whether this much never fits into the tier's share."""
        return bool(self.limit_bytes) and byte_count > self._limit_of(tier_rank)

    def move(self, source, target, byte_count):
        """Account reserved memory for another purpose."""
        self._used_by_purpose[source] -= byte_count
        self._used_by_purpose[target] += byte_count

    def release(self, purpose, byte_count):
        """Return reserved memory."""
        self.used_bytes -= byte_count
        self._used_by_purpose[purpose] -= byte_count

    def _limit_of(self, tier_rank):
        if tier_rank == STARTED_RANK:
            return self.limit_bytes
        return int(self.limit_bytes * tier_share(tier_rank))


def tier_share(tier_rank):
    """Return the fraction of the budget that bodies of a tier may use.

    It falls with each rank of a customer, and with each rank of a route among the
    requests of customers of one rank.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry.memory_budget import tier_share
    >>> [round(tier_share(rank), 2) for rank in (0, 1, 2, 1_000, 1_001, 9_000)]
    [0.8, 0.7, 0.68, 0.65, 0.62, 0.53]
    """
    customer_rank, route_rank = divmod(tier_rank, _ROUTE_RANKS)
    position = customer_rank + route_rank / (route_rank + 1)
    return HIGHEST_SHARE - (HIGHEST_SHARE - LOWEST_SHARE) * position / (position + 1)
