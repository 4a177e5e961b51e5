import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.limits import quotas, retry_limiter
from hemlockhoist.decisions.scheduling import StateCopy
from hemlockhoist.decisions.work import WorkRequest
from hemlockhoist.entry.gate import QuotaGate
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.tests.builders import customer
from hemlockhoist.host.gates import AllowAllGate
from hemlockhoist.messages import HeldGrants

BOUNDS = FleetBounds(
    retry_ratio=0.2,
    retry_base=2.0,
    quota_window_ms=1_000,
    quota_overshoot_ratio=0.0,
)
# Ten units for the window's second and a burst of ten, of which a fraction is granted.
FULL_WINDOW = int(quotas.USED_FRACTION * 20)


def request(**fields):
    values = {"units": 1, "deadline_ms": 9_000, "first_token_by_ms": 9_000}
    return WorkRequest(
        request_id="a1",
        route="check",
        customer="aulas",
        tier_rank=0,
        **{**values, **fields},
    )


class QuotaGateTests(unittest.TestCase):
    def setUp(self):
        self.gate = QuotaGate(BOUNDS)

    def refusal_codes(self, count, **fields):
        found = [self.gate.refusal("halls", request(**fields), 0) for _ in range(count)]
        return [item.code for item in found if item]

    def test_customer_quota_is_enforced_with_retry_after(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        found = [self.gate.refusal("halls", request(), 0) for _ in range(40)]
        refused = [item for item in found if item]
        self.assertEqual(len(refused), 40 - FULL_WINDOW)
        self.assertIs(refused[0].code, ResultCode.ALLOWANCE_SPENT)
        self.assertGreater(refused[0].retry_after_ms, 0)
        self.assertEqual(refused[0].reason, "aulas asks for 1 units of 0 left")

    def test_copy_decides_alike_and_spends_nothing(self):
        """Guards against an operator's query that uses up a customer's quota."""
        self.gate.quotas.declare([customer(units_per_s=10)])
        for code in (None, ResultCode.ALLOWANCE_SPENT):
            copied = StateCopy((AllowAllGate,)).of(self.gate)
            for _ in range(2):
                found = copied.refusal("halls", request(units=FULL_WINDOW), 0)
                copied.refusal("other", request(arrival_number=2), 0)
            self.assertIs(found.code, ResultCode.ALLOWANCE_SPENT)
            refusal = self.gate.refusal("halls", request(units=FULL_WINDOW), 0)
            self.assertEqual(refusal and refusal.code, code)
        self.assertEqual(self.gate._retry_limiters.keys(), {"halls"})

    def test_copy_does_not_grow_with_the_customers(self):
        """Guards against a site of many customers that gets no answer to its queries."""
        customers = [customer(f"c{n}", f"k{n}", units_per_s=10) for n in range(2_000)]
        self.gate.quotas.declare([*customers, customer(units_per_s=10)])
        for item in customers:
            self.gate.quotas.acquire(item.name, 1, 0)
        state_copy = StateCopy((AllowAllGate,))
        copied = state_copy.of(self.gate)
        self.assertIsNone(copied.refusal("halls", request(units=FULL_WINDOW), 0))
        self.assertIsNotNone(copied.refusal("halls", request(), 0))
        self.assertIsNone(self.gate.refusal("halls", request(), 0))
        self.assertLess(state_copy.object_count, 100)

    def test_request_that_did_not_run_is_refunded(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        self.assertEqual(self.refusal_codes(FULL_WINDOW), [])
        self.gate.on_not_run("halls", request(), 0, 0)
        self.assertIsNone(self.gate.refusal("halls", request(), 0))

    def test_retries_are_limited_by_the_requests_of_the_pool(self):
        """Guards against an overload of one pool that becomes an outage of all pools.

        Each failing request is sent twice. The pool gets twice its load while its
        capacity is lowest, and more requests fail.
        """
        self.assertEqual(self.refusal_codes(100), [])
        refused = self.refusal_codes(60, arrival_number=2, is_new=False)
        # A fifth of 100 requests, and two in addition.
        allowed = int(retry_limiter.USED_FRACTION * 22)
        self.assertEqual(len(refused), 60 - allowed)
        self.assertIs(refused[0], ResultCode.RETRIES_EXHAUSTED)

    def test_hedges_leave_retries_for_requests_that_failed(self):
        """Guards against failed requests that get no retry because of slow ones."""
        self.assertEqual(self.refusal_codes(100), [])
        hedges = self.refusal_codes(60, arrival_number=2, is_new=False, is_hedge=True)
        retries = self.refusal_codes(60, arrival_number=2, is_new=False)
        allowed = int(retry_limiter.USED_FRACTION * 22)
        self.assertEqual(60 - len(hedges), allowed // 2)
        self.assertEqual(60 - len(retries), allowed - allowed // 2)

    def test_retry_that_was_not_sent_is_refunded(self):
        """Guards against retries that are refused as others were queued and not sent.

        Upstreams that advertise limits keep requests in the queue, from which retries
        are refused or withdrawn; the retry budget is for what reaches upstreams.
        """
        self.refusal_codes(100)
        allowed = int(retry_limiter.USED_FRACTION * 22)
        retry = request(arrival_number=2, is_new=False)
        for _ in range(allowed):
            self.assertIsNone(self.gate.refusal("halls", retry, 0))
        self.assertIsNotNone(self.gate.refusal("halls", retry, 0))
        self.gate.on_not_run("halls", retry, 0, 4_000)
        self.assertIsNone(self.gate.refusal("halls", retry, 4_000))
        self.assertIsNotNone(self.gate.refusal("halls", retry, 4_000))

    def test_retry_that_waited_counts_when_it_is_sent(self):
        """Guards against retries that leave the queue after the window has turned."""
        self.refusal_codes(100)
        allowed = int(retry_limiter.USED_FRACTION * 22)
        retry = request(arrival_number=2, is_new=False)
        for _ in range(allowed):
            self.assertIsNone(self.gate.refusal("halls", retry, 0))
        for _ in range(allowed):
            self.gate.on_dequeued("halls", retry, 0, 6_000)
        self.assertEqual(self.gate.retries_left("halls", 11_000), 0)
        self.assertGreater(self.gate.retries_left("halls", 17_000), 0)

    def test_reported_retries_count_at_a_new_home(self):
        """Guards against a new home that grants the retries of its predecessor again."""
        self.refusal_codes(100)
        self.refusal_codes(60, arrival_number=2, is_new=False)
        held = HeldGrants(
            pool="halls",
            home_incarnation="next",
            grants=(),
            up_ms=60_000,
            retry_records=self.gate.retry_records("halls", 0),
        )
        next_gate = QuotaGate(BOUNDS, "next")
        next_gate.on_takeover({"h1"}, 0)
        next_gate.on_usage_report("h1", held, 0)
        self.assertEqual(next_gate.retries_left("halls", 2_000), 0)

    def test_repeated_request_that_is_not_new_is_not_counted(self):
        self.refusal_codes(100, is_new=False)
        allowed = int(retry_limiter.USED_FRACTION * 2)
        refused = self.refusal_codes(10, arrival_number=2, is_new=False)
        self.assertEqual(len(refused), 10 - allowed)

    def test_host_grants_only_its_share(self):
        self.gate.quotas.declare([customer(units_per_s=10)])
        self.gate.set_share(0.5)
        self.assertEqual(len(self.refusal_codes(40)), 40 - FULL_WINDOW // 2)
