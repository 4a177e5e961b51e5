"""End-to-end tests of what speaks for and against a request that crashes upstreams."""

import asyncio
import itertools

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import CrashMoment
from hemlockhoist.standins.published.crash_callers import (
    EVENTS,
    HOSTS,
    Callers,
    target_site,
)
from hemlockhoist.standins.published.crash_site import now_s

# Upstreams that may end under one request, however often it is sent again.
ALLOWED_ENDS = 3
# Long enough for a run to end well while all other upstreams are up.
DOWN_S = 1.5
RUNS = 8
MANY_HOSTS = 12
TRAFFIC_S = 2.0
WHOLE_SHARE = 0.95
SETTLED_S = 0.8


class CrashEvidenceTests(PausedSocketTestCase):
    async def play(self, kind, act, **fields):
        """Let one caller act beside sound requests, with replicas as ``fields`` say."""
        target = f"/{kind}/bad0"
        async with target_site({target}, down_s=DOWN_S, **fields) as crash_site:
            callers = Callers(crash_site)
            sound = asyncio.create_task(callers.send_sound(kind, TRAFFIC_S))
            await act(callers, target)
            await sound
            await asyncio.sleep(DOWN_S)
            settled_s = now_s()
            await callers.send_sound(kind, SETTLED_S)
        self.assertLessEqual(len(crash_site.crashes_s(target)), ALLOWED_ENDS)
        self.assertGreaterEqual(callers.whole_share(kind, settled_s), WHOLE_SHARE)

    async def test_stream_whole_when_resumed_ends_three_upstreams_at_most(self):
        """Guards against a continuation that speaks for what it continues."""
        await self.play(
            "report",
            lambda callers, target: callers.repeat_times(target, RUNS),
            moment=CrashMoment.AFTER_EVENTS,
            crash_after_events=EVENTS - 2,
            is_spared=lambda received: "last-event-id" in received.headers,
        )

    async def test_request_whose_caller_leaves_ends_three_upstreams_at_most(self):
        """Guards against ends that nobody looks for once the caller has left."""
        for kind in ("report", "lookup"):
            with self.subTest(kind=kind):
                await self.play(
                    kind,
                    lambda callers, target: callers.repeat_times(
                        target, RUNS, leave_after_s=0.15
                    ),
                    crash_delay_ms=270,
                )

    async def test_request_that_is_whole_now_and_then_ends_three_upstreams(self):
        """Guards against one whole answer that outweighs all ends."""
        runs = itertools.count(1)
        await self.play(
            "lookup",
            lambda callers, target: callers.repeat_times(target, 2 * RUNS),
            is_spared=lambda received: next(runs) % 3 == 0,
        )

    async def test_copies_sent_at_once_end_three_upstreams_at_most(self):
        """Guards against copies that are granted before the first end is known."""
        for kind in ("report", "lookup"):
            with self.subTest(kind=kind):
                await self.play(
                    kind,
                    lambda callers, target: callers.repeat_copies(target, 5, 2),
                )

    async def test_copies_at_each_of_many_hosts_end_three_upstreams_at_most(self):
        """Guards against ends that are known to few of many hosts."""
        for kind in ("report", "lookup"):
            with self.subTest(kind=kind):
                await self.play(
                    kind,
                    lambda callers, target: callers.repeat_copies(
                        target, MANY_HOSTS, 3
                    ),
                    hosts=MANY_HOSTS,
                )

    async def test_popular_call_is_served_while_upstreams_end_for_other_reasons(self):
        """Guards against a request that is kept back as many send it at once."""
        async with target_site(set()) as crash_site:
            callers = Callers(crash_site)
            popular = [
                callers.send_each(itertools.repeat("/lookup/popular"), 2.0)
                for _ in range(HOSTS)
            ]
            running = asyncio.gather(*popular)
            for replica in crash_site.replicas["reservas"][:4]:
                await asyncio.sleep(0.3)
                replica.crash()
            await running
            records = crash_site.hosts[0].context.quarantine.records()
        self.assertEqual([item for item in records if item.state], [])
        self.assertGreaterEqual(callers.whole_share("lookup"), WHOLE_SHARE)
