import random
import unittest

from hemlockhoist.decisions import (
    Grant,
    LoadReport,
    Outcome,
    OutcomeKind,
    Upstream,
    UpstreamState,
)
from hemlockhoist.decisions.scheduling.adaptive_tracker import AdaptiveTracker
from hemlockhoist.decisions.scheduling.ejection import (
    FIRST_EJECTION_MS,
    PROBES_TO_RECOVER,
    HealthState,
)
from hemlockhoist.decisions.scheduling.grants import InFlightGrant
from hemlockhoist.decisions.scheduling.tests import builders as b


class _PoolSimulation:
    """Simulates a pool whose upstreams serve requests with fixed holding times."""

    def __init__(self, count, hold_ms):
        self.sched = b.scheduler(slots=4, count=count, max_queued=100)
        self.hold_ms = hold_ms
        self.now_ms = 0
        self.open = []
        self.used = []

    def run(self, until_ms, every_ms=50, **fields):
        """Submit requests at a fixed interval; return the upstreams used."""
        self.used = []
        while self.now_ms < until_ms:
            self.now_ms += every_ms
            self._finish()
            item = b.request(now_ms=self.now_ms, **fields)
            self._take(self.sched.submit(item, self.now_ms))
            self._take(self.sched.tick(self.now_ms))
        return self.used

    def _take(self, decisions):
        for decision in decisions:
            if not hasattr(decision, "grant"):
                continue
            grant = decision.grant
            hold_ms = self.hold_ms.get(grant.upstream_id, 400)
            self.open.append((self.now_ms + hold_ms, hold_ms, grant))
            self.used.append(grant.upstream_id)

    def _finish(self):
        due = [item for item in self.open if item[0] <= self.now_ms]
        self.open = [item for item in self.open if item[0] > self.now_ms]
        for _, hold_ms, grant in due:
            outcome = Outcome(
                kind=OutcomeKind.SUCCESS,
                first_token_ms=hold_ms // 10,
                total_ms=hold_ms,
                output_tokens=50,
            )
            self._take(self.sched.release(grant.grant_id, outcome, self.now_ms))


class SlowUpstreamTests(unittest.TestCase):
    def test_upstream_ten_times_slower_gets_almost_no_requests(self):
        """One of four is ten times slower: the other three serve the requests."""
        pool = _PoolSimulation(4, {"u0": 4_000})
        pool.run(20_000)
        used = pool.run(60_000)
        self.assertLess(used.count("u0"), 0.03 * len(used))

    def test_recovered_upstream_is_readmitted(self):
        """A slow upstream recovers and gets its share of requests in two minutes."""
        pool = _PoolSimulation(4, {"u0": 4_000})
        pool.run(20_000)
        pool.hold_ms = {}
        pool.run(140_000)
        used = pool.run(180_000)
        self.assertGreater(used.count("u0"), 0.1 * len(used))

    def test_uniformly_slow_pool_keeps_its_upstreams(self):
        """All upstreams become ten times slower: none is ejected."""
        pool = _PoolSimulation(4, {})
        pool.run(10_000)
        pool.hold_ms = {f"u{n}": 4_000 for n in range(4)}
        pool.run(40_000, every_ms=300)
        used = pool.run(60_000, every_ms=300)
        self.assertEqual(set(used), {"u0", "u1", "u2", "u3"})

    def test_slower_hardware_is_not_ejected(self):
        """Two upstreams of an older generation, four times slower, keep serving."""
        pool = _PoolSimulation(4, {"u2": 1_600, "u3": 1_600})
        listed = [
            Upstream(
                upstream_id=f"u{n}",
                pool="assistant",
                version="v1",
                address="127.0.0.1:1",
                generation="g1" if n >= 2 else "g3",
            )
            for n in range(4)
        ]
        pool.sched.set_upstreams(listed, 0)
        pool.run(20_000, every_ms=25)
        used = pool.run(40_000, every_ms=25)
        self.assertGreater(used.count("u2") + used.count("u3"), 0)


class FailingUpstreamTests(unittest.TestCase):
    def test_failed_connects_eject_at_most_a_third(self):
        """Guards against ejecting a whole pool because of a network failure.

        The network to the upstreams fails: connects fail and grants are released
        unsent. If all were ejected, the pool would refuse everything; a third is.
        """
        sched = b.scheduler(slots=4, count=6)
        used = self.fail_to_connect(sched, lambda number: f"h{number}")
        self.assertEqual(len(set(used[-20:])), 4)

    def test_failed_connects_of_one_host_eject_nothing(self):
        """Guards against upstreams that get no work as one host lost its links."""
        sched = b.scheduler(slots=4, count=6)
        self.fail_to_connect(sched, lambda number: "h1")
        slots = [sched._upstreams.tracker.slots(f"u{n}", 3_000) for n in range(6)]
        self.assertEqual(slots.count(0), 0)

    def fail_to_connect(self, sched, host_of):
        """Let all requests fail to connect; return the upstreams that were granted."""
        failed = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        used = []
        for number, now_ms in enumerate(range(0, 3_000, 50)):
            request = b.request(now_ms=now_ms, entry_host=host_of(number))
            for decision in sched.submit(request, now_ms):
                if not hasattr(decision, "grant"):
                    continue
                used.append(decision.grant.upstream_id)
                sched.release(decision.grant.grant_id, failed, now_ms + 1)
        return used

    def test_last_upstream_that_is_not_leaving_is_readmitted(self):
        """Guards against refusing requests while an ejected upstream is left.

        One of three upstreams is ejected for failures, then the other two report that
        they are leaving. The pool has one upstream left, and requests were refused as
        if it had none.
        """
        sched = b.scheduler(slots=4, count=3)
        broke = Outcome(kind=OutcomeKind.BROKE_OFF)
        now_ms, failures = 0, 0
        while failures < 3:
            now_ms += 10
            grant = sched.submit(b.request(now_ms=now_ms), now_ms)[0].grant
            is_bad = grant.upstream_id == "u0"
            failures += is_bad
            sched.release(grant.grant_id, broke if is_bad else b.SUCCESS, now_ms + 5)
        for name in ("u1", "u2"):
            report = LoadReport(
                upstream_id=name, in_flight=0, queued=0, state=UpstreamState.LEAVING
            )
            sched.observe_load(report, now_ms + 10)
        now_ms += 20
        decisions = sched.submit(b.request(now_ms=now_ms), now_ms)
        self.assertEqual([d.grant.upstream_id for d in decisions], ["u0"])

    def test_a_probe_is_never_a_non_idempotent_call(self):
        """Guards against probing an ejected upstream with a booking.

        The ejection of an upstream after three failures is over. A non-idempotent
        booking that breaks off there could be lost or doubled; the lookup is
        idempotent and can be retried, so it is used as the probe.
        """
        sched = b.scheduler(slots=4, count=3)
        broke = Outcome(kind=OutcomeKind.BROKE_OFF)
        now_ms, failures = 0, 0
        while failures < 3:
            now_ms += 10
            grant = sched.submit(b.request(now_ms=now_ms), now_ms)[0].grant
            is_bad = grant.upstream_id == "u0"
            failures += is_bad
            sched.release(grant.grant_id, broke if is_bad else b.SUCCESS, now_ms + 5)
        now_ms += 6_000
        booking = b.request(now_ms=now_ms, idempotent=False)
        lookup = b.request(now_ms=now_ms)
        first = sched.submit(booking, now_ms)[0].grant
        second = sched.submit(lookup, now_ms)[0].grant
        self.assertNotEqual(first.upstream_id, "u0")
        self.assertEqual(second.upstream_id, "u0")


class ProbeTests(unittest.TestCase):
    def test_answers_to_grants_from_before_an_ejection_are_no_probes(self):
        """Guards against an upstream that is used again because of old answers.

        It hangs, is ejected, and then ends a dozen answers that it had begun before.
        """
        tracker = AdaptiveTracker(16)
        listed = b.upstreams(4)
        tracker.set_listed(listed, 0)
        tracker.set_usable(listed, 0)
        old = [
            InFlightGrant(b.request(), grant_of("u0", number), 0, 100.0)
            for number in range(12)
        ]
        for held in old:
            tracker.on_grant(held, 0)
        health = tracker.get("u0").health
        health.eject(1_000)
        later_ms = 1_000 + FIRST_EJECTION_MS
        self.assertEqual(tracker.slots("u0", later_ms), 1)
        self.assertIs(health.state, HealthState.PROBING)
        for held in old:
            tracker.on_outcome(held, b.SUCCESS, 1_000, 1_000.0, later_ms + 10)
        self.assertIs(health.state, HealthState.PROBING)
        failed = Outcome(kind=OutcomeKind.FAILED)
        late = InFlightGrant(b.request(), grant_of("u0", 99), 0, 100.0)
        tracker.on_outcome(late, failed, 1_000, 1_000.0, later_ms + 20)
        self.assertIs(health.state, HealthState.PROBING)

    def test_answers_to_probes_count(self):
        tracker = AdaptiveTracker(16)
        listed = b.upstreams(4)
        tracker.set_listed(listed, 0)
        tracker.set_usable(listed, 0)
        health = tracker.get("u0").health
        health.eject(0)
        tracker.slots("u0", FIRST_EJECTION_MS)
        for number in range(PROBES_TO_RECOVER):
            probe = InFlightGrant(
                b.request(), grant_of("u0", number), FIRST_EJECTION_MS + 1, 100.0
            )
            tracker.on_grant(probe, FIRST_EJECTION_MS + 1)
            at_ms = FIRST_EJECTION_MS + 100
            tracker.on_outcome(probe, b.SUCCESS, 100, 1_000.0, at_ms)
        self.assertIs(health.state, HealthState.RAMPING)


def grant_of(upstream_id, number):
    return Grant(
        grant_id=f"g{number}",
        request_id=f"r{number}",
        upstream_id=upstream_id,
        address="127.0.0.1:1",
        version="v1",
        expires_ms=0,
    )


class _LookupSimulation:
    """Simulates calls at three upstreams; failed ones are sent again up to twice.

    Parameters
    ==========
    fails : callable
        ``fails(upstream_id, now_ms)`` returns whether a call fails that ends now.
    idempotent : callable, optional
        Returns for each call whether it may be sent again.
    gap_ms : int, optional
        Time between two calls.
    """

    HOLD_MS = 5
    RESEND_MS = 100
    MAX_RESENDS = 2
    DOMAINS = "abc"

    def __init__(self, fails, idempotent=lambda: True, gap_ms=25):
        self.sched = b.scheduler(slots=4, count=3, max_queued=100)
        listed = [
            Upstream(
                upstream_id=f"s{number}",
                pool="assistant",
                version="v1",
                address="127.0.0.1:1",
                failure_domain=domain,
            )
            for number, domain in enumerate(self.DOMAINS)
        ]
        self.sched.set_upstreams(listed, 0)
        self.fails = fails
        self.idempotent = idempotent
        self.gap_ms = gap_ms
        self.rng = random.Random(1)
        self.open = []
        self.resends = []
        self.sent = []
        self.failed = 0
        self.lost = 0

    def run(self, until_ms):
        """Send a call every ``gap_ms``."""
        for now_ms in range(0, until_ms, self.HOLD_MS):
            self._finish(now_ms)
            if now_ms % self.gap_ms == 0:
                self._submit(0, now_ms)
            due = [item for item in self.resends if item[0] <= now_ms]
            self.resends = [item for item in self.resends if item[0] > now_ms]
            for _, resends in due:
                self._submit(resends, now_ms)

    def times_ms(self, upstream_id):
        """Return when calls were sent to an upstream."""
        return [item[0] for item in self.sent if item[1] == upstream_id]

    def _submit(self, resends, now_ms):
        request = b.request(
            now_ms=now_ms,
            prompt_tokens=0,
            output_tokens=0,
            idempotent=self.idempotent(),
            failure_domain=self.rng.choice(self.DOMAINS),
        )
        for decision in self.sched.submit(request, now_ms):
            upstream_id = decision.grant.upstream_id
            self.sent.append((now_ms, upstream_id, request.idempotent))
            self.open.append((now_ms + self.HOLD_MS, decision.grant, resends))

    def _finish(self, now_ms):
        due = [item for item in self.open if item[0] <= now_ms]
        self.open = [item for item in self.open if item[0] > now_ms]
        for _, grant, resends in due:
            kind = OutcomeKind.SUCCESS
            if self.fails(grant.upstream_id, now_ms):
                kind = OutcomeKind.FAILED
                self._record_failure(resends, now_ms)
            outcome = Outcome(kind=kind, first_token_ms=1, total_ms=self.HOLD_MS)
            self.sched.release(grant.grant_id, outcome, now_ms)

    def _record_failure(self, resends, now_ms):
        self.failed += 1
        if resends < self.MAX_RESENDS:
            self.resends.append((now_ms + self.RESEND_MS, resends + 1))
        else:
            self.lost += 1


class _FailingCalls:
    """Fails the next two calls at each upstream from a given time on."""

    def __init__(self, from_ms):
        self._from_ms = from_ms
        self._left = dict.fromkeys(from_ms, 2)

    def __call__(self, upstream_id, now_ms):
        if now_ms < self._from_ms.get(upstream_id, now_ms + 1):
            return False
        if not self._left[upstream_id]:
            return False
        self._left[upstream_id] -= 1
        return True


class FailedOnceTests(unittest.TestCase):
    def test_lookup_sent_again_does_not_meet_three_failing_upstreams(self):
        """Guards against resent lookups as the first to test upstreams that failed."""
        fails = _FailingCalls({"s0": 1_000, "s1": 5_000, "s2": 9_300})
        pool = _LookupSimulation(fails, gap_ms=200)
        pool.run(20_000)
        self.assertEqual(pool.failed, 6)
        self.assertEqual(pool.lost, 0)

    def test_upstream_that_failed_once_gets_its_share_again_within_seconds(self):
        """Guards against a pool that leaves an upstream idle for one failed answer."""
        fails = _FailingCalls({"s0": 1_000})
        pool = _LookupSimulation(fails)
        pool.run(8_000)
        late = [now_ms for now_ms in pool.times_ms("s0") if now_ms > 5_000]
        self.assertGreater(len(late), 0.2 * 3_000 / pool.gap_ms)

    def test_bookings_do_not_test_an_upstream_that_failed(self):
        """Guards against bookings of unknown outcome as tests of a failed upstream."""
        fails = _FailingCalls({"s0": 1_000})
        pool = _LookupSimulation(fails, idempotent=lambda: False)
        pool.run(8_000)
        self.assertEqual(pool.failed, 1)

    def test_upstream_that_always_fails_is_tested_ever_less_often(self):
        """Guards against callers that pay for frequent tests of a lost upstream."""
        pool = _LookupSimulation(lambda upstream_id, now_ms: upstream_id == "s0")
        pool.run(60_000)
        self.assertLess(pool.failed, 10)

    def test_upstream_that_often_fails_gets_few_requests(self):
        """Guards against an upstream that passes each test and fails soon after it."""
        chance = random.Random(3)
        pool = _LookupSimulation(
            lambda upstream_id, now_ms: upstream_id == "s0" and chance.random() < 0.3
        )
        pool.run(60_000)
        self.assertLess(pool.failed, 20)
