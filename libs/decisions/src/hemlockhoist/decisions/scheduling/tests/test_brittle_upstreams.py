import doctest
import unittest

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.limits import partition_share
from hemlockhoist.decisions.scheduling import (
    DeclaredSlotsTracker,
    PoolScheduler,
    brittle_upstreams,
    known_limits,
)
from hemlockhoist.decisions.scheduling.brittle_upstreams import (
    MAX_ABANDONED_MS,
    TAKEOVER_MS,
    BrittleUpstreams,
)
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind
from hemlockhoist.messages import NO_LIMIT

SLOTS = 4


def load_tests(loader, tests, pattern):
    for module in (brittle_upstreams, known_limits):
        tests.addTests(doctest.DocTestSuite(module))
    return tests


def upstream(name, started_unix_ms=1):
    return Upstream(
        upstream_id=name,
        pool="dossiers",
        version="v1",
        address="127.0.0.1:1",
        slot_count=SLOTS,
        started_unix_ms=started_unix_ms,
    )


class BrittleUpstreamsTests(unittest.TestCase):
    def setUp(self):
        self.brittle = BrittleUpstreams()

    def observe(self, rejections_per_s, heard_ms=0, now_ms=0):
        return self.brittle.observe("u1", rejections_per_s, heard_ms, now_ms)

    def test_upstreams_that_are_not_brittle_are_not_tracked(self):
        """Guards against a cost for pools whose upstreams are never brittle."""
        self.assertFalse(self.observe(NO_LIMIT))
        self.brittle.record_rejection("u1", 0)
        self.brittle.record_abandoned("u1", 500.0, 0)
        self.assertFalse(self.brittle.any_brittle)
        self.assertEqual(self.brittle.count_abandoned("u1", 0), 0)
        self.brittle.begin_takeover(0)
        self.assertTrue(self.brittle.allows("u1", 100, 0))

    def test_news_older_than_the_known_word_is_ignored(self):
        """Guards against answers that overtake each other on their way to the home."""
        self.assertTrue(self.observe(2.0, heard_ms=1_000, now_ms=1_000))
        self.assertFalse(self.observe(NO_LIMIT, heard_ms=900, now_ms=1_010))
        self.assertTrue(self.brittle.is_brittle("u1"))
        self.assertTrue(self.observe(NO_LIMIT, heard_ms=1_100, now_ms=1_110))
        self.assertFalse(self.observe(2.0, heard_ms=1_050, now_ms=1_120))
        self.assertFalse(self.brittle.is_brittle("u1"))

    def test_rejections_count_for_a_second(self):
        self.observe(3.0)
        for now_ms in (0, 100):
            self.brittle.record_rejection("u1", now_ms)
        self.assertTrue(self.brittle.allows("u1", 0, 200))
        self.assertFalse(self.brittle.allows("u1", 1, 200))
        self.assertTrue(self.brittle.allows("u1", 1, 1_050))
        self.assertTrue(self.brittle.allows("u1", SLOTS, 1_100))

    def test_upstream_that_bears_no_rejection_gets_one_request_in_doubt(self):
        """Guards against an upstream that gets no request ever again."""
        self.observe(0.0)
        self.brittle.begin_takeover(0)
        self.assertTrue(self.brittle.allows("u1", 0, 10))
        self.assertFalse(self.brittle.allows("u1", 1, 10))
        self.assertTrue(self.brittle.allows("u1", SLOTS, TAKEOVER_MS))

    def test_hosts_that_decide_alone_bring_no_more_in_doubt_than_one_home(self):
        """Guards against parts of a cut network that each use the whole bound."""
        for hosts in (7, 1_300):
            with self.subTest(hosts=hosts):
                self.brittle = BrittleUpstreams()
                self.observe(8.0)
                share = partition_share(hosts - 3, hosts, True)
                self.brittle.set_share(share)
                in_doubt = 0
                while self.brittle.allows("u1", in_doubt, 0):
                    in_doubt += 1
                self.assertLessEqual(in_doubt, max(1, 8 * share))

    def test_abandoned_requests_hold_slots_for_a_bounded_time(self):
        self.observe(1.0)
        self.brittle.record_abandoned("u1", 200.0, 0)
        self.brittle.record_abandoned("u1", 60_000.0, 0)
        self.assertEqual(self.brittle.count_abandoned("u1", 399), 2)
        self.assertEqual(self.brittle.count_abandoned("u1", 400), 1)
        self.assertEqual(self.brittle.count_abandoned("u1", MAX_ABANDONED_MS), 0)

    def test_withdrawn_word_frees_all(self):
        self.observe(1.0)
        self.brittle.record_rejection("u1", 0)
        self.brittle.record_abandoned("u1", 1_000.0, 0)
        self.observe(NO_LIMIT, heard_ms=10, now_ms=10)
        self.assertTrue(self.brittle.allows("u1", SLOTS, 20))
        self.assertEqual(self.brittle.count_abandoned("u1", 20), 0)


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
        tracker = DeclaredSlotsTracker()
        self.sched = PoolScheduler.from_config(pool, (), "i1", tracker=tracker)
        self.sched.set_upstreams([upstream("u1")], 0)

    def submit(self, now_ms=0):
        """Submit as many requests as the upstream has slots; return the grants."""
        decisions = []
        for _ in range(SLOTS):
            decisions += self.sched.submit(b.request(now_ms=now_ms), now_ms)
        return [item.grant for item in decisions if isinstance(item, Granted)]

    def release(self, grant, kind, now_ms):
        outcome = Outcome(kind=kind, total_ms=100)
        return self.sched.release(grant.grant_id, outcome, now_ms)

    def test_slots_stay_in_use_while_abandoned_work_may_go_on(self):
        """Guards against slots that are used again while abandoned work goes on."""
        for kind in (OutcomeKind.TIMEOUT, OutcomeKind.CANCELLED, OutcomeKind.LINK_LOST):
            with self.subTest(kind=kind):
                self.setUp()
                self.sched.observe_brittle("u1", 1.0, 0, 0)
                grants = self.submit()
                self.assertEqual(len(grants), SLOTS)
                self.release(grants[0], kind, 100)
                self.assertEqual(self.submit(100), [])
                self.assertEqual(
                    self.sched.held_back("host-1", 100, 5).brittle, ("u1",)
                )
                self.assertTrue(self.sched.tick(100 + MAX_ABANDONED_MS))

    def test_slots_of_answered_requests_are_used_at_once(self):
        self.sched.observe_brittle("u1", 0.0, 0, 0)
        grants = self.submit()
        self.assertTrue(grants[0].is_limited)
        self.release(grants[0], OutcomeKind.SUCCESS, 100)
        self.assertEqual(len(self.submit(100)), 1)

    def test_new_home_sends_few_requests_until_it_knows_all(self):
        """Guards against two homes that fill the same slots."""
        self.sched.begin_recovery(1_000)
        self.sched.end_recovery(1_000)
        self.sched.observe_brittle("u1", 2.0, 1_000, 1_000)
        self.assertEqual(len(self.submit(1_000)), 2)
        self.assertEqual(len(self.sched.tick(1_000 + TAKEOVER_MS)), 2)

    def test_word_of_a_restarted_upstream_is_forgotten(self):
        self.sched.observe_brittle("u1", 2.0, 0, 0)
        self.sched.set_upstreams([upstream("u1", started_unix_ms=2)], 10)
        (grant, *_) = self.submit(10)
        self.assertFalse(grant.is_limited)
