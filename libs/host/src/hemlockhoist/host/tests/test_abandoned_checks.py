import asyncio
import types

from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.host.abandoned_checks import (
    CHECK_AFTER_MS,
    MAX_CHECKS,
    AbandonedChecks,
)
from hemlockhoist.upstreams import UpstreamCall

CALL = UpstreamCall(address="127.0.0.1:1", method="GET", path="/", body=b"long")
BRIEF = types.SimpleNamespace(parts=(7,), request_id="r1", fingerprint=8)
HOLD = types.SimpleNamespace(brief=BRIEF, upstream_id="u1")


class AbandonedCheckTests(PausedTestCase):
    async def asyncSetUp(self):
        self.lost_from_s = None
        self.is_leaving = False
        self.checked = []
        self.reported = []
        self.checks = AbandonedChecks(
            self.check_link,
            lambda hold, parts: self.reported.append((self.now_s(), parts)),
            lambda upstream_id: self.is_leaving,
        )
        await self.checks.start()
        self.addAsyncCleanup(self.checks.close)

    def now_s(self):
        return asyncio.get_running_loop().time()

    def check_link(self, call, report, is_relayed):
        self.checked.append(call)
        is_lost = self.lost_from_s is not None and self.now_s() >= self.lost_from_s
        asyncio.get_running_loop().call_soon(report, False, is_lost)

    async def test_end_after_the_run_was_given_up_is_reported(self):
        """Guards against ends that nobody looks for once the caller has left."""
        for is_begun, expected in ((False, (7,)), (True, ())):
            self.reported.clear()
            self.lost_from_s = self.now_s() + 0.5
            self.checks.add(HOLD, CALL, is_begun, False)
            started_s = self.now_s()
            await asyncio.sleep(2)
            ((at_s, parts),) = self.reported
            self.assertAlmostEqual(at_s - started_s, CHECK_AFTER_MS[-1] / 1000)
            self.assertEqual(parts, expected)

    async def test_upstream_that_goes_on_is_not_reported(self):
        self.checks.add(HOLD, CALL, False, False)
        await asyncio.sleep(5)
        self.assertEqual(self.reported, [])
        self.assertEqual(len(self.checked), len(CHECK_AFTER_MS))
        self.assertEqual(self.checked[0].body, b"")

    async def test_planned_end_is_not_reported(self):
        """Guards against requests that are blamed for upstreams that were to leave."""
        self.is_leaving = True
        self.lost_from_s = 0
        self.checks.add(HOLD, CALL, False, False)
        await asyncio.sleep(5)
        self.assertEqual(self.reported, [])

    async def test_number_of_checks_is_bounded(self):
        """Guards against a probe for each caller that leaves in a crowd."""
        for _ in range(2 * MAX_CHECKS):
            self.checks.add(HOLD, CALL, False, False)
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.checked), MAX_CHECKS)
