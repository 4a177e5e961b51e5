import random
import unittest

from hemlockhoist.decisions.entry import Freshness

# Time of a host's clock and of the store's clock at the same instant.
HOST_MS, STORE_MS = 10_000, 777_000


class FreshnessTests(unittest.TestCase):
    def test_age_is_never_understated(self):
        """Guards against a revoked key that remains valid.

        A host that treats an old answer as new honours keys for longer than declared.
        Calls and answers take any time; the age must not be below the true one.
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

    def test_answer_of_a_long_poll_proves_its_own_time(self):
        """Guards against refusing callers while the store answers every 3 seconds.

        A long poll for changes is answered after seconds. If the age counted from when
        it was sent, each proof would be seconds old on arrival.
        """
        freshness = Freshness()
        freshness.record(HOST_MS, STORE_MS + 4)
        freshness.record(HOST_MS + 10, STORE_MS + 2_410)
        self.assertLessEqual(freshness.age_ms(HOST_MS + 2_420), 20)

    def test_older_answer_that_arrives_late_changes_nothing(self):
        freshness = Freshness()
        freshness.record(HOST_MS + 1_000, STORE_MS + 1_004)
        freshness.record(HOST_MS, STORE_MS + 900)
        self.assertEqual(freshness.age_ms(HOST_MS + 1_500), 500)

    def test_age_of_a_relayed_reading_is_never_understated(self):
        """Guards against a revoked key that remains valid at followers of a reader.

        The reader's reading is older than the request, its clock estimate is off by the
        duration of its own calls, and request and reply take any time in transit.
        """
        draw = random.Random(6)
        reader_host_ms = 55_000
        for _ in range(200):
            reader, follower = Freshness(), Freshness()
            now_ms = 0
            read_ms = None
            for _ in range(20):
                sent_ms = now_ms
                read_ms = sent_ms + draw.randint(0, 3_000)
                now_ms = read_ms + draw.randint(0, 3_000)
                reader.record(reader_host_ms + sent_ms, STORE_MS + read_ms)
                requested_ms = now_ms
                replied_ms = requested_ms + draw.randint(0, 2_000)
                follower.record_relayed(
                    HOST_MS + requested_ms,
                    STORE_MS + read_ms,
                    reader.store_ms(reader_host_ms + replied_ms),
                )
                now_ms = replied_ms + draw.randint(0, 2_000)
                age_ms = follower.age_ms(HOST_MS + now_ms)
                self.assertGreaterEqual(age_ms, now_ms - read_ms)

    def test_relayed_reading_is_about_as_fresh_as_at_the_reader(self):
        reader, follower = Freshness(), Freshness()
        reader.record(HOST_MS, STORE_MS + 4)
        clock_ms = reader.store_ms(HOST_MS + 902)
        follower.record_relayed(HOST_MS + 900, STORE_MS + 4, clock_ms)
        self.assertLessEqual(follower.age_ms(HOST_MS + 904), 910)
