import doctest
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.standins import answers, engine_model
from hemlockhoist.standins.engine_model import (
    GENERATIONS,
    EngineConfig,
    EngineEventKind,
    EngineModel,
)

_FIRST_AND_END_ONLY = EngineConfig(report_tokens=False)


def _run_by_next_event(model, until_ms):
    """Advance the model at each ``next_event_ms``; return the events."""
    events = []
    while True:
        next_ms = model.next_event_ms()
        if next_ms is None or next_ms > until_ms:
            return events
        events += model.advance(next_ms)


def _event_times(events, kind):
    return {event.request_id: event.at_ms for event in events if event.kind is kind}


class EngineModelTests(unittest.TestCase):
    def test_larger_batch_slows_each_sequence(self):
        """A batch slows each sequence, and is faster than running them in turn."""
        alone = EngineModel.from_config(_FIRST_AND_END_ONLY)
        alone.submit("0", 100, 100, (), 0)
        single_ms = _run_by_next_event(alone, 10**6)[-1].at_ms
        batched = EngineModel.from_config(_FIRST_AND_END_ONLY)
        for i in range(20):
            batched.submit(str(i), 100, 100, (), 0)
        batched_ms = _run_by_next_event(batched, 10**6)[-1].at_ms
        self.assertGreater(batched_ms, 1.2 * single_ms)
        self.assertLess(batched_ms, 20 * single_ms / 5)

    def test_newer_generations_are_faster(self):
        """Each generation finishes the same work sooner than the previous one."""
        ends = []
        for name in ("g1", "g2", "g3", "g4"):
            model = EngineModel.from_config(GENERATIONS[name])
            model.submit("a", 4_000, 50, (), 0)
            ends.append(_run_by_next_event(model, 10**6)[-1].at_ms)
        self.assertEqual(ends, sorted(ends, reverse=True))

    def test_cached_prefix_is_not_prefilled(self):
        """A second prompt with the same prefix gets its first token sooner."""
        hashes = tuple(range(1, 51))
        model = EngineModel.from_config(_FIRST_AND_END_ONLY)
        model.submit("a", 50 * 64 + 10, 1, hashes, 0)
        first_ms = _run_by_next_event(model, 10**6)[0].at_ms
        model.submit("b", 50 * 64 + 10, 1, hashes, 10_000)
        event = _run_by_next_event(model, 10**6)[0]
        self.assertEqual(event.cached_tokens, 50 * 64)
        self.assertLess(event.at_ms - 10_000, first_ms / 4)
        self.assertEqual(model.prefilled_tokens, 50 * 64 + 10 + 10)

    def test_cache_is_bounded(self):
        """The least recently used prefix is evicted and reported as removed."""
        config = msgspec.structs.replace(_FIRST_AND_END_ONLY, cache_blocks=4)
        model = EngineModel.from_config(config)
        for i, hashes in enumerate(((1, 2), (3, 4), (5, 6))):
            model.submit(str(i), 129, 1, hashes, i * 1_000)
        model.advance(10_000)
        changes = model.take_cache_changes()
        self.assertEqual(changes[-1], ((5, 6), (2, 1)))
        model.submit("again", 129, 1, (1, 2), 10_000)
        self.assertEqual(model.advance(20_000)[0].cached_tokens, 0)

    def test_batch_is_bounded_and_cancel_frees_a_slot(self):
        """Excess sequences wait; cancelling one admits the next."""
        config = msgspec.structs.replace(_FIRST_AND_END_ONLY, max_running=2)
        model = EngineModel.from_config(config)
        for name in "abc":
            model.submit(name, 10, 1_000, (), 0)
        model.advance(500)
        self.assertEqual((model.load().in_flight, model.load().queued), (2, 1))
        self.assertGreater(model.cancel("a", 500), 10)
        model.advance(600)
        self.assertEqual((model.load().in_flight, model.load().queued), (2, 0))
        self.assertIsNone(model.cancel("a", 600))

    def test_slowdown_stretches_steps(self):
        """At twice the step time, the same work takes twice as long."""
        ends = []
        for permille in (1_000, 2_000):
            model = EngineModel.from_config(_FIRST_AND_END_ONLY)
            model.set_slowdown(permille)
            model.submit("a", 100, 100, (), 0)
            ends.append(_run_by_next_event(model, 10**6)[-1].at_ms)
        self.assertAlmostEqual(ends[1] / ends[0], 2, places=2)

    @given(
        st.lists(
            st.tuples(st.integers(0, 3_000), st.integers(1, 3_000), st.integers(1, 60)),
            min_size=1,
            max_size=12,
        ),
        st.booleans(),
    )
    def test_results_do_not_depend_on_when_advance_is_called(self, work, reports):
        """Each sequence finishes completely, at a time independent of the calls."""
        config = msgspec.structs.replace(
            _FIRST_AND_END_ONLY,
            max_running=3,
            max_context_tokens=4_000,
            report_tokens=reports,
        )
        outcomes = []
        for step_ms in (None, 7, 10**7):
            model = EngineModel.from_config(config)
            events = []
            for i, (at_ms, prompt, output) in enumerate(sorted(work)):
                events += _run_by_next_event(model, at_ms) if step_ms is None else []
                model.submit(str(i), prompt, output, (), at_ms)
            if step_ms is None:
                events += _run_by_next_event(model, 10**7)
            for now_ms in range(0, 60_000 if step_ms else 0, step_ms or 1):
                events += model.advance(now_ms)
            events += model.advance(10**7)
            self.assertIsNone(model.next_event_ms())
            self.assertEqual(model.load().reserved_tokens, 0)
            outcomes.append(_event_times(events, EngineEventKind.FINISHED))
            if reports:
                tokens = [e for e in events if e.kind is not EngineEventKind.FINISHED]
                self.assertEqual(len(tokens), sum(output for *_, output in work))
        self.assertEqual(len(outcomes[0]), len(work))
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertEqual(outcomes[0], outcomes[2])

    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        for module in (engine_model, answers):
            self.assertEqual(doctest.testmod(module).failed, 0)
