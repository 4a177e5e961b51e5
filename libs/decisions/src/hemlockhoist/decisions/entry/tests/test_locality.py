import unittest

from hemlockhoist.decisions.entry import nearby_members
from hemlockhoist.messages import Member

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}


def members(*domains):
    return [
        Member(address=f"{name}:1", incarnation=name, failure_domain=name)
        for name in domains
    ]


class NamingTests(unittest.TestCase):
    def near(self, domains, region, allowed=()):
        found = nearby_members(members(*domains), REGIONS, region, allowed)
        return [item.failure_domain for item in found]

    def test_callers_are_told_of_hosts_of_their_region(self):
        """Bodies cross a region where they may not be kept on their way in."""
        self.assertEqual(self.near(["s1", "n1", "n2"], "north"), ["n1", "n2"])

    def test_where_it_has_none_those_of_the_allowed_regions(self):
        found = self.near(["n1", "s1", "n2"], "west", allowed=("south",))
        self.assertEqual(found, ["s1"])

    def test_any_host_is_better_than_none(self):
        self.assertEqual(self.near(["n1", "s1"], "west"), ["n1", "s1"])
        self.assertEqual(self.near(["n1"], "", allowed=("south",)), ["n1"])
        self.assertEqual(self.near([], "north"), [])
