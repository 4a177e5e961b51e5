import asyncio
import contextlib
import types
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import MS_PER_S, Clock, DispatchError
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.testing import PausedEventLoop
from hemlockhoist.decisions.entry import AttemptEnd, HedgePolicy
from hemlockhoist.declarations import CallKind
from hemlockhoist.entry.hedge import Hedge
from hemlockhoist.entry.tests.builders import route

# A bound of the policy's histogram, so that it is the delay.
USUAL_MS = 4
FIRST_DATA_LIMIT_MS = 100


class FakeAttempts:
    """Attempts whose responses take given times, or fail after them."""

    sent_count = 0

    def __init__(self, hedge_ms, is_failing, status=200):
        self._hedge_ms = hedge_ms
        self._status = status
        self._is_failing = is_failing
        self.hedges = []
        self.discarded = []
        self.opened = asyncio.Event()

    async def begin_beside(self, is_hedge):
        self.hedges.append(new_attempt())
        return self.hedges[-1]

    def span(self, attempt):
        return contextlib.nullcontext()

    async def discard(self, opened, times_out):
        self.discarded.append(opened)

    # As of ``AttemptSender``.

    @contextlib.contextmanager
    def failure_recorded(self, opened):
        try:
            yield
        except DispatchError:
            opened.end = AttemptEnd.TIMED_OUT

    async def open(self, opened):
        await asyncio.sleep(self._hedge_ms / MS_PER_S)
        self.opened.set()
        if self._is_failing:
            opened.end = AttemptEnd.BROKEN
        opened.head.status = self._status
        opened.response = types.SimpleNamespace(wait_for_data=asyncio.Event().wait)

    # As of ``RequestAttempts``.

    async def read_body(self, response):
        return b"hedge"

    def record_failed_answer(self, opened, body):
        opened.end = AttemptEnd.FAILED_ANSWER


def new_attempt():
    attempt = types.SimpleNamespace(
        number=2,
        is_overtaken=False,
        reason="",
        hold=types.SimpleNamespace(upstream_id="u"),
        guard=types.SimpleNamespace(dispatched=True),
    )
    head = types.SimpleNamespace(status=200)
    return types.SimpleNamespace(
        attempt=attempt, head=head, response=None, end=None, body=None
    )


class HedgeRaceTests(unittest.TestCase):
    is_memory_short = False

    @given(*[st.integers(0, 12)] * 2, *[st.booleans()] * 2, st.integers(0, 30))
    def test_one_response_at_most_goes_to_the_caller(
        self, first_ms, hedge_ms, first_fails, hedge_fails, leaves_ms
    ):
        """Guards against two responses for one caller, and attempts that go on."""
        race = self.race(first_ms, hedge_ms, first_fails, hedge_fails, leaves_ms)
        with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
            claims, attempts, won, after_ms = runner.run(race)
        self.assertLessEqual(len(claims) + won, 1)
        self.assertEqual(len(attempts.discarded) + won, len(attempts.hedges))
        is_left = leaves_ms <= max(first_ms, 20)
        is_hedge_usable = attempts.hedges and not hedge_fails
        if not is_left and (not first_fails or is_hedge_usable):
            self.assertEqual(len(claims) + won, 1)
        if won and not first_fails:
            self.assertLess(after_ms, USUAL_MS + hedge_ms + 1)

    def test_first_response_arrives_in_the_step_in_which_the_hedge_wins(self):
        """Guards against a first attempt that writes before it is cancelled."""
        with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
            race = self.race(None, 5, False, False, 100)
            claims, _, won, _ = runner.run(race)
        self.assertEqual((claims, won), ([], True))

    def test_hedge_with_an_error_does_not_replace_a_sound_first_answer(self):
        """Guards against a conflict of the second copy that its caller gets."""
        for status in (300, 409, 500):
            with self.subTest(status=status):
                with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
                    race = self.race(20, 5, False, False, 100, status)
                    claims, attempts, won, _ = runner.run(race)
                self.assertEqual((len(claims), won), (1, False))
                self.assertEqual(attempts.discarded, attempts.hedges)

    def test_no_hedge_while_the_host_waits_for_memory(self):
        """Guards against a second answer in memory that is short already."""
        self.is_memory_short = True
        with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
            race = self.race(20, 5, False, False, 100)
            claims, attempts, _, _ = runner.run(race)
        self.assertEqual((len(claims), attempts.hedges), (1, []))

    def test_silent_hedge_of_a_stream_ends_within_its_limit(self):
        """Guards against a silent hedge that its request waits for without bound."""
        with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
            race = self.race(
                20, 5, True, False, 900, kind=CallKind.STREAM, is_resumable=True
            )
            _, attempts, won, after_ms = runner.run(race)
        self.assertFalse(won)
        self.assertEqual(len(attempts.discarded), 1)
        self.assertIs(attempts.hedges[0].end, AttemptEnd.TIMED_OUT)
        self.assertAlmostEqual(after_ms, USUAL_MS + FIRST_DATA_LIMIT_MS, delta=2)

    async def race(
        self,
        first_ms,
        hedge_ms,
        first_fails,
        hedge_fails,
        leaves_ms,
        status=200,
        **route_fields,
    ):
        clock, claims, won = Clock.from_running_loop(), [], False
        attempts = FakeAttempts(hedge_ms, hedge_fails, status)
        policy = HedgePolicy(200)
        for _ in range(100):
            policy.count_request()
            policy.observe("check", "halls", USUAL_MS, clock.now_ms())
        context = types.SimpleNamespace(
            hedging=policy,
            clock=clock,
            metrics=Metrics(None),
            memory=types.SimpleNamespace(is_waited_for=self.is_memory_short),
        )
        deadline_ms = clock.now_ms() + 1_000
        admitted = types.SimpleNamespace(
            route=route(max_attempts=2, **route_fields),
            pool="halls",
            deadline_ms=deadline_ms,
        )
        grants = types.SimpleNamespace(request_id="a1")
        hedge = Hedge(
            context,
            admitted,
            attempts,
            grants,
            attempts,
            lambda: deadline_ms,
            lambda: FIRST_DATA_LIMIT_MS,
        )
        first, begun_ms = new_attempt(), clock.now_ms()

        async def send(opened):
            if first_ms is None:
                await attempts.opened.wait()
            else:
                await asyncio.sleep(first_ms / MS_PER_S)
            if not first_fails:
                hedge.claim(opened)
                claims.append(opened)

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(leaves_ms / MS_PER_S):
                await hedge.race(first, send)
                if hedge.is_pending and await hedge.finish():
                    won = hedge.take() is not None
        after_ms = clock.now_ms() - begun_ms
        await hedge.close()
        self.assertEqual(len(asyncio.all_tasks()), 1)
        return claims, attempts, won, after_ms
