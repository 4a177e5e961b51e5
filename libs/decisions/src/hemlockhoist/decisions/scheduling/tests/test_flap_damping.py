import doctest
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhoist.decisions import Outcome, OutcomeKind, Rejected, Upstream
from hemlockhoist.decisions.scheduling import (
    Experiments,
    Mechanism,
    PoolScheduler,
    flap_damping,
)
from hemlockhoist.decisions.scheduling.assignment import (
    MAX_NOT_REPEATABLE_SKIPPED,
    MAX_SKIPPED,
)
from hemlockhoist.decisions.scheduling.flap_damping import (
    SAME_LOSS_MS,
    UNLISTED_TTL_MS,
    FlapDamping,
)
from hemlockhoist.decisions.scheduling.flap_penalty import TRIAL_MS
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.flap_simulation import FlapSimulation
from hemlockhoist.decisions.work import leaving_upstream
from hemlockhoist.declarations import Pool, PoolKind

CRASH = Outcome(kind=OutcomeKind.BROKE_OFF, is_crash_suspect=True)
REFUSED = Outcome(kind=OutcomeKind.CONNECT_FAILED)


def upstreams(count, domain="", **fields):
    return [
        Upstream(
            upstream_id=f"u{number}",
            address=f"{number}:1",
            failure_domain=domain,
            **{"pool": "halls", "version": "v1", "slot_count": 1} | fields,
        )
        for number in range(count)
    ]


def flap(damping, upstream, times_ms, host=""):
    for now_ms in times_ms:
        damping.record_served(upstream.upstream_id, now_ms - 300)
        damping.record_loss(upstream, now_ms, host)


class FlapDampingTests(unittest.TestCase):
    def setUp(self):
        self.listed = upstreams(6)
        self.damping = FlapDamping(10_000)
        self.damping.set_listed(self.listed, self.listed, 0)

    def is_suppressed(self, name, now_ms):
        return self.damping.is_suppressed(name, now_ms)

    def test_one_loss_does_not_suppress(self):
        """Guards against losing an upstream for seconds after one quick restart."""
        flap(self.damping, self.listed[0], [1_000])
        # Further failures until it serves again belong to the same loss.
        for now_ms in (1_020, 1_500, 2_500):
            self.damping.record_loss(self.listed[0], now_ms)
        self.assertFalse(self.is_suppressed("u0", 2_500))

    def test_suppression_ends_with_the_penalty_and_at_the_longest_time(self):
        flap(self.damping, self.listed[0], [1_000, 2_000])
        self.assertTrue(self.is_suppressed("u0", 2_000))
        self.assertTrue(self.is_suppressed("u0", 6_000))
        self.assertFalse(self.is_suppressed("u0", 8_000))
        short = FlapDamping(1_000)
        short.set_listed(self.listed, self.listed, 0)
        flap(short, self.listed[0], [1_000, 2_000, 2_900])
        self.assertTrue(short.is_suppressed("u0", 2_999))
        self.assertFalse(short.is_suppressed("u0", 3_000))

    def test_refused_connection_before_it_ever_served_is_no_loss(self):
        """Guards against suppressing upstreams that are listed before they listen."""
        for now_ms in (1_000, 2_000, 3_000):
            self.damping.record_loss(self.listed[0], now_ms)
        self.assertFalse(self.damping.any_penalty)

    def test_penalty_follows_the_address_to_another_id(self):
        """Guards against a restarted upstream that escapes by its new id."""
        flap(self.damping, self.listed[0], [1_000])
        self.damping.set_listed(self.listed[1:], self.listed[1:], 1_500)
        renamed = Upstream(upstream_id="new", pool="halls", version="v1", address="0:1")
        listed = [renamed, *self.listed[1:]]
        self.damping.set_listed(listed, listed, 1_700)
        flap(self.damping, renamed, [2_100])
        self.assertTrue(self.is_suppressed("new", 2_100))

    def test_penalty_follows_the_id_to_another_address(self):
        flap(self.damping, self.listed[0], [1_000, 2_000])
        moved = Upstream(upstream_id="u0", pool="halls", version="v1", address="9:9")
        listed = [moved, *self.listed[1:]]
        self.damping.set_listed(listed, listed, 2_100)
        self.assertTrue(self.is_suppressed("u0", 2_200))

    def test_simultaneous_losses_in_one_domain_are_none(self):
        """Guards against suppressing a domain's upstreams when its network flaps."""
        listed = upstreams(6, domain="d1")
        self.damping.set_listed(listed, listed, 0)
        for now_ms in (1_000, 2_000, 3_000):
            for number in (0, 1, 2):
                flap(self.damping, listed[number], [now_ms + 10 * number])
        self.assertFalse(self.damping.suppressed(3_100))

    def test_losses_in_different_domains_count_each(self):
        listed = [upstreams(6, domain=f"d{n}")[n] for n in range(6)]
        self.damping.set_listed(listed, listed, 0)
        for now_ms in (1_000, 2_000):
            for number in (0, 1):
                flap(self.damping, listed[number], [now_ms + 10 * number])
        self.assertEqual(self.damping.suppressed(2_100), {"u0", "u1"})

    def test_reports_of_a_host_that_lost_its_links_are_taken_back(self):
        """Guards against one partitioned host suppressing a third of the pool."""
        flap(self.damping, self.listed[0], [1_000], "h1")
        flap(self.damping, self.listed[0], [1_400], "h2")
        self.assertTrue(self.is_suppressed("u0", 1_400))
        self.damping.retract_reports_of("h2", 1_500)
        self.assertFalse(self.is_suppressed("u0", 1_500))

    def test_at_most_a_third_is_suppressed_and_never_the_last(self):
        for count, expected in ((1, 0), (2, 1), (3, 1), (4, 2), (45, 15)):
            with self.subTest(count):
                listed = upstreams(count)
                damping = FlapDamping(10_000)
                damping.set_listed(listed, listed, 0)
                for at_ms in (1_000, 2_000):
                    for number, item in enumerate(listed):
                        flap(damping, item, [at_ms + number])
                self.assertEqual(len(damping.suppressed(2_100)), expected)

    def test_bound_holds_in_each_region(self):
        """Guards against a region whose only upstream is suppressed."""
        here = Upstream(
            upstream_id="e", pool="halls", version="v1", address="e:1", region="east"
        )
        listed = [*upstreams(6), here]
        self.damping.set_listed(listed, listed, 0)
        flap(self.damping, here, [1_000, 2_000])
        self.assertFalse(self.is_suppressed("e", 2_000))

    def test_suspended_upstreams_are_not_usable_for_the_bound(self):
        """Guards against suppressing most of those that accept connections."""
        for number in (0, 1):
            flap(self.damping, self.listed[number], [1_000 + number, 2_000 + number])
        self.assertEqual(len(self.damping.suppressed(2_100)), 2)
        self.damping.is_suspended = lambda name, now_ms: name in ("u3", "u4", "u5")
        self.damping.on_tick(2_200)
        self.assertEqual(self.damping.suppressed(2_200), {"u1"})

    def test_bound_is_applied_when_other_upstreams_leave(self):
        for number in (0, 1):
            flap(self.damping, self.listed[number], [1_000 + number, 2_000 + number])
        self.assertEqual(len(self.damping.suppressed(2_100)), 2)
        self.damping.set_usable(self.listed[:2], 2_200)
        self.assertEqual(len(self.damping.suppressed(2_200)), 1)

    def test_trial_is_one_repeatable_request(self):
        """Guards against losing the first request after a suppression for good."""
        flap(self.damping, self.listed[0], [1_000, 2_000])
        now_ms = 8_000
        once = b.request(idempotent=False)
        self.damping.record_arrival(b.request(), now_ms - TRIAL_MS + 1)
        self.damping.record_arrival(once, now_ms)
        self.assertFalse(self.damping.allows(once, "u0", now_ms))
        self.assertTrue(self.damping.allows(b.request(), "u0", now_ms))
        self.damping.record_grant("u0", now_ms)
        self.assertFalse(self.damping.allows(b.request(), "u0", now_ms + 10))
        self.damping.record_served("u0", now_ms + 50)
        self.assertTrue(self.damping.allows(once, "u0", now_ms + 50))

    def test_trial_ends_without_repeatable_requests(self):
        """Guards against a pool whose requests all wait for a repeatable one."""
        flap(self.damping, self.listed[0], [1_000, 2_000])
        once = b.request(idempotent=False)
        self.damping.record_arrival(b.request(), 7_900 + TRIAL_MS)
        self.assertTrue(self.damping.allows(once, "u0", 8_000 + TRIAL_MS))

    def test_trial_is_any_request_where_no_repeatable_one_arrives(self):
        """Guards against requests that wait a second for a repeatable one in vain."""
        flap(self.damping, self.listed[0], [1_000, 2_000])
        now_ms = 8_000
        once = b.request(idempotent=False)
        self.damping.record_arrival(b.request(), now_ms - TRIAL_MS)
        self.assertTrue(self.damping.allows(once, "u0", now_ms))
        self.damping.record_grant("u0", now_ms)
        self.assertFalse(self.damping.allows(once, "u0", now_ms + 10))
        self.damping.record_served("u0", now_ms + 50)
        self.assertTrue(self.damping.allows(once, "u0", now_ms + 50))

    def test_lost_trial_suppresses_again(self):
        flap(self.damping, self.listed[0], [1_000, 2_000])
        flap(self.damping, self.listed[0], [8_000])
        self.assertTrue(self.is_suppressed("u0", 8_000))

    def test_lowest_penalty_is_used_if_all_free_ones_are_suppressed(self):
        flap(self.damping, self.listed[0], [1_000, 2_000])
        flap(self.damping, self.listed[1], [1_500, 2_000, 2_500])
        free = self.listed[:2]
        self.assertEqual(self.damping.available(free, 2_600), [self.listed[0]])
        once = b.request(idempotent=False)
        self.assertFalse(self.damping.allows(once, "u0", 2_600))
        self.assertTrue(self.damping.allows(b.request(), "u0", 2_600))
        self.damping.record_grant("u0", 2_600)
        self.assertFalse(self.damping.allows(b.request(), "u0", 2_610))
        self.assertEqual(self.damping.available(self.listed, 2_600), self.listed[2:])

    def test_state_of_upstreams_that_are_gone_is_dropped(self):
        """Guards against state that grows with each restart under a new address."""
        flap(self.damping, self.listed[0], [1_000, 2_000])
        kept = self.listed[1:]
        self.damping.set_listed(kept, kept, 3_000)
        self.damping.set_listed(kept, kept, 3_000 + UNLISTED_TTL_MS)
        self.damping.on_tick(60_000)
        self.assertFalse(self.damping.any_penalty)
        self.assertIsNone(self.damping.known_upstream("u0"))

    @settings(max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5), st.integers(0, 2_000), st.sampled_from("slrnu")
            ),
            max_size=60,
        )
    )
    def test_bound_and_longest_time_hold_for_any_sequence(self, steps):
        damping = FlapDamping(3_000)
        listed = upstreams(6)
        damping.set_listed(listed, listed, 0)
        now_ms = 0
        for number, wait_ms, step in steps:
            now_ms += wait_ms
            if step == "s":
                damping.record_served(f"u{number}", now_ms)
            elif step == "l":
                flap(damping, listed[number], [now_ms + SAME_LOSS_MS], "h")
            elif step == "r":
                damping.retract_reports_of("h", now_ms)
            elif step == "u":
                damping.set_usable(listed[: number + 1], now_ms)
                damping.set_usable(listed, now_ms)
            else:
                damping.on_tick(now_ms)
            found = damping.suppressed(now_ms)
            self.assertLessEqual(len(found), 2)
        self.assertFalse(damping.suppressed(now_ms + 3_000 + SAME_LOSS_MS))

    def test_examples(self):
        self.assertEqual(doctest.testmod(flap_damping).failed, 0)


class SchedulerTests(unittest.TestCase):
    """A pool of three upstreams with a slot each, of which one flaps."""

    def setUp(self):
        self.scheduler = self.new_scheduler()

    def new_scheduler(self, experiments=None, max_suppressed_ms=10_000):
        experiments = experiments or Experiments()
        scheduler = PoolScheduler.from_config(
            Pool(name="halls", kind=PoolKind.MODEL, stable_version=""),
            (),
            "i1",
            tracker=experiments.declared_slots_tracker(),
            experiments=experiments,
            max_suppressed_ms=max_suppressed_ms,
        )
        scheduler.set_upstreams(upstreams(3), 0)
        return scheduler

    def end(self, name, outcome, now_ms, host="host-1", scheduler=None):
        """Let a request be granted an upstream, and end with an outcome."""
        scheduler = scheduler or self.scheduler
        others = tuple(f"u{n}" for n in range(3) if f"u{n}" != name)
        request = b.request(now_ms=now_ms, avoid=others, entry_host=host)
        (granted,) = scheduler.submit(request, now_ms)
        self.assertEqual(granted.grant.upstream_id, name)
        scheduler.release(granted.grant.grant_id, outcome, now_ms + 20)

    def suppressed(self, now_ms):
        return self.scheduler.suppressed_upstreams(now_ms)

    def test_crashes_suppress_and_grants_go_elsewhere(self):
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms)
        self.assertEqual(self.suppressed(2_100), {"u0"})
        self.assertIn("flapping u0", str(self.scheduler.held_back("host-1", 2_100, 5)))
        for _ in range(2):
            (granted,) = self.scheduler.submit(b.request(now_ms=2_100), 2_100)
            self.assertNotEqual(granted.grant.upstream_id, "u0")

    def test_suppressed_upstream_serves_when_no_other_is_free(self):
        """Guards against requests that wait while a slot is free."""
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms)
        for _ in range(3):
            decisions = self.scheduler.submit(b.request(now_ms=2_100), 2_100)
        self.assertEqual(decisions[0].grant.upstream_id, "u0")

    def test_hedge_avoids_suppressed_upstreams_and_those_on_trial(self):
        """Guards against a second attempt that a flapping upstream loses."""
        for now_ms, busy_count in ((2_100, 4), (7_300, 0)):
            scheduler = self.new_scheduler()
            scheduler.set_upstreams(upstreams(3, slot_count=2), 0)
            for at_ms in (1_000, 2_000):
                self.end("u0", CRASH, at_ms, scheduler=scheduler)
            for _ in range(busy_count):
                (granted,) = scheduler.submit(b.request(now_ms=now_ms), now_ms)
                self.assertNotEqual(granted.grant.upstream_id, "u0")
            hedge = b.request(
                now_ms=now_ms,
                is_hedge=True,
                run_number=2,
                arrival_number=2,
                avoid=("u1", "u2"),
            )
            with self.subTest(now_ms):
                (decision,) = scheduler.submit(hedge, now_ms)
                self.assertIsInstance(decision, Rejected)

    def test_repeatable_request_behind_many_others_is_served(self):
        """Guards against an idle slot that no request before the bound may use."""
        for count, is_served in (
            (MAX_SKIPPED, True),
            (MAX_NOT_REPEATABLE_SKIPPED, False),
        ):
            scheduler = self.new_scheduler()
            for now_ms in (1_000, 2_000):
                self.end("u0", CRASH, now_ms, scheduler=scheduler)
            for _ in range(2):
                self.assertTrue(scheduler.submit(b.request(now_ms=2_100), 2_100))
            for _ in range(count):
                once = b.request(now_ms=2_100, idempotent=False)
                self.assertEqual(scheduler.submit(once, 2_100), [])
            request = b.request(now_ms=2_100)
            with self.subTest(count):
                found = b.granted(scheduler.submit(request, 2_100))
                self.assertEqual(found, [request.request_id] if is_served else [])

    def test_only_upstream_that_is_up_serves_all_requests(self):
        """Guards against refusing non-repeatable calls while an upstream is up."""
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms, "host-2")
        # Another host failed to connect too, so that the upstream is at fault.
        refused = Outcome(kind=OutcomeKind.CONNECT_FAILED, relay="host-2")
        served = 0
        for now_ms in range(2_100, 6_600, 100):
            avoid = ()
            for attempt in range(1, 4):
                request = b.request(
                    now_ms=now_ms, idempotent=False, avoid=avoid, arrival_number=attempt
                )
                found = self.scheduler.submit(request, now_ms)
                if not found or not hasattr(found[0], "grant"):
                    self.scheduler.cancel(request.request_id, now_ms)
                    break
                grant = found[0].grant
                is_up = grant.upstream_id == "u0"
                outcome = b.SUCCESS if is_up else refused
                self.scheduler.release(grant.grant_id, outcome, now_ms + 1)
                if is_up:
                    served += 1
                    break
                avoid = (*avoid, grant.upstream_id)
            self.scheduler.tick(now_ms + 50)
        self.assertEqual(served, 45)
        self.assertGreater(self.scheduler._upstreams.slots(6_600), 0)

    def serve(self, outcomes, now_ms, **fields):
        """Send a request until it is served; return the upstreams that it was sent to.

        Parameters
        ==========
        outcomes : dict
            Of upstreams that do not serve it.
        now_ms : int
        """
        tried = ()
        for attempt in range(1, 4):
            request = b.request(
                now_ms=now_ms, avoid=tried, arrival_number=attempt, **fields
            )
            found = self.scheduler.submit(request, now_ms)
            if not b.granted(found):
                self.scheduler.cancel(request.request_id, now_ms)
                break
            grant = found[0].grant
            outcome = outcomes.get(grant.upstream_id, b.SUCCESS)
            self.scheduler.release(grant.grant_id, outcome, now_ms + 1)
            tried = (*tried, grant.upstream_id)
            if outcome is b.SUCCESS:
                break
        return tried

    def test_suppressed_upstream_serves_a_request_that_all_others_refuse(self):
        """Guards against a host whose requests fail though one upstream takes them."""
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms, "host-2")
        refusing = {"u1": REFUSED, "u2": REFUSED}
        for idempotent in (True, False):
            for now_ms in range(2_100, 4_500, 300):
                self.assertNotIn("u0", self.serve({}, now_ms, entry_host="host-2"))
                sent = self.serve(refusing, now_ms + 100, idempotent=idempotent)
                with self.subTest(idempotent=idempotent, now_ms=now_ms):
                    self.assertEqual(sent[-1], "u0")
                self.scheduler.tick(now_ms + 200)
        self.assertEqual(self.suppressed(4_600), {"u0"})

    def test_suppressed_upstream_serves_a_host_that_is_backed_off_from_all_others(self):
        """Guards against requests that wait for the end of a back-off beside a slot."""
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms, "host-2")
        for name in ("u1", "u2"):
            self.scheduler.observe_back_off(name, "host-1", 9_000, 2_050)
        for idempotent in (True, False):
            sent = self.serve({}, 2_100, idempotent=idempotent)
            self.assertEqual(sent, ("u0",))
        other = self.serve({}, 2_100, idempotent=False, entry_host="host-2")
        self.assertNotEqual(other, ("u0",))

    def test_request_that_all_others_refuse_waits_for_a_busy_suppressed_one(self):
        """Guards against several requests lost at an upstream that is not up yet."""
        self.scheduler.set_upstreams(upstreams(3, slot_count=4), 0)
        for now_ms in (1_000, 2_000):
            self.end("u0", CRASH, now_ms, "host-2")
        fields = {"now_ms": 2_100, "avoid": ("u1", "u2"), "idempotent": False}
        first, second = b.request(**fields), b.request(**fields)
        (granted,) = self.scheduler.submit(first, 2_100)
        self.assertEqual(granted.grant.upstream_id, "u0")
        self.assertEqual(self.scheduler.submit(second, 2_100), [])
        found = self.scheduler.release(granted.grant.grant_id, b.SUCCESS, 2_300)
        self.assertEqual(b.granted(found), [second.request_id])

    def test_trial_serves_a_waiting_request_where_no_repeatable_one_arrives(self):
        """Guards against a slot that is idle for a second while a request waits."""
        for arrives, expected_ms in ((False, 0), (True, TRIAL_MS)):
            self.scheduler = self.new_scheduler()
            for now_ms in (1_000, 2_000):
                self.end("u0", CRASH, now_ms)
            fields = {"idempotent": False, "first_token_by_ms": 20_000}
            for now_ms in (5_000, 5_000, 5_010):
                found = self.scheduler.submit(
                    b.request(now_ms=now_ms, **fields), now_ms
                )
            self.assertEqual(found, [])
            released_ms = None
            for now_ms in range(5_100, 9_000, 50):
                if arrives:
                    damping = self.scheduler._upstreams.damping
                    damping.record_arrival(b.request(now_ms=now_ms), now_ms)
                if released_ms is None and not self.suppressed(now_ms):
                    released_ms = now_ms
                if b.granted(self.scheduler.tick(now_ms)):
                    break
            with self.subTest(arrives=arrives):
                self.assertEqual(now_ms - released_ms, expected_ms)

    def test_planned_stop_is_no_loss(self):
        """Guards against a rolling restart that suppresses what it has restarted."""
        for now_ms in (1_000, 2_000, 3_000):
            request = b.request(now_ms=now_ms, avoid=("u1", "u2"))
            (granted,) = self.scheduler.submit(request, now_ms)
            leaving = upstreams(3)[1:]
            self.scheduler.set_upstreams(
                [*leaving, leaving_upstream(upstreams(1)[0])], now_ms + 1
            )
            self.scheduler.release(granted.grant.grant_id, CRASH, now_ms + 20)
            self.scheduler.set_upstreams(upstreams(3), now_ms + 500)
        self.assertFalse(self.suppressed(3_600))

    def test_answer_to_a_request_before_the_loss_does_not_count_as_served(self):
        """Guards against one crash that counts as two losses, and so suppresses."""
        listed = upstreams(3, slot_count=4)
        for reports_first_token in (False, True):
            scheduler = self.new_scheduler()
            scheduler.set_upstreams(listed, 0)
            grants = []
            for now_ms in (900, 910, 1_100):
                request = b.request(now_ms=now_ms, avoid=("u1", "u2"))
                (granted,) = scheduler.submit(request, now_ms)
                self.assertEqual(granted.grant.upstream_id, "u0")
                grants.append(granted.grant.grant_id)
                if now_ms == 910:
                    scheduler.release(grants[0], CRASH, 1_000)
                    if reports_first_token:
                        scheduler.observe_first_token(grants[1], 50, 1_040)
                    else:
                        scheduler.release(grants[1], b.SUCCESS, 1_040)
            scheduler.release(grants[2], REFUSED, 1_150)
            with self.subTest(reports_first_token):
                self.assertFalse(scheduler.suppressed_upstreams(1_150))

    def test_prompt_that_crashes_upstreams_is_no_loss(self):
        """Guards against one bad prompt that suppresses a third of the pool."""
        for now_ms in (1_000, 2_000):
            request = b.request(now_ms=now_ms, avoid=("u1", "u2"))
            (granted,) = self.scheduler.submit(request, now_ms)
            grant_id = granted.grant.grant_id
            self.scheduler.release(grant_id, CRASH, now_ms, is_request_at_fault=True)
        self.assertFalse(self.suppressed(2_100))

    def test_connection_failures_of_a_host_without_links_are_no_loss(self):
        for now_ms in (1_000, 2_000, 3_000):
            for name in ("u0", "u1", "u2"):
                self.end(name, b.SUCCESS, now_ms, "host-2")
            for name in ("u0", "u1"):
                self.end(name, REFUSED, now_ms + 200, "host-1")
        self.assertFalse(self.suppressed(3_300))

    def test_off_and_experiment_suppress_nothing(self):
        """Guards against a change of behaviour where damping is not configured."""
        disabled = Experiments([Mechanism.FLAP_DAMPING])
        for scheduler in (
            self.new_scheduler(max_suppressed_ms=0),
            self.new_scheduler(disabled),
        ):
            for now_ms in (1_000, 2_000, 3_000):
                self.end("u0", CRASH, now_ms, scheduler=scheduler)
            self.assertFalse(scheduler.suppressed_upstreams(3_100))

    def test_fewer_requests_are_lost_to_flapping_upstreams(self):
        """Guards against a mechanism that suppresses too late to help."""
        usual, damped = (
            FlapSimulation(20, 4, 0.6, max_ms, 1, True).run().counts
            for max_ms in (0, 30_000)
        )
        self.assertLess(2 * damped["broken"], usual["broken"])
        self.assertEqual(damped["refused"], 0)
