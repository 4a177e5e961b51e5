import unittest

from hemlockhoist.decisions.entry import nearby_members
from hemlockhoist.messages import Member

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}


def members(*domains):
    return [
        Member(address=f"{name}:1", incarnation=name, failure_domain=name)
        for name in domains
    ]


class LocalityTests(unittest.TestCase):
    def near(self, domains, region, allowed=()):
        found = nearby_members(members(*domains), REGIONS, region, allowed)
        return [item.failure_domain for item in found]

    def test_hosts_of_the_callers_region_come_first(self):
        """Guards against bodies passing a region where they must not be kept."""
        self.assertEqual(self.near(["s1", "n1", "n2"], "north"), ["n1", "n2"])

    def test_hosts_of_allowed_regions_if_the_callers_has_none(self):
        found = self.near(["n1", "s1", "n2"], "west", allowed=("south",))
        self.assertEqual(found, ["s1"])

    def test_all_hosts_if_no_region_matches(self):
        self.assertEqual(self.near(["n1", "s1"], "west"), ["n1", "s1"])
        self.assertEqual(self.near(["n1"], "", allowed=("south",)), ["n1"])
        self.assertEqual(self.near([], "north"), [])
