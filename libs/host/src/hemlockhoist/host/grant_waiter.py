"""A request that waits for a grant, as its entry host follows it."""

import asyncio

# Put into a waiter's inbox in place of a reply to have its request checked and sent
# again at once, as the home of its pool has changed.
RESEND = object()
# Likewise, to have its request only checked again: this host may refuse it now.
RECHECK = object()


class GrantWaiter:
    """A request that waits for a grant.

    Parameters
    ==========
    pool : str
    brief : RequestBrief
    check : callable
        Raises ``Refused`` once this host no longer sends the request.

    Attributes
    ==========
    queried_home : str
        The home that was asked last.
    home_hint : str
        The home to ask next, as another host named it; empty for none.
    unanswered : int
        Requests without a reply since the home was reported as unresponsive.
    timeouts_since_reply : int
    is_alone : bool
        Whether this host's own standby home was asked last.
    next_request_ms, last_reply_ms : int
    inbox : asyncio.Queue
        Of replies with their delay.
    """

    __slots__ = (
        "check",
        "home_hint",
        "inbox",
        "is_alone",
        "is_hedge",
        "last_reply_ms",
        "next_request_ms",
        "pool",
        "queried_home",
        "request_id",
        "timeouts_since_reply",
        "unanswered",
    )

    def __init__(self, pool, brief, check):
        self.pool = pool
        self.check = check
        self.request_id = brief.request_id
        self.is_hedge = brief.is_hedge
        self.queried_home = ""
        self.home_hint = ""
        self.unanswered = 0
        self.timeouts_since_reply = 0
        self.is_alone = False
        self.next_request_ms = 0
        self.last_reply_ms = 0
        self.inbox = asyncio.Queue()
