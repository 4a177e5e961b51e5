"""Messages between hosts about idempotency keys."""

import msgspec

from hemlockhoist.messages.codes import code_of


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's answer, read to its end and kept for replay to a repeated call.

    Parameters
    ==========
    status : int
        The HTTP status.
    headers : tuple of (str, str)
    body : bytes
    is_end_certain : bool
        Whether the upstream stated where the answer ends; not known of answers that an
        earlier release stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_end_certain: bool = False

    def size_bytes(self):
        """Return the approximate memory use of the answer in bytes."""
        return len(self.body) + sum(len(name) + len(v) for name, v in self.headers)


class KeyLookup(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Requests the outcome of a key from its holder, or else the right to dispatch it.

    Parameters
    ==========
    requester, holder : str
        Incarnations. A process other than ``holder`` cannot answer.
    query_number : int
        Identifies the requester's query for this key. Repeats carry the same number,
        so that a grant whose reply was lost is repeated, and only to the query to
        which it was issued.
    sent_number : int
        Differs for each transmission, to distinguish late replies from the current
        one.
    customer, key : str
    fingerprint : bytes
        Fingerprint of the request.
    """

    requester: str
    holder: str
    query_number: int
    sent_number: int
    customer: str
    key: str
    fingerprint: bytes


class LookupReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Base of the replies to ``KeyLookup``; echoes the fields of the lookup."""

    requester: str
    responder: str
    query_number: int
    sent_number: int
    customer: str
    key: str


class LookupDone(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """States that the request ran; ``answer`` is None if it is no longer kept."""

    answer: StoredAnswer | None = None


class LookupInProgress(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the request is queued or running."""


class LookupUnknown(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the request may have run, or that the responder has no record."""


class LookupExpired(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the key has expired and its record is no longer kept."""


class LookupReused(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the key belongs to another request of the same customer."""


class LookupFull(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """States that the key never ran, and the holder has no room to record a grant."""


class LookupGranted(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the key never ran; from now on only the requester may dispatch it."""


class LookupMoved(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """States that another incarnation, ``holder``, has the key's dispatch right."""

    holder: str


class HandedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of a leaving host's ledger.

    Parameters
    ==========
    customer, key : str
    fingerprint : bytes
    state : str
        Value of the ledger's ``RecordState``.
    holder : str
        Incarnation with the right to dispatch, if it is not the leaving host.
    direct : bool
        Whether lookups go to ``holder`` itself, although it is leaving.
    given_to, given_ask_number : str, int
        Requester and query number of the last transfer of the right; empty for none.
    answer : StoredAnswer or None
    """

    customer: str
    key: str
    fingerprint: bytes
    state: str
    holder: str = ""
    direct: bool = False
    given_to: str = ""
    given_ask_number: int = 0
    answer: StoredAnswer | None = None


class HandedRange(msgspec.Struct, frozen=True, kw_only=True):
    """Keys of one incarnation whose dispatch right is transferred to the successor.

    Parameters
    ==========
    incarnation : str
        Incarnation that minted the keys.
    last_epoch : int
        Last epoch in which keys were minted.
    epoch : int
        Epoch of the range's own clock when the message was created.
    epoch_ms : int
        Length of an epoch.
    """

    incarnation: str
    last_epoch: int
    epoch: int
    epoch_ms: int


class Handover(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """One part of a leaving host's ledger, sent to its only successor.

    Parameters
    ==========
    leaver, successor : str
        Incarnations.
    part, part_count : int
        The successor may dispatch once it has all ``part_count`` parts.
    update : int
        0 for the ledger itself; increases by one with each later change of a request
        that was in progress, which is a message of one part.
    ranges : tuple of HandedRange
    records : tuple of HandedRecord
    """

    leaver: str
    successor: str
    part: int
    part_count: int
    update: int = 0
    ranges: tuple[HandedRange, ...] = ()
    records: tuple[HandedRecord, ...] = ()


class HandoverAck(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the successor has stored a part, or never will if not accepted."""

    leaver: str
    successor: str
    part: int
    update: int
    accepted: bool
