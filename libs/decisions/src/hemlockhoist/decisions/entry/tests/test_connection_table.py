import doctest
import random
import unittest

from hemlockhoist.decisions.entry import connection_table
from hemlockhoist.decisions.entry.connection_table import (
    CROWDED_IDLE_MS,
    HEAD_TIMEOUT_MS,
    MAX_REFUSED,
    MIN_HEAD_TIMEOUT_MS,
    MIN_SILENT_MS,
    ConnectionTable,
)

LIMIT = 100
# The places of a process with few descriptors, a crowd, and how long a caller waits.
FEW, SILENT, PATIENCE_MS = 6, 300, 1_000


class TableCase(unittest.TestCase):
    def setUp(self):
        self.table = ConnectionTable(LIMIT)
        self.number = 0

    def add(self, count=1, address="c1", now_ms=0, asked_ms=None, is_busy=False):
        """Add connections; return their keys."""
        added = []
        for _ in range(count):
            self.number += 1
            key = f"k{self.number}"
            self.table.add(key, address, now_ms)
            if is_busy or asked_ms is not None:
                self.table.on_request(key)
            if not is_busy and asked_ms is not None:
                self.table.on_response(key, asked_ms)
            added.append(key)
        return added


class RoomTests(TableCase):
    def test_longest_idle_connection_makes_room(self):
        self.add(LIMIT - 2, asked_ms=5_000)
        (oldest,) = self.add(asked_ms=1_000)
        self.add(2, now_ms=9_000)
        self.assertTrue(self.table.is_over_limit)
        self.assertEqual(self.table.to_close_for_room(9_000), oldest)

    def test_connections_that_never_asked_make_room_after_a_time(self):
        """Guards against callers that open connections and send nothing."""
        self.add(LIMIT)
        self.assertIsNone(self.table.to_close_for_room(MIN_SILENT_MS - 1))
        self.assertIsNotNone(self.table.to_close_for_room(MIN_SILENT_MS))

    def test_kept_connections_stay_where_others_have_been_silent_for_long(self):
        """Guards against callers whose connections silent ones push out."""
        self.add(LIMIT // 2, asked_ms=0)
        silent = self.add(LIMIT // 2, now_ms=1_000, address="c2")
        now_ms = 1_000 + MIN_HEAD_TIMEOUT_MS
        self.assertIn(self.table.to_close_for_room(now_ms), silent)

    def test_young_connections_stay_where_others_are_kept_idle(self):
        """Guards against callers that are cut off as they connect."""
        kept = self.add(LIMIT // 2, asked_ms=0)
        self.add(LIMIT // 2, now_ms=1_000, address="c2")
        now_ms = 1_000 + MIN_HEAD_TIMEOUT_MS - 1
        self.assertIn(self.table.to_close_for_room(now_ms), kept)

    def test_caller_behind_a_silent_crowd_is_accepted_soon(self):
        """Guards against few places that silent connections hold one after the other."""
        table, pause_ms = ConnectionTable(FEW), 50
        waiting, now_ms = SILENT + 1, 0
        while waiting:
            key = table.to_close_for_room(now_ms)
            if not table.may_accept() and key is None:
                now_ms += pause_ms
                continue
            if not table.may_accept():
                table.remove(key)
            table.add(waiting, "c1", now_ms)
            waiting -= 1
        self.assertLess(now_ms, PATIENCE_MS)

    def test_connection_with_a_request_is_never_closed(self):
        """Guards against requests that are cut to make room for others."""
        self.add(LIMIT, is_busy=True)
        self.assertIsNone(self.table.to_close_for_room(10**9))
        self.assertEqual(self.table.to_close(10**9), [])
        self.assertTrue(self.table.is_full(was_full=False))

    def test_requests_beyond_the_limit_are_refused_by_a_bounded_number(self):
        busy = self.add(LIMIT, is_busy=True)
        (key,) = self.add()
        self.table.mark_beyond_limit(key)
        self.table.on_request(key)
        self.assertTrue(self.table.refuses(key))
        self.table.on_response(busy[0], 10)
        self.assertFalse(self.table.refuses(key))
        self.add(MAX_REFUSED - 1)
        self.assertFalse(self.table.may_accept())

    def test_one_address_does_not_take_all(self):
        """Guards against one caller whose idle connections push out all others."""
        greedy = self.add(LIMIT - 10, address="greedy", asked_ms=8_000)
        self.add(10, address="c2", asked_ms=1_000)
        self.assertIn(self.table.to_close_for_room(9_000), greedy)

    def test_full_host_has_room_only_after_some_requests_have_ended(self):
        """Guards against a host that is named and left out in turn."""
        keys = self.add(LIMIT, is_busy=True)
        self.table.on_response(keys[0], 10)
        self.assertFalse(self.table.is_full(was_full=False))
        self.assertTrue(self.table.is_full(was_full=True))
        for key in keys[1:13]:
            self.table.on_response(key, 10)
        self.assertFalse(self.table.is_full(was_full=True))

    def test_no_limit_closes_nothing_for_room(self):
        table = ConnectionTable()
        for number in range(5_000):
            table.add(number, "c", 0)
        self.assertTrue(table.may_accept())
        self.assertFalse(table.is_over_limit)
        self.assertFalse(table.is_full(was_full=False))


class TimeoutTests(TableCase):
    def test_time_for_a_head_is_less_the_fuller_the_host_is(self):
        found = []
        for _ in range(LIMIT // 10):
            found.append(self.table.head_timeout_ms())
            self.add(10)
        self.assertEqual(found[0], HEAD_TIMEOUT_MS)
        self.assertEqual(found, sorted(found, reverse=True))
        self.assertEqual(self.table.head_timeout_ms(), MIN_HEAD_TIMEOUT_MS)

    def test_idle_connections_are_kept_while_there_is_room(self):
        """Guards against requests lost as they cross the closing of a connection."""
        self.add(LIMIT // 2, asked_ms=0)
        self.assertEqual(self.table.to_close(10**9), [])
        self.add(1, asked_ms=0)
        self.assertEqual(self.table.to_close(CROWDED_IDLE_MS - 1), [])
        self.assertEqual(len(self.table.to_close(CROWDED_IDLE_MS)), LIMIT // 2 + 1)


class LoadTests(unittest.TestCase):
    def test_callers_are_served_beside_silent_ones(self):
        """Plays half of a fleet's callers beside callers that open and never ask."""
        for seed in range(20):
            served, tried = self.play(random.Random(seed))
            with self.subTest(seed=seed):
                self.assertGreaterEqual(served, 0.99 * tried)

    def play(self, rng):
        """Return how many callers were accepted within a second, and how many came."""
        table, ends, waiting = ConnectionTable(LIMIT), {}, []
        served = tried = 0
        for now_ms in range(0, 20_000, 10):
            for key in [key for key, end_ms in ends.items() if now_ms >= end_ms]:
                table.on_response(key, now_ms)
                del ends[key]
            if rng.random() < 0.4:
                waiting.append((now_ms, False))
            if rng.random() < 0.4:
                waiting.append((now_ms, True))
                tried += 1
            while waiting:
                if len(table) >= LIMIT:
                    key = table.to_close_for_room(now_ms)
                    if key is None:
                        break
                    table.remove(key)
                came_ms, asks = waiting.pop(0)
                table.add((came_ms, asks), "caller" if asks else "silent", now_ms)
                if asks:
                    table.on_request((came_ms, asks))
                    ends[came_ms, asks] = now_ms + rng.randrange(20, 500)
                    served += now_ms - came_ms <= 1_000
        return served, tried


def load_tests(loader, tests, pattern):
    """Add the examples of the module."""
    tests.addTests(doctest.DocTestSuite(connection_table))
    return tests
