"""The times to retry that an entry host announced to its callers."""

import collections

import msgspec

from hemlockhoist.messages import AnnouncedRetry

# Number of announced retries that a host reports to a new home.
MAX_REPORTED = 64
# Number that it remembers, of all pools: in a burst, the first ones are past when a home
# is lost some seconds later.
MAX_REMEMBERED = 1_024


class AnnouncedRetries:
    """Remembers for which retries a home has reserved capacity.

    A home is lost with its reservations, during the burst in which it made them. Its
    successor learns of those whose time has not passed.
    """

    __slots__ = ("_announced",)

    def __init__(self):
        self._announced = collections.deque(maxlen=MAX_REMEMBERED)

    def record(self, brief, refusal, now_ms):
        """Record a refusal with a reservation.

        Parameters
        ==========
        brief : RequestBrief
        refusal : GrantRefusal
        now_ms : int
        """
        if not refusal.reserved_ms:
            return
        announced = AnnouncedRetry(
            customer=brief.customer,
            route=brief.route,
            tier_rank=brief.tier_rank,
            prompt_tokens=brief.prompt_tokens,
            output_tokens=brief.output_tokens,
            reserved_ms=refusal.reserved_ms,
            remaining_ms=refusal.retry_after_ms,
            weight=brief.weight,
        )
        self._announced.append(
            (refusal.pool, now_ms + refusal.retry_after_ms, announced)
        )

    def report(self, pool, now_ms):
        """Return the retries of a pool that are still to come.

        If there are too many, those of the highest tiers are reported, and of a tier
        those that are due first.

        Returns
        =======
        tuple of AnnouncedRetry
        """
        coming = [
            msgspec.structs.replace(item, remaining_ms=due_ms - now_ms)
            for of_pool, due_ms, item in self._announced
            if of_pool == pool and due_ms > now_ms
        ]
        coming.sort(key=lambda item: (item.tier_rank, item.remaining_ms))
        return tuple(coming[:MAX_REPORTED])
