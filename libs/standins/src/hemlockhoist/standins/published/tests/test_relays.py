"""End-to-end tests of requests that hosts without links have relayed by others."""

import asyncio
import contextlib

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Behaviour, Replica, Site, route
from hemlockhoist.standins.published.links import HostLinks, LinkMode

LOOKUP = route("check-free", "reservas")
BOOKING = route("book-hall", "reservas", "non_idempotent", max_attempts=1)
REPORT = route("report", "asistente", "streaming", resumable=True, timeout_ms=5_000)
SUMMARY = route("summary", "asistente", "streaming", timeout_ms=5_000)
ROUTES = [LOOKUP, BOOKING, REPORT, SUMMARY]
EVENTS = 10
WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
CUT_HOST = 0
# The first requests after a cut find out that the links are lost.
LEARNING_COUNT = 3
# A refusal for want of any way to an upstream is immediate.
AT_ONCE_S = 0.5


def new_replicas(service_count=2, engine_count=2):
    return {
        "reservas": [Replica(f"s{n}") for n in range(service_count)],
        "asistente": [Replica(f"e{n}", events=EVENTS) for n in range(engine_count)],
    }


class CutSite:
    """A site whose hosts can be cut off from replicas."""

    def __init__(self, hosts=3, replicas=None, **fields):
        self.replicas = replicas or new_replicas()
        self.all_replicas = [r for found in self.replicas.values() for r in found]
        self.site = Site(self.replicas, ROUTES, hosts, **fields)
        self.links = []

    async def __aenter__(self):
        await self.site.__aenter__()
        self.links = [HostLinks(host) for host in self.site.hosts]
        return self

    async def __aexit__(self, *error):
        await self.site.__aexit__(*error)

    async def cut(self, host=CUT_HOST, mode=LinkMode.REFUSED, replicas=None):
        """Cut a host off, by default from all replicas; let it find out."""
        self.links[host].cut(replicas or self.all_replicas, mode)
        for number in range(LEARNING_COUNT):
            await self.get(f"/check-free/learn-{host}-{number}", host)
            await self.get(f"/report/learn-{host}-{number}", host)

    async def get(self, path, host=CUT_HOST, **fields):
        """Send a request with an attempt id of its own; return status and body."""
        fields.setdefault("Attempt_Id", f"a{path.replace('/', '-')}")
        async with self.site.call(path, host, **fields) as answer:
            return answer.status, await answer.read()

    def ran(self, path):
        """Return the requests for a path that replicas began to run."""
        return [
            item for r in self.all_replicas for item in r.ran if item.target == path
        ]


class RelayedRequestTests(PausedSocketTestCase):
    async def test_booking_runs_once_with_its_body_and_customer(self):
        """Guards against a relayed booking that runs twice, or for another customer."""
        async with CutSite() as cut:
            await cut.cut()
            for number in range(20):
                path = f"/book-hall/{number}"
                body = b"hall %d" % number * 500
                status, _ = await cut.get(path, method="POST", body=body)
                self.assertEqual(status, 200)
                (run,) = cut.ran(path)
                self.assertEqual(run.body, body)
                self.assertEqual(run.headers["tenant"], "aulas")
                self.assertNotIn("authorization", run.headers)
                self.assertEqual(run.headers["expected-instance"], run.replica_id)

    async def test_streams_arrive_whole_and_event_by_event(self):
        for mode in LinkMode:
            async with CutSite() as cut:
                for replica in cut.replicas["asistente"]:
                    replica.event_ms = 30
                await cut.cut(mode=mode)
                for path in ("/report/1", "/summary/1"):
                    async with cut.site.call(path, CUT_HOST) as answer:
                        first = await answer.content.readany()
                        self.assertLess(len(first), len(WHOLE) // 2)
                        rest = await answer.read()
                    with self.subTest(mode=mode, path=path):
                        self.assertEqual(first + rest, WHOLE)

    async def test_upstream_is_closed_when_the_caller_leaves(self):
        """Guards against work that goes on for callers who have left."""
        async with CutSite() as cut:
            await cut.cut()
            for replica in cut.replicas["asistente"]:
                replica.event_ms = 500
            async with cut.site.call("/summary/left", CUT_HOST) as answer:
                await answer.content.readany()
            async with asyncio.timeout(0.5):
                while not cut.ran("/summary/left")[0].closed:
                    await asyncio.sleep(0.01)

    async def test_failed_answer_of_the_upstream_is_passed_on(self):
        async with CutSite(replicas=new_replicas(1, 1)) as cut:
            await cut.cut()
            cut.replicas["reservas"][0].behaviour = Behaviour.FAILS
            status, body = await cut.get("/check-free/fails")
            self.assertEqual(status, 500)
            self.assertIn(b"answer of s0", body)

    async def test_broken_answer_is_not_passed_on_as_whole(self):
        """Guards against a relay that hides that an answer broke off."""
        async with CutSite(replicas=new_replicas(1, 1)) as cut:
            await cut.cut()
            cut.replicas["reservas"][0].behaviour = Behaviour.TRUNCATED
            status, _ = await cut.get("/book-hall/broken", method="POST", body=b"x")
            self.assertEqual(status, 502)
            self.assertEqual(len(cut.ran("/book-hall/broken")), 1)

    async def test_rejected_request_is_reported_as_not_run(self):
        async with CutSite(replicas=new_replicas(1, 1)) as cut:
            await cut.cut()
            replica = cut.replicas["reservas"][0]
            replica.behaviour, replica.rest_s = Behaviour.SHEDS, 2.0
            status, _ = await cut.get("/book-hall/shed", method="POST", body=b"x")
            self.assertEqual(status, 503)
            self.assertEqual(cut.ran("/book-hall/shed"), [])

    async def test_upstream_that_wants_rest_gets_it_from_the_relaying_host(self):
        """Guards against a relaying host that goes on where it was asked for rest."""
        async with CutSite(hosts=2, replicas=new_replicas(1, 1)) as cut:
            await cut.cut()
            replica = cut.replicas["reservas"][0]
            replica.behaviour, replica.rest_s = Behaviour.SHEDS, 3.0
            for number in range(10):
                await cut.get(f"/check-free/rest-{number}")
                await cut.get(f"/check-free/own-{number}", host=1)
            self.assertLessEqual(len(replica.rejected), 2)


class LostLinkTests(PausedSocketTestCase):
    async def test_callers_are_refused_at_once_where_no_host_has_links(self):
        """Guards against callers that wait for a way that nobody has."""
        loop = asyncio.get_running_loop()
        async with CutSite() as cut:
            for host in range(3):
                await cut.cut(host)
            begun_s = loop.time()
            async with cut.site.call(
                "/book-hall/1", method="POST", body=b"x"
            ) as answer:
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["Retry-After"]), 0)
            self.assertLess(loop.time() - begun_s, AT_ONCE_S)
            self.assertEqual(cut.ran("/book-hall/1"), [])

    async def test_lonely_host_without_links_refuses_and_recovers(self):
        async with CutSite(hosts=1) as cut:
            await cut.cut()
            status, _ = await cut.get("/check-free/alone")
            self.assertEqual(status, 503)
            cut.links[CUT_HOST].heal()
            async with asyncio.timeout(3):
                while (await cut.get("/check-free/healed"))[0] != 200:
                    await asyncio.sleep(0.1)

    async def test_host_uses_its_own_links_again_without_callers_that_fail(self):
        """Guards against relaying for longer than needed, and finding out by failures."""
        async with CutSite() as cut:
            await cut.cut()
            cut.links[CUT_HOST].heal()
            await asyncio.sleep(2.3)
            links = cut.site.hosts[CUT_HOST].context.upstreams.links
            self.assertEqual(links.count_by_pool(), {})
            status, _ = await cut.get("/check-free/healed")
            self.assertEqual(status, 200)

    async def test_upstreams_with_a_link_are_used_first(self):
        """Guards against relaying while this host reaches other upstreams itself."""
        async with CutSite() as cut:
            await cut.cut(replicas=cut.replicas["reservas"][:1])
            for number in range(10):
                await cut.get(f"/check-free/{number}")
            used = {cut.ran(f"/check-free/{n}")[0].replica_id for n in range(10)}
            self.assertEqual(used, {"s1"})

    async def test_dead_upstream_is_not_taken_for_a_lost_link(self):
        """Guards against relaying to an upstream that no host reaches."""
        async with CutSite() as cut:
            dead = cut.replicas["reservas"][0]
            for links in cut.links:
                links.cut([dead], LinkMode.REFUSED)
            statuses = [(await cut.get(f"/check-free/{n}"))[0] for n in range(20)]
            self.assertEqual(set(statuses), {200})
            await asyncio.sleep(0.1)
            links = cut.site.hosts[CUT_HOST].context.upstreams.links
            self.assertFalse(links.is_pool_lost("reservas"))


class RunningRequestTests(PausedSocketTestCase):
    async def begin_stream(self, cut, path):
        """Begin a slow stream at the cut host; return a task with its body."""
        for replica in cut.replicas["asistente"]:
            replica.event_ms = 60
        started = asyncio.Event()

        async def read():
            async with cut.site.call(path, CUT_HOST, Deadline_Ms="4000") as answer:
                first = await answer.content.readany()
                started.set()
                return first + await answer.read()

        task = asyncio.create_task(read())
        await started.wait()
        return task

    async def test_stream_goes_on_over_a_connection_that_lives_on(self):
        async with CutSite() as cut:
            task = await self.begin_stream(cut, "/summary/1")
            await cut.cut(mode=LinkMode.REFUSED)
            self.assertEqual(await task, WHOLE)

    async def test_resumable_stream_goes_on_through_another_host(self):
        """Guards against streams that are cut although they may be resumed."""
        for mode in (LinkMode.RESET, LinkMode.SILENT):
            async with CutSite() as cut:
                task = await self.begin_stream(cut, "/report/1")
                await cut.cut(mode=mode)
                with self.subTest(mode=mode):
                    self.assertEqual(await task, WHOLE)

    async def test_lookup_in_progress_is_repeated_through_another_host(self):
        """Guards against lookups that wait for an answer that can't arrive."""
        async with CutSite(replicas=new_replicas(1, 1)) as cut:
            replica = cut.replicas["reservas"][0]
            replica.delay_ms = 200
            task = asyncio.create_task(cut.get("/check-free/1"))
            await asyncio.sleep(0.1)
            replica.delay_ms = 0
            await cut.cut(mode=LinkMode.SILENT)
            status, _ = await task
            self.assertEqual(status, 200)

    async def test_booking_in_progress_is_not_sent_again(self):
        """Guards against a hall that is booked twice as a link is lost."""
        async with CutSite(replicas=new_replicas(1, 1)) as cut:
            replica = cut.replicas["reservas"][0]
            replica.delay_ms = 200
            task = asyncio.create_task(
                cut.get("/book-hall/1", method="POST", body=b"x")
            )
            await asyncio.sleep(0.1)
            replica.delay_ms = 0
            await cut.cut(mode=LinkMode.RESET)
            status, _ = await task
            self.assertIn(status, (502, 504))
            self.assertEqual(len(cut.ran("/book-hall/1")), 1)

    async def test_streams_survive_the_planned_stop_of_a_relaying_host(self):
        """Guards against a stop that cuts what a host does for another one."""
        async with CutSite(hosts=2) as cut:
            await cut.cut()
            task = await self.begin_stream(cut, "/summary/1")
            cut.site.hosts[1].begin_drain()
            self.assertEqual(await task, WHOLE)

    async def test_stream_is_resumed_after_the_loss_of_a_relaying_host(self):
        async with CutSite(hosts=3) as cut:
            await cut.cut()
            task = await self.begin_stream(cut, "/report/1")
            servers = [host.relay_server for host in cut.site.hosts]
            relaying = next(item for item in servers if item.relayed_count)
            await relaying.close()
            self.assertEqual(await task, WHOLE)


class HelperTests(PausedSocketTestCase):
    async def test_helper_that_is_cut_itself_is_passed_over(self):
        async with CutSite() as cut:
            await cut.cut()
            cut.links[1].cut(cut.all_replicas, LinkMode.SILENT)
            served = 0
            for number in range(10):
                status, _ = await cut.get(f"/check-free/{number}")
                served += status == 200
            self.assertEqual(served, 10)

    async def test_two_hosts_without_links_do_not_ask_each_other_in_turn(self):
        async with CutSite(hosts=2) as cut:
            for host in range(2):
                await cut.cut(host)
            statuses = await asyncio.gather(
                *(cut.get(f"/check-free/{n}", n % 2) for n in range(10))
            )
            self.assertEqual({status for status, _ in statuses}, {503})

    async def test_help_is_bounded(self):
        """Guards against one host with links that many others wear out."""
        async with CutSite(hosts=2) as cut:
            await cut.cut()
            helper = cut.site.hosts[1].relay_server
            helper.max_relayed = 2
            for replica in cut.replicas["reservas"]:
                replica.delay_ms = 300
            calls = (cut.get(f"/check-free/{n}") for n in range(8))
            statuses = [status for status, _ in await asyncio.gather(*calls)]
            self.assertEqual(statuses.count(200) + statuses.count(503), 8)
            self.assertLess(statuses.count(503), 8)

    async def test_relayed_body_stays_in_its_regions(self):
        """Guards against a body that is sent to a host in another region."""
        routes = [route("check-free", "reservas", allowed_regions=["south"])]
        replicas = {"reservas": [Replica("s0")]}
        async with contextlib.AsyncExitStack() as stack:
            site = await stack.enter_async_context(Site(replicas, routes, 2))
            members = site.hosts[CUT_HOST]._relay_members(("south",))
            self.assertEqual(members, [])
            self.assertEqual(len(site.hosts[CUT_HOST]._relay_members(("north",))), 1)
