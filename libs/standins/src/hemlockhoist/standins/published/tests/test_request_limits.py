"""End-to-end tests of upstreams that advertise a limit on their request rate."""

import asyncio
import unittest

from hemlockhoist.standins.published import Replica, Site, route

LOOKUP = route("check-free", "reservas")
LIMIT_PER_S = 1.5
# What upstreams tolerate beyond their limit: 1.5 times it, and 5 requests, in any 4 s.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# All hosts have heard of the limit by then.
KNOWN_AFTER_S = 1.0
TRAFFIC_S = 6.0
REQUEST_GAP_S = 0.04
HOSTS = 3


def busiest_window(times_s, from_s, window_s=WINDOW_S):
    """Return the most of the times that lie in one window that begins at ``from_s``."""
    times_s = sorted(item for item in times_s if item >= from_s)
    return max(
        (
            sum(start <= item < start + window_s for item in times_s)
            for start in times_s
        ),
        default=0,
    )


class RequestLimitTests(unittest.IsolatedAsyncioTestCase):
    async def send(self, site, number):
        async with site.call(
            f"/check-free/{number}", host=number % HOSTS, Attempt_Id=f"a{number}"
        ) as answer:
            await answer.read()
            return answer.status

    async def send_steadily(self, site, seconds):
        """Send requests to the hosts in turn; return the statuses of their answers."""
        tasks = []
        for number in range(int(seconds / REQUEST_GAP_S)):
            tasks.append(asyncio.create_task(self.send(site, number)))
            await asyncio.sleep(REQUEST_GAP_S)
        return await asyncio.gather(*tasks)

    async def test_limit_holds_for_the_requests_of_all_hosts_together(self):
        """Guards against an upstream in need that gets its full load from all hosts."""
        limited, other = Replica("limited"), Replica("other")
        limited.limit_per_s = LIMIT_PER_S
        async with Site({"reservas": [limited, other]}, [LOOKUP], HOSTS) as site:
            statuses = await self.send_steadily(site, TRAFFIC_S)
        self.assertEqual(set(statuses), {200})
        times_s = [item.started_s for item in limited.ran]
        from_s = times_s[0] + KNOWN_AFTER_S
        self.assertLessEqual(busiest_window(times_s, from_s), ALLOWED)
        self.assertGreater(len(times_s), LIMIT_PER_S * TRAFFIC_S / 2)
