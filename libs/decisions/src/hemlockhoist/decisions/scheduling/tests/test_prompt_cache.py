import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions import Granted, Upstream
from hemlockhoist.decisions.scheduling import DeclaredSlotsTracker, PoolScheduler
from hemlockhoist.decisions.scheduling import prompt_cache as module
from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

CAPACITY = 1_000


class PromptCacheTests(unittest.TestCase):
    def test_docstring_examples_run(self):
        self.assertEqual(doctest.testmod(module).failed, 0)

    def test_blocks_of_a_few_tokens_do_not_determine_the_upstream(self):
        """Guards against one engine getting all prompts for a common first block."""
        cache = PromptCache(CAPACITY)
        cache.record("u1", (1, 2), (60, 700))
        self.assertEqual(cache.cached_tokens((1, 3), (60, 700)), {})

    def test_upstream_that_is_gone_has_nothing_cached(self):
        cache = PromptCache(CAPACITY)
        cache.record("u1", (1,), (500,))
        cache.forget("u1")
        cache.forget("unknown")
        self.assertEqual(cache.cached_tokens((1,), (500,)), {})

    def test_capacity_that_is_not_declared(self):
        cache = PromptCache(0)
        cache.record("u1", (1,), (500,))
        self.assertEqual(cache.cached_tokens((1,), (500,)), {"u1": 500})

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 9), st.integers(1, 400)),
            max_size=60,
        )
    )
    def test_no_upstream_caches_more_than_its_capacity(self, records):
        cache, sizes = PromptCache(CAPACITY), {}
        for upstream, block, tokens in records:
            tokens = sizes.setdefault(block, tokens)
            cache.record(f"u{upstream}", (block,), (tokens,))
            for name in ("u0", "u1", "u2"):
                cached = sum(
                    size
                    for block, size in sizes.items()
                    if name in cache._holders.get(block, ())
                )
                self.assertLessEqual(cached, CAPACITY)


class PlacementTests(unittest.TestCase):
    """Without placement by cached prefixes, many engines compute the same prompts."""

    def setUp(self):
        pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
        self.sched = PoolScheduler.from_config(
            pool, (), "i1", tracker=DeclaredSlotsTracker(cache_tokens=40_000)
        )
        self.names = [f"u{number}" for number in range(8)]
        self.sched.set_upstreams([self.upstream(name) for name in self.names], 0)

    def upstream(self, name, started_unix_ms=0):
        return Upstream(
            upstream_id=name,
            pool="dossiers",
            version="v1",
            address="127.0.0.1:1",
            slot_count=2,
            started_unix_ms=started_unix_ms,
        )

    def place(self, subject, now_ms, ends=True):
        """Return the upstream of a prompt on a subject; its answer ends at once."""
        request = b.request(
            now_ms=now_ms,
            prompt_tokens=4_060,
            prefix_hashes=(1, 100 + subject),
            prefix_tokens=(60, 4_000),
        )
        (granted,) = self.sched.submit(request, now_ms)
        self.assertIsInstance(granted, Granted)
        if ends:
            self.sched.release(granted.grant.grant_id, b.SUCCESS, now_ms + 500)
        return granted.grant.upstream_id

    def test_prompts_on_one_subject_go_to_the_upstream_that_has_it_cached(self):
        """Of 60 prompts on 6 subjects 6 are computed, not 48."""
        placed = {}
        for number in range(60):
            subject = number % 6
            placed.setdefault(subject, set()).add(self.place(subject, 1_000 * number))
        self.assertEqual({len(found) for found in placed.values()}, {1})

    def test_subject_of_a_burst_is_spread_over_engines(self):
        """Guards against overloading one engine with a frequent subject."""
        placed = [self.place(1, 1_000 + number, ends=False) for number in range(12)]
        self.assertGreaterEqual(len(set(placed)), 6)

    def test_restarted_engine_is_assumed_to_have_nothing_cached(self):
        """An engine restarts under its id, or is removed from the list and returns."""
        request = b.request(prefix_hashes=(1, 101), prefix_tokens=(60, 4_000))
        for again in ([], [self.upstream(name, 9) for name in self.names]):
            name = self.place(1, 1_000)
            (other, *_) = [item for item in self.names if item != name]
            self.assertEqual(self.sched.cached_elsewhere(request, other), 4_060)
            listed = [self.upstream(item) for item in self.names if item != name]
            self.sched.set_upstreams(again or listed, 2_000)
            self.assertEqual(self.sched.cached_elsewhere(request, other), 0)
            self.sched.set_upstreams([self.upstream(n) for n in self.names], 3_000)

    def test_request_without_sizes_of_its_blocks(self):
        request = b.request(prefix_hashes=(1, 2), prompt_tokens=500)
        (granted,) = self.sched.submit(request, 0)
        self.assertIsInstance(granted, Granted)
