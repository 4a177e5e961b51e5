import doctest
import types
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhoist.base import Refused, ResultCode
from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Rejected
from hemlockhoist.decisions.limits import query_limiter
from hemlockhoist.decisions.limits.query_limiter import PAUSE_FACTOR, QueryLimiter
from hemlockhoist.decisions.scheduling import (
    Exclusion,
    Placement,
    PlacementDryRun,
    StateCopy,
    state_copy,
)
from hemlockhoist.decisions.scheduling import dry_run as module
from hemlockhoist.decisions.scheduling.prefixes import PrefixMap
from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
from hemlockhoist.decisions.scheduling.retry_reservations import (
    MAX_RESERVATIONS,
    Reservation,
    RetryReservations,
)
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.scheduler_driver import (
    SchedulerDriver,
    UpstreamState,
    build_request,
    request_fields,
    state_of,
    steps,
)

QUEUED, GRANTED = Placement.QUEUED.value, Placement.GRANTED.value


def dry_run(driver, request):
    return PlacementDryRun.from_scheduler(driver.scheduler).run(request, driver.now_ms)


class GeneratedStatesTests(unittest.TestCase):
    @settings(max_examples=300)
    @given(st.booleans(), st.booleans(), st.booleans(), steps(), request_fields())
    def test_dry_run_changes_nothing_and_is_what_the_request_then_gets(
        self, has_declared_slots, has_move, reserves_retries, generated, fields
    ):
        """Guards against a query with an effect, and against one that misleads."""
        driver = SchedulerDriver(has_declared_slots, has_move, reserves_retries)
        for step in generated:
            driver.apply(step)
        request = build_request(fields, driver.now_ms)
        before = state_of(driver.scheduler)
        report = dry_run(driver, request)
        self.assertEqual(state_of(driver.scheduler), before)
        decisions = driver.submit(request)
        own = [d for d in decisions if d.request.request_id == request.request_id]
        self.check(report, own[0] if own else None)

    def check(self, report, decision):
        if decision is None:
            self.assertEqual(report.outcome, QUEUED)
        elif isinstance(decision, Granted):
            self.assertEqual(report.outcome, GRANTED)
            self.assertEqual(report.upstream_id, decision.grant.upstream_id)
            self.assertEqual(report.version, decision.grant.version)
            chosen = report.candidates[0]
            self.assertEqual(chosen.upstream_id, decision.grant.upstream_id)
            self.assertEqual(chosen.exclusion, "")
        else:
            self.assertIsInstance(decision, Rejected)
            self.assertEqual(report.outcome, Placement.REFUSED.value)
            self.assertEqual(report.code, decision.code)
            self.assertEqual(report.retry_after_ms, decision.retry_after_ms)

    @settings(max_examples=60)
    @given(
        st.booleans(), st.booleans(), steps(), st.lists(request_fields(), max_size=6)
    )
    def test_decisions_after_queries_are_those_without_them(
        self, has_declared_slots, reserves_retries, generated, later
    ):
        """Guards against state that a query shares with the scheduler unseen."""
        found = []
        for is_asked in (False, True):
            driver = SchedulerDriver(has_declared_slots, True, reserves_retries)
            for step in generated:
                driver.apply(step)
                if is_asked:
                    dry_run(driver, build_request(EXAMPLE_FIELDS, driver.now_ms))
            decisions = []
            for fields in later:
                request = build_request(fields, driver.now_ms)
                decisions += [
                    (type(d), getattr(d, "grant", None) and d.grant.upstream_id)
                    for d in driver.submit(request)
                ]
            found.append(decisions)
        self.assertEqual(*found)


EXAMPLE_FIELDS = {
    "rank": 0,
    "customer": "aulas",
    "prompt_tokens": 600,
    "output_tokens": 20,
    "idempotent": True,
    "regions": (),
    "entry_host": "host-1",
    "failure_domain": "a",
    "max_in_flight": 100,
    "prefix": (1, 2),
    "max_gap_ms": 0,
    "deadline_in_ms": 10_000,
    "waits": False,
}


class ReasonTests(unittest.TestCase):
    """The reasons that exclude upstreams of a pool with declared slots."""

    def setUp(self):
        self.driver = SchedulerDriver(True, False, False)
        self.scheduler = self.driver.scheduler

    def request(self, **fields):
        now_ms = self.driver.now_ms
        return build_request(EXAMPLE_FIELDS | fields, now_ms)

    def reasons(self, **fields):
        report = dry_run(self.driver, self.request(**fields))
        return {item.upstream_id: item.exclusion for item in report.candidates}

    def hold(self, **fields):
        (decision,) = self.driver.submit(self.request(**fields))
        return decision.grant

    def test_idle_upstreams_are_candidates_with_their_times(self):
        report = dry_run(self.driver, self.request())
        self.assertEqual(set(self.reasons().values()), {""})
        costs = [item.cost_ms for item in report.candidates[1:]]
        self.assertEqual(costs, sorted(costs))
        self.assertTrue(all(item.first_token_ms > 0 for item in report.candidates))

    def test_each_reason_is_named(self):
        """Guards against a reason that hides the one to act on."""
        scheduler, now_ms = self.scheduler, self.driver.now_ms
        self.driver.apply(("state", 1, UpstreamState.EVACUATED))
        self.driver.apply(("state", 2, UpstreamState.LEAVING))
        reasons = self.reasons(regions=("south",))
        self.assertEqual(reasons["u0"], Exclusion.OTHER_REGION.value)
        self.assertEqual(reasons["u1"], Exclusion.EVACUATED.value)
        self.assertEqual(reasons["u2"], Exclusion.DRAINING.value)
        scheduler.observe_limit("u0", 0.5, now_ms, now_ms)
        scheduler.observe_back_off("u3", "host-1", now_ms + 900, now_ms)
        reasons = self.reasons()
        self.assertEqual(reasons["u0"], Exclusion.RATE_LIMIT.value)
        self.assertEqual(reasons["u3"], Exclusion.BACKED_OFF.value)

    def test_full_and_ejected_upstreams(self):
        north = ("north",)
        grants = [self.hold(regions=north, prompt_tokens=0) for _ in range(4)]
        self.assertEqual(self.reasons()["u0"], Exclusion.FULL.value)
        outcome = Outcome(kind=OutcomeKind.CONNECT_FAILED)
        held = next(grant for grant in grants if grant.upstream_id == "u0")
        self.scheduler.release(held.grant_id, outcome, self.driver.now_ms)
        self.assertEqual(self.reasons()["u0"], Exclusion.EJECTED.value)

    def test_engine_memory(self):
        self.hold(prompt_tokens=4_000, output_tokens=3_900, regions=("north",))
        reasons = self.reasons(prompt_tokens=4_000)
        self.assertIn(Exclusion.ENGINE_MEMORY.value, reasons.values())
        reasons = self.reasons(prompt_tokens=0)
        self.assertNotIn(Exclusion.ENGINE_MEMORY.value, reasons.values())

    def test_cold_and_suppressed_upstreams(self):
        self.driver = SchedulerDriver(True, False, False)
        warmup = self.driver.scheduler._upstreams.tracker._intake.warmup
        warmup.assume_cold("u0", self.driver.now_ms)
        warmup.record_grant("u0", self.driver.now_ms)
        self.assertEqual(self.reasons()["u0"], Exclusion.COLD.value)
        self.suppress("u1")
        self.assertEqual(self.reasons()["u1"], Exclusion.SUPPRESSED.value)

    def suppress(self, name):
        damping = self.driver.scheduler._upstreams.damping
        upstream = damping.known_upstream(name)
        for _ in range(2):
            self.driver.now_ms += 500
            damping.record_served(name, self.driver.now_ms - 200)
            damping.record_loss(upstream, self.driver.now_ms)

    def test_suppressed_upstream_that_is_chosen_is_not_excluded(self):
        """Guards against a report that excludes the upstream it names as chosen.

        A suppressed upstream gets the request if all others want none of its host.
        """
        self.suppress("u1")
        for name in ("u0", "u2", "u3"):
            back_offs = self.scheduler._upstreams.back_offs
            back_offs.record(name, "host-1", self.driver.now_ms + 5_000)
        report = dry_run(self.driver, self.request())
        self.assertEqual((report.outcome, report.upstream_id), (GRANTED, "u1"))
        reasons = {item.upstream_id: item.exclusion for item in report.candidates}
        backed_off = Exclusion.BACKED_OFF.value
        expected = {"u0": backed_off, "u1": "", "u2": backed_off, "u3": backed_off}
        self.assertEqual(reasons, expected)
        decision = self.driver.submit(self.request())[0]
        self.assertEqual(decision.grant.upstream_id, "u1")

    def test_position_is_that_in_the_queue(self):
        """Guards against a position that ignores tiers, or counts lower ones."""
        for _ in range(8):
            self.hold(prompt_tokens=0)
        for rank, count in ((1, 2), (2, 1)):
            for _ in range(count):
                self.assertEqual(self.driver.submit(self.request(rank=rank)), [])
        for rank, ahead_count in ((0, 0), (1, 2), (2, 3)):
            report = dry_run(self.driver, self.request(rank=rank))
            self.assertEqual(
                (report.outcome, report.ahead_count), (QUEUED, ahead_count)
            )
        self.assertGreater(report.wait_ms, 0)

    def test_refusal_has_code_time_and_waiting_requests(self):
        report = dry_run(self.driver, self.request(regions=("nowhere",)))
        self.assertEqual(report.code, ResultCode.NO_UPSTREAM)
        self.assertGreater(report.retry_after_ms, 0)

    def test_large_pools_are_reported_in_part(self):
        """Guards against a reply that is too large for the hosts' connection."""
        count = module.MAX_CANDIDATES + 5
        self.scheduler.set_upstreams(b.upstreams(count, slot_count=1), 1_000)
        report = dry_run(self.driver, self.request())
        self.assertEqual(len(report.candidates), module.MAX_CANDIDATES)
        self.assertEqual(report.omitted_count, 5)


class StateCopyTests(unittest.TestCase):
    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        for item in (state_copy, query_limiter):
            names = {"StateCopy": StateCopy}
            self.assertEqual(doctest.testmod(item, extraglobs=names).failed, 0)

    def test_object_without_a_rule_is_an_error(self):
        """Guards against state that is shared, and changed by a query."""
        for value in (object(), types.SimpleNamespace(a=1), iter([1])):
            with self.assertRaises(TypeError):
                StateCopy().of([value])

    def test_shared_objects_stay_shared_within_the_copy(self):
        inner = [1]
        copied = StateCopy().of({"a": inner, "b": (inner, 2)})
        self.assertIs(copied["a"], copied["b"][0])
        self.assertIsNot(copied["a"], inner)

    def test_reservations_are_not_copied_one_by_one(self):
        """Guards against a query that blocks a home for 0.2 s after a burst."""
        retries = RetryReservations()
        for number in range(MAX_RESERVATIONS):
            key = ("aulas", "r", number, 1)
            retries._add(Reservation(key, 0, 1, 1_000 + number % 900, 5.0))
        copying = StateCopy()
        copied = copying.of(retries)
        self.assertLess(copying.object_count, 100)
        for item in (copied, retries):
            self.assertEqual(item.outstanding, MAX_RESERVATIONS)
            first = b.request(prompt_tokens=0, output_tokens=1, route="r")
            self.assertTrue(item.claim(first, 1_000))
            self.assertEqual(item.outstanding, MAX_RESERVATIONS - 1)
            self.assertEqual(item.counts.used, 1)

    def test_state_with_too_many_objects_is_refused(self):
        """Guards against a query that blocks a home in proportion to its pool."""
        driver = SchedulerDriver(True, False, True)
        driver.scheduler.set_upstreams(b.upstreams(2_000, slot_count=1), 1_000)
        before = state_of(driver.scheduler)
        with self.assertRaises(Refused) as caught:
            dry_run(driver, build_request(EXAMPLE_FIELDS, 1_000))
        self.assertIs(caught.exception.code, ResultCode.QUERY_TOO_COSTLY)
        self.assertIn(str(state_copy.MAX_OBJECTS), caught.exception.message)
        self.assertEqual(state_of(driver.scheduler), before)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("u1", "u2", "u3")),
                st.lists(st.integers(1, 6), min_size=1, max_size=4, unique=True),
            ),
            max_size=12,
        ),
        st.integers(0, 12),
    )
    def test_copies_of_caches_act_as_full_copies(self, prompts, copied_after):
        """Guards against a cache that the copy and the original share."""
        cache, full = PromptCache(1_500), PromptCache(1_500)
        prefixes, all_prefixes = PrefixMap(), PrefixMap()
        for name, blocks in prompts[:copied_after]:
            for item in (cache, full):
                item.record(name, blocks, [300] * len(blocks))
            for item in (prefixes, all_prefixes):
                item.add(blocks)
        copied = StateCopy().of([cache, prefixes])
        before = [self.known(cache), len(prefixes)]
        for name, blocks in prompts[copied_after:]:
            for item in (copied[0], full):
                item.record(name, blocks, [300] * len(blocks))
            for item in (copied[1], all_prefixes):
                item.add(blocks)
            self.assertEqual(self.known(copied[0]), self.known(full))
            self.assertEqual(copied[1].match(blocks), all_prefixes.match(blocks))
        self.assertEqual([self.known(cache), len(prefixes)], before)

    def known(self, cache):
        return [cache.cached_tokens((block,), (300,)) for block in range(1, 7)]


class QueryLimiterTests(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 60)), max_size=60))
    def test_queries_take_a_small_part_of_the_time(self, queries):
        """Guards against an operator's script that keeps a home busy."""
        limiter, now_ms, begun = QueryLimiter(), 0, []
        for pause_ms, took_ms in queries:
            now_ms += pause_ms
            if not limiter.try_begin(now_ms):
                begun.append((now_ms, took_ms))
                now_ms += took_ms
                limiter.end(now_ms)
        for (first_ms, took_ms), (second_ms, _) in zip(begun, begun[1:], strict=False):
            self.assertGreaterEqual(second_ms - first_ms, 250)
            self.assertGreaterEqual(second_ms - first_ms, PAUSE_FACTOR * took_ms)
