import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.quarantine import Quarantine
from hemlockhoist.decisions.quarantine.part_counts import ANSWER_TTL_MS, MAX_PARTS_KNOWN
from hemlockhoist.decisions.quarantine.part_table import (
    EVIDENCE_TTL_MS,
    MAX_BLOCKED,
    MAX_RECORDS,
)
from hemlockhoist.decisions.quarantine.try_schedule import FIRST_TRY_MS
from hemlockhoist.messages import PartRecord, PartState

SHARED, GUILTY, RARE = 1, 2, 3


def idle(part):
    return False


def busy(part):
    return True


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine("h1")
        self.now_ms = 1_000
        self.number = 0

    def crash(self, *requests):
        """Let an upstream end under requests, each given by its parts."""
        self.number += 1
        self.now_ms += 100
        changed = ()
        for parts in requests:
            changed += self.quarantine.on_crash(f"u{self.number}", parts, self.now_ms)
        return changed

    def crash_often(self, count, *requests):
        for _ in range(count):
            self.crash(*requests)

    def answer(self, *parts):
        return self.quarantine.on_answer(parts, self.now_ms)

    def state(self, part):
        return self.quarantine.state(part)

    def kept_back(self, *parts, is_retry=False, is_busy=idle):
        return self.quarantine.kept_back(parts, is_retry, is_busy, self.now_ms)


class ChargeTests(QuarantineCase):
    def test_part_is_suspected_and_then_blocked(self):
        self.answer(SHARED)
        for expected in (PartState.CLEAR, PartState.SUSPECTED, PartState.BLOCKED):
            self.crash([SHARED, GUILTY])
            self.assertIs(self.state(GUILTY), expected)
        self.assertIs(self.state(SHARED), PartState.CLEAR)

    def test_requests_at_one_upstream_report_one_crash(self):
        self.crash([GUILTY], [RARE], [GUILTY, RARE])
        self.assertEqual(len(self.quarantine.record_of(GUILTY).crashes), 1)

    def test_upstream_that_starts_again_under_its_id_crashes_again(self):
        for at_ms in (0, 3_000, 6_000):
            self.quarantine.on_crash("u1", [GUILTY], at_ms)
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)

    def test_rare_part_beside_the_guilty_one_is_not_blocked(self):
        """Guards against sound requests that share an upstream with a guilty one."""
        self.crash([SHARED, GUILTY], [SHARED, RARE])
        self.crash([SHARED, GUILTY], [SHARED, RARE])
        self.answer(SHARED)
        self.crash([SHARED, GUILTY])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertIs(self.state(RARE), PartState.CLEAR)
        self.assertIsNone(self.kept_back(SHARED, RARE))

    def test_shared_part_is_not_blocked_before_the_first_answer(self):
        """Guards against a customer that is blocked with one of its prompts."""
        for number in range(10):
            self.quarantine.on_request([SHARED])
            if number % 3 == 0:
                self.quarantine.on_request([SHARED, GUILTY])
        self.crash_often(3, [SHARED, GUILTY])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertIs(self.state(SHARED), PartState.CLEAR)

    def test_part_at_the_front_is_not_blocked_with_the_one_behind_it(self):
        """Guards against a customer's part that only guilty requests held so far."""
        for _ in range(3):
            self.quarantine.on_request([SHARED, GUILTY])
            self.crash([SHARED, GUILTY])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertIs(self.state(SHARED), PartState.CLEAR)

    def test_two_guilty_parts_are_both_blocked(self):
        self.answer(SHARED)
        for _ in range(3):
            self.crash([SHARED, GUILTY])
            self.crash([SHARED, RARE])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertIs(self.state(RARE), PartState.BLOCKED)

    def test_crashes_that_a_blocked_part_explains_count_against_no_other(self):
        """Guards against parts that are blamed for crashes of requests on their way."""
        self.answer(SHARED)
        self.crash_often(3, [SHARED, GUILTY])
        self.crash_often(5, [SHARED, RARE], [SHARED, GUILTY])
        self.assertIs(self.state(RARE), PartState.CLEAR)
        self.assertEqual(self.quarantine.record_of(RARE).crashes, ())

    def test_part_that_was_answered_before_takes_more_crashes(self):
        for part in (SHARED, GUILTY):
            self.answer(part)
            self.answer(part)
        self.crash_often(3, [SHARED, GUILTY])
        self.answer(SHARED)
        self.assertIs(self.state(GUILTY), PartState.CLEAR)
        for _ in range(4):
            self.crash([SHARED, GUILTY])
            self.answer(SHARED)
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertIs(self.state(SHARED), PartState.CLEAR)

    def test_old_answers_do_not_speak_for_a_part(self):
        self.answer(GUILTY)
        self.now_ms += ANSWER_TTL_MS + 1
        self.crash_often(3, [GUILTY])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)

    def test_crash_under_a_suspected_part_is_explained(self):
        """Guards against a good version that is rolled back for a prompt."""
        self.crash([GUILTY])
        self.assertFalse(self.quarantine.explains_crash("u1", self.now_ms))
        self.crash([GUILTY])
        self.assertTrue(self.quarantine.explains_crash("u2", self.now_ms))
        self.assertFalse(self.quarantine.explains_crash("u3", self.now_ms))
        self.assertFalse(self.quarantine.explains_crash("u2", self.now_ms + 5_000))


class KeptBackTests(QuarantineCase):
    def test_suspected_part_is_sent_to_one_upstream_at_a_time(self):
        self.crash_often(2, [GUILTY])
        self.assertIsNone(self.kept_back(GUILTY))
        refusal = self.kept_back(GUILTY, is_busy=busy)
        self.assertIs(refusal.code, ResultCode.PART_SUSPECTED)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_suspected_part_is_not_sent_to_a_second_upstream(self):
        """Guards against a request that ends one upstream after the other."""
        self.crash_often(2, [GUILTY])
        self.assertIsNotNone(self.kept_back(GUILTY, is_retry=True))

    def test_blocked_part_gives_no_time_to_come_back(self):
        self.crash_often(3, [GUILTY])
        refusal = self.kept_back(GUILTY)
        self.assertIs(refusal.code, ResultCode.PART_BLOCKED)
        self.assertEqual(refusal.retry_after_ms, 0)

    def test_requests_without_parts_are_never_kept_back(self):
        self.crash_often(3, [GUILTY])
        self.assertIsNone(self.kept_back(is_busy=busy))


class WithdrawalTests(QuarantineCase):
    def test_answer_withdraws_the_evidence(self):
        self.crash_often(3, [GUILTY])
        (changed,) = self.answer(GUILTY)
        self.assertEqual((changed.state, changed.crashes), (PartState.CLEAR, ()))
        self.assertIsNone(self.kept_back(GUILTY))

    def test_operator_lifts_a_part(self):
        self.crash_often(3, [GUILTY])
        self.assertEqual(len(self.quarantine.lift(GUILTY, self.now_ms)), 1)
        self.assertIs(self.state(GUILTY), PartState.CLEAR)
        self.assertEqual(self.quarantine.lift(RARE, self.now_ms), ())

    def test_blocked_part_is_tried_by_one_request_at_growing_intervals(self):
        """Guards against a timer that lets a wave of guilty requests through."""
        self.crash_often(3, [GUILTY])
        interval_ms = FIRST_TRY_MS
        for tries in range(1, 4):
            self.now_ms += interval_ms - 1
            self.assertIsNotNone(self.kept_back(GUILTY))
            self.now_ms += 1
            self.assertIsNotNone(self.kept_back(GUILTY, is_busy=busy))
            self.assertIsNone(self.kept_back(GUILTY))
            (tried,) = self.quarantine.on_sent([GUILTY], self.now_ms)
            self.assertEqual(tried.tries, tries)
            self.assertIsNotNone(self.kept_back(GUILTY))
            interval_ms *= 2

    def test_another_hosts_try_puts_off_the_own_one(self):
        other = Quarantine("h2")
        self.crash_often(3, [GUILTY])
        other.merge(self.quarantine.records(), self.now_ms)
        self.now_ms += FIRST_TRY_MS
        tried = self.quarantine.on_sent([GUILTY], self.now_ms)
        other.merge(tried, self.now_ms)
        self.assertIsNotNone(other.kept_back([GUILTY], False, idle, self.now_ms))

    def test_evidence_expires_unless_the_part_is_blocked(self):
        self.crash_often(3, [GUILTY])
        self.crash_often(2, [RARE])
        self.now_ms += EVIDENCE_TTL_MS + 1
        (changed,) = self.quarantine.expire(self.now_ms)
        self.assertEqual(changed.part, RARE)
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)


class MergeTests(QuarantineCase):
    def test_crashes_of_several_hosts_are_added_up(self):
        other = Quarantine("h2")
        for number in range(2):
            records = other.on_crash(f"v{number}", [GUILTY], self.now_ms)
            self.quarantine.merge(records, self.now_ms)
        self.crash([GUILTY])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)

    def test_order_and_repetition_of_records_do_not_matter(self):
        changes = [self.crash([GUILTY]) for _ in range(3)]
        changes.append(self.answer(GUILTY))
        changes += [self.crash([GUILTY]) for _ in range(2)]
        other = Quarantine("h2")
        for records in (*reversed(changes), *changes):
            other.merge(records, self.now_ms)
        self.assertEqual(other.record_of(GUILTY), self.quarantine.record_of(GUILTY))

    def test_late_record_does_not_undo_a_withdrawal(self):
        blocked = [self.crash([GUILTY]) for _ in range(3)][-1]
        self.answer(GUILTY)
        self.quarantine.merge(blocked, self.now_ms)
        self.assertIs(self.state(GUILTY), PartState.CLEAR)

    def test_unknown_state_of_a_later_release_counts_as_blocked(self):
        self.quarantine.merge([PartRecord(part=GUILTY, state=9)], self.now_ms)
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)


class BoundTests(QuarantineCase):
    def test_made_up_parts_do_not_push_blocked_ones_out(self):
        self.crash_often(3, [GUILTY])
        for part in range(100, 100 + 3 * MAX_RECORDS):
            self.crash([part])
        self.assertIs(self.state(GUILTY), PartState.BLOCKED)
        self.assertLessEqual(len(self.quarantine.records()), MAX_RECORDS)

    def test_number_of_blocked_parts_is_bounded(self):
        for part in range(100, 100 + MAX_BLOCKED + 5):
            self.crash_often(3, [part])
        blocked = [item for item in self.quarantine.records() if item.state == 2]
        self.assertEqual(len(blocked), MAX_BLOCKED)

    def test_answered_parts_are_remembered_while_others_are_made_up(self):
        """Guards against a caller who makes a shared part look unanswered."""
        for part in range(100, 100 + 2 * MAX_PARTS_KNOWN):
            self.answer(part)
            if part % 1_000 == 0:
                self.answer(SHARED)
        self.crash_often(3, [SHARED, GUILTY])
        self.assertIs(self.state(SHARED), PartState.CLEAR)
