from hemlockhoist.base import BadRequest, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import PoolChooser
from hemlockhoist.entry.admission import Admission
from hemlockhoist.entry.tests.builders import (
    HostFixture,
    call,
    customer,
    route,
    table,
)


class AdmissionTests(PausedTestCase):
    async def asyncSetUp(self):
        self.host = HostFixture()
        self.admission = Admission(self.host.store_view, PoolChooser())

    def refused(self, made, kind):
        with self.assertRaises(kind) as caught:
            self.admission.admit(made, 0)
        return caught.exception.code

    async def test_nothing_is_known_yet(self):
        self.assertIs(self.refused(call(), Refused), ResultCode.NOT_READY)

    async def test_times_of_an_admitted_request(self):
        self.host.know_all(table(routes=[route(timeout_ms=1_000, target_ms=300)]))
        patient = self.admission.admit(call(max_wait_ms=5_000), 50)
        self.assertEqual(patient.deadline_ms, 1_050)
        self.assertEqual(patient.target_by_ms, 350)
        hasty = self.admission.admit(call(max_wait_ms=200), 50)
        self.assertEqual(hasty.deadline_ms, 250)

    async def test_customers_rank_goes_before_the_routes(self):
        low = customer("low", "k2", rank=2)
        high = customer("high", "k1", rank=1)
        routes = [route("urgent", rank=0), route("idle", rank=9)]
        self.host.know_all(table(routes=routes, customers=[low, high]))
        first = self.admission.admit(call("/idle/1", key="k1"), 0)
        second = self.admission.admit(call("/urgent/1", key="k2"), 0)
        self.assertLess(first.rank, second.rank)

    async def test_unknown_key_and_unknown_route_on_fresh_routes(self):
        self.host.know_all()
        code = self.refused(call(key="other"), BadRequest)
        self.assertIs(code, ResultCode.UNKNOWN_KEY)
        code = self.refused(call("/nothing/1"), BadRequest)
        self.assertIs(code, ResultCode.NOT_FOUND)

    async def test_host_that_missed_a_new_key_sends_nobody_away_for_good(self):
        """A new customer's callers are told that their key does not exist.

        Their key was added while one host was cut off from the store. That host knows
        only the routes before it; it has to say "come back" and not "go away".
        """
        self.host.know_all()
        self.host.boot_ms += 6_000
        for made in (call(key="new"), call("/new/1")):
            code = self.refused(made, Refused)
            self.assertIs(code, ResultCode.CONFIGURATION_STALE)

    async def test_open_route_is_served_on_old_routes(self):
        self.host.know_all(table(routes=[route(allows_anonymous=True)]))
        self.host.boot_ms += 60_000
        admitted = self.admission.admit(call(key=""), 0)
        self.assertIsNone(admitted.customer)

    async def test_units_of_a_request(self):
        self.host.know_all(table(customers=[customer(units_per_s=10)]))
        self.assertEqual(self.admission.admit(call(), 0).units, 1)
