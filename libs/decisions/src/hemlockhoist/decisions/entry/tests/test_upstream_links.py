import unittest

from hemlockhoist.decisions.entry import UpstreamLinks
from hemlockhoist.decisions.entry.upstream_links import (
    FIRST_PROBE_MS,
    MAX_PROBE_MS,
)

POOL = "halls"


class UpstreamLinksTests(unittest.TestCase):
    def setUp(self):
        self.links = UpstreamLinks()

    def lose(self, *upstream_ids, now_ms=0, is_confirmed=True):
        for upstream_id in upstream_ids:
            self.links.on_failed(POOL, upstream_id, "ip:1", now_ms)
            if is_confirmed:
                self.links.confirm(upstream_id)

    def test_one_lost_link_says_nothing_of_others(self):
        self.lose("u1")
        self.assertTrue(self.links.is_lost(POOL, "u1"))
        self.assertFalse(self.links.is_lost(POOL, "u2"))

    def test_two_lost_links_stand_for_their_pool_only(self):
        """Guards against a connect timeout at each upstream of a host that is cut."""
        self.lose("u1", "u2")
        self.assertTrue(self.links.is_lost(POOL, "u9"))
        self.assertFalse(self.links.is_lost("desk", "d1"))

    def test_dead_upstreams_are_not_taken_for_lost_links(self):
        """Guards against relaying everything as two upstreams have crashed."""
        self.lose("u1", "u2", "u3", is_confirmed=False)
        self.assertFalse(self.links.is_lost(POOL, "u9"))
        self.links.forget("u1")
        self.assertFalse(self.links.is_lost(POOL, "u1"))

    def test_any_upstream_that_is_reached_ends_the_loss_of_a_pool(self):
        self.lose("u1", "u2")
        self.assertFalse(self.links.on_connected(POOL, "u7", "ip:7", 10))
        self.assertFalse(self.links.is_lost(POOL, "u9"))
        self.assertTrue(self.links.is_lost(POOL, "u1"))
        self.assertTrue(self.links.on_connected(POOL, "u1", "ip:1", 20))

    def test_probes_slow_down_and_all_are_due_once_one_succeeds(self):
        """Guards against lost links that are found again one back-off after another."""
        self.lose("u1", "u2", "u3")
        now_ms, intervals = 0, []
        for _ in range(6):
            due_ms = self.links.link("u1").probe_due_ms
            intervals.append(due_ms - now_ms)
            now_ms = due_ms
            self.links.on_failed(POOL, "u1", "ip:1", now_ms)
        self.assertEqual(intervals[0], FIRST_PROBE_MS)
        self.assertEqual(intervals[-1], MAX_PROBE_MS)
        self.links.on_connected(POOL, "u2", "ip:2", now_ms)
        self.assertEqual(self.links.next_probe_ms(), now_ms)

    def test_no_probe_is_due_while_all_links_are_there(self):
        self.assertIsNone(self.links.next_probe_ms())
        self.assertIsNone(self.links.next_probe(10_000))

    def test_upstreams_that_are_gone_are_forgotten(self):
        """Guards against probing an address that another upstream may have now."""
        self.lose("u1", "u2")
        self.links.set_listed({"u3"})
        self.assertIsNone(self.links.next_probe_ms())
        self.assertFalse(self.links.is_lost(POOL, "u3"))

    def test_another_upstream_that_was_reached_tells_whose_fault_a_failure_is(self):
        """Guards against a cut host that declares an upstream dead for another one."""
        self.assertIsNone(self.links.other_address(POOL, "u1"))
        for number in (1, 2, 3):
            self.links.on_connected(POOL, f"u{number}", f"ip:{number}", number)
        self.assertEqual(self.links.other_address(POOL, "u3"), "ip:2")
        self.assertEqual(self.links.other_address(POOL, "u1"), "ip:3")
        self.assertIsNone(self.links.other_address("desk", "u1"))

    def test_failure_is_the_upstreams_where_another_was_reached_since(self):
        self.links.on_connected(POOL, "u1", "ip:1", 100)
        self.assertTrue(self.links.has_reached_since(POOL, 100))
        self.assertFalse(self.links.has_reached_since(POOL, 101))
