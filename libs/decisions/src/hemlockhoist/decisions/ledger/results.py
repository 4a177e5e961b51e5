"""Results that the ledger returns for a call with an idempotency key."""

from typing import ClassVar

import msgspec

from hemlockhoist.base import ResultCode
from hemlockhoist.messages.ledger import KeyLookup, StoredAnswer


class Attempt(msgspec.Struct, frozen=True):
    """The only permitted attempt to run the request of a key.

    Parameters
    ==========
    customer, key : str
    number : int
        Serial number among the ledger's attempts; an older attempt is not permitted.
    """

    customer: str
    key: str
    number: int


class Proceed(msgspec.Struct, frozen=True):
    """The request may be dispatched once, by the holder of ``attempt``."""

    attempt: Attempt


class Replay(msgspec.Struct, frozen=True):
    """The request has already run; its stored answer is returned to the caller."""

    code: ClassVar[ResultCode] = ResultCode.OK
    answer: StoredAnswer


class InProgress(msgspec.Struct, frozen=True):
    """A request with this key is queued, running or being looked up elsewhere."""

    code: ClassVar[ResultCode] = ResultCode.IN_PROGRESS


class InTransit(msgspec.Struct, frozen=True):
    """The key was handed over to this host's successor, which has not confirmed it yet.

    The call waits, and ``KeyLedger.begin`` is called again. It ends as in progress if
    the successor does not confirm in time.
    """

    code: ClassVar[ResultCode] = ResultCode.IN_PROGRESS


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """It is unknown whether the request ran."""

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN


class AnswerNotKept(msgspec.Struct, frozen=True):
    """The request ran, but its answer exceeded the byte budget and was not kept."""

    code: ClassVar[ResultCode] = ResultCode.ANSWER_NOT_KEPT


class OwnedBy(msgspec.Struct, frozen=True):
    """Another incarnation has to be queried by sending it ``lookup``.

    The caller waits for the result of ``KeyLedger.on_lookup_reply``, or calls
    ``KeyLedger.abandon_lookup`` after a time limit.
    """

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN
    incarnation: str
    lookup: KeyLookup


class WithdrawnTo(msgspec.Struct, frozen=True):
    """This host transferred the key; its new holder is queried as for ``OwnedBy``."""

    code: ClassVar[ResultCode] = ResultCode.OUTCOME_UNKNOWN
    incarnation: str
    lookup: KeyLookup


class Expired(msgspec.Struct, frozen=True):
    """The key is past its retention; whether its request ran is no longer known."""

    code: ClassVar[ResultCode] = ResultCode.KEY_EXPIRED


class NeverMinted(msgspec.Struct, frozen=True):
    """No host issued this prefix, so nothing ran under the key."""

    code: ClassVar[ResultCode] = ResultCode.KEY_MALFORMED


class Reused(msgspec.Struct, frozen=True):
    """The key identifies a different request of the same customer."""

    code: ClassVar[ResultCode] = ResultCode.KEY_REUSED


class Full(msgspec.Struct, frozen=True):
    """The ledger is full and cannot record the key, so the request was not run."""

    code: ClassVar[ResultCode] = ResultCode.LEDGER_FULL
