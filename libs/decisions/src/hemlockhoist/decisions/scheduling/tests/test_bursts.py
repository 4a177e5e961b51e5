import itertools
import unittest
import unittest.mock

from hemlockhoist.decisions.scheduling import declared, overtaking_budget
from hemlockhoist.decisions.scheduling.client_retries import (
    ClientRetries,
    longest_retry_wait_ms,
)
from hemlockhoist.decisions.scheduling.overtaking_budget import OvertakingBudget
from hemlockhoist.decisions.scheduling.tests import builders as b
from hemlockhoist.decisions.scheduling.tests.scheduler_simulation import (
    BULLETIN,
    NOTICE,
    TAG,
    SchedulerSimulation,
)

PACES_MS = {"fast": 1.5, "usual": 2.8, "slow": 7.8}


def simulate_burst(notice_every_ms=12, tag_every_ms=50, experiments=None):
    """A burst of notices for five seconds, with tags and bulletins beside it."""
    play = SchedulerSimulation(PACES_MS, slots=12, experiments=experiments)
    play.send_each(BULLETIN, 250, 0, 20_000)
    play.send_each(NOTICE, 4 * notice_every_ms, 0, 5_000)
    play.send_each(NOTICE, notice_every_ms, 5_000, 10_000)
    play.send_each(NOTICE, 4 * notice_every_ms, 10_000, 20_000)
    play.send_each(TAG, tag_every_ms, 0, 20_000)
    play.run(40_000)
    return play


class BurstTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.play = simulate_burst()
        cls.ends = cls.play.ends

    def test_no_caller_leaves_unanswered(self):
        """In a burst, callers leave after 2.4 s without any answer.

        Their requests were held for a place to the end of their time limit, which is
        10 s; the queue did not know that nobody waits for a stream that long.
        """
        self.assertEqual(sum(ends["left"] for ends in self.ends.values()), 0)

    def test_short_requests_of_the_lowest_tier_are_served_in_a_burst(self):
        """All tags of a burst are refused, though each needs a place for 60 ms.

        Notices of the tier above hold every place and wait for more. Strictly behind
        them, 46 of 100 tags are served; passing them, 88, and of the notices 84 in place
        of 87.
        """
        tags = self.ends["tag"]
        served = tags["in_time"] + tags["late"]
        self.assertGreater(served, 0.8 * sum(tags.values()))
        self.assertGreater(self.play.order_checks, 100)

    def test_bulletins_stay_in_time(self):
        """The highest tier hardly notices what passes the notices below it."""
        bulletins = self.ends["bulletin"]
        self.assertGreater(bulletins["in_time"], 0.9 * sum(bulletins.values()))

    def test_refused_callers_are_served_when_they_come_back(self):
        """Callers that were told when to come back are refused again.

        They came back into the same burst, behind those that had just arrived: 21 of 100
        are refused twice, 16 where they are told to come back later.
        """
        notices = self.ends["notice"]
        self.assertLess(notices["refused"], 0.18 * sum(notices.values()))


class LargeFleetTests(unittest.TestCase):
    REQUESTS = 2_000

    def test_an_arrival_is_not_looked_at_for_all_that_wait(self):
        """The home of 41 engines has no processor time left in a burst."""
        paces = itertools.cycle(PACES_MS.values())
        play = SchedulerSimulation(
            dict(zip(map(str, range(41)), paces, strict=False)), slots=4
        )
        for kind, every_ms in ((BULLETIN, 6.4), (NOTICE, 2.8), (TAG, 3.2)):
            play.send_each(kind, every_ms, 0, 3_000)
        choose = declared.DeclaredTracks.choose
        with unittest.mock.patch.object(
            declared.DeclaredTracks, "choose", autospec=True, side_effect=choose
        ) as chosen:
            play.run(8_000)
        arrived = sum(sum(ends.values()) for ends in play.ends.values())
        self.assertGreater(arrived, self.REQUESTS)
        self.assertLess(chosen.call_count, 6 * arrived)


class OutOfTurnTests(unittest.TestCase):
    SLOTS = 40

    def allowed(self, turns, hold_ms=50.0, overtaken=((1, 900.0),), now_ms=1_000):
        return turns.allows(2, hold_ms, overtaken, self.SLOTS, now_ms)

    def test_a_tier_that_is_refused_less_does_not_pass(self):
        """A higher tier is never shed before a lower one that passes it."""
        turns = OvertakingBudget()
        self.assertTrue(self.allowed(turns))
        turns.record_decision(1, True, 1_000)
        self.assertFalse(self.allowed(turns))
        turns.record_decision(2, True, 1_000)
        self.assertTrue(self.allowed(turns))
        turns.record_decision(2, False, 1_000)
        self.assertFalse(self.allowed(turns))

    def test_long_requests_do_not_pass(self):
        turns = OvertakingBudget()
        self.assertFalse(self.allowed(turns, hold_ms=400.0))
        self.assertFalse(self.allowed(turns, hold_ms=None))

    def test_what_passes_takes_a_small_part_of_the_places(self):
        turns = OvertakingBudget()
        taken_ms = 0.0
        for now_ms in range(0, 60_000, 10):
            if self.allowed(turns, now_ms=now_ms):
                turns.charge(50.0)
                taken_ms += 50.0
        self.assertLessEqual(
            taken_ms, 1.05 * overtaking_budget.SLOT_TIME_FRACTION * self.SLOTS * 60_000
        )
        self.assertGreater(
            taken_ms, 0.9 * overtaking_budget.SLOT_TIME_FRACTION * self.SLOTS * 60_000
        )


class ReturnTests(unittest.TestCase):
    def test_a_caller_that_waited_as_told_is_known(self):
        book = ClientRetries()
        book.record_refusal(b.request(), 3_000, now_ms=0)
        self.assertTrue(book.take(b.request(), now_ms=3_050))
        self.assertFalse(book.take(b.request(), now_ms=3_060))

    def test_a_caller_that_comes_at_once_gains_nothing(self):
        """Some callers do not wait as they are told, and ask again and again."""
        book = ClientRetries()
        book.record_refusal(b.request(), 3_000, now_ms=0)
        self.assertFalse(book.take(b.request(), now_ms=500))

    def test_requests_without_a_size_are_not_mixed_up(self):
        book = ClientRetries()
        book.record_refusal(b.request(prompt_tokens=0), 1_000, now_ms=0)
        self.assertFalse(book.take(b.request(prompt_tokens=0), now_ms=1_000))

    def test_told_time_leaves_enough_for_an_answer(self):
        request = b.request(deadline_ms=9_000)
        self.assertEqual(longest_retry_wait_ms(request, 500.0, 0), 3_000)
        self.assertEqual(longest_retry_wait_ms(request, 2_500.0, 0), 1_500)
        self.assertEqual(longest_retry_wait_ms(request, 9_000.0, 0), 200)


class PauseTests(unittest.TestCase):
    def test_long_prompts_stay_off_an_engine_whose_answers_they_would_pause(self):
        """Half of the answers of a slow engine pause for longer than declared.

        A long prompt takes it half a second, in which no answer there goes on; the
        other engines compute it in time, and have a place a moment later.
        """
        play = SchedulerSimulation(PACES_MS, slots=12)
        play.send_each(NOTICE, 45, 0, 20_000)
        play.send_each(BULLETIN, 200, 1_000, 20_000)
        play.run(40_000)
        placed = play.placed["bulletin"]
        self.assertLess(placed["slow"], 0.02 * sum(placed.values()))
        prompt_ms = 0.0075 * BULLETIN.prompt_tokens * PACES_MS["slow"]
        self.assertGreater(prompt_ms, declared.PROMPT_PART * BULLETIN.max_gap_ms)
