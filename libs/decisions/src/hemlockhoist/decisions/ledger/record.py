"""One key's record, and the ranges of keys that an incarnation may dispatch."""

import enum

EPOCHS_KEPT = 4
# A record of a key that this host did not mint is kept longer than the minting host
# judges the key valid, so that the record goes only after the key has expired.
FOREIGN_EPOCHS_KEPT = EPOCHS_KEPT + 2


class RecordState(enum.Enum):
    """Where a key's request stands."""

    IDLE = "idle"
    ADMITTED = "admitted"
    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"
    ELSEWHERE = "elsewhere"


IN_PROGRESS_STATES = frozenset({RecordState.ADMITTED, RecordState.DISPATCHED})


class KeyValidity(enum.Enum):
    """What a range says of a key without a record."""

    VALID = "valid"
    EXPIRED = "expired"
    NEVER_MINTED = "never minted"


class Record:
    """What the ledger knows of one customer's key.

    Parameters
    ==========
    customer : str
    key : IdempotencyKey
    fingerprint : bytes
    state : RecordState
    holder : str
        In state ``ELSEWHERE``: the incarnation to query_holder.
    direct : bool
        Whether ``holder`` itself is asked although it has named a successor: the
        request is in progress there.
    granted_to, granted_query_number : str, int
        The lookup by which this host last passed the right on; empty for none.
    query_number : int
        This host's own wish for the key; 0 for none.
    sent_number : int
        Of the lookup that a caller waits on; 0 when none waits.
    redirects : int
        How often the present lookup was sent on to another holder.
    attempt_number : int
    drop_epoch : int
        Of this host's own epochs: when the record may be forgotten.
    dispatched : bool
        Whether a byte may have left. It never becomes false again.
    answer : StoredAnswer or None
    """

    __slots__ = (
        "answer",
        "query_number",
        "attempt_number",
        "customer",
        "direct",
        "dispatched",
        "drop_epoch",
        "fingerprint",
        "granted_query_number",
        "granted_to",
        "holder",
        "key",
        "redirects",
        "sent_number",
        "state",
    )

    def __init__(self, customer, key, fingerprint, state, holder=""):
        self.customer = customer
        self.key = key
        self.fingerprint = fingerprint
        self.state = state
        self.holder = holder
        self.direct = False
        self.granted_to = ""
        self.granted_query_number = 0
        self.query_number = 0
        self.sent_number = 0
        self.redirects = 0
        self.attempt_number = 0
        self.drop_epoch = 0
        self.dispatched = False
        self.answer = None

    @property
    def is_bound(self):
        """Whether the key stands for this fingerprint's request for good.

        Failure: a call with a wrong body reaches a host that only asks for the key. Its
        record then refuses the right body as "another request, not run", while that one
        ran at the key's holder. Only a dispatched request binds the key.
        """
        bound = (RecordState.DISPATCHED, RecordState.DONE, RecordState.UNKNOWN)
        return self.state in bound

    @property
    def id(self):
        """What the ledger files the record under."""
        return (self.customer, self.key.text)


class KeyRange:
    """The keys of one minting incarnation, with that incarnation's epochs.

    Parameters
    ==========
    incarnation : str
    epoch_ms : int
    base_ms : int
        When epoch 0 began, on the clock of the host that has the range.
    last_epoch : int or None
        Of a range taken over: no later key was minted.
    """

    __slots__ = ("base_ms", "epoch", "epoch_ms", "incarnation", "last_epoch")

    def __init__(self, incarnation, epoch_ms, base_ms, last_epoch=None):
        self.incarnation = incarnation
        self.epoch_ms = epoch_ms
        self.base_ms = base_ms
        self.last_epoch = last_epoch
        self.epoch = 0

    @property
    def is_expired(self):
        """Whether every key of a range taken over has expired."""
        if self.last_epoch is None:
            return False
        return self.epoch - self.last_epoch > EPOCHS_KEPT

    def advance(self, now_ms):
        """Move the epoch on; a clock that steps back does not move it back."""
        self.epoch = max(self.epoch, (now_ms - self.base_ms) // self.epoch_ms)

    def validity(self, epoch):
        """Return the ``KeyValidity`` on a key of ``epoch`` that has no record.

        Records of an epoch are dropped when, and not before, this says ``EXPIRED``:
        a key without a record is then either unseen or refused for good.
        """
        newest = self.epoch if self.last_epoch is None else self.last_epoch
        if epoch > newest:
            return KeyValidity.NEVER_MINTED
        if self.epoch - epoch > EPOCHS_KEPT:
            return KeyValidity.EXPIRED
        return KeyValidity.VALID
