import unittest

from hemlockhoist.decisions import Grant, LoadReport, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling.adaptive_tracker import AdaptiveTracker
from hemlockhoist.decisions.scheduling.grants import InFlightGrant
from hemlockhoist.decisions.scheduling.prefixes import MAX_BLOCKS, PrefixMap
from hemlockhoist.decisions.scheduling.tests import builders as b


def _outcome(token_ms, cached_tokens=0):
    return Outcome(
        kind=OutcomeKind.SUCCESS,
        first_token_ms=100,
        total_ms=100 + 49 * token_ms,
        output_tokens=50,
        cached_tokens=cached_tokens,
    )


class PlacementTests(unittest.TestCase):
    def test_stale_reports_do_not_attract_all_requests_to_one_upstream(self):
        """Guards against sending a whole burst to one upstream.

        All load reports are ten seconds old and show one upstream idle. By the reports
        a burst would go there entirely; by the home's own counts it is spread evenly.
        """
        sched = b.scheduler(slots=8, count=4)
        for number, in_flight in enumerate((0, 8, 8, 8)):
            report = LoadReport(
                upstream_id=f"u{number}",
                in_flight=in_flight,
                queued=0,
                age_ms=10_000,
            )
            sched.observe_load(report, 0)
        grants = [sched.submit(b.request(), t)[0].grant for t in range(16)]
        counts = [[g.upstream_id for g in grants].count(f"u{n}") for n in range(4)]
        self.assertEqual(counts, [4, 4, 4, 4])

    def test_request_goes_to_upstream_with_cached_prefix(self):
        """A second request on a document goes to the upstream that computed it."""
        sched = b.scheduler(slots=8, count=4)
        hashes = tuple(range(100))
        long = {"prompt_tokens": 6_400, "prefix_hashes": hashes}
        first = sched.submit(b.request(**long), 0)[0].grant
        sched.release(first.grant_id, _outcome(20), 2_000)
        sched.submit(b.request(), 2_001)
        second = sched.submit(b.request(**long), 2_002)[0].grant
        self.assertEqual(second.upstream_id, first.upstream_id)

    def test_popular_prefix_spreads_when_its_upstream_is_full(self):
        """Thirty concurrent requests on one document use more than one upstream."""
        sched = b.scheduler(slots=8, count=4, max_queued=100)
        long = {"prompt_tokens": 6_400, "prefix_hashes": tuple(range(100))}
        decisions = []
        for now_ms in range(30):
            decisions += sched.submit(b.request(**long), now_ms)
        self.assertEqual(len({d.grant.upstream_id for d in decisions}), 4)

    def test_prompts_wait_in_the_queue_and_not_in_the_engine(self):
        """Guards against a short prompt that waits for long ones in the engine.

        Long prompts arrive, then a short one of the highest tier. An engine computes
        prompts in order of arrival: if the long ones were sent at once, they would
        delay the first token of the short one by seconds.
        """
        sched = b.scheduler(slots=32, max_queued=100)
        logs = [b.request(rank=2, prompt_tokens=9_000) for _ in range(8)]
        granted = [sched.submit(item, t) for t, item in enumerate(logs)]
        self.assertEqual(sum(len(b.granted(item)) for item in granted), 1)
        question = b.request(rank=0)
        sched.submit(question, 10)
        first = granted[0][0].grant
        reported = sched.observe_first_token(first.grant_id, 700, 700)
        self.assertEqual(b.granted(reported)[0], question.request_id)

    def test_wrong_prefill_estimate_does_not_idle_an_engine(self):
        """Guards against an engine that stays idle after an overload.

        An engine was overloaded and its prompts took long, so each prompt is expected
        to take long. When first tokens show that none is pending, it gets requests.
        """
        sched = b.scheduler(slots=32, max_queued=100)
        now_ms = 0
        for _ in range(20):
            now_ms += 10_000
            item = b.request(prompt_tokens=4_000, now_ms=now_ms)
            grant = sched.submit(item, now_ms)[0].grant
            sched.observe_first_token(grant.grant_id, 9_000, now_ms + 9_000)
        now_ms += 10_000
        for step in range(10):
            item = b.request(prompt_tokens=4_000, now_ms=now_ms)
            grant = sched.submit(item, now_ms + 100 * step)[0].grant
            sched.observe_first_token(grant.grant_id, 90, now_ms + 100 * step + 90)

    def test_shared_prefix_stays_in_the_map(self):
        """Guards against forgetting prefixes that the engine still has cached.

        Requests on four documents share 64 blocks each and end in a partial block.
        Engines report all 64 as cached. If that were rounded down, the home would
        shrink its estimate of their caches with each answer, forget the documents, and
        have other engines compute them again.
        """
        tracker = AdaptiveTracker(8)
        tracker.set_listed(b.upstreams(1), 0)
        tracker.set_usable(b.upstreams(1), 0)
        for number in range(200):
            now_ms = 3_000 * number
            item = self._question(number % 4, number, now_ms)
            grant = Grant(
                grant_id=f"g{number}",
                request_id=item.request_id,
                upstream_id="u0",
                address="127.0.0.1:1",
                version="v1",
                expires_ms=0,
            )
            held = InFlightGrant(item, grant, now_ms, 1_000.0)
            tracker.on_grant(held, now_ms)
            outcome = _outcome(20, 4_096 if number >= 4 else 0)
            tracker.on_outcome(held, outcome, 1_100, 1_000.0, now_ms + 1_100)
        known = tracker.get("u0").prefixes
        for document in range(4):
            hashes = self._question(document, 999, 0).prefix_hashes
            self.assertEqual(known.match(hashes), 64)

    def _question(self, document, number, now_ms):
        shared = tuple(100_000 * (document + 1) + n for n in range(64))
        own = tuple(10_000_000 + 10 * number + n for n in range(6))
        return b.request(now_ms=now_ms, prompt_tokens=4_500, prefix_hashes=shared + own)

    def test_faster_generation_is_preferred_while_it_has_free_slots(self):
        """At light load requests go to the faster of two hardware generations."""
        sched = b.scheduler(slots=8)
        token_times = {"old": 40, "new": 10}
        sched.set_upstreams(
            [
                Upstream(
                    upstream_id=name,
                    pool="assistant",
                    version="v1",
                    address="127.0.0.1:1",
                    generation=name,
                )
                for name in token_times
            ],
            0,
        )
        used, now_ms = [], 0
        for _ in range(60):
            grants = [
                sched.submit(b.request(now_ms=now_ms), now_ms)[0].grant
                for _ in range(2)
            ]
            now_ms += 2_000
            for grant in grants:
                used.append(grant.upstream_id)
                sched.release(
                    grant.grant_id, _outcome(token_times[grant.upstream_id]), now_ms
                )
        self.assertGreater(used[-40:].count("new"), 30)

    def test_local_failure_domain_is_preferred_between_equals(self):
        """With equal load a request stays in its failure domain."""
        sched = b.scheduler(slots=8)
        sched.set_upstreams(
            [
                Upstream(
                    upstream_id=f"u{n}",
                    pool="assistant",
                    version="v1",
                    address="127.0.0.1:1",
                    failure_domain=f"d{n}",
                )
                for n in range(3)
            ],
            0,
        )
        grant = sched.submit(b.request(failure_domain="d2"), 1)[0].grant
        self.assertEqual(grant.upstream_id, "u2")


class PrefixMapTests(unittest.TestCase):
    def test_is_bounded(self):
        """The map holds a bounded number of blocks, however many prompts are added."""
        prefixes = PrefixMap()
        for document in range(200):
            prefixes.add(tuple(range(100 * document, 100 * document + 100)))
        self.assertLessEqual(len(prefixes), MAX_BLOCKS)

    def test_matches_the_longest_known_prefix(self):
        """Only leading blocks count."""
        prefixes = PrefixMap()
        prefixes.add((1, 2, 3, 4))
        self.assertEqual(prefixes.match((1, 2, 9, 10)), 2)
        self.assertEqual(prefixes.match((9, 10, 11)), 0)

    def test_shrinks_to_the_cache_of_the_engine(self):
        """An engine that evicted expected blocks has a smaller cache than assumed."""
        prefixes = PrefixMap()
        prefixes.add(tuple(range(MAX_BLOCKS)))
        for _ in range(60):
            prefixes.observe(expected_blocks=10, found_blocks=0)
        self.assertLess(len(prefixes), MAX_BLOCKS // 4)
