import random
import unittest

from hemlockhoist.decisions.entry import Freshness

# A host's clock and the store's, at the same moment.
HOST_MS, STORE_MS = 10_000, 777_000


class FreshnessTests(unittest.TestCase):
    def test_age_is_never_understated(self):
        """A key that was taken away goes on opening halls.

        A host that takes an old answer for a new one honours keys for longer than
        declared. Calls and answers take any time; the age must cover the true one.
        """
        draw = random.Random(5)
        for _ in range(200):
            freshness = Freshness()
            now_ms = 0
            proven_ms = None
            for _ in range(20):
                sent_ms = now_ms
                answered_ms = sent_ms + draw.randint(0, 3_000)
                arrived_ms = answered_ms + draw.randint(0, 3_000)
                freshness.record(HOST_MS + sent_ms, STORE_MS + answered_ms)
                proven_ms = max(answered_ms, proven_ms or 0)
                now_ms = arrived_ms + draw.randint(0, 500)
                age_ms = freshness.age_ms(HOST_MS + now_ms)
                self.assertGreaterEqual(age_ms, now_ms - proven_ms)

    def test_answer_that_waited_proves_its_own_moment(self):
        """Hosts refuse callers though they hear from the store every three seconds.

        A call for changes is answered after seconds. Counted from its sending, each
        proof would be seconds old when it comes.
        """
        freshness = Freshness()
        freshness.record(HOST_MS, STORE_MS + 4)
        freshness.record(HOST_MS + 10, STORE_MS + 2_410)
        self.assertLessEqual(freshness.age_ms(HOST_MS + 2_420), 20)

    def test_older_answer_that_comes_late_changes_nothing(self):
        freshness = Freshness()
        freshness.record(HOST_MS + 1_000, STORE_MS + 1_004)
        freshness.record(HOST_MS, STORE_MS + 900)
        self.assertEqual(freshness.age_ms(HOST_MS + 1_500), 500)

    def test_age_of_a_relayed_reading_is_never_understated(self):
        """A key that was taken away goes on opening halls at hosts that ask another.

        The reader's reading is older than the question, its clock is off by its own
        calls' time, and question and answer take any time on their way.
        """
        draw = random.Random(6)
        reader_host_ms = 55_000
        for _ in range(200):
            reader, asker = Freshness(), Freshness()
            now_ms = 0
            read_ms = None
            for _ in range(20):
                sent_ms = now_ms
                read_ms = sent_ms + draw.randint(0, 3_000)
                now_ms = read_ms + draw.randint(0, 3_000)
                reader.record(reader_host_ms + sent_ms, STORE_MS + read_ms)
                asked_ms = now_ms
                left_ms = asked_ms + draw.randint(0, 2_000)
                asker.record_relayed(
                    HOST_MS + asked_ms,
                    STORE_MS + read_ms,
                    reader.store_ms(reader_host_ms + left_ms),
                )
                now_ms = left_ms + draw.randint(0, 2_000)
                age_ms = asker.age_ms(HOST_MS + now_ms)
                self.assertGreaterEqual(age_ms, now_ms - read_ms)

    def test_relayed_reading_is_about_as_fresh_as_the_reader_has_it(self):
        reader, asker = Freshness(), Freshness()
        reader.record(HOST_MS, STORE_MS + 4)
        clock_ms = reader.store_ms(HOST_MS + 902)
        asker.record_relayed(HOST_MS + 900, STORE_MS + 4, clock_ms)
        self.assertLessEqual(asker.age_ms(HOST_MS + 904), 910)
