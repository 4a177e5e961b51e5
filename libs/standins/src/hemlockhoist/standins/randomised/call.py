"""One copy of a caller's request at one host."""

import enum

from hemlockhoist.decisions.ledger import fingerprint_request


class CallPhase(enum.Enum):
    """How far a permitted call has come."""

    ADMITTED = "admitted"
    DISPATCHED = "stuck between the point of no return and the first byte"
    SENT = "sent"


class Call:
    """A call under an idempotency key.

    Parameters
    ==========
    customer : str
    key : IdempotencyKey
    body : bytes
    """

    __slots__ = ("attempt", "begun_ms", "body", "customer", "key", "phase")

    def __init__(self, customer, key, body):
        self.customer = customer
        self.key = key
        self.body = body
        self.attempt = None
        self.phase = CallPhase.ADMITTED
        self.begun_ms = 0

    @property
    def id(self):
        """What must run at most once."""
        return (self.customer, self.key.text)

    @property
    def fingerprint(self):
        """The digest of the request."""
        return fingerprint_request("POST", "/bookings", self.body)
