"""A request in the queue of a pool shard, and its order within its customer."""

# The requests of one customer are ordered by arrival time plus this multiple of their
# predicted time, because predicted times differ a hundredfold: a short request
# overtakes a long one. A long one is overtaken only by requests that arrive within this
# multiple of its own predicted time, so it cannot starve.
SHORT_FIRST_FACTOR = 2.0
# A client retry with a reservation precedes the new requests of its customer: its sort
# key is this much earlier, longer than any request is queued.
RESERVED_LEAD_MS = 60_000


class QueuedRequest:
    """A queued request.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    cost_ms : float
        Predicted time for which it will hold a slot.
    sort_key_ms : float
        Within one customer, the request with the lowest value is served first.
    sequence : int
        Breaks ties: increases with each arrival.
    is_late : bool
        Whether its first token target has passed.
    is_retry : bool
        Whether it was refused before and the client retried after the stated time.
    is_reserved : bool
        Whether capacity was reserved for it when it was refused before.

    Attributes
    ==========
    skipped_round : int or None
        The round of the slot assigner in which it last found no slot.
    """

    __slots__ = (
        "cost_ms",
        "is_late",
        "is_reserved",
        "is_retry",
        "request",
        "skipped_round",
        "sort_key",
    )

    def __init__(
        self,
        request,
        cost_ms,
        sort_key_ms,
        sequence,
        is_late=False,
        is_retry=False,
        is_reserved=False,
    ):
        self.is_retry = is_retry
        self.is_reserved = is_reserved
        self.skipped_round = None
        self.request = request
        self.cost_ms = cost_ms
        self.is_late = is_late
        lead_ms = RESERVED_LEAD_MS if is_reserved else 0
        self.sort_key = (sort_key_ms - lead_ms, sequence)


def short_first_ms(arrived_ms, cost_ms):
    """Return the sort key by which short requests precede long ones."""
    return arrived_ms + SHORT_FIRST_FACTOR * cost_ms
