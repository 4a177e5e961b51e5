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

    def test_older_reading_ends_no_evacuation(self):
        """A zone gets requests again as a host reads a list from before the order."""
        self.assertEqual(self.domains.replace((), 4), ())
        self.assertFalse(self.domains.apply(order("a", False, 3)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_older_reading_begins_no_evacuation_that_has_ended(self):
        """A zone that was taken back stays empty, as a list from before is read."""
        self.domains.apply(order("a", False, 7))
        self.assertEqual(self.domains.replace((order("a", True, 5),), 6), ())
        self.assertEqual(self.domains.names(), ())

    def test_newer_reading_says_what_stands(self):
        changed = self.domains.replace((order("b", True, 6),), 9)
        self.assertEqual(changed, ("b", "a"))
        self.assertEqual(self.domains.names(), ("b",))
        self.assertEqual(self.domains.version("b"), 6)
        self.assertIsNone(self.domains.version("a"))

    def test_order_that_can_not_be_read_leaves_what_holds(self):
        """An evacuated zone is used again because its order was overwritten."""
        self.assertFalse(self.domains.apply(order("a", None, 8)))
        self.assertEqual(self.domains.replace((order("a", None, 8),), 9), ())
        self.assertFalse(self.domains.apply(order("b", None, 8)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_order_again_after_its_end_counts(self):
        self.domains.apply(order("a", False, 7))
        self.assertTrue(self.domains.apply(order("a", True, 8)))
        self.assertEqual(self.domains.names(), ("a",))

    def test_examples_run(self):
        self.assertEqual(doctest.testmod(evacuation).failed, 0)
