import unittest

import msgspec

from hemlockhoist.standins.measure.loads import (
    ASSISTANT_DEPLOYMENT,
    DRAFTER_DEPLOYMENT,
    LOAD_NAMES,
    THREE_TIERS,
    DomainLoss,
    Load,
    build_load,
)
from hemlockhoist.standins.measure.results import max_min_shares, summarise
from hemlockhoist.standins.measure.runs import POLICIES, PRODUCT_POLICY, Run, execute
from hemlockhoist.standins.measure.simulation import Simulation
from hemlockhoist.standins.measure.slopes import Slope, _bytes_of, _with_grants
from hemlockhoist.standins.measure.table import render, shortfalls


def _short(name, span_ms):
    """Return the first ``span_ms`` of a load."""
    load = build_load(name, ASSISTANT_DEPLOYMENT, 1)
    arrivals = tuple(item for item in load.arrivals if item.at_ms < span_ms)
    return msgspec.structs.replace(load, arrivals=arrivals, span_ms=span_ms)


class LoadTests(unittest.TestCase):
    def test_a_seed_gives_the_same_load(self):
        """Every load is the same for equal seeds and differs between seeds."""
        for name in LOAD_NAMES:
            with self.subTest(name=name):
                self.assertEqual(
                    build_load(name, ASSISTANT_DEPLOYMENT, 1),
                    build_load(name, ASSISTANT_DEPLOYMENT, 1),
                )
                self.assertNotEqual(
                    build_load(name, ASSISTANT_DEPLOYMENT, 1).arrivals,
                    build_load(name, ASSISTANT_DEPLOYMENT, 2).arrivals,
                )

    def test_burst_arrival_rate(self):
        """Arrivals are at 3x the capacity in the burst of ten seconds, else at 70 %."""
        arrivals = build_load("burst 3x", DRAFTER_DEPLOYMENT, 1).arrivals
        burst = sum(1 for item in arrivals if 20_000 <= item.at_ms < 30_000)
        before = sum(1 for item in arrivals if 10_000 <= item.at_ms < 20_000)
        self.assertAlmostEqual(burst / before, 3 / 0.7, delta=1.0)

    def test_work_of_short_and_long_requests(self):
        """Long requests are over a hundred times the work of short ones."""
        load = build_load("short and long", ASSISTANT_DEPLOYMENT, 1)
        work = sorted(
            item.output_tokens + item.prompt_tokens / 32 for item in load.arrivals
        )
        low, high = work[len(work) // 20], work[-len(work) // 50]
        self.assertGreater(high / low, 100)


class SimulationTests(unittest.TestCase):
    def test_every_request_has_one_end_under_every_policy(self):
        """Each request is answered, refused or failed, also when a domain is lost."""
        load = _short("domain lost", 10_000)
        loss = (DomainLoss(at_ms=5_000, failure_domain="d1"),)
        load = msgspec.structs.replace(load, domain_losses=loss)
        for name, make in POLICIES.items():
            with self.subTest(policy=name):
                answers = Simulation(load, make(load.tiers)).run()
                self.assertEqual(len(answers), len(load.arrivals))
                self.assertTrue(all(item.ended_ms is not None for item in answers))

    def test_an_idle_deployment_answers_everything_in_time(self):
        """Twenty requests, one a second, all count as goodput."""
        arrivals = build_load("steady 70 %", ASSISTANT_DEPLOYMENT, 1).arrivals[:20]
        apart = tuple(
            msgspec.structs.replace(item, at_ms=1_000 * n, output_tokens=20)
            for n, item in enumerate(arrivals)
        )
        load = Load(
            name="idle",
            deployment=ASSISTANT_DEPLOYMENT,
            tiers=THREE_TIERS,
            arrivals=apart,
            span_ms=20_000,
        )
        for name, make in POLICIES.items():
            with self.subTest(policy=name):
                result = summarise(load, Simulation(load, make(load.tiers)).run())
                self.assertAlmostEqual(result.total_per_s, 1.0)

    def test_a_run_repeats_exactly(self):
        """Two runs of the same load, policy and seed give the same figures."""
        run = Run(
            load="one slow 10x",
            deployment=DRAFTER_DEPLOYMENT,
            policy=PRODUCT_POLICY,
            seed=1,
        )
        self.assertEqual(execute(run), execute(run))


class OutcomeTests(unittest.TestCase):
    """Figures of the scheduler in several kinds of load."""

    def _run(self, name, policy=PRODUCT_POLICY):
        return execute(
            Run(load=name, deployment=DRAFTER_DEPLOYMENT, policy=policy, seed=4)
        )

    def test_saturation_spares_the_top_tier(self):
        """At 1.5 times the capacity, over 95 % of the top tier count as goodput."""
        result = self._run("saturation 1.5x")
        self.assertGreater(result.goodput_per_s[0], 0.95 * result.offered_per_s[0])
        self.assertGreater(result.refused_permille[2], result.refused_permille[1])
        self.assertGreaterEqual(result.refused_permille[1], result.refused_permille[0])

    def test_skewed_customers_get_fair_shares(self):
        """One customer sends four fifths; the others still get their fair shares."""
        self.assertGreater(self._run("skewed customers").fairness, 0.85)

    def test_one_slow_upstream_costs_little(self):
        """With one of five upstreams 10x slower, over 97 % of requests are goodput."""
        result = self._run("one slow 10x")
        self.assertGreater(result.total_per_s, 0.97 * sum(result.offered_per_s))

    def test_short_requests_are_served_beside_long_ones(self):
        """Over 93 % of the top tier's short requests count as goodput."""
        result = self._run("short and long")
        self.assertGreater(result.goodput_per_s[0], 0.93 * result.offered_per_s[0])

    def test_a_burst_costs_the_lower_tiers_first(self):
        """In ten seconds of threefold load the top tier loses less than a tenth."""
        result = self._run("burst 3x")
        self.assertGreater(result.goodput_per_s[0], 0.9 * result.offered_per_s[0])
        self.assertLess(result.refused_permille[0], result.refused_permille[2])


class TierOrderTests(unittest.TestCase):
    def test_a_burst_that_ends_does_not_shed_a_tier_before_a_lower_one(self):
        """Guards against a late request refused a moment before lower tiers are served.

        The burst's late requests are reviewed as it ends, when its queue is nearly empty.
        """
        for seed in (1, 2):
            run = Run(
                load="burst 3x",
                deployment=ASSISTANT_DEPLOYMENT,
                policy=PRODUCT_POLICY,
                seed=seed,
            )
            self.assertEqual(execute(run).priority_inversions, 0)


class SlopeTests(unittest.TestCase):
    def test_fits_a_line_and_its_spread(self):
        """The fit and its spread are those of three repeats with different slopes."""
        points = [(x, [10 + 3 * x, 10 + 2 * x, 10 + 4 * x]) for x in (1, 2, 4, 8)]
        slope = Slope("memory", "B", points)
        self.assertAlmostEqual(slope.slope, 3)
        self.assertAlmostEqual(slope.base, 10)
        self.assertAlmostEqual(slope.spread, 1)

    def test_one_more_grant_costs_less_than_two_kilobytes(self):
        """The memory of a grant is below the bound that the capacity page relies on."""
        small, large = (_bytes_of(lambda n=n: _with_grants(n)) for n in (200, 400))
        self.assertLess((large - small) / 200, 2_000)


class ResultTests(unittest.TestCase):
    def test_max_min_shares_give_small_demands_in_full(self):
        """Capacity that small demands leave over is shared by the others."""
        shares = max_min_shares({"a": 100, "b": 10, "c": 50}, 90)
        self.assertEqual(shares, {"b": 10, "c": 40.0, "a": 40.0})

    def test_shortfalls_list_loads_where_the_scheduler_is_behind(self):
        """A load in which a baseline has more goodput is listed with its margin."""
        result = execute(
            Run(
                load="steady 70 %",
                deployment=DRAFTER_DEPLOYMENT,
                policy=PRODUCT_POLICY,
                seed=1,
            )
        )
        better = msgspec.structs.replace(
            result, goodput_per_s=tuple(x + 1 for x in result.goodput_per_s)
        )
        groups = {("steady", "x"): {"baseline": [better], PRODUCT_POLICY: [result]}}
        self.assertEqual(len(render(groups)), 4)
        self.assertIn("top behind", shortfalls(groups)[0])
