import asyncio
import types
import unittest

from hemlockhoist.base import Clock, Refused, ResultCode
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions.entry import RouteTimes
from hemlockhoist.entry import FleetBounds
from hemlockhoist.entry.drain import Drain

ROUTE, POOL = "book-hall", "reservas"


class DrainTests(PausedTestCase):
    async def asyncSetUp(self):
        self.clock = Clock.from_running_loop()
        self.route_times = RouteTimes()
        bounds = FleetBounds(stop_ms=8_000)
        self.drain = Drain(
            types.SimpleNamespace(
                clock=self.clock,
                route_times=self.route_times,
                settings=types.SimpleNamespace(bounds=bounds),
            )
        )

    def admitted(self, limit_ms):
        return types.SimpleNamespace(
            route=types.SimpleNamespace(name=ROUTE),
            pool=POOL,
            deadline_ms=self.clock.now_ms() + limit_ms,
        )

    def is_refused(self, check, value):
        try:
            check(value)
        except Refused as error:
            self.assertIs(error.code, ResultCode.LEAVING)
            return True
        return False

    async def test_host_that_does_not_stop_refuses_nothing(self):
        self.assertFalse(self.is_refused(self.drain.check, self.admitted(60_000)))
        self.assertFalse(self.is_refused(self.drain.check_relayed, 60_000))
        self.assertFalse(self.drain.ends_before(self.clock.now_ms() + 60_000))

    async def test_request_that_does_not_fit_is_refused_unless_its_route_is_quick(self):
        """Guards against times of a route that the stop does not ask for."""
        self.drain.begin(self.clock.now_ms())
        self.assertTrue(self.is_refused(self.drain.check, self.admitted(8_000)))
        self.assertFalse(self.is_refused(self.drain.check, self.admitted(7_000)))
        for _ in range(20):
            self.route_times.observe(ROUTE, POOL, 100, self.clock.now_ms())
        self.assertFalse(self.is_refused(self.drain.check, self.admitted(8_000)))
        await asyncio.sleep(3)
        self.assertTrue(self.is_refused(self.drain.check, self.admitted(8_000)))

    async def test_relayed_request_that_does_not_fit_is_refused(self):
        self.drain.begin(self.clock.now_ms())
        self.assertTrue(self.is_refused(self.drain.check_relayed, 8_000))
        self.assertFalse(self.is_refused(self.drain.check_relayed, 7_000))

    async def test_unsent_request_is_refused_when_answers_are_due(self):
        """Guards against a body that arrives until the process has ended."""
        begin_ms = self.clock.now_ms()
        self.drain.begin(begin_ms)
        with self.assertRaises(Refused) as caught:
            async with self.drain.limit_unsent():
                await asyncio.sleep(60)
        self.assertIs(caught.exception.code, ResultCode.LEAVING)
        self.assertEqual(self.clock.now_ms() - begin_ms, 7_000)

    async def test_other_timeouts_are_not_taken_for_a_stop(self):
        """Guards against "leaving" from a host that does not stop."""
        with self.assertRaises(TimeoutError):
            async with self.drain.limit_unsent():
                raise TimeoutError("connection timed out")


if __name__ == "__main__":
    unittest.main()
