"""End-to-end tests of upstreams that ask a host for rest, or say that they leave."""

import asyncio

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica, Site, route

LOOKUP = route("check-free", "reservas")
REST_S = 3.0
# An upstream that has said that it leaves gets nothing new after this time.
DRAIN_S = 2.0
# A host may have sent more by the time that the answer reaches it; after that, no more
# than two requests are tolerated until the rest is over.
REACHED_AFTER_S = 0.5
ALLOWED = 2
TRAFFIC_S = 4.0
REQUEST_GAP_S = 0.04
# At this time for each request, an upstream with four slots is nearly busy.
BUSY_MS = 160
# At this time, it has no slot for some of them.
OVERLOADED_MS = 170
HOSTS = 3
# More requests at once than two upstreams have slots.
BURST = 10


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


class BackOffTests(PausedSocketTestCase):
    def check_rest(self, replica, host):
        """Check that a host left a replica in peace after its first rejection."""
        times_s = arrivals_s(replica.rejected, host)
        if not times_s:
            return
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
            self.assertTrue(arrivals_s(resting.rejected, host))
            self.check_rest(resting, host)

    async def test_callers_are_told_when_the_rest_is_over(self):
        """Guards against callers that come back too early and are refused again."""
        resting = Replica("s1")
        resting.behaviour, resting.rest_s = Behaviour.SHEDS, REST_S
        async with Site({"reservas": [resting]}, [LOOKUP]) as site:
            (_, first_s), *_, (_, last_s) = await send_steadily(site, 1.0, [0])
            self.assertGreater(first_s, REST_S - 0.2)
            self.assertLess(last_s, REST_S)
            resting.behaviour = Behaviour.NORMAL
            await asyncio.sleep(last_s)
            answers = await send_steadily(site, 0.5, [0])
        self.assertEqual({status for status, _ in answers}, {200})

    async def test_other_upstreams_take_what_two_resting_ones_do_not(self):
        """Guards against upstreams that shed load and get more than those that serve."""
        resting, other = [Replica("s1"), Replica("s2")], Replica("s3")
        other.delay_ms = BUSY_MS
        for replica in resting:
            replica.behaviour, replica.rest_s = Behaviour.SHEDS, REST_S
        async with Site({"reservas": [*resting, other]}, [LOOKUP], HOSTS) as site:
            answers = await send_steadily(site, TRAFFIC_S)
        for replica in resting:
            for host in range(HOSTS):
                self.check_rest(replica, host)
        refused_s = [seconds for status, seconds in answers if status == 503]
        self.assertLess(len(refused_s), 0.25 * len(answers))
        self.assertGreater(min(refused_s, default=1), 0)

    async def test_rest_holds_while_the_home_is_lost_and_a_host_joins(self):
        """Guards against a rest that ends as the home moves."""
        resting = Replica("s1")
        resting.behaviour, resting.rest_s = Behaviour.SHEDS, REST_S
        async with Site({"reservas": [resting]}, [LOOKUP], HOSTS) as site:
            await send_steadily(site, 0.3)
            home = site.hosts[0].context.homes.home_of("reservas")
            hosts = list(range(HOSTS))
            for number in hosts:
                if site.hosts[number].context.identity.host_id == home:
                    hosts.remove(number)
                    await site.hosts[number].close()
                    break
            await site.add_host(HOSTS)
            await send_steadily(site, REST_S, [*hosts, HOSTS])
        for host in hosts:
            self.check_rest(resting, host)

    async def test_requests_granted_before_the_home_knows_of_the_rest_are_not_sent(
        self,
    ):
        """Guards against requests on grants that were on their way as a host heard."""
        resting, other = Replica("s1"), Replica("s2")
        async with Site({"reservas": [resting, other]}, [LOOKUP], HOSTS) as site:
            for host in site.hosts:
                context = host.context
                now_ms = context.clock.now_ms()
                context.back_offs.record("reservas", "s1", int(REST_S * 1_000), now_ms)
            bursts = [send_steadily(site, REQUEST_GAP_S, [0]) for _ in range(BURST)]
            found = await asyncio.gather(*bursts)
            found.append(await send_steadily(site, 1.0))
        statuses = {status for answers in found for status, _ in answers}
        self.assertEqual(statuses, {200})
        self.assertEqual(resting.ran, [])

    async def test_garbled_rest_changes_nothing(self):
        """Guards against a garbled time that closes an upstream for ever."""
        resting, other = Replica("s1"), Replica("s2")
        other.delay_ms = OVERLOADED_MS
        resting.behaviour, resting.rest_s = Behaviour.SHEDS, "in a while"
        async with Site({"reservas": [resting, other]}, [LOOKUP]) as site:
            await send_steadily(site, 1.0, [0])
            resting.behaviour = Behaviour.NORMAL
            answers = await send_steadily(site, 2.0, [0])
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertGreater(len(resting.ran), 5)


class LeavingTests(PausedSocketTestCase):
    async def test_upstream_that_says_it_leaves_gets_no_new_requests(self):
        """Guards against requests that an upstream loses as it stops.

        It says in its answers that it leaves, while its row still says that it is ready.
        """
        leaving, other = Replica("s1"), Replica("s2")
        leaving.is_leaving = True
        async with Site({"reservas": [leaving, other]}, [LOOKUP], HOSTS) as site:
            answers = await send_steadily(site, DRAIN_S + 1.5)
        self.assertEqual({status for status, _ in answers}, {200})
        for host in range(HOSTS):
            times_s = arrivals_s(leaving.ran, host)
            late_s = [item for item in times_s if item > times_s[0] + DRAIN_S]
            self.assertEqual(late_s, [])

    async def test_host_that_has_not_heard_it_sends_nothing_either(self):
        """Guards against a home that knows less than the hosts that it grants."""
        leaving, other = Replica("s1"), Replica("s2")
        leaving.is_leaving = True
        async with Site({"reservas": [leaving, other]}, [LOOKUP], HOSTS) as site:
            await send_steadily(site, 0.5, [0])
            await send_steadily(site, 1.0, [1, 2])
        self.assertTrue(arrivals_s(leaving.ran, 0))
        for host in (1, 2):
            self.assertEqual(arrivals_s(leaving.ran, host), [])

    async def test_restarted_upstream_is_used_again(self):
        """Guards against an upstream that gets no requests ever again."""
        leaving = Replica("s1")
        leaving.is_leaving = True
        async with Site({"reservas": [leaving]}, [LOOKUP]) as site:
            answers = await send_steadily(site, 0.5, [0])
            self.assertEqual({status for status, _ in answers[1:]}, {503})
            self.assertGreater(min(seconds for _, seconds in answers[1:]), 0)
            leaving.is_leaving = False
            row = {**leaving.row("reservas"), "born": 2}
            await site.store.put("servers", "s1", row)
            await asyncio.sleep(0.3)
            answers = await send_steadily(site, 0.5, [0])
        self.assertEqual({status for status, _ in answers}, {200})
