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
    OTHER_PRINT,
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
        """
        A booking was answered by host a, but the connection broke before the caller had
        the answer; its client goes to host b. b asks a and replays the answer, and can
        do so again without a.
        """
        run(self.a, self.key)
        asked = begin(self.b, self.key)
        self.assertEqual((type(asked), asked.incarnation), (OwnedBy, "a"))
        self.assertEqual(look_up(self.b, self.a, asked.lookup), Replay(ANSWER))
        self.assertEqual(begin(self.b, self.key), Replay(ANSWER))

    def test_unseen_key_is_withdrawn_for_the_asker(self):
        """
        The caller could not reach host a at all and goes to host b with a's key. a has
        never seen it: b may run it, and a's callers are pointed to b for good.
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
        """
        The client sends one booking to hosts a and b at the same time. Whichever way
        the messages cross, one host proceeds and the other waits.
        """
        asked = begin(self.b, self.key)
        self.assertIsInstance(begin(self.a, self.key), Proceed)
        self.assertEqual(look_up(self.b, self.a, asked.lookup), InProgress())
        other = make_key(self.a, "2")
        asked = begin(self.b, other)
        reply = self.a.on_lookup(asked.lookup, 0)
        self.assertIsInstance(begin(self.a, other), WithdrawnTo)
        self.assertIsInstance(self.b.on_lookup_reply(reply, 0), Proceed)

    def test_two_askers_get_one_right(self):
        """Of two hosts that ask for an unseen key only the first may dispatch it."""
        asked_b, asked_c = begin(self.b, self.key), begin(self.c, self.key)
        self.assertIsInstance(look_up(self.b, self.a, asked_b.lookup), Proceed)
        moved = look_up(self.c, self.a, asked_c.lookup)
        self.assertEqual(moved.incarnation, "b")
        self.assertEqual(look_up(self.c, self.b, moved.lookup), InProgress())

    def test_lost_grant_is_given_again_to_the_same_wish(self):
        """
        Host a withdraws a key for host b and the reply is lost; b tells its caller
        "outcome unknown". On the next try a gives the same grant again, and the delayed
        first reply then changes nothing.
        """
        lost = self.a.on_lookup(begin(self.b, self.key).lookup, 0)
        self.assertEqual(self.b.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())
        proceed = look_up(self.b, self.a, begin(self.b, self.key).lookup)
        self.b.mark_dispatched(proceed.attempt, 0)
        self.assertIsNone(self.b.on_lookup_reply(lost, 0))
        self.assertEqual(begin(self.b, self.key), InProgress())

    def test_late_grant_serves_the_next_call(self):
        """A grant that comes after its caller has gone is used by the next call."""
        late = self.a.on_lookup(begin(self.b, self.key).lookup, 0)
        self.b.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertIsNone(self.b.on_lookup_reply(late, 0))
        self.assertIsInstance(begin(self.b, self.key), Proceed)

    def test_asker_that_forgot_is_not_granted_again(self):
        """
        Host b ran a withdrawn key and its record has gone with the epochs, while host
        a's clock stood still. a still says "withdrawn for b"; if b took that for a
        permission, the booking would run twice.
        """
        proceed = look_up(self.b, self.a, begin(self.b, self.key).lookup)
        self.b.mark_dispatched(proceed.attempt, 0)
        self.b.mark_finished(proceed.attempt, ANSWER, 0)
        self.b.table.remove(self.b.table.get(CUSTOMER, self.key.text))
        asked = begin(self.b, self.key)
        self.assertEqual(look_up(self.b, self.a, asked.lookup), OutcomeUnknown())

    def test_right_returns_to_its_owner_and_old_questions_do_not_move_it(self):
        """
        The right goes from a to b and, when b's request was refused, back to a. A
        delayed copy of b's first question then reaches a, which must not give the right
        to a wish that is closed.
        """
        first = begin(self.b, self.key).lookup
        attempt = look_up(self.b, self.a, first).attempt
        self.b.mark_not_run(attempt, 0)
        proceed = look_up(self.a, self.b, begin(self.a, self.key).lookup)
        self.a.mark_not_run(proceed.attempt, 0)
        self.assertIsNone(look_up(self.b, self.a, first))
        self.assertIsInstance(begin(self.a, self.key), Proceed)

    def test_stale_never_ran_is_not_believed(self):
        """
        Host a was full when b asked, so nothing ran. That reply is delayed; the key runs
        at a meanwhile. When the old reply arrives for b's next caller, "not run" would
        be untrue.
        """
        self.a = make_ledger("a", max_records=1)
        filler = begin(self.a, make_key(self.a, "9")).attempt
        key = make_key(self.a)
        stale = self.a.on_lookup(begin(self.b, key).lookup, 0)
        self.b.abandon_lookup(CUSTOMER, key, 0)
        self.a.mark_not_run(filler, 0)
        run(self.a, key)
        asked = begin(self.b, key)
        self.assertIsNone(self.b.on_lookup_reply(stale, 0))
        self.assertEqual(look_up(self.b, self.a, asked.lookup), Replay(ANSWER))

    def test_full_holder_withdraws_nothing(self):
        """
        Host a has no room to record that it passes a key on, and tells b so; before b
        hears it, a has room again and runs another copy of the call. Were b to say "not
        run", the caller would book anew under another key.
        """
        self.a = make_ledger("a", max_records=1)
        filler = begin(self.a, make_key(self.a, "9")).attempt
        key = make_key(self.a)
        reply = self.a.on_lookup(begin(self.b, key).lookup, 0)
        self.a.mark_not_run(filler, 0)
        run(self.a, key)
        self.assertEqual(self.b.on_lookup_reply(reply, 0), InProgress())

    def test_full_host_says_not_run_of_its_own_keys_only(self):
        """
        A booking ran at host a; its repeat comes to b, which has no room to ask for it.
        "Not run" would send the caller to book anew.
        """
        run(self.a, self.key)
        full = make_ledger("b", max_records=0)
        self.assertEqual(begin(full, self.key), InProgress())
        self.assertEqual(begin(full, make_key(full)), Full())

    def test_other_body_is_refused_across_hosts(self):
        """A key that stands for another request at its owner is refused."""
        run(self.a, self.key)
        asked = begin(self.b, self.key, 0, OTHER_PRINT)
        self.assertEqual(look_up(self.b, self.a, asked.lookup), Reused())

    def test_wrong_body_at_an_asking_host_does_not_bind_the_key(self):
        """
        A booking ran at host a, which died. A call with a wrong body under the same key
        came to host c and was told "unknown". The right call then comes to c: "another
        request, not run" would be untrue, for it ran at a.
        """
        begin(self.c, self.key, 0, OTHER_PRINT)
        self.c.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertIsInstance(begin(self.c, self.key), OwnedBy)

    def test_refused_repeat_leaves_the_withdrawn_key_withdrawn(self):
        """
        Host a passed a key on to b, where the booking ran. A repeat with a wrong body
        comes to a, which asks b and refuses it; then the right call comes to a. Had a
        dropped its record with the refusal, the hall would be booked twice.
        """
        attempt = look_up(self.b, self.a, begin(self.b, self.key).lookup).attempt
        self.b.mark_dispatched(attempt, 0)
        asked = begin(self.a, self.key, 0, OTHER_PRINT)
        self.assertEqual(look_up(self.a, self.b, asked.lookup), Reused())
        self.assertIsInstance(begin(self.a, self.key), WithdrawnTo)

    def test_body_of_a_waiting_call_does_not_bind_the_key(self):
        """
        A call waits at host a while one with another body asks from b. The first may
        yet be refused and the second run, so that b must not say "not run" now.
        """
        begin(self.a, self.key)
        asked = begin(self.b, self.key, 0, OTHER_PRINT)
        self.assertEqual(look_up(self.b, self.a, asked.lookup), InProgress())

    def test_restart_at_the_same_address_knows_nothing(self):
        """
        Host a dies after sending a booking and starts again at the same address. The
        new process has no record; "no record" must not become a second booking.
        """
        restarted = make_ledger("a2")
        asked = begin(self.b, self.key)
        self.assertEqual(look_up(self.b, restarted, asked.lookup), OutcomeUnknown())
        own = begin(restarted, self.key)
        self.assertIsInstance(own, OwnedBy)
        unknown = restarted.abandon_lookup(CUSTOMER, self.key, 0)
        self.assertEqual(unknown, OutcomeUnknown())

    def test_dead_owner_is_unknown_and_second_caller_waits(self):
        """
        The owner is dead: the first caller at b waits for the reply, a second one is
        told "in progress", and both end as "outcome unknown", never as "not run".
        """
        begin(self.b, self.key)
        self.assertEqual(begin(self.b, self.key), InProgress())
        self.assertEqual(self.b.abandon_lookup(CUSTOMER, self.key, 0), OutcomeUnknown())
        self.assertIsInstance(begin(self.b, self.key), OwnedBy)
