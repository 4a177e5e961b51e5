"""What hosts tell one another of idempotency keys."""

import msgspec

from hemlockhoist.messages.codes import code_of


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's whole answer, kept to be replayed to a repeated call.

    Parameters
    ==========
    status : int
        The HTTP status.
    headers : tuple of (str, str)
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def size_bytes(self):
        """Return about how much memory the answer takes, in bytes."""
        return len(self.body) + sum(len(name) + len(v) for name, v in self.headers)


class KeyLookup(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a key's holder for the outcome, or else for the right to dispatch it.

    Parameters
    ==========
    asker, holder : str
        Incarnations. A process that is not ``holder`` can tell nothing.
    query_number : int
        Names the asker's wish for this key. Repeats of the question carry the same
        number, so that a grant whose reply was lost is given again, and only again
        to the wish that it was given to.
    sent_number : int
        Differs for each sending: tells a late reply from the current one.
    customer, key : str
    fingerprint : bytes
        Of the request.
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
    """Base of the replies to ``KeyLookup``; echoes what it answers."""

    requester: str
    responder: str
    query_number: int
    sent_number: int
    customer: str
    key: str


class LookupDone(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """The request ran; ``answer`` is None when it is no longer kept."""

    answer: StoredAnswer | None = None


class LookupInProgress(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The request is queued or running."""


class LookupUnknown(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The request may have run, or the replier can not tell."""


class LookupExpired(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The key is past its retention: its record is no longer kept."""


class LookupReused(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The key belongs to another request of the same customer."""


class LookupFull(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """The key never ran, and its holder has no room to record passing it on."""


class LookupGranted(
    LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The key never ran; only the asker may dispatch it from now on."""


class LookupMoved(LookupReply, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """The right to dispatch the key went to another incarnation, ``holder``."""

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
        Who has the right to dispatch, where it is not the leaving host.
    direct : bool
        Whether ``holder`` is asked itself, although it leaves.
    given_to, given_ask_number : str, int
        The lookup by which the right was last passed on; empty for none.
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
    """Keys of one incarnation whose right to dispatch passes to the successor.

    Parameters
    ==========
    incarnation : str
        That minted them.
    last_epoch : int
        None of a later epoch was minted.
    epoch : int
        Of the range's own clock when the message was made.
    epoch_ms : int
        Length of an epoch.
    """

    incarnation: str
    last_epoch: int
    epoch: int
    epoch_ms: int


class Handover(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """One part of a leaving host's ledger, for its only successor.

    Parameters
    ==========
    leaver, successor : str
        Incarnations.
    part, parts : int
        The successor may dispatch once it has all ``part_count`` parts.
    update : int
        0 for the ledger itself; counts up with each later change of a request that
        was in progress, which is a message of one part.
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
    """The successor has taken a part, or never will (``accepted`` is false)."""

    leaver: str
    successor: str
    part: int
    update: int
    accepted: bool
