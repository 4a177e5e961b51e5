"""Records of single keys, and the ranges of keys that a host may dispatch."""

import enum

EPOCHS_KEPT = 4
# Records of keys that another host minted are kept for longer than that host considers
# the key valid, so that the record is dropped only after the key has expired.
FOREIGN_EPOCHS_KEPT = EPOCHS_KEPT + 2


class RecordState(enum.Enum):
    """State of the request that a key identifies."""

    IDLE = "idle"
    ADMITTED = "admitted"
    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"
    ELSEWHERE = "elsewhere"


IN_PROGRESS_STATES = frozenset({RecordState.ADMITTED, RecordState.DISPATCHED})


class KeyValidity(enum.Enum):
    """Validity of a key that has no record, according to its range."""

    VALID = "valid"
    EXPIRED = "expired"
    NEVER_MINTED = "never minted"


class Record:
    """The ledger's entry for one customer's key.

    Parameters
    ==========
    customer : str
    key : IdempotencyKey
    fingerprint : bytes
    state : RecordState
    holder : str
        In state ``ELSEWHERE``, the incarnation to query.
    direct : bool
        Whether ``holder`` itself is queried even if it has named a successor, because
        the request is in progress there.
    granted_to, granted_query_number : str, int
        Requester and number of the lookup by which this host last transferred the
        dispatch right; empty if there was none.
    query_number : int
        Number of this host's own open query for the dispatch right; 0 for none.
    sent_number : int
        Number of the transmission whose reply a caller waits for; 0 if none waits.
    redirects : int
        How often the current lookup was redirected to another holder.
    attempt_number : int
    drop_epoch : int
        Epoch of this host's own range in which the record may be dropped.
    dispatched : bool
        Whether any byte of the request may have been sent. It is never reset.
    answer : StoredAnswer or None
    """

    __slots__ = (
        "answer",
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
        "query_number",
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
        """Whether the key is permanently bound to the request of this fingerprint.

        Only a dispatched request binds the key. Otherwise a call with a wrong body at a
        host that merely queries the holder would make that host refuse the correct body
        as "another request, not run", although it ran at the holder.
        """
        bound = (RecordState.DISPATCHED, RecordState.DONE, RecordState.UNKNOWN)
        return self.state in bound

    @property
    def id(self):
        """The key under which the ledger indexes the record."""
        return (self.customer, self.key.text)


class KeyRange:
    """The keys that one incarnation minted, with the epochs of that incarnation.

    Parameters
    ==========
    incarnation : str
    epoch_ms : int
    base_ms : int
        Start of epoch 0 on the clock of the host that holds the range.
    last_epoch : int or None
        Last epoch in which keys were minted, for a range that was taken over.
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
        """Whether every key of a range that was taken over has expired."""
        if self.last_epoch is None:
            return False
        return self.epoch - self.last_epoch > EPOCHS_KEPT

    def advance(self, now_ms):
        """Advance the epoch; it does not decrease if the clock steps back."""
        self.epoch = max(self.epoch, (now_ms - self.base_ms) // self.epoch_ms)

    def validity(self, epoch):
        """Return the ``KeyValidity`` of a key of ``epoch`` that has no record.

        Records of an epoch are dropped only once this returns ``EXPIRED``, so a key
        without a record is either unseen or refused from then on.
        """
        newest = self.epoch if self.last_epoch is None else self.last_epoch
        if epoch > newest:
            return KeyValidity.NEVER_MINTED
        if self.epoch - epoch > EPOCHS_KEPT:
            return KeyValidity.EXPIRED
        return KeyValidity.VALID
