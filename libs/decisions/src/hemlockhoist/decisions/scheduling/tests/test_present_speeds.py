import unittest
from unittest import mock

from hemlockhoist.decisions import Rejected
from hemlockhoist.decisions.scheduling import Experiments, Mechanism
from hemlockhoist.decisions.scheduling.present_speeds import PresentSpeeds
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.test_declared_slots_tracker import (
    FAST_US,
    RequestSender,
    scheduler,
    success,
    upstream,
)

SLOW = 250


def learned(*names):
    """Return the sender of a pool whose upstreams have the same learned pace."""
    sender = RequestSender(scheduler(*names))
    sender.send(lambda _: success(FAST_US), count=10 * len(names))
    return sender


def report(sender, percent, *names):
    for name in names:
        sender.sched.observe_slowdown(name, percent, sender.now_ms, sender.now_ms)


class PlacementTests(unittest.TestCase):
    def test_upstream_is_avoided_while_it_is_slow_and_no_longer(self):
        sender = learned("a", "b")
        report(sender, SLOW, "a")
        self.assertEqual(sender.send(lambda _: success(FAST_US)), ["b"])
        report(sender, 100, "a")
        placed = sender.send(lambda _: success(FAST_US), count=6)
        self.assertIn("a", placed)

    def test_old_report_no_longer_counts(self):
        """Guards against an upstream that gets no work, and so no newer report."""
        sender = learned("a", "b")
        report(sender, SLOW, "a")
        sender.now_ms += 5_000
        placed = sender.send(lambda _: success(FAST_US), count=6)
        self.assertIn("a", placed)

    def test_slow_upstream_is_used_while_it_is_the_only_one(self):
        sender = learned("a")
        report(sender, 10_000, "a")
        self.assertEqual(sender.send(lambda _: success(FAST_US)), ["a"])
        self.assertFalse(sender.sched.is_suspended("a", sender.now_ms))

    def test_plain_service_is_placed_by_reports(self):
        sender = RequestSender(scheduler("a", "b"))
        call = b.SUCCESS
        sender.send(lambda _: call, count=20, prompt_tokens=0, output_tokens=0)
        report(sender, SLOW, "a")
        placed = sender.send(lambda _: call, prompt_tokens=0, output_tokens=0)
        self.assertEqual(placed, ["b"])

    def test_nothing_is_computed_without_reports(self):
        """Guards against a cost for pools whose upstreams report nothing."""
        with mock.patch.object(PresentSpeeds, "refresh", side_effect=AssertionError):
            learned("a", "b")

    def test_disabled_mechanism_ignores_reports(self):
        experiments = Experiments([Mechanism.REPORTED_SLOWDOWNS])
        tracker = experiments.declared_slots_tracker()
        tracker.set_listed([upstream("a")], 0)
        self.assertFalse(tracker.observe_slowdown("a", SLOW, 0, 0))
        self.assertEqual(tracker.get("a").slowdown, 1.0)


class LearningTests(unittest.TestCase):
    def test_learned_pace_is_that_of_the_usual_speed(self):
        """Guards against an upstream that is avoided after a slowdown is over."""
        sender = learned("a")
        report(sender, SLOW, "a")
        for _ in range(5):
            sender.send(lambda _: success(FAST_US * SLOW // 100))
            report(sender, SLOW, "a")
        tracked = sender.sched._upstreams.tracker.get("a")
        self.assertAlmostEqual(tracked.usual_pace.token_ms, FAST_US / 1_000, places=1)
        self.assertAlmostEqual(tracked.pace.token_ms, 2.5 * FAST_US / 1_000, places=1)

    def test_answer_that_was_slow_only_at_its_begin_is_no_sample_of_a_fast_one(self):
        sender = learned("a")
        for _ in range(5):
            report(sender, SLOW, "a")
            sender.sched.submit(b.request(now_ms=sender.now_ms), sender.now_ms)
            sender.now_ms += 300
            report(sender, 100, "a")
            grant_id = f"i1:dossiers:{sender.sched._assigner._sequence}"
            sender.sched.release(grant_id, success(FAST_US), sender.now_ms)
        tracked = sender.sched._upstreams.tracker.get("a")
        self.assertAlmostEqual(tracked.usual_pace.token_ms, FAST_US / 1_000, places=1)

    def test_cold_upstream_keeps_its_slowdown(self):
        sender = learned("a")
        report(sender, SLOW, "a")
        tracked = sender.sched._upstreams.tracker.get("a")
        for is_cold in (True, False):
            tracked.set_cold(is_cold)
            usual_ms = tracked.usual_pace.token_ms
            self.assertAlmostEqual(tracked.pace.token_ms, 2.5 * usual_ms)

    def test_restarted_upstream_has_no_report(self):
        sender = learned("a")
        report(sender, SLOW, "a")
        sender.sched.tick(sender.now_ms)
        restarted = [upstream("a", started_unix_ms=7)]
        sender.sched.set_upstreams(restarted, sender.now_ms)
        tracked = sender.sched._upstreams.tracker.get("a")
        self.assertEqual(tracked.pace, tracked.usual_pace)
        tracker = sender.sched._upstreams.tracker
        self.assertEqual(tracker.pool_slowdown(sender.now_ms), 1.0)


class AdmissionTests(unittest.TestCase):
    def test_expected_times_follow_the_reports_of_the_whole_pool(self):
        """Guards against requests that are queued too late for a pool that is slow."""
        sender = learned("a", "b")
        sched, tracker = sender.sched, sender.sched._upstreams.tracker
        for _ in range(100):
            sched._estimate.observe(b.request(), 200, 60)
        cases = ((1_000, 10.0, True), (100, 1.0, False))
        usual_ms = tracker.hold_ms(b.request())
        for percent, factor, is_refused in cases:
            with self.subTest(percent):
                report(sender, percent, "a", "b")
                sender.now_ms += 10
                deadline_ms = sender.now_ms + 900
                request = b.request(now_ms=sender.now_ms, deadline_ms=deadline_ms)
                decision = sched.submit(request, sender.now_ms)[0]
                self.assertEqual(isinstance(decision, Rejected), is_refused)
                hold_ms = tracker.hold_ms(b.request())
                self.assertAlmostEqual(hold_ms / usual_ms, factor, delta=0.5)

    def test_slow_upstream_of_several_counts_by_its_slots(self):
        sender = learned("a", "b")
        report(sender, 200, "a")
        found = sender.sched._upstreams.tracker.pool_slowdown(sender.now_ms)
        self.assertAlmostEqual(found, 4 / 3)


if __name__ == "__main__":
    unittest.main()
