import unittest

from hemlockhoist.decisions.quarantine import part_hashes
from hemlockhoist.standins.published.replica import ReceivedRequest, Replica
from hemlockhoist.standins.published.soak.crash_checks import (
    CrashSpan,
    find_blocked_innocents,
    find_crash_violations,
)

SPAN = CrashSpan("bad", 0.0, 20.0)
FIFTH_CRASH_S = 5.0


class CrashCheckTests(unittest.TestCase):
    """Each check is given a record that violates it, so that none passes trivially."""

    def find(self, times_s, part="bad", crash_count=5, outages=()):
        replica = Replica("i-1")
        replica.crashes = [(float(n + 1), "bad") for n in range(crash_count)]
        for at_s in times_s:
            headers = {"attempt-id": "c1", "prefix-hash": f"c0de:1,{part}:2,own:3"}
            received = ReceivedRequest(
                "POST", "/", headers, b"", started_s=at_s, sender="h"
            )
            replica.ran.append(received)
        return find_crash_violations([SPAN], [replica], {"c1": "h"}, outages)

    def test_more_than_three_later_prompts_are_found(self):
        late_s = FIFTH_CRASH_S + 3.1
        self.assertEqual(len(self.find([late_s] * 4)[0]), 1)
        self.assertEqual(self.find([late_s] * 3), ([], 1))

    def test_prompts_before_the_hosts_know_are_allowed(self):
        self.assertEqual(self.find([FIFTH_CRASH_S + 2.9] * 9), ([], 1))

    def test_fewer_crashes_bind_nobody(self):
        self.assertEqual(self.find([19.0] * 9, crash_count=4), ([], 0))

    def test_prompts_of_a_host_that_was_down_are_excused(self):
        outages = [("h", 5.0, 6.0)]
        self.assertEqual(self.find([8.5] * 9, outages=outages), ([], 1))

    def test_part_at_the_end_of_a_prompt_does_not_count(self):
        self.assertEqual(self.find([19.0] * 9, part="other"), ([], 1))

    def test_blocked_part_on_which_nothing_crashed_is_found(self):
        guilty, innocent = part_hashes(["bad", "c0de"])
        rows = [[guilty, 0, [1, 2, 3], 2, 0], [innocent, 0, [1, 2, 3], 2, 0]]
        (text,) = find_blocked_innocents([SPAN], rows)
        self.assertIn(f"{innocent:016x}", text)
