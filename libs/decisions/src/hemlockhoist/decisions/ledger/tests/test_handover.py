import unittest

from hemlockhoist.base import Refused
from hemlockhoist.decisions.ledger import (
    Expired,
    InProgress,
    OutcomeUnknown,
    OwnedBy,
    Proceed,
    Replay,
)
from hemlockhoist.decisions.ledger.handover import MAX_RECORDS_PER_PART
from hemlockhoist.decisions.ledger.tests.ledgers import (
    ANSWER,
    CUSTOMER,
    EPOCH_MS,
    OTHER_PRINT,
    RETENTION_MS,
    begin,
    hand_over,
    look_up,
    make_key,
    make_ledger,
    run,
)


class HandoverTests(unittest.TestCase):
    def setUp(self):
        self.a, self.s, self.b = (make_ledger(name) for name in "asb")
        self.key = make_key(self.a)

    def test_repeat_after_a_planned_stop_gets_its_answer(self):
        """
        Host a answered a booking, is replaced by plan, and the caller repeats the call.
        Without the handover the repeat, at any host, could only be told "unknown".
        """
        run(self.a, self.key)
        unused = make_key(self.a, "2")
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))
        self.assertIsInstance(begin(self.s, unused), Proceed)

    def test_other_hosts_follow_to_the_successor(self):
        """A third host that knows the successor asks it in the leaver's place."""
        run(self.a, self.key)
        hand_over(self.a, self.s)
        self.b.record_successor("a", "s")
        asked = begin(self.b, self.key)
        self.assertEqual(asked.incarnation, "s")
        self.assertEqual(look_up(self.b, self.s, asked.lookup), Replay(ANSWER))

    def test_leaver_dispatches_no_new_key(self):
        """
        The leaver has sent its ledger off and the acknowledgement is still on its way.
        A call that reaches the leaver now must not run beside one at the successor.
        """
        messages = self.a.handover("s", 0)
        self.assertEqual(begin(self.a, self.key), OutcomeUnknown())
        for message in messages:
            self.s.adopt_handover(message, 0)
        self.assertIsInstance(begin(self.s, self.key), Proceed)
        self.assertNotIsInstance(begin(self.a, self.key), Proceed)

    def test_leaver_points_to_the_successor(self):
        """After the acknowledgement the leaver asks its successor for a caller."""
        hand_over(self.a, self.s)
        asked = begin(self.a, self.key)
        self.assertEqual((type(asked), asked.incarnation), (OwnedBy, "s"))
        asked = begin(self.b, self.key)
        moved = look_up(self.b, self.a, asked.lookup)
        self.assertIsInstance(look_up(self.b, self.s, moved.lookup), Proceed)

    def test_successor_waits_for_all_parts(self):
        """
        The leaver dies when half its ledger has arrived. The other half held a booking
        that ran; a successor that took "no record" for "never ran" would book again.
        """
        self.a = make_ledger("a", max_records=1_000)
        self.s = make_ledger("s", max_records=1_000)
        keys = [make_key(self.a, str(n)) for n in range(MAX_RECORDS_PER_PART + 1)]
        for key in keys:
            run(self.a, key)
        first, second = self.a.handover("s", 0)
        self.s.adopt_handover(first, 0)
        self.assertIsInstance(begin(self.s, keys[-1]), OwnedBy)
        self.s.adopt_handover(second, 0)
        self.assertEqual(begin(self.s, keys[-1]), Replay(ANSWER))

    def test_lost_acknowledgement_changes_nothing(self):
        """Parts are sent again until acknowledged, and taken once."""
        run(self.a, self.key)
        for message in self.a.handover("s", 0):
            self.s.adopt_handover(message, 0)
        unused = make_key(self.a, "2")
        self.s.mark_dispatched(begin(self.s, unused).attempt, 0)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, unused), InProgress())
        self.assertEqual(self.a.handover("s", 0), [])

    def test_request_in_progress_ends_at_the_leaver(self):
        """
        A booking runs while its host leaves. A repeat at the successor is told "in
        progress", and gets the answer once the leaver has it, also when the leaver has
        gone by then.
        """
        attempt = begin(self.a, self.key).attempt
        self.a.mark_dispatched(attempt, 0)
        hand_over(self.a, self.s)
        asked = begin(self.s, self.key)
        self.assertEqual(asked.incarnation, "a")
        self.assertEqual(look_up(self.s, self.a, asked.lookup), InProgress())
        self.a.mark_finished(attempt, ANSWER, 1)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))

    def test_refused_request_moves_to_the_successor(self):
        """A queued request that the leaver refuses may run at the successor, once."""
        attempt = begin(self.a, self.key).attempt
        hand_over(self.a, self.s)
        self.a.mark_not_run(attempt, 1)
        update = self.a.handover("s", 1)
        self.assertNotIsInstance(begin(self.a, self.key), Proceed)
        self.s.adopt_handover(update[0], 1)
        self.s.mark_dispatched(begin(self.s, self.key).attempt, 1)
        self.s.adopt_handover(update[0], 2)
        self.assertEqual(begin(self.s, self.key), InProgress())

    def test_leaver_lost_with_a_request_in_progress_is_unknown(self):
        """The leaver dies before it reports: its last request stays unknown."""
        self.a.mark_dispatched(begin(self.a, self.key).attempt, 0)
        hand_over(self.a, self.s)
        self.assertIsInstance(begin(self.s, self.key), OwnedBy)
        self.assertEqual(self.s.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())

    def test_grant_on_its_way_is_not_doubled_by_a_handover(self):
        """
        Host a withdrew a key for s, and the reply is delayed. a then leaves and hands
        its ledger to s, which carries the same right. s may use it once.
        """
        late = self.a.on_lookup(begin(self.s, self.key).lookup, 0)
        hand_over(self.a, self.s)
        self.s.mark_dispatched(begin(self.s, self.key).attempt, 0)
        self.assertIsNone(self.s.on_lookup_reply(late, 0))
        self.assertEqual(begin(self.s, self.key), InProgress())

    def test_key_that_the_successor_asked_for_comes_with_the_ledger(self):
        """A lookup that the leaver never saw is settled by its ledger."""
        begin(self.s, self.key)
        hand_over(self.a, self.s)
        self.assertIsInstance(begin(self.s, self.key), Proceed)

    def test_key_given_to_the_leaver_after_its_list_was_made(self):
        """
        Host a draws up its ledger for s, and the message is delayed. Meanwhile a caller
        brings a key of s to a, which gets the right from s and books the hall. The list
        that then reaches s does not have the key: it must not look unseen there.
        """
        messages = self.a.handover("s", 0)
        key = make_key(self.s)
        attempt = look_up(self.a, self.s, begin(self.a, key).lookup).attempt
        self.a.mark_dispatched(attempt, 0)
        self.a.mark_finished(attempt, ANSWER, 0)
        for message in messages:
            self.s.adopt_handover(message, 0)
        self.assertNotIsInstance(begin(self.s, key), Proceed)

    def test_key_run_before_the_range_came_is_kept_as_long_as_the_range(self):
        """
        Host s books under a key of a, which was given to it; much later a leaves, and s
        takes a's keys over with a clock that the slow message has set back. s must not
        forget its own booking before that clock calls the key expired.
        """
        proceed = look_up(self.s, self.a, begin(self.s, self.key).lookup)
        self.s.mark_dispatched(proceed.attempt, 0)
        self.s.mark_finished(proceed.attempt, ANSWER, 0)
        messages = self.a.handover("s", 0)
        arrival_ms = RETENTION_MS
        for message in messages:
            self.s.adopt_handover(message, arrival_ms)
        for now_ms in range(arrival_ms, 3 * RETENTION_MS, EPOCH_MS // 2):
            self.assertNotIsInstance(begin(self.s, self.key, now_ms), Proceed)

    def test_key_minted_while_the_leaver_drains_lasts_its_time(self):
        """
        A host drains for an hour, and a caller that kept its address asks it for a
        prefix. A key of the epoch in which the drain began would expire within minutes,
        and its repeat be told "unknown".
        """
        hand_over(self.a, self.s)
        drained_ms = RETENTION_MS
        key = make_key(self.a, "2", drained_ms)
        run(self.s, key, drained_ms)
        end_ms = drained_ms + RETENTION_MS
        self.assertEqual(begin(self.s, key, end_ms), Replay(ANSWER))
        with self.assertRaises(Refused):
            self.a.mint_prefix(drained_ms + EPOCH_MS)

    def test_wrong_body_at_the_successor_does_not_bind_the_key(self):
        """
        A call with a wrong body waited at s for the leaver's word when the ledger came,
        with the right call's answer. The right call gets it, and is not refused.
        """
        run(self.a, self.key)
        begin(self.s, self.key, 0, OTHER_PRINT)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))

    def test_second_successor_only_after_a_refusal(self):
        """
        The first successor restarts under the leaver's hands, or is full. Only its own
        word that it never will take the ledger lets the leaver name another.
        """
        full = make_ledger("s", max_records=0)
        run(self.a, self.key)
        hand_over(self.a, full)
        hand_over(self.a, self.b)
        self.assertEqual(begin(self.b, self.key), Replay(ANSWER))
        silent = make_ledger("silent")
        other = make_key(silent)
        silent.handover("s", 0)
        self.assertEqual(silent.handover("b", 0)[0].successor, "s")
        self.assertIsNone(self.b.adopt_handover(silent.handover("b", 0)[0], 0))
        self.assertNotIsInstance(begin(silent, other), Proceed)

    def test_leaving_host_takes_no_ledger(self):
        """Of two hosts that leave for each other, one at least refuses."""
        messages = self.a.handover("s", 0)
        hand_over(self.s, self.b)
        ack = self.s.adopt_handover(messages[0], 0)
        self.assertFalse(ack.accepted)
        self.a.on_handover_ack(ack, 0)
        self.assertIsInstance(begin(self.a, self.key), Proceed)

    def test_chain_of_planned_stops_keeps_the_records(self):
        """Over a whole rolling replacement a repeat still gets its answer."""
        run(self.a, self.key)
        unused = make_key(self.a, "2")
        hand_over(self.a, self.s)
        hand_over(self.s, self.b)
        self.assertEqual(begin(self.b, self.key), Replay(ANSWER))
        self.assertIsInstance(begin(self.b, unused), Proceed)

    def test_inherited_keys_expire_and_no_later_one_was_minted(self):
        """The successor judges the leaver's keys by the leaver's epochs."""
        unused = make_key(self.a)
        late = make_key(self.a, "2", EPOCH_MS)
        hand_over(self.a, self.s, EPOCH_MS)
        self.assertIsInstance(begin(self.s, late, EPOCH_MS + 1), Proceed)
        end_ms = RETENTION_MS + 2 * EPOCH_MS
        self.assertEqual(begin(self.s, unused, end_ms - EPOCH_MS), Expired())
        later = begin(self.s, unused, 2 * end_ms)
        self.assertNotIsInstance(later, Proceed)
