"""End-to-end tests of requests that are sent again, and crash what runs them."""

import asyncio
import itertools
import unittest

from hemlockhoist.standins.published import CrashMoment, route
from hemlockhoist.standins.published.crash_site import CrashSite, now_s

EVENTS = 8
HOSTS = 3
REPLICAS = 6
DOWN_S = 0.8
# Upstreams that may end under one request, however often it is sent again.
ALLOWED_ENDS = 3
SOUND_GAP_S = 0.05
AGAIN_GAP_S = 0.15
TRAFFIC_S = 2.5
WHOLE_SHARE = 0.95
# Long enough for a busy machine.
WAIT_MS = 8_000
STREAM, CALL = "asistente", "reservas"
ROUTES = [
    route("report", STREAM, "streaming", resumable=True, timeout_ms=WAIT_MS),
    route("lookup", CALL, timeout_ms=WAIT_MS),
    route("booking", CALL, "non_idempotent", max_attempts=1, timeout_ms=WAIT_MS),
]


def site(targets, moment=CrashMoment.BEFORE_HEAD):
    """Return a site whose replicas crash on some targets."""

    def prepare(replica):
        replica.crashing_targets = targets
        replica.crash_moment = moment

    pools = {STREAM: (REPLICAS, EVENTS), CALL: (REPLICAS, 0)}
    return CrashSite(ROUTES, pools, prepare, DOWN_S, hosts=HOSTS)


class Callers:
    """Sends requests to all hosts in turn, and keeps the answers.

    Attributes
    ==========
    answers : list of (float, str, int, str or None)
        When each request was sent, its target, its status, 0 if its answer broke off,
        and the time after which its caller may come back.
    """

    def __init__(self, crash_site):
        self.site = crash_site
        self.hosts = list(range(HOSTS))
        self.answers = []
        self._numbers = itertools.count(1)

    async def send(self, target, host=None, own_part="own"):
        """Send a request under a new id."""
        number = next(self._numbers)
        if host is None:
            host = self.hosts[number % len(self.hosts)]
        headers = {"Attempt_Id": f"p{number}", "Deadline_Ms": str(WAIT_MS)}
        if target.startswith("/report"):
            headers["Prefix_Hash"] = f"c0de:60,{own_part}:90"
            headers["Token_Usage"] = "400,40"
        method = "POST" if target.startswith("/booking") else "GET"
        sent_s, status, retry_after = now_s(), 0, None
        try:
            async with self.site.call(target, host, method, **headers) as answer:
                body = await answer.read()
                status = answer.status
                retry_after = answer.headers.get("Retry-After")
                if target.startswith("/report") and status == 200:
                    status = 200 if body.count(b"\n\n") == EVENTS else 0
        except OSError:
            status = 0
        except Exception as error:
            if "payload" not in str(error).lower():
                raise
            status = 0
        self.answers.append((sent_s, target, status, retry_after))

    async def repeat(self, target, seconds, gap_s=AGAIN_GAP_S):
        """Send the same request again and again."""
        await self._send_often(itertools.repeat(target), seconds, gap_s)

    async def send_sound(self, kind, seconds):
        """Send requests of one kind, no two alike."""
        numbers = itertools.count(1)
        targets = (f"/{kind}/{number}" for number in numbers)
        await self._send_often(targets, seconds, SOUND_GAP_S)

    async def _send_often(self, targets, seconds, gap_s):
        tasks, end_s = [], now_s() + seconds
        for target in targets:
            if now_s() >= end_s:
                break
            own_part = target.replace("/", "a")
            tasks.append(asyncio.create_task(self.send(target, own_part=own_part)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    def statuses(self, target):
        """Return the statuses of all answers to one request."""
        return [item[2] for item in self.answers if item[1] == target]

    def whole_share(self, kind, from_s=0):
        """Return the share of a kind's sound requests that were served whole."""
        sound = [
            status
            for sent_s, target, status, _ in self.answers
            if target.startswith(f"/{kind}/") and "bad" not in target
            if sent_s >= from_s
        ]
        return sum(status == 200 for status in sound) / len(sound)


class RepeatedCrashTests(unittest.IsolatedAsyncioTestCase):
    def check_ends(self, crash_site, callers, targets):
        for target in targets:
            self.assertLessEqual(len(crash_site.crashes_s(target)), ALLOWED_ENDS)
            self.assertNotIn(200, callers.statuses(target))

    async def play(self, kind, moment, bad=("bad0",)):
        """Play sound requests of a kind beside bad ones that are sent again."""
        targets = {f"/{kind}/{name}" for name in bad}
        async with site(targets, moment) as crash_site:
            callers = Callers(crash_site)
            sound = asyncio.create_task(callers.send_sound(kind, 0.3 + TRAFFIC_S))
            await asyncio.sleep(0.3)
            await asyncio.gather(
                *(callers.repeat(target, TRAFFIC_S) for target in targets), sound
            )
        with self.subTest(kind=kind, moment=moment):
            self.check_ends(crash_site, callers, targets)
            settled_s = max(crash_site.crashes_s()) + DOWN_S
            self.assertGreaterEqual(callers.whole_share(kind, settled_s), WHOLE_SHARE)

    async def test_stream_sent_again_ends_three_upstreams_at_most(self):
        """Guards against a request that is new each time that its caller sends it."""
        for moment in CrashMoment:
            await self.play("report", moment)

    async def test_two_streams_sent_again_end_three_upstreams_each(self):
        """Guards against one request that hides another."""
        await self.play("report", CrashMoment.AFTER_EVENTS, ("bad0", "bad1"))

    async def test_call_sent_again_ends_three_upstreams_at_most(self):
        """Guards against calls without a prompt, which nothing recognises."""
        for moment in (CrashMoment.BEFORE_HEAD, CrashMoment.AFTER_EVENTS):
            await self.play("lookup", moment)

    async def test_call_that_must_not_be_repeated_is_recognised_too(self):
        """Guards against a caller who sends again what may have run."""
        await self.play("booking", CrashMoment.BEFORE_HEAD)
