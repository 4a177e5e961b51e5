import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.limits import quotas, retry_limiter
from hemlockhoist.decisions.work import WorkRequest
from hemlockhoist.entry.gate import QuotaGate
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.tests.builders import customer

BOUNDS = FleetBounds(
    retry_ratio=0.2,
    retry_base=2.0,
    quota_window_ms=1_000,
    quota_overshoot_ratio=0.0,
)
# Ten in the window's second and ten at once, of which a part is given out.
WHOLE_WINDOW = int(quotas.USED_FRACTION * 20)


def request(**fields):
    values = {"units": 1, "deadline_ms": 9_000, "first_token_by_ms": 9_000}
    return WorkRequest(
        request_id="a1",
        route="check",
        customer="aulas",
        tier_rank=0,
        **{**values, **fields},
    )


class GateTests(unittest.TestCase):
    def setUp(self):
        self.gate = QuotaGate(BOUNDS)

    def refuse_count(self, count, **fields):
        found = [self.gate.refusal("halls", request(**fields), 0) for _ in range(count)]
        return [item.code for item in found if item]

    def test_customer_is_held_to_its_allowance_and_told_when_to_come_back(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        found = [self.gate.refusal("halls", request(), 0) for _ in range(40)]
        refused = [item for item in found if item]
        self.assertEqual(len(refused), 40 - WHOLE_WINDOW)
        self.assertIs(refused[0].code, ResultCode.ALLOWANCE_SPENT)
        self.assertGreater(refused[0].retry_after_ms, 0)
        self.assertEqual(refused[0].reason, "aulas asks for 1 units of 0 left")

    def test_refused_request_gives_its_units_back(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        self.assertEqual(self.refuse_count(WHOLE_WINDOW), [])
        self.gate.on_not_run(request(), 0)
        self.assertIsNone(self.gate.refusal("halls", request(), 0))

    def test_retries_are_bound_to_the_requests_for_the_pool(self):
        """A bad minute of one pool turns into an outage of all.

        Each failing request is sent twice, the pool gets double its load as it is
        weakest, and more requests fail.
        """
        self.assertEqual(self.refuse_count(100), [])
        refused = self.refuse_count(60, attempt=2, is_new=False)
        # A fifth of 100 requests and two beside.
        allowed = int(retry_limiter.USED_FRACTION * 22)
        self.assertEqual(len(refused), 60 - allowed)
        self.assertIs(refused[0], ResultCode.RETRIES_EXHAUSTED)

    def test_request_that_asks_again_unsent_is_counted_once(self):
        self.refuse_count(100, is_new=False)
        allowed = int(retry_limiter.USED_FRACTION * 2)
        refused = self.refuse_count(10, attempt=2, is_new=False)
        self.assertEqual(len(refused), 10 - allowed)

    def test_host_alone_gives_out_its_part_only(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        self.gate.set_share(0.5)
        self.assertEqual(len(self.refuse_count(40)), 40 - WHOLE_WINDOW // 2)
