import types
import unittest

from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.entry.attempt import Attempt
from hemlockhoist.entry.request_attempts import RequestAttempts


class UnconfirmedTests(unittest.IsolatedAsyncioTestCase):
    async def is_broken(self, report):
        async def wait_reported():
            report(attempt)

        attempt = Attempt(None, None, 0, 1)
        attempt.record_end(AttemptEnd.UNCONFIRMED)
        attempts = object.__new__(RequestAttempts)
        attempts._unsettled = attempt
        attempts._reporter = types.SimpleNamespace(wait_reported=wait_reported)
        is_broken = await attempts.is_unconfirmed_broken()
        self.assertIs(attempts.unconfirmed, None if is_broken else attempt)
        return is_broken

    async def test_answer_of_an_upstream_that_nobody_has_looked_at_is_broken(self):
        """Guards against a probe that ends too late, and is taken for a success."""
        self.assertTrue(await self.is_broken(lambda attempt: None))

    async def test_answer_counts_by_what_became_of_its_upstream(self):
        for link_fault, is_lost in ((False, False), (True, False), (False, True)):
            with self.subTest(link_fault=link_fault, is_lost=is_lost):
                is_broken = await self.is_broken(
                    lambda a, faults=(link_fault, is_lost): a.record_fault(*faults)
                )
                self.assertEqual(is_broken, link_fault or is_lost)
