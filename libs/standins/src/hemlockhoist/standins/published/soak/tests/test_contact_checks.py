import unittest

from hemlockhoist.standins.published.soak.contact_checks import (
    CONTACT_S,
    ContactProbe,
    find_contact_violations,
)

HOST = "127.0.7.1:1"


class ContactCheckTests(unittest.TestCase):
    def find(self, probes, outages=()):
        return find_contact_violations({HOST: probes}, outages)[0]

    def probes(self, seconds, is_ready=True, is_answered=False):
        return [
            ContactProbe(at_s=number / 2, is_ready=is_ready, is_answered=is_answered)
            for number in range(int(2 * seconds) + 1)
        ]

    def test_host_that_says_ready_and_takes_no_caller_is_found(self):
        (violation,) = self.find(self.probes(CONTACT_S))
        self.assertIn(HOST, violation)

    def test_one_answer_or_one_refusal_of_its_own_is_enough(self):
        """Guards against a check that holds a short burst against a host."""
        for fields in ({"is_answered": True}, {"is_ready": False}):
            probes = self.probes(CONTACT_S)
            probes[3] = self.probes(0, **fields)[0]
            self.assertEqual(self.find(probes), [])

    def test_outages_are_left_out(self):
        outages = [(HOST, 0.0, CONTACT_S)]
        self.assertEqual(self.find(self.probes(CONTACT_S), outages), [])
        self.assertEqual(len(self.find(self.probes(20), outages)), 1)
