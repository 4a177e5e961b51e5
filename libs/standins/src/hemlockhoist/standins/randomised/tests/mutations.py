"""Deliberate faults, one per mechanism, that the randomised run has to detect.

``python -m hemlockhoist.standins.randomised.tests.mutations`` prints the table.
"""

import contextlib
from unittest import mock

from hemlockhoist.base import Property
from hemlockhoist.decisions.configuration import ConfigurationState
from hemlockhoist.decisions.ledger import (
    Full,
    KeyLedger,
    OutcomeUnknown,
    Replay,
    handover,
    lookups,
)
from hemlockhoist.decisions.ledger.record import KeyRange, KeyValidity, RecordState
from hemlockhoist.decisions.ledger.table import RecordTable
from hemlockhoist.decisions.membership import UpstreamView
from hemlockhoist.messages import ledger as messages
from hemlockhoist.standins.randomised import run_seed
from hemlockhoist.standins.randomised.host import SoakHost
from hemlockhoist.standins.randomised.table import FaultyTable, WriteResult

P = Property
MAX_BATCHES = 60
SEED = 3


class Mutation:
    """A fault in the code, and the properties whose checks may detect it."""

    def __init__(self, mechanism, target, name, broken, caught_by):
        self.mechanism = mechanism
        self.target = target
        self.name = name
        self.broken = broken
        self.caught_by = caught_by

    @contextlib.contextmanager
    def applied(self):
        with mock.patch.object(self.target, self.name, self.broken):
            yield


AT_MOST_ONCE = (P.DISPATCHED_AT_MOST_ONCE, P.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE)
DUPLICATE_EXECUTION = (*AT_MOST_ONCE, P.NOT_RUN_IS_TRUE, P.WHOLE_ANSWER)


def _proceed_without_lookup(self, record):
    record.state = RecordState.IDLE
    return self.admit(record)


def _report_unanswered_as_not_run(self, customer, key, now_ms):
    record = self.table.get(customer, key.text)
    if record is not None:
        record.sent_number = 0
    return Full()


_apply_reply = lookups.apply_reply


def _apply_any_grant(ledger, reply):
    record = ledger.table.get(reply.customer, reply.key)
    granted = record is not None and isinstance(reply, messages.LookupGranted)
    if granted and record.state is not RecordState.ELSEWHERE:
        record.state = RecordState.IDLE
        record.dispatched = False
        return None
    return _apply_reply(ledger, reply)


def _grant_without_record(ledger, lookup, record):
    ledger.table.remove(record)
    return lookups._reply(ledger, lookup, messages.LookupGranted)


def _accept_expired(self, epoch):
    return KeyValidity.VALID if epoch <= self.epoch else KeyValidity.NEVER_MINTED


def _forget_in_progress(self, epoch):
    for due in [item for item in self._buckets if item <= epoch]:
        for record in self._buckets.pop(due).values():
            self.answers.drop(record)
            del self._records[record.id]


def _drop_unknown(self, attempt, now_ms):
    record = self.table.get(attempt.customer, attempt.key)
    if record is not None:
        self.table.remove(record)


def _replay_any_answer(self, record, fingerprint):
    done = [item for item in self.table if item.answer is not None]
    return Replay(done[0].answer) if done else OutcomeUnknown()


def _find_by_key_only(self, customer, key_text):
    own = self._records.get((customer, key_text))
    matching = [item for item in self if item.key.text == key_text]
    done = [item for item in matching if item.state is RecordState.DONE]
    return done[0] if own is None and done else own


def _report_redirected_as_not_run(self, record):
    return Full()


_begin_handover = handover.HandoverState._begin


def _keep_ranges(self, ledger, successor):
    ranges = dict(ledger.ranges)
    _begin_handover(self, ledger, successor)
    ledger.ranges.update(ranges)


def _hand_over_no_records(records):
    return [[]]


def _claim_all_unseen(ledger, leaver, minted_by, handed):
    for record in ledger.table:
        elsewhere = record.state is RecordState.ELSEWHERE
        if elsewhere and record.holder == leaver and record.id not in handed:
            record.state = RecordState.IDLE


def _drop_record_on_reuse(reply, ledger, record):
    if isinstance(reply, messages.LookupReused):
        ledger.table.remove(record)
    return _apply(reply, ledger, record)


_apply = lookups._apply


def _apply_any_version(self, declarations, now_ms):
    self.current = declarations
    return []


def _write_without_compare(self, expected_version, declarations):
    self._previous = self.row
    self.row = declarations
    return WriteResult.DONE


def _apply_any_list(self, upstreams, now_ms):
    self._upstreams = {item.upstream_id: item for item in upstreams or ()}


def _ignore_reported_leaving(self):
    return self._upstreams


def _stop_with_calls(self, now_ms):
    return self.is_leaving and bool(self.successor)


MUTATIONS = (
    Mutation(
        "only the holder dispatches a key",
        KeyLedger,
        "query_holder",
        _proceed_without_lookup,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "an unanswered lookup means outcome unknown",
        KeyLedger,
        "abandon_lookup",
        _report_unanswered_as_not_run,
        (P.NOT_RUN_IS_TRUE,),
    ),
    Mutation(
        "a grant is applied once, to the lookup it answers",
        lookups,
        "apply_reply",
        _apply_any_grant,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "granting a key to another host leaves a record",
        lookups,
        "_grant_right",
        _grant_without_record,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "a key past retention is refused",
        KeyRange,
        "validity",
        _accept_expired,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "rotation keeps records in progress",
        RecordTable,
        "forget_until",
        _forget_in_progress,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "a broken connection means outcome unknown",
        KeyLedger,
        "mark_unknown",
        _drop_unknown,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "an answer is replayed to its own call only",
        KeyLedger,
        "_handle_repeat",
        _replay_any_answer,
        (P.WHOLE_ANSWER,),
    ),
    Mutation(
        "records are separate for each customer",
        RecordTable,
        "get",
        _find_by_key_only,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "a host answers for the keys it holds only",
        KeyLedger,
        "query_holder",
        _report_redirected_as_not_run,
        (P.NOT_RUN_IS_TRUE,),
    ),
    Mutation(
        "a leaving host gives up its key ranges first",
        handover.HandoverState,
        "_begin",
        _keep_ranges,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "the handover carries the records",
        handover,
        "_split",
        _hand_over_no_records,
        (*DUPLICATE_EXECUTION, P.PLANNED_STOP_CUTS_NOTHING),
    ),
    Mutation(
        "a successor claims only unseen keys of the leaving host",
        handover,
        "_claim_unseen_keys",
        _claim_all_unseen,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "a repeat with another body keeps the record",
        lookups,
        "_apply",
        _drop_record_on_reuse,
        DUPLICATE_EXECUTION,
    ),
    Mutation(
        "only a newer version is applied",
        ConfigurationState,
        "apply_if_newer",
        _apply_any_version,
        (P.CONFIGURATION_NEVER_REVERTS,),
    ),
    Mutation(
        "a change is a compare-and-set",
        FaultyTable,
        "write",
        _write_without_compare,
        (P.CONFIGURATION_NEVER_REVERTS,),
    ),
    Mutation(
        "an empty list of upstreams is ignored",
        UpstreamView,
        "set_list",
        _apply_any_list,
        (P.LEAVING_UPSTREAM_NO_WORK,),
    ),
    Mutation(
        "an upstream that reported leaving gets no work",
        UpstreamView,
        "assignable",
        _ignore_reported_leaving,
        (P.LEAVING_UPSTREAM_NO_WORK,),
    ),
    Mutation(
        "a planned stop waits for calls in progress",
        SoakHost,
        "may_stop",
        _stop_with_calls,
        (P.PLANNED_STOP_CUTS_NOTHING,),
    ),
)


def run_mutation(mutation):
    """Return the tally of a run with the mutation applied."""
    with mutation.applied():
        return run_seed(SEED, batches=MAX_BATCHES).tally


def main():
    """Print a table row for each mutation."""
    for mutation in MUTATIONS:
        tally = run_mutation(mutation)
        found = tally.violation.split(":")[0] or "not caught"
        print(
            f"| {mutation.mechanism} | {found} | {tally.violation_steps} |", flush=True
        )


if __name__ == "__main__":
    main()
