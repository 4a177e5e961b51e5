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
    OTHER_PRINT,
    PRINT,
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

    def test_repeat_at_once_waits_and_later_replays(self):
        """
        A secretary's client sends a booking, loses patience and sends it again while
        the first is queued, while it runs, and after it was answered. Without the
        record each repeat would book the hall again.
        """
        attempt = begin(self.ledger, self.key).attempt
        self.assertEqual(begin(self.ledger, self.key), InProgress())
        self.ledger.mark_dispatched(attempt, 1)
        self.assertEqual(begin(self.ledger, self.key), InProgress())
        self.ledger.mark_finished(attempt, ANSWER, 2)
        self.assertEqual(begin(self.ledger, self.key), Replay(ANSWER))

    def test_refused_request_may_be_begun_again(self):
        """After ``mark_not_run`` the same key proceeds, with a new attempt."""
        first = begin(self.ledger, self.key).attempt
        self.ledger.mark_not_run(first, 1)
        second = begin(self.ledger, self.key)
        self.assertIsInstance(second, Proceed)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_dispatched(first, 2)

    def test_broken_connection_stays_unknown(self):
        """
        The connection to the reservation service breaks with half a booking sent. Each
        repeat is told "outcome unknown", until a late answer settles it.
        """
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        self.ledger.mark_unknown(attempt, 2)
        self.assertEqual(begin(self.ledger, self.key), OutcomeUnknown())
        self.ledger.mark_finished(attempt, ANSWER, 3)
        self.assertEqual(begin(self.ledger, self.key), Replay(ANSWER))

    def test_one_attempt_is_dispatched_once(self):
        """A second dispatch of an attempt is a violation, and sends nothing."""
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_dispatched(attempt, 1)

    def test_second_dispatch_is_stopped_in_production_too(self):
        """Where violations are only logged, the second dispatch still raises."""
        log = InvariantLog(False)
        ledger = KeyLedger.from_config("a", RETENTION_MS, 10, 10, log)
        attempt = begin(ledger, make_key(ledger)).attempt
        ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(DispatchError):
            ledger.mark_dispatched(attempt, 1)
        self.assertEqual(log.violations[Property.DISPATCHED_AT_MOST_ONCE], 1)

    def test_not_run_after_dispatch_is_a_violation(self):
        """Saying "not run" of a dispatched attempt is caught."""
        attempt = begin(self.ledger, self.key).attempt
        self.ledger.mark_dispatched(attempt, 1)
        with self.assertRaises(PropertyViolation):
            self.ledger.mark_not_run(attempt, 2)

    def test_other_body_under_the_same_key_is_refused(self):
        """A key with another request is refused, and runs nothing."""
        run(self.ledger, self.key)
        self.assertEqual(begin(self.ledger, self.key, 0, OTHER_PRINT), Reused())

    def test_customers_do_not_share_keys(self):
        """Another customer's use of the same key is its own request."""
        run(self.ledger, self.key)
        other = self.ledger.begin("port office", self.key, PRINT, 0)
        self.assertIsInstance(other, Proceed)


class BoundTests(unittest.TestCase):
    def test_old_keys_expire_and_are_never_dispatched(self):
        """
        A client sleeps over a weekend with an unsent booking and repeats it on Monday,
        when its record is gone. "No record" must not be read as "never ran".
        """
        ledger = make_ledger("a")
        used, unused = make_key(ledger, "1"), make_key(ledger, "2")
        run(ledger, used)
        self.assertEqual(begin(ledger, used, RETENTION_MS), Replay(ANSWER))
        late_ms = RETENTION_MS + EPOCH_MS
        self.assertEqual(begin(ledger, used, late_ms), Expired())
        self.assertEqual(begin(ledger, unused, late_ms), Expired())
        self.assertEqual(len(ledger.table), 0)

    def test_rotation_keeps_what_is_in_progress(self):
        """
        A booking waits behind a stuck service for longer than its key is kept. Were its
        record dropped with the epoch, the repeat would run beside it.
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

    def test_clock_stepping_back_revives_no_key(self):
        """A key that expired stays expired when the clock steps back."""
        ledger = make_ledger("a")
        key = make_key(ledger)
        self.assertEqual(begin(ledger, key, 10 * RETENTION_MS), Expired())
        self.assertEqual(begin(ledger, key, 0), Expired())

    def test_invented_epoch_is_never_minted(self):
        """A key of an epoch that has not begun was given out by nobody."""
        ledger = make_ledger("a")
        self.assertEqual(begin(ledger, parse_key("a.1.own")), NeverMinted())
        self.assertIsInstance(begin(ledger, parse_key("a.0.own")), Proceed)

    def test_full_ledger_refuses_new_keys_only(self):
        """At the bound new keys are refused, and known ones are still answered."""
        ledger = make_ledger("a", max_records=2)
        keys = [make_key(ledger, str(n)) for n in range(3)]
        for key in keys[:2]:
            run(ledger, key)
        self.assertEqual(begin(ledger, keys[2]), Full())
        self.assertEqual(begin(ledger, keys[0]), Replay(ANSWER))

    def test_answers_beyond_the_budget_are_not_kept(self):
        """Older answers go first; their records still stop a second run."""
        ledger = make_ledger("a", max_answer_bytes=12)
        keys = [make_key(ledger, str(n)) for n in range(3)]
        for key in keys:
            run(ledger, key)
        results = [begin(ledger, key) for key in keys]
        self.assertEqual(results, [AnswerNotKept(), Replay(ANSWER), Replay(ANSWER)])

    def test_answer_larger_than_the_budget_evicts_nothing(self):
        """One huge answer does not push the others out."""
        ledger = make_ledger("a", max_answer_bytes=12)
        small, large = make_key(ledger, "1"), make_key(ledger, "2")
        run(ledger, small)
        attempt = ledger.begin(CUSTOMER, large, PRINT, 0).attempt
        ledger.mark_dispatched(attempt, 0)
        ledger.mark_finished(attempt, StoredAnswer(status=200, body=b"x" * 13), 0)
        self.assertEqual(begin(ledger, large), AnswerNotKept())
        self.assertEqual(begin(ledger, small), Replay(ANSWER))
