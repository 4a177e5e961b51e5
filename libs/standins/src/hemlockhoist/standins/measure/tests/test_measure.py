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
    """Return the beginning of a load."""
    load = build_load(name, ASSISTANT_DEPLOYMENT, 1)
    arrivals = tuple(item for item in load.arrivals if item.at_ms < span_ms)
    return msgspec.structs.replace(load, arrivals=arrivals, span_ms=span_ms)


class LoadTests(unittest.TestCase):
    def test_a_seed_gives_the_same_load(self):
        """Two builds of one seed are equal, two seeds differ, for every load."""
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

    def test_a_burst_is_a_burst(self):
        """Three times the capacity arrives in its ten seconds, 70 % else."""
        arrivals = build_load("burst 3x", DRAFTER_DEPLOYMENT, 1).arrivals
        burst = sum(1 for item in arrivals if 20_000 <= item.at_ms < 30_000)
        before = sum(1 for item in arrivals if 10_000 <= item.at_ms < 20_000)
        self.assertAlmostEqual(burst / before, 3 / 0.7, delta=1.0)

    def test_short_and_long_differ_a_hundredfold(self):
        """The long shape costs a hundred times the work of the short one."""
        load = build_load("short and long", ASSISTANT_DEPLOYMENT, 1)
        work = sorted(
            item.output_tokens + item.prompt_tokens / 32 for item in load.arrivals
        )
        low, high = work[len(work) // 20], work[-len(work) // 50]
        self.assertGreater(high / low, 100)


class SimulationTests(unittest.TestCase):
    def test_every_request_has_one_end_under_every_policy(self):
        """Each arrival is answered, refused or fails, also when a domain is lost."""
        load = _short("domain lost", 10_000)
        loss = (DomainLoss(at_ms=5_000, failure_domain="d1"),)
        load = msgspec.structs.replace(load, domain_losses=loss)
        for name, make in POLICIES.items():
            with self.subTest(policy=name):
                answers = Simulation(load, make(load.tiers)).run()
                self.assertEqual(len(answers), len(load.arrivals))
                self.assertTrue(all(item.ended_ms is not None for item in answers))

    def test_an_idle_deployment_answers_everything_in_time(self):
        """Twenty requests a second apart are all goodput, and none is refused."""
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
        """The same load, policy and seed give the same figures."""
        run = Run(
            load="one slow 10x",
            deployment=DRAFTER_DEPLOYMENT,
            policy=PRODUCT_POLICY,
            seed=1,
        )
        self.assertEqual(execute(run), execute(run))


class OutcomeTests(unittest.TestCase):
    """What callers get from the whole scheduler, in each kind of load."""

    def _run(self, name, policy=PRODUCT_POLICY):
        return execute(
            Run(load=name, deployment=DRAFTER_DEPLOYMENT, policy=policy, seed=4)
        )

    def test_saturation_keeps_the_top_tier_whole(self):
        """At one and a half times the capacity, 95 % of the top tier is goodput."""
        result = self._run("saturation 1.5x")
        self.assertGreater(result.goodput_per_s[0], 0.95 * result.offered_per_s[0])
        self.assertGreater(result.refused_permille[2], result.refused_permille[1])
        self.assertGreaterEqual(result.refused_permille[1], result.refused_permille[0])

    def test_skew_is_shared_fairly(self):
        """One customer sends four fifths; the others get what they ask for."""
        self.assertGreater(self._run("skewed customers").fairness, 0.85)

    def test_one_slow_upstream_costs_little(self):
        """One of five is ten times slower: 97 % of answers are in time."""
        result = self._run("one slow 10x")
        self.assertGreater(result.total_per_s, 0.97 * sum(result.offered_per_s))

    def test_short_requests_are_served_beside_long_ones(self):
        """The top tier's short questions keep their first token target."""
        result = self._run("short and long")
        self.assertGreater(result.goodput_per_s[0], 0.93 * result.offered_per_s[0])

    def test_a_burst_costs_the_lower_tiers_first(self):
        """Ten seconds of threefold load: the top tier loses less than a tenth."""
        result = self._run("burst 3x")
        self.assertGreater(result.goodput_per_s[0], 0.9 * result.offered_per_s[0])
        self.assertLess(result.refused_permille[0], result.refused_permille[2])


class SlopeTests(unittest.TestCase):
    def test_fits_a_line_and_its_spread(self):
        """Three repeats of one line differ by their slopes only."""
        points = [(x, [10 + 3 * x, 10 + 2 * x, 10 + 4 * x]) for x in (1, 2, 4, 8)]
        slope = Slope("memory", "B", points)
        self.assertAlmostEqual(slope.slope, 3)
        self.assertAlmostEqual(slope.base, 10)
        self.assertAlmostEqual(slope.spread, 1)

    def test_one_more_grant_costs_less_than_two_kilobytes(self):
        """Memory of a grant, a bound that the capacity page relies on."""
        small, large = (_bytes_of(lambda n=n: _with_grants(n)) for n in (200, 400))
        self.assertLess((large - small) / 200, 2_000)


class ResultTests(unittest.TestCase):
    def test_max_min_shares_give_small_demands_in_full(self):
        """What one does not need is shared by the rest."""
        shares = max_min_shares({"a": 100, "b": 10, "c": 50}, 90)
        self.assertEqual(shares, {"b": 10, "c": 40.0, "a": 40.0})

    def test_the_table_names_where_the_scheduler_is_behind(self):
        """A load in which a baseline does better is listed with its margin."""
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
