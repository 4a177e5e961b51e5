import doctest
import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions import Granted, Outcome, OutcomeKind
from hemlockhoist.decisions.scheduling import host_back_offs
from hemlockhoist.decisions.scheduling.host_back_offs import HostBackOffs
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.test_rate_limits import (
    scheduler,
    upstream,
)

REST_MS = 3_000
EVERY_MS = 20


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(host_back_offs))
    return tests


class HostBackOffsTests(unittest.TestCase):
    def test_later_time_holds(self):
        """Guards against answers that overtake each other and shorten a rest."""
        back_offs = HostBackOffs()
        back_offs.record("u1", "h1", 3_000)
        back_offs.record("u1", "h1", 1_000)
        self.assertEqual(back_offs.wait_ms("u1", "h1", 0), 3_000)

    def test_passed_times_and_gone_hosts_use_no_memory(self):
        back_offs = HostBackOffs()
        back_offs.record("u1", "h1", 1_000)
        back_offs.record("u1", "h2", 2_000)
        back_offs.forget_passed(1_500)
        self.assertEqual(back_offs.backed_off_from("h2", 1_500), {"u1"})
        back_offs.forget_host("h2")
        self.assertFalse(back_offs.any_recorded)


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        self.sched = scheduler("u1", "u2")

    def submit(self, now_ms=0, host="h1", **fields):
        fields = {"now_ms": now_ms, "entry_host": host, **fields}
        return self.sched.submit(b.request(**fields), now_ms)

    def back_off(self, upstream_id, host="h1", until_ms=REST_MS):
        self.sched.observe_back_off(upstream_id, host, until_ms, 0)

    def test_requests_of_that_host_go_elsewhere_and_others_may_come(self):
        self.back_off("u1")
        for _ in range(4):
            (decision,) = self.submit()
            self.assertEqual(decision.grant.upstream_id, "u2")
        self.assertEqual(self.submit(), [])
        held_back = self.sched.held_back("h1", 0, 5)
        self.assertEqual(str(held_back), "backed off u1")
        self.assertEqual(str(self.sched.held_back("h2", 0, 5)), "")
        (decision,) = self.submit(host="h2")
        self.assertEqual(decision.grant.upstream_id, "u1")

    def test_waiting_request_gets_the_upstream_once_its_rest_is_over(self):
        self.back_off("u1", until_ms=500)
        for _ in range(5):
            self.submit()
        self.assertEqual(self.sched.tick(490), [])
        (decision,) = self.sched.tick(500)
        self.assertEqual(decision.grant.upstream_id, "u1")

    def test_host_that_all_upstreams_ask_for_rest_is_refused_until_its_end(self):
        """Guards against callers that wait in vain, and are told a useless time."""
        (decision,) = self.submit()
        outcome = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=100)
        self.sched.release(decision.grant.grant_id, outcome, 100)
        self.back_off("u1", until_ms=8_000)
        self.back_off("u2", until_ms=6_000)
        hurried = {"deadline_ms": 4_100, "first_token_by_ms": 1_100}
        (decision,) = self.submit(now_ms=100, **hurried)
        self.assertIs(decision.code, ResultCode.OVERLOADED)
        self.assertEqual(decision.retry_after_ms, 5_900)
        (decision,) = self.submit(now_ms=100, host="h2")
        self.assertIsInstance(decision, Granted)

    def test_request_does_not_wait_for_a_better_upstream_that_wants_rest(self):
        """Guards against a request that is kept waiting for an upstream it can't use.

        A prompt is late at the slow upstream, and would be in time at the fast one.
        """
        for name, token_ms in (("u1", 1), ("u2", 40)):
            tracked = self.sched._upstreams.tracker.get(name)
            for _ in range(20):
                tracked.pace.observe_token(token_ms)
        prompt = {"prompt_tokens": 4_000, "first_token_by_ms": 800}
        for _ in range(4):
            self.submit(**prompt)
        self.assertEqual(self.submit(**prompt), [])
        self.back_off("u1")
        (decision,) = self.submit(**prompt)
        self.assertEqual(decision.grant.upstream_id, "u2")

    def test_rest_of_a_restarted_upstream_is_forgotten(self):
        self.back_off("u1")
        listed = [upstream("u1", started_unix_ms=2), upstream("u2")]
        self.sched.set_upstreams(listed, 0)
        granted = [self.submit()[0].grant.upstream_id for _ in range(8)]
        self.assertIn("u1", granted)

    def test_rest_outlasts_a_lapse_of_the_list(self):
        """Guards against an upstream that is asked again after a store outage."""
        self.back_off("u1")
        self.sched.set_upstreams([upstream("u2")], 500)
        self.sched.set_upstreams([upstream("u1"), upstream("u2")], 600)
        granted = [self.submit(now_ms=600)[0].grant.upstream_id for _ in range(4)]
        self.assertEqual(set(granted), {"u2"})


class SheddingUpstreamTests(unittest.TestCase):
    """One upstream turns everything away and asks each host for rest; 200 hosts send."""

    def setUp(self):
        self.sched = scheduler("u1", "u2")
        self.away_ms = []
        self.served = []
        self.ends = []
        self.sheds = True

    def run_load(self, from_ms, until_ms):
        """Send more requests than one upstream serves, each from another host."""
        for now_ms in range(from_ms, until_ms, EVERY_MS):
            decisions = []
            while self.ends and self.ends[0][0] <= now_ms:
                decisions += self.end(self.ends.pop(0)[1], now_ms)
            host = f"h{now_ms // EVERY_MS % 200}"
            request = b.request(now_ms=now_ms, entry_host=host)
            decisions += self.sched.submit(request, now_ms)
            decisions += self.sched.tick(now_ms)
            for decision in decisions:
                if isinstance(decision, Granted):
                    self.ends.append((now_ms + 100, decision))

    def end(self, decision, now_ms):
        grant, request = decision.grant, decision.request
        outcome = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=20, total_ms=100)
        self.served.append(grant.upstream_id)
        if grant.upstream_id == "u1" and self.sheds:
            self.away_ms.append(now_ms)
            outcome = Outcome(kind=OutcomeKind.FAILED, total_ms=100)
            self.sched.observe_back_off(
                "u1", request.entry_host, now_ms + REST_MS, now_ms
            )
        return self.sched.release(grant.grant_id, outcome, now_ms)

    def test_it_is_asked_rarely_and_not_by_each_host(self):
        """Guards against callers that are refused after two such upstreams.

        Each of many hosts found out by itself, and again every three seconds.
        """
        self.run_load(0, 20_000)
        self.assertLess(len(self.away_ms), 20)
        self.assertGreater(len(self.away_ms), 5)

    def test_it_gets_its_share_again_after_a_success(self):
        self.run_load(0, 5_000)
        self.sheds = False
        self.run_load(5_000, 8_000)
        self.served.clear()
        self.run_load(8_000, 12_000)
        self.assertGreater(self.served.count("u1"), 40)

    def test_single_rejection_does_not_suspend_an_upstream(self):
        """Guards against rest for an upstream that serves most of its requests."""
        self.sched = scheduler("u1")
        self.sched.observe_back_off("u1", "h1", REST_MS, 0)
        for number in range(4):
            request = b.request(entry_host=f"g{number}")
            self.assertEqual(len(self.sched.submit(request, 0)), 1)
