import unittest

from hemlockhoist.base import (
    DispatchError,
    InvariantLog,
    Property,
    PropertyViolation,
)
from hemlockhoist.decisions.ledger import (
    AnswerNotKept,
    Expired,
    Full,
    InProgress,
    KeyLedger,
    NeverMinted,
    OutcomeUnknown,
    Proceed,
    Replay,
    Reused,
    parse_key,
)
from hemlockhoist.decisions.ledger.tests.ledgers import (
    ANSWER,
    CUSTOMER,
    EPOCH_MS,
    FINGERPRINT,
    OTHER_FINGERPRINT,
    RETENTION_MS,
    begin,
    make_key,
    make_ledger,
    run,
)
from hemlockhoist.messages.ledger import StoredAnswer


class SameHostTests(unittest.TestCase):
    def setUp(self):
        self.ledger = make_ledger("a")
        self.key = make_key(self.ledger)

    def test_repeat_is_in_progress_and_later_replays(self):
        """Guards against booking a hall again for each repeat of a call.

        A client repeats a booking while the first call is queued, while it runs and
        after it was answered. Without the record each repeat would book the hall again.
        """
        attempt = begin(self.ledger, self.key).attempt
        self.assertEqual(begin(self.ledger, self.key), InProgress())
        self.ledger.mark_dispatched(attempt, 1)
        self.assertEqual(begin(self.ledger, self.key), InProgress())
        self.ledger.mark_finished(attempt, ANSWER, 2)
        self.assertEqual(begin(self.ledger, self.key), Replay(ANSWER))

    def test_refused_request_can_be_retried(self):
        """After ``mark_not_run`` the same key proceeds with a new attempt."""
        first = begin(self.ledger, self.key).attempt
        self.ledger.mark_not_run(first, 1)
        second = begin(self.ledger, self.key)
        self.assertIsInstance(second, Proceed)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_dispatched(first, 2)

    def test_broken_connection_stays_unknown(self):
        """Guards against dispatching again after half of a request was sent.

        The connection to the reservation service breaks after half of a booking was
        sent. Every repeat gets "outcome unknown" until a late answer arrives.
        """
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        self.ledger.mark_unknown(attempt, 2)
        self.assertEqual(begin(self.ledger, self.key), OutcomeUnknown())
        self.ledger.mark_finished(attempt, ANSWER, 3)
        self.assertEqual(begin(self.ledger, self.key), Replay(ANSWER))

    def test_one_attempt_is_dispatched_once(self):
        """A second dispatch of an attempt is a violation and sends nothing."""
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_dispatched(attempt, 1)

    def test_second_dispatch_raises_in_production_too(self):
        """If violations are only logged, a second dispatch still raises."""
        log = InvariantLog(False)
        ledger = KeyLedger.from_config("a", RETENTION_MS, 10, 10, log)
        attempt = begin(ledger, make_key(ledger)).attempt
        ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(DispatchError):
            ledger.mark_dispatched(attempt, 1)
        self.assertEqual(log.violations[Property.DISPATCHED_AT_MOST_ONCE], 1)

    def test_not_run_after_dispatch_is_a_violation(self):
        """Reporting a dispatched attempt as "not run" is a violation."""
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_not_run(attempt, 2)

    def test_different_body_under_the_same_key_is_refused(self):
        """A key repeated with a different request is refused and runs nothing."""
        run(self.ledger, self.key)
        self.assertEqual(begin(self.ledger, self.key, 0, OTHER_FINGERPRINT), Reused())

    def test_customers_do_not_share_keys(self):
        """The same key used by another customer identifies a separate request."""
        run(self.ledger, self.key)
        other = self.ledger.begin("port office", self.key, FINGERPRINT, 0)
        self.assertIsInstance(other, Proceed)


class BoundTests(unittest.TestCase):
    def test_old_keys_expire_and_are_never_dispatched(self):
        """Guards against running an old key whose record was dropped.

        A client repeats a booking after a weekend, when its record has been dropped.
        "No record" must not be treated as "never ran".
        """
        ledger = make_ledger("a")
        used, unused = make_key(ledger, "1"), make_key(ledger, "2")
        run(ledger, used)
        self.assertEqual(begin(ledger, used, RETENTION_MS), Replay(ANSWER))
        late_ms = RETENTION_MS + EPOCH_MS
        self.assertEqual(begin(ledger, used, late_ms), Expired())
        self.assertEqual(begin(ledger, unused, late_ms), Expired())
        self.assertEqual(len(ledger.table), 0)

    def test_epoch_rotation_keeps_records_in_progress(self):
        """Guards against dropping the record of a request that still runs.

        A booking waits for a stuck service for longer than the retention of its key. If
        its record were dropped with the epoch, a repeat would run concurrently.
        """
        ledger = make_ledger("a")
        key = make_key(ledger)
        attempt = begin(ledger, key).attempt
        late_ms = 3 * RETENTION_MS
        self.assertEqual(begin(ledger, key, late_ms), InProgress())
        ledger.mark_dispatched(attempt, late_ms)
        ledger.mark_finished(attempt, ANSWER, late_ms)
        self.assertEqual(begin(ledger, key, late_ms), Replay(ANSWER))
        self.assertEqual(begin(ledger, key, late_ms + EPOCH_MS), Expired())

    def test_clock_stepping_back_does_not_unexpire_keys(self):
        """An expired key stays expired when the clock steps back."""
        ledger = make_ledger("a")
        key = make_key(ledger)
        self.assertEqual(begin(ledger, key, 10 * RETENTION_MS), Expired())
        self.assertEqual(begin(ledger, key, 0), Expired())

    def test_key_of_a_future_epoch_is_never_minted(self):
        """A key of an epoch that has not begun was never minted."""
        ledger = make_ledger("a")
        self.assertEqual(begin(ledger, parse_key("a.1.own")), NeverMinted())
        self.assertIsInstance(begin(ledger, parse_key("a.0.own")), Proceed)

    def test_full_ledger_refuses_new_keys_only(self):
        """A full ledger refuses new keys and still answers known ones."""
        ledger = make_ledger("a", max_records=2)
        keys = [make_key(ledger, str(n)) for n in range(3)]
        for key in keys[:2]:
            run(ledger, key)
        self.assertEqual(begin(ledger, keys[2]), Full())
        self.assertEqual(begin(ledger, keys[0]), Replay(ANSWER))

    def test_answers_beyond_the_budget_are_not_kept(self):
        """The oldest answers are evicted; their records still prevent a second run."""
        ledger = make_ledger("a", max_answer_bytes=12)
        keys = [make_key(ledger, str(n)) for n in range(3)]
        for key in keys:
            run(ledger, key)
        results = [begin(ledger, key) for key in keys]
        self.assertEqual(results, [AnswerNotKept(), Replay(ANSWER), Replay(ANSWER)])

    def test_answer_larger_than_the_budget_evicts_nothing(self):
        """An answer that exceeds the budget does not evict the others."""
        ledger = make_ledger("a", max_answer_bytes=12)
        small, large = make_key(ledger, "1"), make_key(ledger, "2")
        run(ledger, small)
        attempt = ledger.begin(CUSTOMER, large, FINGERPRINT, 0).attempt
        ledger.mark_dispatched(attempt, 0)
        ledger.mark_finished(attempt, StoredAnswer(status=200, body=b"x" * 13), 0)
        self.assertEqual(begin(ledger, large), AnswerNotKept())
        self.assertEqual(begin(ledger, small), Replay(ANSWER))
