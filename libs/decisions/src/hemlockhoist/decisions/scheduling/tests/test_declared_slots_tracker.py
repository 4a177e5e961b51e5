import doctest
import unittest

from hemlockhoist.decisions import Granted, Outcome, OutcomeKind, Upstream
from hemlockhoist.decisions.scheduling import (
    DeclaredSlotsTracker,
    PoolScheduler,
    pace,
    reliability,
)
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.declarations import Pool, PoolKind

FAST_US = 2_000
SLOW_US = 9_000
SLOTS = 4


def upstream(name, **fields):
    values = {"pool": "dossiers", "version": "v1", "address": "127.0.0.1:1"}
    return Upstream(upstream_id=name, slot_count=SLOTS, **(values | fields))


def scheduler(*names):
    pool = Pool(name="dossiers", kind=PoolKind.MODEL, stable_version="")
    made = PoolScheduler.from_config(pool, (), "i1", tracker=DeclaredSlotsTracker())
    made.set_upstreams([upstream(name) for name in names], 0)
    return made


def success(token_us, first_ms=60):
    return Outcome(
        kind=OutcomeKind.SUCCESS,
        first_token_ms=first_ms,
        total_ms=first_ms + 100 * token_us // 1_000,
        output_tokens=100,
        token_us=token_us,
    )


def ended(kind):
    return Outcome(kind=kind, total_ms=1)


class RequestSender:
    """Sends requests one by one, and ends each with its upstream's outcome."""

    def __init__(self, sched):
        self.sched = sched
        self.now_ms = 0
        self.sent = []

    def send(self, outcome_of, count=1, every_ms=100, **fields):
        """Return the upstreams that the requests were sent to."""
        placed = []
        for _ in range(count):
            self.now_ms += every_ms
            request = b.request(now_ms=self.now_ms, **fields)
            for granted in self.sched.submit(request, self.now_ms):
                if not isinstance(granted, Granted):
                    continue
                name = granted.grant.upstream_id
                placed.append(name)
                grant_id = granted.grant.grant_id
                self.sched.release(grant_id, outcome_of(name), self.now_ms + 1)
        return placed

    def learn(self, paces):
        """Have each upstream answer a few requests at its pace."""
        for name, token_us in paces.items():
            self.sched.set_upstreams([upstream(name)], self.now_ms)
            self.send(lambda _, us=token_us: success(us), count=5)
        self.sched.set_upstreams([upstream(name) for name in paces], self.now_ms)


class UnreachableTests(unittest.TestCase):
    def test_crashed_upstream_is_not_tried_by_every_request(self):
        """Guards against sending each request to crashed engines first.

        A crashed engine that is still listed holds no requests, so each request of the
        next seconds was sent there first; half of all grants were useless.
        """
        sender = RequestSender(scheduler("dead", "live"))
        placed = sender.send(
            lambda name: (
                ended(OutcomeKind.CONNECT_FAILED)
                if name == "dead"
                else success(FAST_US)
            ),
            count=40,
            every_ms=50,
        )
        self.assertLessEqual(placed.count("dead"), 4)

    def test_upstream_that_is_reachable_again_is_used(self):
        sender = RequestSender(scheduler("once", "other"))
        sender.send(
            lambda name: (
                ended(OutcomeKind.CONNECT_FAILED)
                if name == "once"
                else success(FAST_US)
            ),
            count=10,
        )
        placed = sender.send(lambda name: success(FAST_US), count=60)
        self.assertIn("once", placed[-20:])

    def test_all_unreachable_upstreams_are_tried_in_turn(self):
        """Without any other upstream, a backoff ends after two seconds at most."""
        sender = RequestSender(scheduler("a", "b"))
        placed = sender.send(
            lambda name: ended(OutcomeKind.CONNECT_FAILED), count=100, every_ms=100
        )
        self.assertGreater(len(placed), 8)


class FailingTests(unittest.TestCase):
    def test_upstream_that_fails_half_its_answers_is_avoided(self):
        """Guards against an upstream that fails half of its requests unreported."""
        count = {"bad": 0}

        def outcome_of(name):
            if name == "bad":
                count["bad"] += 1
                if count["bad"] % 2:
                    return ended(OutcomeKind.FAILED)
            return success(FAST_US)

        sender = RequestSender(scheduler("bad", "good", "fine"))
        placed = sender.send(outcome_of, count=60)
        self.assertLess(placed.count("bad"), 15)

    def test_equal_failure_rates_avoid_no_upstream(self):
        """If all upstreams fail equally often, none is avoided."""
        ended_count = {"n": 0}

        def outcome_of(name):
            ended_count["n"] += 1
            return (
                ended(OutcomeKind.FAILED)
                if ended_count["n"] % 3 == 0
                else success(FAST_US)
            )

        sender = RequestSender(scheduler("a", "b"))
        placed = sender.send(outcome_of, count=200, every_ms=20)
        self.assertGreater(min(placed.count("a"), placed.count("b")), 20)


class PaceTests(unittest.TestCase):
    def setUp(self):
        self.sender = RequestSender(scheduler("fast", "slow"))
        self.sender.learn({"fast": FAST_US, "slow": SLOW_US})
        self.sender.now_ms += 1_000

    def place(self, **fields):
        request = b.request(now_ms=self.sender.now_ms, **fields)
        decisions = self.sender.sched.submit(request, self.sender.now_ms)
        return decisions[0].grant.upstream_id

    def test_long_prompts_go_to_the_fast_engine(self):
        self.assertEqual(self.place(prompt_tokens=20_000), "fast")

    def test_short_prompts_use_the_slow_engine_beside_a_long_one(self):
        """Guards against a short prompt behind a long one beside an idle engine.

        The fast engine computes the long prompt for half a second; the slow one would
        have answered the short one in a tenth of that.
        """
        self.place(prompt_tokens=40_000)
        self.assertEqual(self.place(prompt_tokens=300), "slow")

    def test_engine_that_turns_slow_is_recognised_after_a_few_answers(self):
        self.sender.sched.set_upstreams([upstream("fast")], self.sender.now_ms)
        self.sender.send(lambda name: success(10 * SLOW_US), count=4)
        both = [upstream("fast"), upstream("slow")]
        self.sender.sched.set_upstreams(both, self.sender.now_ms)
        self.sender.sched.release("none", success(FAST_US), self.sender.now_ms)
        self.assertEqual(self.place(prompt_tokens=5_000), "slow")

    def test_no_more_is_granted_than_the_upstreams_declare(self):
        placed = []
        for _ in range(3 * SLOTS):
            request = b.request(now_ms=self.sender.now_ms)
            placed += self.sender.sched.submit(request, self.sender.now_ms)
        self.assertEqual(len(placed), 2 * SLOTS)


class ConnectedTests(unittest.TestCase):
    """Upstreams to which the entry host keeps an idle connection."""

    def test_connected_upstream_is_chosen_among_nearly_equal_ones(self):
        """Guards against a new connection for each request beside idle ones."""
        sender = RequestSender(scheduler("a", "b", "c"))
        for name in ("c", "b", "a"):
            placed = sender.send(lambda _: success(FAST_US), 3, connected=(name,))
            self.assertEqual(placed, [name] * 3)

    def test_faster_upstream_is_chosen_before_a_connected_one(self):
        sender = RequestSender(scheduler("a", "b"))
        sender.learn({"a": FAST_US, "b": SLOW_US})
        placed = sender.send(
            lambda _: success(FAST_US), prompt_tokens=20_000, connected=("b",)
        )
        self.assertEqual(placed, ["a"])

    def test_own_failure_domain_goes_first(self):
        """Guards against traffic between domains, which is charged."""
        made = scheduler()
        made.set_upstreams(
            [upstream(name, failure_domain=name) for name in ("a", "b")], 0
        )
        placed = RequestSender(made).send(
            lambda _: success(FAST_US), failure_domain="a", connected=("b",)
        )
        self.assertEqual(placed, ["a"])


class StallTests(unittest.TestCase):
    def test_unresponsive_upstream_is_avoided(self):
        """Guards against sending more requests to an engine that hangs.

        No connection breaks and no answer fails. Only the first tokens, long overdue,
        show the stall.
        """
        sched = scheduler("stalled", "live")
        sender = RequestSender(sched)
        sender.learn({"stalled": FAST_US, "live": FAST_US})
        now_ms = sender.now_ms + 1_000
        sched.set_upstreams([upstream("stalled")], now_ms)
        for _ in range(2):
            sched.submit(b.request(now_ms=now_ms), now_ms)
        sched.set_upstreams([upstream("stalled"), upstream("live")], now_ms)
        sender.now_ms = now_ms + 2_000
        sched.tick(sender.now_ms)
        placed = sender.send(lambda name: success(FAST_US), count=6)
        self.assertEqual(set(placed), {"live"})


class ExampleTests(unittest.TestCase):
    def test_examples_run(self):
        for module in (pace, reliability):
            self.assertEqual(doctest.testmod(module).failed, 0)
