import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions import LoadReport, Outcome, OutcomeKind, UpstreamState
from hemlockhoist.decisions.scheduling.tests import builders as b


class TierOrderTests(unittest.TestCase):
    def test_a_free_slot_goes_to_the_highest_tier(self):
        """Of two waiting requests, the newer one of the higher tier is granted."""
        sched = b.scheduler()
        first = sched.submit(b.request(), 0)
        low, high = b.request(rank=2), b.request(rank=0)
        sched.submit(low, 1)
        sched.submit(high, 2)
        after = sched.release(first[0].grant.grant_id, b.SUCCESS, 100)
        self.assertEqual(b.granted(after), [high.request_id])

    def test_a_full_queue_displaces_the_lowest_tier(self):
        """A top tier request is queued; one of the lowest tier is refused for it."""
        sched = b.scheduler(max_queued=1)
        sched.submit(b.request(), 0)
        low = b.request(rank=2)
        sched.submit(low, 1)
        sched.submit(b.request(rank=0), 2)
        decisions = sched.submit(b.request(rank=0), 3)
        self.assertEqual(b.rejected(decisions), [low.request_id])
        self.assertEqual(b.codes(decisions), [ResultCode.DISPLACED])
        self.assertGreater(decisions[0].retry_after_ms, 0)

    def test_a_lower_tier_never_displaces_a_higher_one(self):
        """With the queue full of higher tiers, a lower arrival is refused itself."""
        sched = b.scheduler(max_queued=1)
        sched.submit(b.request(), 0)
        sched.submit(b.request(rank=0), 1)
        sched.submit(b.request(rank=1), 2)
        low = b.request(rank=1)
        decisions = sched.submit(low, 3)
        self.assertEqual(b.rejected(decisions), [low.request_id])
        self.assertEqual(sched.queued, 2)

    def test_lower_tiers_are_refused_while_a_higher_one_is(self):
        """Guards against serving a lower tier after a higher one was refused.

        A burst of the top tier overflows its queue and is partly refused. A request of
        the lowest tier arrives a moment later. If it were queued, it could be served
        after a top tier request was refused.
        """
        sched = b.scheduler(max_queued=1)
        sched.submit(b.request(), 0)
        sched.submit(b.request(rank=0), 1)
        sched.submit(b.request(rank=0), 2)
        late = b.request(rank=2)
        self.assertEqual(b.rejected(sched.submit(late, 3)), [late.request_id])

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3)), max_size=60))
    def test_any_load_keeps_tier_order_and_decides_once(self, steps):
        """Every request gets at most one decision, and no tier order check fails."""
        sched = b.scheduler(slots=2, count=2, max_queued=3)
        open_grants, decided, now_ms = [], [], 0
        for rank, action in steps:
            now_ms += 400
            if action == 0 and open_grants:
                decisions = sched.release(open_grants.pop(0), b.SUCCESS, now_ms)
            elif action == 1:
                decisions = sched.tick(now_ms)
            else:
                decisions = sched.submit(b.request(rank=rank, now_ms=now_ms), now_ms)
            decided += b.granted(decisions) + b.rejected(decisions)
            open_grants += [d.grant.grant_id for d in decisions if hasattr(d, "grant")]
        self.assertEqual(len(decided), len(set(decided)))


class RefusalTests(unittest.TestCase):
    def test_a_request_that_would_be_late_is_refused_at_once(self):
        """Guards against queueing a request that cannot be served in time.

        Slots are held for 10 s each and several requests wait. A request arrives with a
        first token target of 2 s. If it were queued, it would be refused only after its
        target; it is refused at arrival, with the time that the queue needs.
        """
        sched = b.scheduler(slots=1, max_queued=50)
        grant = sched.submit(b.request(), 0)[0].grant
        sched.submit(b.request(first_token_by_ms=29_000), 1)
        grant = sched.release(grant.grant_id, b.SUCCESS, 10_000)[0].grant
        waiting = b.request(now_ms=10_000, first_token_by_ms=39_000)
        sched.submit(waiting, 10_001)
        unservable = b.request(now_ms=10_002)
        decisions = sched.submit(unservable, 10_002)
        self.assertEqual(b.rejected(decisions), [unservable.request_id])
        self.assertEqual(b.codes(decisions), [ResultCode.OVERLOADED])
        self.assertGreater(decisions[0].retry_after_ms, 5_000)

    def test_a_late_request_is_refused_when_another_waits(self):
        """A waiting request is refused when its first token target passes."""
        sched = b.scheduler()
        sched.submit(b.request(), 0)
        late, fresh = b.request(), b.request(now_ms=1_500)
        sched.submit(late, 0)
        sched.submit(fresh, 1_500)
        self.assertEqual(b.rejected(sched.tick(1_999)), [])
        self.assertEqual(b.rejected(sched.tick(2_001)), [late.request_id])

    def test_a_late_request_is_not_refused_while_lower_tiers_are_served(self):
        """Guards against shedding the top tier before a lower one.

        A pool is nearly full. A top tier request waits longer than its first token
        target, beside another of its tier. A lower tier was assigned a slot a moment
        before. Refusing now would shed the top tier before the lower one.
        """
        sched = b.scheduler(slots=2)
        sched.submit(b.request(), 0)
        sched.submit(b.request(rank=2), 1)
        late, fresh = b.request(), b.request(now_ms=1_000)
        sched.submit(late, 1)
        sched.submit(fresh, 1_000)
        for now_ms in range(2_000, 10_000, 100):
            self.assertEqual(sched.tick(now_ms), [])
        later = b.request(now_ms=10_000)
        sched.submit(later, 10_000)
        refused = []
        for now_ms in range(10_000, 13_500, 100):
            refused += b.rejected(sched.tick(now_ms))
        self.assertEqual(refused, [late.request_id, later.request_id])
        self.assertEqual(sched.queued, 1)

    def test_a_request_is_refused_at_its_deadline(self):
        """Alone in the queue, a request waits until its deadline and not longer."""
        sched = b.scheduler()
        sched.submit(b.request(deadline_ms=90_000), 0)
        alone = b.request()
        sched.submit(alone, 0)
        self.assertEqual(b.rejected(sched.tick(29_999)), [])
        self.assertEqual(b.codes(sched.tick(30_000)), [ResultCode.DEADLINE_PASSED])

    def test_a_customer_at_its_limit_is_refused(self):
        """One customer's limit neither blocks nor delays another customer."""
        sched = b.scheduler(slots=8)
        sched.submit(b.request(max_in_flight=1), 0)
        decisions = sched.submit(b.request(max_in_flight=1), 1)
        self.assertEqual(b.codes(decisions), [ResultCode.CUSTOMER_LIMIT])
        other = sched.submit(b.request(customer="tidewater", max_in_flight=1), 2)
        self.assertEqual(len(b.granted(other)), 1)

    def test_a_pool_without_upstreams_refuses_at_once(self):
        """When all upstreams leave, a request is refused now, not at its deadline."""
        sched = b.scheduler()
        leaving = b.upstreams(1, state=UpstreamState.LEAVING)
        sched.set_upstreams(leaving, 0)
        decisions = sched.submit(b.request(), 1)
        self.assertEqual(b.codes(decisions), [ResultCode.NO_UPSTREAM])


class FairnessTests(unittest.TestCase):
    def _serve(self, sched, grant, count):
        served = []
        for step in range(count):
            decisions = sched.release(grant.grant_id, b.SUCCESS, 100 + step)
            grant = decisions[0].grant
            served.append(decisions[0].request.customer)
        return served

    def test_a_heavy_customer_waits_behind_its_own_requests(self):
        """Thirty requests of one customer do not delay two of another."""
        sched = b.scheduler(max_queued=100)
        grant = sched.submit(b.request(), 0)[0].grant
        for _ in range(30):
            sched.submit(b.request(customer="heavy"), 1)
        for _ in range(2):
            sched.submit(b.request(customer="light"), 2)
        self.assertEqual(self._serve(sched, grant, 4).count("light"), 2)

    def test_weight_sets_the_share(self):
        """A customer of weight 3 gets three times the slots of one of weight 1."""
        sched = b.scheduler(max_queued=100)
        grant = sched.submit(b.request(), 0)[0].grant
        for _ in range(20):
            sched.submit(b.request(customer="large", weight=3), 1)
            sched.submit(b.request(customer="small"), 1)
        served = self._serve(sched, grant, 16)
        self.assertAlmostEqual(served.count("large"), 12, delta=1)

    def test_a_burst_of_one_customer_is_displaced_in_a_full_queue(self):
        """Guards against one customer's burst shutting out all others.

        One customer fills the whole queue of the tier. The first request of another
        customer displaces the last one of the customer that filled the queue.
        """
        sched = b.scheduler(max_queued=4)
        sched.submit(b.request(), 0)
        burst = [b.request(customer="heavy") for _ in range(4)]
        for item in burst:
            sched.submit(item, 1)
        decisions = sched.submit(b.request(customer="light"), 2)
        self.assertEqual(b.rejected(decisions), [burst[-1].request_id])

    def test_short_requests_overtake_long_ones_without_starving_them(self):
        """Short requests overtake a long one, which is still served eventually."""
        sched = b.scheduler(max_queued=100)
        grant = sched.submit(b.request(deadline_ms=900_000), 0)[0].grant
        far = {"deadline_ms": 900_000, "first_token_by_ms": 800_000}
        long = b.request(output_tokens=5_000, **far)
        sched.submit(long, 0)
        served = []
        for step in range(200):
            now_ms = 300 * (step + 1)
            sched.submit(b.request(output_tokens=20, **far), now_ms - 1)
            decisions = sched.release(grant.grant_id, b.SUCCESS, now_ms)
            grant = decisions[0].grant
            served.append(decisions[0].request.request_id)
        self.assertNotEqual(served[0], long.request_id)
        self.assertIn(long.request_id, served)


class LeavingTests(unittest.TestCase):
    def test_an_upstream_that_reports_leaving_gets_no_work(self):
        """Guards against sending requests to an engine that is stopping.

        An engine begins its graceful stop and reports so in its load report. The list
        shows it live for some more seconds. Requests sent to it meanwhile would be cut.
        """
        sched = b.scheduler(slots=4, count=2)
        report = LoadReport(
            upstream_id="u0", in_flight=0, queued=0, state=UpstreamState.LEAVING
        )
        sched.observe_load(report, 0)
        decisions = [sched.submit(b.request(), t)[0] for t in range(4)]
        self.assertEqual({d.grant.upstream_id for d in decisions}, {"u1"})

    def test_an_older_report_does_not_revert_leaving(self):
        """A report measured before the upstream reported that it leaves is ignored."""
        sched = b.scheduler()
        leaving = LoadReport(
            upstream_id="u0", in_flight=0, queued=0, state=UpstreamState.LEAVING
        )
        sched.observe_load(leaving, 5_000)
        older = LoadReport(upstream_id="u0", in_flight=0, queued=0, age_ms=3_000)
        sched.observe_load(older, 5_100)
        decisions = sched.submit(b.request(), 5_200)
        self.assertEqual(b.codes(decisions), [ResultCode.NO_UPSTREAM])

    def test_an_empty_upstream_list_is_ignored(self):
        """If the list service returns an empty list, requests are still granted."""
        sched = b.scheduler()
        sched.set_upstreams([], 0)
        self.assertEqual(len(b.granted(sched.submit(b.request(), 1))), 1)


class RepeatedMessageTests(unittest.TestCase):
    def test_a_repeated_submit_takes_no_second_slot(self):
        """The same request id gets the same grant and is counted once."""
        sched = b.scheduler(slots=4)
        item = b.request()
        first = sched.submit(item, 0)
        self.assertEqual(sched.submit(item, 1), first)
        self.assertEqual(sched.in_flight, 1)

    def test_a_submit_that_arrives_after_the_end_is_dropped(self):
        """A delayed copy of an answered request gets no grant."""
        sched = b.scheduler()
        item = b.request()
        grant = sched.submit(item, 0)[0].grant
        sched.release(grant.grant_id, b.SUCCESS, 100)
        self.assertEqual(sched.submit(item, 101), [])

    def test_a_request_that_was_not_sent_may_be_submitted_again(self):
        """After a failed connection attempt the same request may get another grant."""
        sched = b.scheduler()
        item = b.request()
        grant = sched.submit(item, 0)[0].grant
        failed = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        sched.release(grant.grant_id, failed, 100)
        self.assertEqual(b.granted(sched.submit(item, 101)), [item.request_id])

    def test_a_repeated_release_frees_one_slot(self):
        """Releasing the same grant twice does not admit two requests."""
        sched = b.scheduler()
        grant = sched.submit(b.request(), 0)[0].grant
        sched.submit(b.request(), 1)
        sched.submit(b.request(), 1)
        sched.release(grant.grant_id, b.SUCCESS, 50)
        self.assertEqual(sched.release(grant.grant_id, b.SUCCESS, 51), [])
        self.assertEqual(sched.in_flight, 1)
