"""Deliberate breaks, one for each mechanism, that the randomised run has to catch.

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
MAX_BATCHES = 12
SEED = 11


class Mutation:
    """A break, and the properties whose checks may catch it."""

    def __init__(self, mechanism, target, name, broken, caught_by, seed=SEED):
        self.mechanism = mechanism
        self.target = target
        self.name = name
        self.broken = broken
        self.caught_by = caught_by
        self.seed = seed

    @contextlib.contextmanager
    def applied(self):
        with mock.patch.object(self.target, self.name, self.broken):
            yield


RUNS_TWICE = (P.DISPATCHED_AT_MOST_ONCE, P.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE)
DOUBLED = (*RUNS_TWICE, P.NOT_RUN_IS_TRUE, P.WHOLE_ANSWER)


def _proceed_instead_of_asking(self, record):
    record.state = RecordState.IDLE
    return self.admit(record)


def _silence_means_not_run(self, customer, key, now_ms):
    record = self.table.get(customer, key.text)
    if record is not None:
        record.sent_number = 0
    return Full()


_settle = lookups.apply_reply


def _take_any_grant(ledger, reply):
    record = ledger.table.get(reply.customer, reply.key)
    granted = record is not None and isinstance(reply, messages.LookupGranted)
    if granted and record.state is not RecordState.ELSEWHERE:
        record.state = RecordState.IDLE
        record.dispatched = False
        return None
    return _settle(ledger, reply)


def _give_without_a_record(ledger, lookup, record):
    ledger.table.remove(record)
    return lookups._reply(ledger, lookup, messages.LookupGranted)


def _never_expires(self, epoch):
    return KeyValidity.VALID if epoch <= self.epoch else KeyValidity.NEVER_MINTED


def _forget_all(self, epoch):
    for due in [item for item in self._buckets if item <= epoch]:
        for record in self._buckets.pop(due).values():
            self.answers.drop(record)
            del self._records[record.id]


def _unknown_is_not_run(self, attempt, now_ms):
    record = self.table.get(attempt.customer, attempt.key)
    if record is not None:
        self.table.remove(record)


def _answer_of_another(self, record, fingerprint):
    done = [item for item in self.table if item.answer is not None]
    return Replay(done[0].answer) if done else OutcomeUnknown()


def _key_without_customer(self, customer, key_text):
    own = self._records.get((customer, key_text))
    matching = [item for item in self if item.key.text == key_text]
    done = [item for item in matching if item.state is RecordState.DONE]
    return done[0] if own is None and done else own


def _not_run_relayed(self, record):
    return Full()


_begin_handover = handover.HandoverState._begin


def _leaver_goes_on(self, ledger, successor):
    ranges = dict(ledger.ranges)
    _begin_handover(self, ledger, successor)
    ledger.ranges.update(ranges)


def _hand_no_records(records):
    return [[]]


def _take_all_unseen(ledger, leaver, minted_by, handed):
    for record in ledger.table:
        elsewhere = record.state is RecordState.ELSEWHERE
        if elsewhere and record.holder == leaver and record.id not in handed:
            record.state = RecordState.IDLE


def _wrong_body_frees_the_key(reply, ledger, record):
    if isinstance(reply, messages.LookupReused):
        ledger.table.remove(record)
    return _apply(reply, ledger, record)


_apply = lookups._apply


def _take_any_version(self, declarations, now_ms):
    self.current = declarations
    return []


def _write_without_comparing(self, expected_version, declarations):
    self._previous = self.row
    self.row = declarations
    return WriteResult.DONE


def _believe_every_list(self, upstreams, now_ms):
    self._upstreams = {item.upstream_id: item for item in upstreams or ()}


def _ignore_the_own_word(self):
    return self._upstreams


def _stop_at_once(self, now_ms):
    return self.is_leaving and bool(self.successor)


MUTATIONS = (
    Mutation(
        "only the holder dispatches a key",
        KeyLedger,
        "query_holder",
        _proceed_instead_of_asking,
        DOUBLED,
    ),
    Mutation(
        "a silent holder means unknown",
        KeyLedger,
        "abandon_lookup",
        _silence_means_not_run,
        (P.NOT_RUN_IS_TRUE,),
    ),
    Mutation(
        "a grant is taken once, by its wish",
        lookups,
        "apply_reply",
        _take_any_grant,
        DOUBLED,
    ),
    Mutation(
        "passing a key on leaves a record",
        lookups,
        "_grant_right",
        _give_without_a_record,
        DOUBLED,
    ),
    Mutation(
        "a key past retention is refused", KeyRange, "validity", _never_expires, DOUBLED
    ),
    Mutation(
        "rotation keeps what is in progress",
        RecordTable,
        "forget_until",
        _forget_all,
        DOUBLED,
        seed=3,
    ),
    Mutation(
        "a broken connection means unknown",
        KeyLedger,
        "mark_unknown",
        _unknown_is_not_run,
        DOUBLED,
        seed=3,
    ),
    Mutation(
        "an answer goes to its own call",
        KeyLedger,
        "_handle_repeat",
        _answer_of_another,
        (P.WHOLE_ANSWER,),
    ),
    Mutation(
        "records are kept apart by customer",
        RecordTable,
        "get",
        _key_without_customer,
        DOUBLED,
    ),
    Mutation(
        "a host speaks of its own keys only",
        KeyLedger,
        "query_holder",
        _not_run_relayed,
        (P.NOT_RUN_IS_TRUE,),
    ),
    Mutation(
        "a leaver gives its right up first",
        handover.HandoverState,
        "_begin",
        _leaver_goes_on,
        DOUBLED,
    ),
    Mutation(
        "the handover carries the records",
        handover,
        "_split",
        _hand_no_records,
        (*DOUBLED, P.PLANNED_STOP_CUTS_NOTHING),
    ),
    Mutation(
        "only the leaver's own unseen keys are taken",
        handover,
        "_claim_unseen_keys",
        _take_all_unseen,
        DOUBLED,
        seed=2,
    ),
    Mutation(
        "a refused repeat keeps the record",
        lookups,
        "_apply",
        _wrong_body_frees_the_key,
        DOUBLED,
        seed=2,
    ),
    Mutation(
        "only a higher version is taken",
        ConfigurationState,
        "apply_if_newer",
        _take_any_version,
        (P.CONFIGURATION_NEVER_REVERTS,),
        seed=3,
    ),
    Mutation(
        "a change is a compare-and-set",
        FaultyTable,
        "write",
        _write_without_comparing,
        (P.CONFIGURATION_NEVER_REVERTS,),
    ),
    Mutation(
        "an empty list changes nothing",
        UpstreamView,
        "set_list",
        _believe_every_list,
        (P.LEAVING_UPSTREAM_NO_WORK,),
    ),
    Mutation(
        "an upstream's own word is final",
        UpstreamView,
        "assignable",
        _ignore_the_own_word,
        (P.LEAVING_UPSTREAM_NO_WORK,),
    ),
    Mutation(
        "a planned stop waits for its calls",
        SoakHost,
        "may_stop",
        _stop_at_once,
        (P.PLANNED_STOP_CUTS_NOTHING,),
    ),
)


def run_mutation(mutation):
    """Return the tally of a run on the broken program."""
    with mutation.applied():
        return run_seed(mutation.seed, batches=MAX_BATCHES).tally


def main():
    """Print one line for each mutation."""
    for mutation in MUTATIONS:
        tally = run_mutation(mutation)
        found = tally.violation.split(":")[0] or "not caught"
        print(
            f"| {mutation.mechanism} | {found} | {tally.violation_steps} |", flush=True
        )


if __name__ == "__main__":
    main()
