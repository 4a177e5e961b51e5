import doctest
import itertools
import random
import unittest
from unittest import mock

from hemlockhoist.decisions import Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import (
    DeclaredSlotsTracker,
    PoolScheduler,
    silent_upstreams,
)
from hemlockhoist.decisions.scheduling.adaptive_tracker import AdaptiveTracker
from hemlockhoist.decisions.scheduling.silent_upstreams import SilentUpstreams
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

USUAL_MS = 40
# When a hedge of a request at another upstream has answered.
OVERTAKEN_MS = 100


def upstream(name, slot_count=4, started_unix_ms=1, generation=""):
    return Upstream(
        upstream_id=name,
        pool="halls",
        version="v1",
        address=f"{name}:1",
        slot_count=slot_count,
        failure_domain=name,
        generation=generation,
        started_unix_ms=started_unix_ms,
    )


class SilentUpstreamsTests(unittest.TestCase):
    def setUp(self):
        self.silent = SilentUpstreams()

    def overtaken(self, granted_ms, usual_ms=USUAL_MS):
        now_ms = granted_ms + OVERTAKEN_MS
        return self.silent.record_overtaken(
            "u1", granted_ms, OVERTAKEN_MS, usual_ms, now_ms
        )

    def test_silence_shorter_than_a_stall_does_not_count(self):
        """Guards against one slow moment in which several requests are overtaken."""
        self.assertFalse(any(self.overtaken(granted_ms) for granted_ms in range(350)))
        self.assertTrue(self.overtaken(360))

    def test_attempt_within_the_usual_time_does_not_count(self):
        """Guards against slow hardware that is ejected since faster one is hedged to."""
        attempts = [self.overtaken(n, OVERTAKEN_MS) for n in range(0, 9_000, 200)]
        self.assertFalse(any(attempts))

    def test_answer_to_any_request_ends_the_silence(self):
        """Guards against slow responses that add up to a silence."""
        for granted_ms in range(0, 9_000, 500):
            self.assertFalse(self.overtaken(granted_ms))
            self.assertFalse(self.overtaken(granted_ms + 50))
            self.silent.record_answer("u1", granted_ms + 400)
            # It was granted before the upstream answered.
            self.assertFalse(self.overtaken(granted_ms + 399))

    def test_restarted_upstream_starts_anew(self):
        """Guards against blaming a process for the silence of its predecessor."""
        self.silent.set_listed([upstream("u1")], 0)
        self.assertTrue([self.overtaken(n) for n in (0, 200, 400)][-1])
        self.silent.set_listed([upstream("u1", started_unix_ms=2)], 500)
        self.assertFalse(self.overtaken(600))

    def test_examples(self):
        self.assertEqual(doctest.testmod(silent_upstreams).failed, 0)


class SchedulerTests(unittest.TestCase):
    """Upstreams that answer in a usual time, and one at which requests are hedged."""

    def run_requests(self, tracker, slot_count, duration_ms, is_overtaken):
        """Send a request each 20 ms from the domain of ``u0``; return the times there.

        Parameters
        ==========
        tracker : UpstreamTracker
        slot_count : int
            As declared by each upstream; 0 for none.
        duration_ms : int
        is_overtaken : callable
            Returns for an upstream and a time whether a request there is overtaken.
        """
        pool = Pool(name="halls", kind=PoolKind.SERVICE, stable_version="")
        self.scheduler = PoolScheduler.from_config(pool, (), "i", tracker=tracker)
        self.scheduler.set_upstreams(
            [upstream(f"u{number}", slot_count) for number in range(4)], 0
        )
        in_flight, times_ms = [], []
        for now_ms in range(0, duration_ms, 10):
            for item in [item for item in in_flight if item[0] <= now_ms]:
                in_flight.remove(item)
                self.scheduler.release(item[1], item[2], now_ms)
            if now_ms % 20 == 0:
                request = b.request(
                    now_ms=now_ms,
                    prompt_tokens=0,
                    output_tokens=0,
                    failure_domain="u0",
                )
                (granted,) = self.scheduler.submit(request, now_ms)
                grant = granted.grant
                outcome = Outcome(kind=OutcomeKind.SUCCESS, total_ms=USUAL_MS)
                if is_overtaken(grant.upstream_id, now_ms):
                    outcome = Outcome(
                        kind=OutcomeKind.CANCELLED,
                        total_ms=OVERTAKEN_MS,
                        is_overtaken=True,
                    )
                if grant.upstream_id == "u0":
                    times_ms.append(now_ms)
                end_ms = now_ms + outcome.total_ms
                in_flight.append((end_ms, grant.grant_id, outcome))
            self.scheduler.tick(now_ms)
        return times_ms

    def test_silent_upstream_loses_its_place(self):
        """Guards against a hung upstream that costs a hedge for each request."""
        for answers_first, slot_count in itertools.product((True, False), (4, 0)):
            tracker = DeclaredSlotsTracker() if slot_count else AdaptiveTracker(4)
            silent_ms = 2_000 if answers_first else 0

            def is_silent(name, now_ms, silent_ms=silent_ms):
                return name == "u0" and now_ms >= silent_ms

            times_ms = self.run_requests(tracker, slot_count, 6_000, is_silent)
            with self.subTest(answers_first=answers_first, slot_count=slot_count):
                late = [at for at in times_ms if at >= silent_ms + 2_000]
                self.assertLess(len(late), 10)

    def test_slow_responses_say_nothing_of_their_upstreams(self):
        """Guards against upstreams that lose their place for responses that are rare."""
        random_source = random.Random(1)
        tracker = DeclaredSlotsTracker()

        def is_slow(name, now_ms):
            return random_source.random() < 0.02

        self.run_requests(tracker, 4, 60_000, is_slow)
        failures = [tracker.get(f"u{n}").failures.counts(60_000)[0] for n in range(4)]
        self.assertEqual(failures, [0.0] * 4)

    def test_whole_response_within_its_usual_time_does_not_count(self):
        """Guards against slow hardware that counts as timed out while it decodes.

        ``u0`` is of an older generation, and decodes four times slower than the others. Its whole responses usually
        take 400 ms and are overtaken after 300 ms, before which they send nothing.
        """
        for slot_count in (4, 0):
            tracker = DeclaredSlotsTracker() if slot_count else AdaptiveTracker(4)
            run = _WholeResponseRun(tracker, slot_count)
            run.warm_up()
            counted = [run.overtake(300) for _ in range(20)]
            with self.subTest(slot_count=slot_count):
                self.assertFalse(any(counted))
                # One that sends nothing for longer than usual is still recognised.
                self.assertTrue(any(run.overtake(3_000) for _ in range(20)))

    def test_whole_response_within_its_usual_time_is_no_evidence_of_the_pace(self):
        """Guards against hardware that seems ever slower as its calls are overtaken."""
        tracker = DeclaredSlotsTracker()
        run = _WholeResponseRun(tracker, 4)
        run.warm_up()
        before = tracker.get("u0").pace.token_ms
        for _ in range(20):
            run.overtake(300)
        self.assertEqual(tracker.get("u0").pace.token_ms, before)
        self.assertEqual(tracker.get("u0").failures.counts(run.now_ms)[0], 0.0)


class _WholeResponseRun:
    """Requests of 50 output tokens, one at a time, streams and others mixed.

    Parameters
    ==========
    tracker : UpstreamTracker
    slot_count : int
        As declared by each upstream; 0 for none.
    """

    def __init__(self, tracker, slot_count):
        self.now_ms = 0
        pool = Pool(name="halls", kind=PoolKind.MODEL, stable_version="")
        self._scheduler = PoolScheduler.from_config(pool, (), "i", tracker=tracker)
        names = ("u0", "u1", "u2", "u3")
        listed = [
            upstream(name, slot_count, generation="old" if name == "u0" else "new")
            for name in names
        ]
        self._scheduler.set_upstreams(listed, 0)
        self._tracker_type = type(tracker)

    def warm_up(self):
        """Let each upstream complete 80 requests, three in four of them streams."""
        for _ in range(20):
            for name in ("u0", "u1", "u2", "u3"):
                token_ms = 8 if name == "u0" else 2
                total_ms = 50 * token_ms
                stream = Outcome(
                    kind=OutcomeKind.SUCCESS,
                    first_token_ms=2 * token_ms,
                    total_ms=total_ms,
                    output_tokens=50,
                    token_us=1_000 * token_ms,
                )
                whole = Outcome(kind=OutcomeKind.SUCCESS, total_ms=total_ms)
                # The pace follows the streams, as they are more and later.
                self._run(name, whole, total_ms)
                for _ in range(3):
                    self._run(name, stream, total_ms, is_stream=True)

    def overtake(self, elapsed_ms):
        """Cancel a whole response at ``u0``; return whether it counts as timed out."""
        outcome = Outcome(
            kind=OutcomeKind.CANCELLED, total_ms=elapsed_ms, is_overtaken=True
        )
        on_outcome = self._tracker_type.on_outcome
        with mock.patch.object(
            self._tracker_type, "on_outcome", autospec=True, side_effect=on_outcome
        ) as recorded:
            self._run("u0", outcome, elapsed_ms)
        return recorded.call_args.args[2].kind is OutcomeKind.TIMEOUT

    def _run(self, name, outcome, elapsed_ms, **fields):
        others = {"u0", "u1", "u2", "u3"} - {name}
        request = b.request(now_ms=self.now_ms, avoid=tuple(sorted(others)), **fields)
        (granted,) = self._scheduler.submit(request, self.now_ms)
        self.now_ms += elapsed_ms
        self._scheduler.release(granted.grant.grant_id, outcome, self.now_ms)
        self._scheduler.tick(self.now_ms)


if __name__ == "__main__":
    unittest.main()
