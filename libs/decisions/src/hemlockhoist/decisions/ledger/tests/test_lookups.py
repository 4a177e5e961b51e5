import unittest

from hemlockhoist.decisions.ledger import (
    Full,
    InProgress,
    OutcomeUnknown,
    OwnedBy,
    Proceed,
    Replay,
    Reused,
    WithdrawnTo,
)
from hemlockhoist.decisions.ledger.tests.ledgers import (
    ANSWER,
    CUSTOMER,
    OTHER_FINGERPRINT,
    begin,
    look_up,
    make_key,
    make_ledger,
    run,
)


class OtherHostTests(unittest.TestCase):
    def setUp(self):
        self.a, self.b, self.c = (make_ledger(name) for name in "abc")
        self.key = make_key(self.a)

    def test_repeat_at_another_host_gets_the_first_answer(self):
        """Checks that a repeat at another host replays the stored answer.

        Host a answered a booking, but the connection broke before the caller received
        the answer, and its client repeats the call at host b. b queries a and replays
        the answer; the next time it replays it without a.
        """
        run(self.a, self.key)
        pending = begin(self.b, self.key)
        self.assertEqual((type(pending), pending.incarnation), (OwnedBy, "a"))
        self.assertEqual(look_up(self.b, self.a, pending.lookup), Replay(ANSWER))
        self.assertEqual(begin(self.b, self.key), Replay(ANSWER))

    def test_unseen_key_is_granted_to_the_requester(self):
        """Checks that a key may run at another host than the one that minted it.

        The caller cannot reach host a and uses a's key at host b. a has never seen the
        key, so b may run it, and from then on callers at a are directed to b.
        """
        proceed = look_up(self.b, self.a, begin(self.b, self.key).lookup)
        self.b.mark_dispatched(proceed.attempt, 0)
        pointed = begin(self.a, self.key)
        self.assertEqual((type(pointed), pointed.incarnation), (WithdrawnTo, "b"))
        self.assertEqual(look_up(self.a, self.b, pointed.lookup), InProgress())
        self.b.mark_finished(proceed.attempt, ANSWER, 0)
        again = begin(self.a, self.key)
        self.assertEqual(look_up(self.a, self.b, again.lookup), Replay(ANSWER))

    def test_both_hosts_at_once_run_it_once(self):
        """Guards against running a call twice that is sent to two hosts at once.

        A client sends one booking to hosts a and b at the same time. In whatever order
        the messages arrive, one host proceeds and the other waits.
        """
        pending = begin(self.b, self.key)
        self.assertIsInstance(begin(self.a, self.key), Proceed)
        self.assertEqual(look_up(self.b, self.a, pending.lookup), InProgress())
        other = make_key(self.a, "2")
        pending = begin(self.b, other)
        reply = self.a.on_lookup(pending.lookup, 0)
        self.assertIsInstance(begin(self.a, other), WithdrawnTo)
        self.assertIsInstance(self.b.on_lookup_reply(reply, 0), Proceed)

    def test_one_of_two_requesters_gets_the_right(self):
        """Of two hosts that query an unseen key, only the first may dispatch it."""
        pending_b, pending_c = begin(self.b, self.key), begin(self.c, self.key)
        self.assertIsInstance(look_up(self.b, self.a, pending_b.lookup), Proceed)
        moved = look_up(self.c, self.a, pending_c.lookup)
        self.assertEqual(moved.incarnation, "b")
        self.assertEqual(look_up(self.c, self.b, moved.lookup), InProgress())

    def test_lost_grant_is_repeated_to_the_same_query(self):
        """Guards against losing the dispatch right with a lost reply.

        Host a grants a key to host b and the reply is lost, so b returns "outcome
        unknown" to its caller. On the next call a sends the same grant again. The
        delayed first reply then changes nothing.
        """
        lost = self.a.on_lookup(begin(self.b, self.key).lookup, 0)
        self.assertEqual(self.b.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())
        proceed = look_up(self.b, self.a, begin(self.b, self.key).lookup)
        self.b.mark_dispatched(proceed.attempt, 0)
        self.assertIsNone(self.b.on_lookup_reply(lost, 0))
        self.assertEqual(begin(self.b, self.key), InProgress())

    def test_late_grant_serves_the_next_call(self):
        """A grant for an abandoned lookup serves the next call."""
        late = self.a.on_lookup(begin(self.b, self.key).lookup, 0)
        self.b.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertIsNone(self.b.on_lookup_reply(late, 0))
        self.assertIsInstance(begin(self.b, self.key), Proceed)

    def test_requester_without_its_record_gets_no_second_grant(self):
        """Guards against a second booking after the record was dropped.

        Host b ran a key that was granted to it and has dropped the record with its
        epoch, while host a's clock stood still and a still has b as the holder. If b
        treated that as permission to dispatch, the booking would run twice.
        """
        proceed = look_up(self.b, self.a, begin(self.b, self.key).lookup)
        self.b.mark_dispatched(proceed.attempt, 0)
        self.b.mark_finished(proceed.attempt, ANSWER, 0)
        self.b.table.remove(self.b.table.get(CUSTOMER, self.key.text))
        pending = begin(self.b, self.key)
        self.assertEqual(look_up(self.b, self.a, pending.lookup), OutcomeUnknown())

    def test_delayed_lookup_does_not_move_a_returned_right(self):
        """Guards against granting the right to a query that is closed.

        The right goes from a to b and, after b's request was refused, back to a. Then a
        delayed copy of b's first lookup reaches a, which must not grant the right to a
        closed query.
        """
        first = begin(self.b, self.key).lookup
        attempt = look_up(self.b, self.a, first).attempt
        self.b.mark_not_run(attempt, 0)
        proceed = look_up(self.a, self.b, begin(self.a, self.key).lookup)
        self.a.mark_not_run(proceed.attempt, 0)
        self.assertIsNone(look_up(self.b, self.a, first))
        self.assertIsInstance(begin(self.a, self.key), Proceed)

    def test_stale_never_ran_reply_is_ignored(self):
        """Guards against reporting "not run" after the key has run.

        Host a was full when b queried it, so nothing ran. While that reply is delayed,
        the key runs at a. When the stale reply arrives during b's next lookup, "not
        run" is no longer true.
        """
        self.a = make_ledger("a", max_records=1)
        filler = begin(self.a, make_key(self.a, "9")).attempt
        key = make_key(self.a)
        stale = self.a.on_lookup(begin(self.b, key).lookup, 0)
        self.b.abandon_lookup(CUSTOMER, key, 0)
        self.a.mark_not_run(filler, 0)
        run(self.a, key)
        pending = begin(self.b, key)
        self.assertIsNone(self.b.on_lookup_reply(stale, 0))
        self.assertEqual(look_up(self.b, self.a, pending.lookup), Replay(ANSWER))

    def test_full_holder_grants_nothing(self):
        """Guards against reporting "not run" on the word of a full holder.

        Host a has no room to record the transfer of a key and replies so to b. Before
        the reply arrives, a has room again and runs another copy of the call. If b
        reported "not run", the caller would book again under another key.
        """
        self.a = make_ledger("a", max_records=1)
        filler = begin(self.a, make_key(self.a, "9")).attempt
        key = make_key(self.a)
        reply = self.a.on_lookup(begin(self.b, key).lookup, 0)
        self.a.mark_not_run(filler, 0)
        run(self.a, key)
        self.assertEqual(self.b.on_lookup_reply(reply, 0), InProgress())

    def test_full_host_reports_not_run_for_its_own_keys_only(self):
        """Guards against reporting "not run" for a key of another host.

        A booking ran at host a. Its repeat reaches b, which has no room for the record
        of a lookup. "Not run" would make the caller book again under another key.
        """
        run(self.a, self.key)
        full = make_ledger("b", max_records=0)
        self.assertEqual(begin(full, self.key), InProgress())
        self.assertEqual(begin(full, make_key(full)), Full())

    def test_different_body_is_refused_across_hosts(self):
        """A key that identifies a different request at its holder is refused."""
        run(self.a, self.key)
        pending = begin(self.b, self.key, 0, OTHER_FINGERPRINT)
        self.assertEqual(look_up(self.b, self.a, pending.lookup), Reused())

    def test_wrong_body_at_a_requesting_host_does_not_bind_the_key(self):
        """Guards against refusing the correct call after one with a wrong body.

        A booking ran at host a, which died. A call with a wrong body under the same key
        reached host c and got "unknown". When the correct call then reaches c, "another
        request, not run" would be wrong, because it ran at a.
        """
        begin(self.c, self.key, 0, OTHER_FINGERPRINT)
        self.c.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertIsInstance(begin(self.c, self.key), OwnedBy)

    def test_refused_repeat_keeps_the_record_of_a_transferred_key(self):
        """Guards against forgetting a transfer when a repeat is refused.

        Host a transferred a key to b, where the booking ran. A repeat with a wrong body
        reaches a, which queries b and refuses it, and then the correct call reaches a.
        If a had dropped its record with the refusal, the hall would be booked twice.
        """
        attempt = look_up(self.b, self.a, begin(self.b, self.key).lookup).attempt
        self.b.mark_dispatched(attempt, 0)
        pending = begin(self.a, self.key, 0, OTHER_FINGERPRINT)
        self.assertEqual(look_up(self.a, self.b, pending.lookup), Reused())
        self.assertIsInstance(begin(self.a, self.key), WithdrawnTo)

    def test_body_of_a_waiting_call_does_not_bind_the_key(self):
        """Guards against binding a key to a call that may still be refused.

        A call waits at host a while b queries a for a call with a different body. The
        first call may still be refused and the second run, so b must not report "not
        run" yet.
        """
        begin(self.a, self.key)
        pending = begin(self.b, self.key, 0, OTHER_FINGERPRINT)
        self.assertEqual(look_up(self.b, self.a, pending.lookup), InProgress())

    def test_restarted_host_answers_unknown_for_earlier_keys(self):
        """Guards against a second booking after the holder restarted.

        Host a dies after it dispatched a booking and restarts at the same address. The
        new process has no record, which must not lead to a second booking.
        """
        restarted = make_ledger("a2")
        pending = begin(self.b, self.key)
        self.assertEqual(look_up(self.b, restarted, pending.lookup), OutcomeUnknown())
        own = begin(restarted, self.key)
        self.assertIsInstance(own, OwnedBy)
        unknown = restarted.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertEqual(unknown, OutcomeUnknown())

    def test_dead_holder_gives_unknown_and_second_caller_waits(self):
        """Guards against reporting "not run" when the holder is dead.

        The holder is dead. The first caller at b waits for the reply, a second one gets
        "in progress", and both end as "outcome unknown", never as "not run".
        """
        begin(self.b, self.key)
        self.assertEqual(begin(self.b, self.key), InProgress())
        self.assertEqual(self.b.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())
        self.assertIsInstance(begin(self.b, self.key), OwnedBy)
