import unittest

from hemlockhoist.decisions import Grant, LoadReport
from hemlockhoist.decisions.scheduling.recovery import RECOVERY_MS
from hemlockhoist.decisions.scheduling.tests import builders as b


def _grant(number, upstream_id="u0"):
    return Grant(
        grant_id=f"old:{number}",
        request_id=f"old{number}",
        upstream_id=upstream_id,
        address="127.0.0.1:1",
        version="v1",
        expires_ms=0,
    )


def _report(in_flight, age_ms=0):
    return LoadReport(upstream_id="u0", in_flight=in_flight, queued=0, age_ms=age_ms)


class RecoveryTests(unittest.TestCase):
    def test_new_home_does_not_grant_the_slots_of_its_predecessor_again(self):
        """Guards against granting all slots a second time after a takeover.

        A home fails while its upstream serves four requests, which is its limit. The
        next home does not know them yet and gets new requests. If it granted all slots
        again, the engine would hold eight and every answer would be late.
        """
        sched = b.scheduler(slots=4)
        sched.begin_recovery(0)
        self.assertEqual(sched.submit(b.request(), 1), [])
        sched.observe_load(_report(in_flight=4), 10)
        self.assertEqual(sched.in_flight, 0)

    def test_grants_the_slots_that_load_reports_leave_free(self):
        """Two of four slots are reported busy: two requests are granted, no more."""
        sched = b.scheduler(slots=4)
        sched.begin_recovery(0)
        sched.observe_load(_report(in_flight=2), 10)
        for now_ms in range(11, 15):
            sched.submit(b.request(), now_ms)
        self.assertEqual(sched.in_flight, 2)

    def test_phase_ends_after_its_duration(self):
        """An upstream that never reports its load is used again after the phase."""
        sched = b.scheduler(slots=4)
        sched.begin_recovery(0)
        sched.submit(b.request(deadline_ms=90_000, first_token_by_ms=9_000), 1)
        self.assertEqual(len(b.granted(sched.tick(RECOVERY_MS))), 1)

    def test_adopted_grants_count_once_and_are_released(self):
        """Entry hosts report their grants twice; each grant takes one slot."""
        sched = b.scheduler(slots=2)
        request = b.request(request_id="old1")
        sched.adopt(request, _grant(1), 0)
        sched.adopt(request, _grant(1), 1)
        self.assertEqual(len(b.granted(sched.submit(b.request(), 2))), 1)
        self.assertEqual(sched.submit(b.request(), 3), [])
        self.assertEqual(len(b.granted(sched.release("old:1", b.SUCCESS, 4))), 1)

    def test_adopted_request_is_not_granted_a_second_time(self):
        """Guards against two grants of one request by successive homes.

        An entry host submits a request again to the new home, though the previous home
        had sent a grant. The grant arrives late and is used; its report reaches the new
        home while the second submission is queued, which must then be removed.
        """
        sched = b.scheduler(slots=1)
        sched.submit(b.request(), 0)
        submitted = b.request(request_id="old1")
        sched.submit(submitted, 1)
        sched.adopt(submitted, _grant(1), 2)
        self.assertEqual(sched.queued, 0)

    def test_grants_of_a_dead_entry_host_are_released(self):
        """An entry host fails with its streams: its slots serve others at once."""
        sched = b.scheduler(slots=1)
        sched.submit(b.request(entry_host="dead"), 0)
        sched.submit(b.request(entry_host="dead"), 1)
        waiting = b.request(entry_host="host-2")
        sched.submit(waiting, 2)
        decisions = sched.forget_entry_host("dead", 3)
        self.assertEqual(b.granted(decisions), [waiting.request_id])

    def test_lost_release_does_not_hold_a_slot_forever(self):
        """Some time after the deadline the grant is no longer counted."""
        sched = b.scheduler(slots=1)
        sched.submit(b.request(), 0)
        sched.tick(36_000)
        self.assertEqual(sched.in_flight, 0)
