import unittest

from hemlockhoist.base import Refused
from hemlockhoist.decisions.ledger import (
    Expired,
    InProgress,
    InTransit,
    OutcomeUnknown,
    OwnedBy,
    Proceed,
    Replay,
)
from hemlockhoist.decisions.ledger.handover import (
    MAX_INCOMPLETE,
    MAX_RECORDS_PER_PART,
)
from hemlockhoist.decisions.ledger.tests.ledgers import (
    ANSWER,
    CUSTOMER,
    EPOCH_MS,
    OTHER_FINGERPRINT,
    RETENTION_MS,
    begin,
    hand_over,
    look_up,
    make_key,
    make_ledger,
    run,
)
from hemlockhoist.messages import Handover


class HandoverTests(unittest.TestCase):
    def setUp(self):
        self.a, self.s, self.b = (make_ledger(name) for name in "asb")
        self.key = make_key(self.a)

    def test_repeat_after_a_planned_stop_gets_its_answer(self):
        """Guards against answering repeats with "unknown" after a planned stop.

        Host a answers a booking, leaves in a planned stop, and the caller repeats the
        call. Without the handover the repeat would get "unknown" at any host.
        """
        run(self.a, self.key)
        unused = make_key(self.a, "2")
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))
        self.assertIsInstance(begin(self.s, unused), Proceed)

    def test_other_hosts_query_the_successor(self):
        """A third host that knows the successor queries it instead of the leaver."""
        run(self.a, self.key)
        hand_over(self.a, self.s)
        self.b.record_successor("a", "s")
        pending = begin(self.b, self.key)
        self.assertEqual(pending.incarnation, "s")
        self.assertEqual(look_up(self.b, self.s, pending.lookup), Replay(ANSWER))

    def test_leaver_dispatches_no_new_key(self):
        """Guards against a key that runs at the leaver and at its successor.

        The leaver has sent its ledger and waits for the acknowledgement. A call that
        reaches the leaver now must not run concurrently with one at the successor.
        """
        messages = self.a.handover("s", 0)
        self.assertEqual(begin(self.a, self.key), InTransit())
        for message in messages:
            self.s.adopt_handover(message, 0)
        self.assertIsInstance(begin(self.s, self.key), Proceed)
        self.assertNotIsInstance(begin(self.a, self.key), Proceed)

    def test_leaver_refers_calls_to_the_successor(self):
        """After the acknowledgement the leaver refers calls to its successor."""
        hand_over(self.a, self.s)
        pending = begin(self.a, self.key)
        self.assertEqual((type(pending), pending.incarnation), (OwnedBy, "s"))
        pending = begin(self.b, self.key)
        moved = look_up(self.b, self.a, pending.lookup)
        self.assertIsInstance(look_up(self.b, self.s, moved.lookup), Proceed)

    def test_key_in_transit_is_not_reported_as_unknown(self):
        """Guards against "outcome unknown" for a call that never ran.

        The leaver still serves calls, and the successor has not confirmed its ledger.
        An unused key and one whose call was refused both go to the successor.
        """
        refused = make_key(self.b, "2")
        pending = begin(self.a, refused)
        proceed = look_up(self.a, self.b, pending.lookup)
        self.a.mark_not_run(proceed.attempt, 0)
        messages = self.a.handover("s", 0)
        for key in (self.key, refused):
            self.assertEqual(begin(self.a, key), InTransit())
        for message in messages:
            self.a.on_handover_ack(self.s.adopt_handover(message, 0), 0)
        for key in (self.key, refused):
            pending = begin(self.a, key)
            self.assertIsInstance(look_up(self.a, self.s, pending.lookup), Proceed)

    def test_key_refused_during_the_handover_is_not_reported_as_unknown(self):
        """Guards against "outcome unknown" before a later update is confirmed."""
        attempt = begin(self.a, self.key).attempt
        hand_over(self.a, self.s)
        self.a.mark_not_run(attempt, 0)
        (update,) = self.a.handover("s", 0)
        self.assertEqual(begin(self.a, self.key), InTransit())
        self.a.on_handover_ack(self.s.adopt_handover(update, 0), 0)
        pending = begin(self.a, self.key)
        self.assertIsInstance(look_up(self.a, self.s, pending.lookup), Proceed)

    def test_lookup_of_a_key_in_transit_gets_no_reply(self):
        """Guards against "outcome unknown" at a host that queries the leaver."""
        pending = begin(self.b, self.key)
        messages = self.a.handover("s", 0)
        self.assertIsNone(self.a.on_lookup(pending.lookup, 0))
        for message in messages:
            self.a.on_handover_ack(self.s.adopt_handover(message, 0), 0)
        moved = look_up(self.b, self.a, pending.lookup)
        self.assertIsInstance(look_up(self.b, self.s, moved.lookup), Proceed)

    def test_key_in_transit_is_usable_after_a_refusal(self):
        """Guards against a key that stays unusable once the ledger was refused."""
        messages = self.a.handover("s", 0)
        begin(self.a, self.key)
        self.s.handover("b", 0)
        for message in messages:
            self.a.on_handover_ack(self.s.adopt_handover(message, 0), 0)
        self.assertIsInstance(begin(self.a, self.key), Proceed)

    def test_successor_waits_for_all_parts(self):
        """Guards against a second booking after a partial handover.

        The leaver dies when only the first part of its ledger has arrived. The second
        part holds a booking that ran, and a successor that treated "no record" as
        "never ran" would book again.
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
        """Parts are sent again until acknowledged, and applied once."""
        run(self.a, self.key)
        for message in self.a.handover("s", 0):
            self.s.adopt_handover(message, 0)
        unused = make_key(self.a, "2")
        self.s.mark_dispatched(begin(self.s, unused).attempt, 0)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, unused), InProgress())
        self.assertEqual(self.a.handover("s", 0), [])

    def test_outcome_of_a_request_in_progress_follows(self):
        """Checks that an outcome after the handover reaches the successor.

        A booking runs while its host leaves. A repeat at the successor gets "in
        progress", and the answer once the leaver has reported it, even if the leaver
        has left by then.
        """
        attempt = begin(self.a, self.key).attempt
        self.a.mark_dispatched(attempt, 0)
        hand_over(self.a, self.s)
        pending = begin(self.s, self.key)
        self.assertEqual(pending.incarnation, "a")
        self.assertEqual(look_up(self.s, self.a, pending.lookup), InProgress())
        self.a.mark_finished(attempt, ANSWER, 1)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))

    def test_refused_request_moves_to_the_successor(self):
        """A queued request that the leaver refuses may run once at the successor."""
        attempt = begin(self.a, self.key).attempt
        hand_over(self.a, self.s)
        self.a.mark_not_run(attempt, 1)
        update = self.a.handover("s", 1)
        self.assertNotIsInstance(begin(self.a, self.key), Proceed)
        self.s.adopt_handover(update[0], 1)
        self.s.mark_dispatched(begin(self.s, self.key).attempt, 1)
        self.s.adopt_handover(update[0], 2)
        self.assertEqual(begin(self.s, self.key), InProgress())

    def test_request_in_progress_at_a_dead_leaver_is_unknown(self):
        """A request whose outcome a dead leaver did not report stays unknown."""
        self.a.mark_dispatched(begin(self.a, self.key).attempt, 0)
        hand_over(self.a, self.s)
        self.assertIsInstance(begin(self.s, self.key), OwnedBy)
        self.assertEqual(self.s.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())

    def test_grant_in_transit_is_not_duplicated_by_a_handover(self):
        """Guards against using one right twice: by grant and by handover.

        Host a granted a key to s, and the reply is delayed. Then a leaves and hands its
        ledger, which carries the same right, over to s. s may use the right once.
        """
        late = self.a.on_lookup(begin(self.s, self.key).lookup, 0)
        hand_over(self.a, self.s)
        self.s.mark_dispatched(begin(self.s, self.key).attempt, 0)
        self.assertIsNone(self.s.on_lookup_reply(late, 0))
        self.assertEqual(begin(self.s, self.key), InProgress())

    def test_key_that_the_successor_queried_comes_with_the_ledger(self):
        """The handover settles a lookup that never reached the leaver."""
        begin(self.s, self.key)
        hand_over(self.a, self.s)
        self.assertIsInstance(begin(self.s, self.key), Proceed)

    def test_key_granted_to_the_leaver_after_its_ledger_was_compiled(self):
        """Guards against running a key that the handover does not contain.

        Host a compiles its ledger for s, and the message is delayed. Meanwhile a caller
        uses a key of s at a, which gets the right from s and books the hall. The ledger
        that then reaches s does not contain the key, which must not look unseen there.
        """
        messages = self.a.handover("s", 0)
        key = make_key(self.s)
        attempt = look_up(self.a, self.s, begin(self.a, key).lookup).attempt
        self.a.mark_dispatched(attempt, 0)
        self.a.mark_finished(attempt, ANSWER, 0)
        for message in messages:
            self.s.adopt_handover(message, 0)
        self.assertNotIsInstance(begin(self.s, key), Proceed)

    def test_key_run_before_the_handover_is_kept_as_long_as_its_range(self):
        """Guards against dropping the record of a key that is still valid.

        Host s books under a key of a that was granted to it. Much later a leaves, and s
        takes over a's keys with a range clock that lags by the delay of the message. s
        must not drop its own record before the key expires on that clock.
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

    def test_key_minted_while_the_leaver_drains_is_retained(self):
        """Guards against keys that expire early because their host drained.

        A host drains for an hour, and a caller that kept its address requests a prefix
        from it. A key of the epoch in which the drain began would expire within
        minutes, and its repeat would get "unknown".
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
        """Guards against refusing the correct call after one with a wrong body.

        A call with a wrong body waits at s for the leaver's reply when the ledger
        arrives with the answer to the correct call. The correct call gets that answer
        and is not refused.
        """
        run(self.a, self.key)
        begin(self.s, self.key, 0, OTHER_FINGERPRINT)
        hand_over(self.a, self.s)
        self.assertEqual(begin(self.s, self.key), Replay(ANSWER))

    def test_second_successor_only_after_a_refusal(self):
        """Guards against two successors that both hold the dispatch rights.

        The first successor is full or restarts during the handover. The leaver may name
        another one only after the first has explicitly refused the ledger.
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

    def test_leaving_host_accepts_no_ledger(self):
        """Of two leaving hosts that name each other, at least one refuses."""
        messages = self.a.handover("s", 0)
        hand_over(self.s, self.b)
        ack = self.s.adopt_handover(messages[0], 0)
        self.assertFalse(ack.accepted)
        self.a.on_handover_ack(ack, 0)
        self.assertIsInstance(begin(self.a, self.key), Proceed)

    def test_chain_of_planned_stops_keeps_the_records(self):
        """A repeat still gets its answer after a complete rolling replacement."""
        run(self.a, self.key)
        unused = make_key(self.a, "2")
        hand_over(self.a, self.s)
        hand_over(self.s, self.b)
        self.assertEqual(begin(self.b, self.key), Replay(ANSWER))
        self.assertIsInstance(begin(self.b, unused), Proceed)

    def test_inherited_keys_expire(self):
        """The successor expires the leaver's keys by the leaver's epochs."""
        unused = make_key(self.a)
        late = make_key(self.a, "2", EPOCH_MS)
        hand_over(self.a, self.s, EPOCH_MS)
        self.assertIsInstance(begin(self.s, late, EPOCH_MS + 1), Proceed)
        end_ms = RETENTION_MS + 2 * EPOCH_MS
        self.assertEqual(begin(self.s, unused, end_ms - EPOCH_MS), Expired())
        later = begin(self.s, unused, 2 * end_ms)
        self.assertNotIsInstance(later, Proceed)


class IncompleteHandoverTests(unittest.TestCase):
    """Hosts die in the middle of handing their ledgers over, one after the other."""

    def setUp(self):
        self.successor = make_ledger("s")

    def send_part(self, leaver, part=0):
        message = Handover(leaver=leaver, successor="s", part=part, part_count=2)
        return self.successor.adopt_handover(message, 0)

    def test_incomplete_ledgers_use_bounded_memory(self):
        """Guards against a successor that keeps what dead hosts had begun to send."""
        for number in range(3 * MAX_INCOMPLETE):
            self.assertTrue(self.send_part(f"h{number}").accepted)
        incoming = self.successor._handover._incoming_parts
        self.assertEqual(len(incoming), MAX_INCOMPLETE)

    def test_leaver_whose_parts_were_dropped_keeps_its_ledger(self):
        """Guards against keys that no host holds after a dropped handover."""
        for number in range(MAX_INCOMPLETE + 1):
            self.send_part(f"h{number}")
        self.assertFalse(self.send_part("h0", part=1).accepted)
        self.assertTrue(self.send_part(f"h{MAX_INCOMPLETE}", part=1).accepted)
