"""End-to-end tests of upstreams that ask a host for rest, or say that they leave."""

import asyncio
import unittest

from hemlockhoist.standins.published import Behaviour, Replica, Site, route

LOOKUP = route("check-free", "reservas")
REST_S = 3.0
# A host may have sent more by the time that the answer reaches it; after that, no more
# than two requests are tolerated until the rest is over.
REACHED_AFTER_S = 0.5
ALLOWED = 2
TRAFFIC_S = 4.0
REQUEST_GAP_S = 0.04
HOSTS = 3


async def send_steadily(site, seconds, hosts=range(HOSTS)):
    """Send lookups to hosts in turn; return their statuses and retry times."""

    async def send(number, host):
        attempt_id = f"h{host}-{number}"
        path = f"/check-free/{number}"
        async with site.call(path, host=host, Attempt_Id=attempt_id) as answer:
            await answer.read()
            return answer.status, float(answer.headers.get("Retry-After", 0))

    tasks = []
    for number in range(int(seconds / REQUEST_GAP_S)):
        host = hosts[number % len(hosts)]
        tasks.append(asyncio.create_task(send(number, host)))
        await asyncio.sleep(REQUEST_GAP_S)
    return await asyncio.gather(*tasks)


def arrivals_s(received, host):
    """Return when requests of a host arrived."""
    prefix = f"h{host}-"
    return [
        item.started_s
        for item in received
        if item.headers["attempt-id"].startswith(prefix)
    ]


class BackOffTests(unittest.IsolatedAsyncioTestCase):
    def check_rest(self, replica, host):
        """Check that a host left a replica in peace after its first rejection."""
        times_s = arrivals_s(replica.rejected, host)
        self.assertTrue(times_s)
        from_s, until_s = times_s[0] + REACHED_AFTER_S, times_s[0] + REST_S
        late_s = [item for item in times_s if from_s <= item < until_s]
        self.assertLessEqual(len(late_s), ALLOWED)

    async def test_host_leaves_an_upstream_in_peace_that_asked_for_rest(self):
        """Guards against an upstream that is asked again by each request of a host."""
        resting = Replica("s1")
        resting.behaviour, resting.rest_s = Behaviour.SHEDS, REST_S
        async with Site({"reservas": [resting]}, [LOOKUP], HOSTS) as site:
            answers = await send_steadily(site, TRAFFIC_S)
        self.assertEqual({status for status, _ in answers}, {503})
        for host in range(HOSTS):
            self.check_rest(resting, host)
