from hemlockhoist.base import BadRequest, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import PoolChooser
from hemlockhoist.entry.admission import Admission
from hemlockhoist.entry.settings import FleetBounds
from hemlockhoist.entry.store_view import FINAL_MARGIN_MS
from hemlockhoist.entry.tests.builders import (
    HostFixture,
    call,
    customer,
    route,
    table,
)

BOUNDS = FleetBounds()


class AdmissionTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.admission = Admission(self.host.store_view, PoolChooser())

    def refused(self, made, kind):
        with self.assertRaises(kind) as caught:
            self.admission.admit(made, 0)
        return caught.exception.code

    async def test_not_ready_before_the_first_reading(self):
        self.assertIs(self.refused(call(), Refused), ResultCode.NOT_READY)

    async def test_deadline_and_target_of_an_admitted_request(self):
        self.host.apply_all(table(routes=[route(timeout_ms=1_000, target_ms=300)]))
        long_wait = self.admission.admit(call(max_wait_ms=5_000), 50)
        self.assertEqual(long_wait.deadline_ms, 1_050)
        self.assertEqual(long_wait.target_by_ms, 350)
        short_wait = self.admission.admit(call(max_wait_ms=200), 50)
        self.assertEqual(short_wait.deadline_ms, 250)

    async def test_customer_rank_precedes_route_rank(self):
        low = customer("low", "k2", rank=2)
        high = customer("high", "k1", rank=1)
        routes = [route("urgent", rank=0), route("idle", rank=9)]
        self.host.apply_all(table(routes=routes, customers=[low, high]))
        first = self.admission.admit(call("/idle/1", key="k1"), 0)
        second = self.admission.admit(call("/urgent/1", key="k2"), 0)
        self.assertLess(first.rank, second.rank)

    async def test_unknown_key_or_route_is_refused_permanently_on_fresh_routes(self):
        self.host.apply_all()
        code = self.refused(call(key="other"), BadRequest)
        self.assertIs(code, ResultCode.UNKNOWN_KEY)
        code = self.refused(call("/nothing/1"), BadRequest)
        self.assertIs(code, ResultCode.NOT_FOUND)

    async def test_unknown_key_or_route_is_refused_as_stale_on_old_routes(self):
        """Guards against refusing a new customer's valid key permanently.

        The key was added while one host was cut off from the store. That host only
        knows the previous routes, so its refusal has to permit a retry.
        """
        self.host.apply_all()
        self.host.boot_ms += 6_000
        for made in (call(key="new"), call("/new/1")):
            code = self.refused(made, Refused)
            self.assertIs(code, ResultCode.CONFIGURATION_STALE)

    def check_permanent(self, is_permanent):
        kind = BadRequest if is_permanent else Refused
        for made in (call(key="new"), call("/new/1")):
            self.refused(made, kind)

    async def test_refusal_is_final_only_within_the_bound_of_a_configuration(self):
        """Guards against final refusals by routes that a change may have replaced."""
        self.host.apply_all()
        self.host.boot_ms += BOUNDS.configuration_ms - FINAL_MARGIN_MS - 1
        self.check_permanent(True)
        self.host.boot_ms += 1
        self.check_permanent(False)

    async def test_refusal_is_not_final_at_a_host_that_knows_of_newer_routes(self):
        """Guards against final refusals by a host that knows that it is behind."""
        self.host.apply_all()
        self.host.behind_ms = 1
        self.check_permanent(False)
        self.host.behind_ms = 0
        self.check_permanent(True)

    async def test_anonymous_route_is_served_on_stale_routes(self):
        self.host.apply_all(table(routes=[route(allows_anonymous=True)]))
        self.host.boot_ms += 60_000
        admitted = self.admission.admit(call(key=""), 0)
        self.assertIsNone(admitted.customer)

    async def test_units_of_a_request(self):
        self.host.apply_all(table(customers=[customer(units_per_s=10)]))
        self.assertEqual(self.admission.admit(call(), 0).units, 1)
