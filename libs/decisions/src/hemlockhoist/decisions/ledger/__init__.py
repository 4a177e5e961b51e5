"""Ledger of idempotency keys, by which a non-idempotent call runs at most once."""

from hemlockhoist.decisions.ledger.keys import (
    IdempotencyKey,
    fingerprint_request,
    parse_key,
)
from hemlockhoist.decisions.ledger.ledger import KeyLedger
from hemlockhoist.decisions.ledger.results import (
    AnswerNotKept,
    Attempt,
    Expired,
    Full,
    InProgress,
    InTransit,
    NeverMinted,
    OutcomeUnknown,
    OwnedBy,
    Proceed,
    Replay,
    Reused,
    WithdrawnTo,
)

__all__ = [
    "AnswerNotKept",
    "Attempt",
    "Expired",
    "Full",
    "InTransit",
    "IdempotencyKey",
    "InProgress",
    "KeyLedger",
    "NeverMinted",
    "OutcomeUnknown",
    "OwnedBy",
    "Proceed",
    "Replay",
    "Reused",
    "WithdrawnTo",
    "fingerprint_request",
    "parse_key",
]
