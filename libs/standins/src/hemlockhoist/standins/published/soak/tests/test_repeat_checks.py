import unittest

from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.soak.repeat_checks import (
    RepeatedRequest,
    find_blocked_others,
    find_repeat_violations,
)

PEER_KEY = b"key"
REQUEST = RepeatedRequest(
    path="report",
    method="POST",
    name="bad0",
    customer="one",
    key="k",
    body=b"x",
    parts="c0de:60,own:90",
    from_s=1.0,
)


class RepeatCheckTests(unittest.TestCase):
    """Each check is given a record that violates it, so that none passes trivially."""

    def find(self, count, outages=()):
        replica = Replica("i-1")
        replica.crashes = [(2.0 + n, REQUEST.target) for n in range(count)]
        replica.crashes.append((2.0, "/report/other"))
        return find_repeat_violations([REQUEST], [replica], outages)

    def test_more_than_three_ends_are_found(self):
        self.assertEqual(len(self.find(4)), 1)
        self.assertEqual(self.find(3), [])

    def test_each_outage_beside_it_excuses_one(self):
        outages = [("h1", 2.0, 3.0), ("h2", 0.0, 0.5), ("h3", 99.0, 100.0)]
        self.assertEqual(self.find(4, outages), [])
        self.assertEqual(len(self.find(5, outages)), 1)

    def test_blocked_request_on_which_nothing_ended_is_found(self):
        harmful = REQUEST.fingerprint(PEER_KEY)
        rows = [[number, 0, [1, 2, 3], 2, 0, True] for number in (harmful, 7)]
        rows.append([8, 0, [1, 2, 3], 2, 0])
        (text,) = find_blocked_others([REQUEST], rows, PEER_KEY)
        self.assertIn(f"{7:016x}", text)
