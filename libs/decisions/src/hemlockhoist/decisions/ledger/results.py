"""What the ledger answers to a call that carries an idempotency key."""

from typing import ClassVar

import msgspec

from hemlockhoist.base import ResultCode
from hemlockhoist.messages.ledger import KeyLookup, StoredAnswer


class Attempt(msgspec.Struct, frozen=True):
    """The one permitted attempt at a key's request.

    Parameters
    ==========
    customer, key : str
    number : int
        Counts the ledger's attempts; an older attempt's number is of no use.
    """

    customer: str
    key: str
    number: int


class Proceed(msgspec.Struct, frozen=True):
    """The request may be dispatched, once, by the holder of ``attempt``."""

    attempt: Attempt


class Replay(msgspec.Struct, frozen=True):
    """The request ran before; the caller gets the answer that it gave."""

    code: ClassVar[ResultCode] = ResultCode.OK
    answer: StoredAnswer


class InProgress(msgspec.Struct, frozen=True):
    """A request with this key is queued, running or being looked up."""

    code: ClassVar[ResultCode] = ResultCode.IN_PROGRESS


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The request may or may not have run."""

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN


class AnswerNotKept(msgspec.Struct, frozen=True):
    """The request ran; its answer went over the byte budget."""

    code: ClassVar[ResultCode] = ResultCode.ANSWER_NOT_KEPT


class OwnedBy(msgspec.Struct, frozen=True):
    """Another incarnation has to be asked: send it ``lookup``.

    The caller waits for ``KeyLedger.on_lookup_reply``, or for a time limit and then
    ``KeyLedger.abandon_lookup``.
    """

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN
    incarnation: str
    lookup: KeyLookup


class WithdrawnTo(msgspec.Struct, frozen=True):
    """This host passed the key on; its new holder has to be asked (as ``OwnedBy``)."""

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN
    incarnation: str
    lookup: KeyLookup


class Expired(msgspec.Struct, frozen=True):
    """The key is past its retention; whether it ran is no longer known."""

    code: ClassVar[ResultCode] = ResultCode.KEY_EXPIRED


class NeverMinted(msgspec.Struct, frozen=True):
    """No host gave out this prefix; nothing ran under it."""

    code: ClassVar[ResultCode] = ResultCode.KEY_MALFORMED


class Reused(msgspec.Struct, frozen=True):
    """The key stands for another request of the same customer."""

    code: ClassVar[ResultCode] = ResultCode.KEY_REUSED


class Full(msgspec.Struct, frozen=True):
    """The key can not be recorded, so its request was not run."""

    code: ClassVar[ResultCode] = ResultCode.LEDGER_FULL
