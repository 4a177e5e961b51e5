"""End-to-end test of request targets, which upstreams receive as callers sent them."""

import unittest

from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.raw import call_raw

ROUTES = [route("check-free", "reservas")]
TARGETS = (
    "/check-free/1",
    "/check-free/1?",
    "/check-free/1??",
    "/check-free/1?a=1&b=x-y",
    "/check-free/a%2fb?c=%zz",
    "/check-free//1/../2?",
    "/check-free/1?a=http://b/?",
)


class RequestTargetTests(unittest.IsolatedAsyncioTestCase):
    async def test_upstreams_get_the_target_that_the_caller_sent(self):
        """Guards against an empty query that is dropped on the way."""
        replica = Replica("a")
        services = {"asistente": [], "reservas": [replica]}
        async with Site(services, ROUTES) as site:
            for target in TARGETS:
                with self.subTest(target=target):
                    answer = await call_raw(site, target)
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(replica.ran[-1].target, target)
