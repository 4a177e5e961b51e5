import doctest
import unittest

from hemlockhoist.decisions.entry import DomainOrder, EvacuatedDomains, evacuation


def order(domain, is_evacuated, version):
    return DomainOrder(
        failure_domain=domain, is_evacuated=is_evacuated, version=version
    )


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        self.domains = EvacuatedDomains()
        self.domains.apply(order("a", True, 5))

    def test_older_reading_does_not_end_an_evacuation(self):
        """Guards against ending an evacuation by a list older than the order."""
        self.assertEqual(self.domains.replace((), 4), ())
        self.assertFalse(self.domains.apply(order("a", False, 3)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_older_reading_does_not_restart_an_ended_evacuation(self):
        """Guards against a domain that stays empty because an older list is read."""
        self.domains.apply(order("a", False, 7))
        self.assertEqual(self.domains.replace((order("a", True, 5),), 6), ())
        self.assertEqual(self.domains.names(), ())

    def test_newer_reading_replaces_all_orders(self):
        changed = self.domains.replace((order("b", True, 6),), 9)
        self.assertEqual(changed, ("b", "a"))
        self.assertEqual(self.domains.names(), ("b",))
        self.assertEqual(self.domains.version("b"), 6)
        self.assertIsNone(self.domains.version("a"))

    def test_unreadable_order_leaves_the_state_unchanged(self):
        """Guards against using an evacuated domain whose order was overwritten."""
        self.assertFalse(self.domains.apply(order("a", None, 8)))
        self.assertEqual(self.domains.replace((order("a", None, 8),), 9), ())
        self.assertFalse(self.domains.apply(order("b", None, 8)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_new_order_after_an_ended_one_applies(self):
        self.domains.apply(order("a", False, 7))
        self.assertTrue(self.domains.apply(order("a", True, 8)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(evacuation).failed, 0)
