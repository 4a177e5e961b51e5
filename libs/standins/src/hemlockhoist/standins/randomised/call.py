"""A caller's request, as one host processes it."""

import enum

from hemlockhoist.decisions.ledger import fingerprint_request


class CallPhase(enum.Enum):
    """How far an admitted call has progressed."""

    ADMITTED = "admitted"
    DISPATCHED = "marked as dispatched, first byte not sent"
    SENT = "sent"


class Call:
    """A call with an idempotency key.

    Parameters
    ==========
    customer : str
    key : IdempotencyKey
    body : bytes

    Attributes
    ==========
    lookup : KeyLookup or None
        The lookup that the call waits for; None if it waits for a handover.
    """

    __slots__ = ("attempt", "begun_ms", "body", "customer", "key", "lookup", "phase")

    def __init__(self, customer, key, body):
        self.customer = customer
        self.key = key
        self.body = body
        self.attempt = None
        self.phase = CallPhase.ADMITTED
        self.begun_ms = 0
        self.lookup = None

    @property
    def id(self):
        """The customer and key, which together must run at most once."""
        return (self.customer, self.key.text)

    @property
    def fingerprint(self):
        """The digest by which the ledger compares requests."""
        return fingerprint_request("POST", "/bookings", self.body)
