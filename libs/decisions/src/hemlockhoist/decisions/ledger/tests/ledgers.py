"""Ledgers and keys for the tests of this package."""

from hemlockhoist.base import InvariantLog
from hemlockhoist.decisions.ledger import KeyLedger, fingerprint_request, parse_key
from hemlockhoist.messages.ledger import StoredAnswer

RETENTION_MS = 400_000
EPOCH_MS = RETENTION_MS // 4
FINGERPRINT = fingerprint_request("POST", "/bookings", b"hall 3")
OTHER_FINGERPRINT = fingerprint_request("POST", "/bookings", b"hall 4")
ANSWER = StoredAnswer(status=201, body=b"booked")
CUSTOMER = "faculty"


def make_ledger(incarnation, max_records=100, max_answer_bytes=10_000):
    return KeyLedger.from_config(
        incarnation, RETENTION_MS, max_records, max_answer_bytes, InvariantLog(True)
    )


def make_key(ledger, caller_part="1", now_ms=0):
    return parse_key(f"{ledger.mint_prefix(now_ms)}.{caller_part}")


def begin(ledger, key, now_ms=0, fingerprint=FINGERPRINT):
    return ledger.begin(CUSTOMER, key, fingerprint, now_ms)


def run(ledger, key, now_ms=0):
    """Run the request of a key to completion at one ledger."""
    attempt = begin(ledger, key, now_ms).attempt
    ledger.mark_dispatched(attempt, now_ms)
    ledger.mark_finished(attempt, ANSWER, now_ms)


def look_up(requester, holder, lookup, now_ms=0):
    """Deliver a lookup and its reply; return the result for the waiting caller."""
    return requester.on_lookup_reply(holder.on_lookup(lookup, now_ms), now_ms)


def hand_over(leaver, successor, now_ms=0):
    """Deliver a complete handover and its acknowledgements."""
    for message in leaver.handover(successor.incarnation, now_ms):
        leaver.on_handover_ack(successor.adopt_handover(message, now_ms), now_ms)
