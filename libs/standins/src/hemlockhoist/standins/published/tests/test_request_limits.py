"""End-to-end tests of upstreams that advertise a limit on their request rate."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
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


class RequestLimitTests(PausedSocketTestCase):
    async def send(self, site, number, host):
        async with site.call(
            f"/check-free/{number}", host=host, Attempt_Id=f"a{number}"
        ) as answer:
            await answer.read()
            return answer.status, float(answer.headers.get("Retry-After", 0))

    async def send_steadily(self, site, seconds, hosts=range(HOSTS)):
        """Send requests to hosts in turn; return their statuses and retry times."""
        tasks = []
        for number in range(int(seconds / REQUEST_GAP_S)):
            host = hosts[number % len(hosts)]
            tasks.append(asyncio.create_task(self.send(site, number, host)))
            await asyncio.sleep(REQUEST_GAP_S)
        return await asyncio.gather(*tasks)

    def check_limit(self, replica, from_s):
        """Check that a replica got its limit at most, and at least half of it."""
        times_s = [item.started_s for item in replica.ran]
        self.assertLessEqual(busiest_window(times_s, from_s), ALLOWED)
        late_s = [item for item in times_s if item >= from_s]
        self.assertGreater(len(late_s), LIMIT_PER_S * (times_s[-1] - from_s) / 2)

    async def test_limit_holds_for_the_requests_of_all_hosts_together(self):
        """Guards against an upstream in need that gets its full load from all hosts."""
        limited, other = Replica("limited"), Replica("other")
        limited.limit_per_s = LIMIT_PER_S
        async with Site({"reservas": [limited, other]}, [LOOKUP], HOSTS) as site:
            answers = await self.send_steadily(site, TRAFFIC_S)
        self.assertEqual({status for status, _ in answers}, {200})
        self.check_limit(limited, limited.ran[0].started_s + KNOWN_AFTER_S)

    async def test_limits_of_all_upstreams_leave_their_sum_to_callers(self):
        """Guards against a service that stops, or floods upstreams that need rest."""
        replicas = [Replica("s1"), Replica("s2"), Replica("s3")]
        for replica in replicas:
            replica.limit_per_s = LIMIT_PER_S
        async with Site({"reservas": replicas}, [LOOKUP], HOSTS) as site:
            answers = await self.send_steadily(site, TRAFFIC_S)
        for replica in replicas:
            self.check_limit(replica, replica.ran[0].started_s + KNOWN_AFTER_S)
        self.assertEqual({status for status, _ in answers}, {200, 503})
        retry_s = [seconds for status, seconds in answers if status == 503]
        self.assertGreater(min(retry_s), 0)

    async def test_limit_holds_while_the_home_is_lost_and_a_host_joins(self):
        """Guards against a limit that is forgotten with the host that enforced it."""
        limited, other = Replica("limited"), Replica("other")
        limited.limit_per_s = LIMIT_PER_S
        async with Site({"reservas": [limited, other]}, [LOOKUP], HOSTS) as site:
            await self.send_steadily(site, 1.0)
            from_s = asyncio.get_running_loop().time()
            home = site.hosts[0].context.homes.home_of("reservas")
            lost = next(
                number
                for number, host in enumerate(site.hosts)
                if host.context.identity.host_id == home
            )
            await site.hosts[lost].close()
            await site.add_host(HOSTS)
            left = [number for number in range(HOSTS + 1) if number != lost]
            await self.send_steadily(site, TRAFFIC_S, left)
        self.check_limit(limited, from_s)

    async def test_upstream_gets_its_share_again_once_it_withdraws_its_limit(self):
        limited = Replica("limited")
        limited.limit_per_s = LIMIT_PER_S
        async with Site({"reservas": [limited]}, [LOOKUP], HOSTS) as site:
            await self.send_steadily(site, 1.0)
            limited.limit_per_s = None
            await self.send_steadily(site, 1.5)
            before = len(limited.ran)
            answers = await self.send_steadily(site, 1.0)
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertGreater(len(limited.ran) - before, 20)

    async def test_garbled_limits_change_nothing(self):
        """Guards against a garbled header that stops or floods its upstream."""
        limited, other = Replica("limited"), Replica("other")
        limited.limit_per_s = LIMIT_PER_S
        other.limit_per_s = "soon"
        async with Site({"reservas": [limited, other]}, [LOOKUP], HOSTS) as site:
            await self.send_steadily(site, 1.0)
            limited.limit_per_s = "-3"
            from_s = asyncio.get_running_loop().time()
            answers = await self.send_steadily(site, 4.5)
        self.assertEqual({status for status, _ in answers}, {200})
        self.check_limit(limited, from_s)
