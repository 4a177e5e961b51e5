"""Callers of a site whose replicas crash on some targets."""

import asyncio
import contextlib
import itertools

from hemlockhoist.standins.published.behaviours import CrashMoment
from hemlockhoist.standins.published.crash_site import CrashSite, now_s
from hemlockhoist.standins.published.site import route

EVENTS = 8
HOSTS = 3
REPLICAS = 6
DOWN_S = 0.5
SOUND_GAP_S = 0.05
AGAIN_GAP_S = 0.15
# Long enough for a busy machine.
WAIT_MS = 8_000
STREAM, CALL = "asistente", "reservas"
ROUTES = [
    route("report", STREAM, "streaming", resumable=True, timeout_ms=WAIT_MS),
    route("lookup", CALL, timeout_ms=WAIT_MS),
    route("booking", CALL, "non_idempotent", max_attempts=1, timeout_ms=WAIT_MS),
]


def target_site(
    targets, moment=CrashMoment.BEFORE_HEAD, down_s=DOWN_S, hosts=HOSTS, **fields
):
    """Return a site whose replicas crash on some targets.

    Parameters
    ==========
    targets : set of str
    moment : CrashMoment, optional
    down_s : float, optional
        For how long a replica is down after a crash.
    hosts : int, optional
    fields : dict
        Further attributes of the replicas.
    """

    def prepare(replica):
        replica.crashing_targets = targets
        replica.crash_moment = moment
        for name, value in fields.items():
            setattr(replica, name, value)

    pools = {STREAM: (REPLICAS, EVENTS), CALL: (REPLICAS, 0)}
    return CrashSite(ROUTES, pools, prepare, down_s, hosts=hosts)


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
        self.hosts = list(range(len(crash_site.hosts)))
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

    async def repeat(self, target, seconds):
        """Send the same request again each time that it has been answered."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            await self.send(target)
            await asyncio.sleep(AGAIN_GAP_S)

    async def repeat_times(self, target, count, leave_after_s=None):
        """Send the same request again and again.

        Parameters
        ==========
        target : str
        count : int
            How often.
        leave_after_s : float, optional
            How long to wait for each answer; to its end if it is not given.
        """
        for _ in range(count):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(leave_after_s):
                    await self.send(target)
            await asyncio.sleep(AGAIN_GAP_S)

    async def repeat_copies(self, target, count, rounds):
        """Send several copies of a request at the same time, again and again."""
        for _ in range(rounds):
            await asyncio.gather(*(self.send(target) for _ in range(count)))
            await asyncio.sleep(AGAIN_GAP_S)

    async def send_sound(self, kind, seconds):
        """Send requests of one kind, no two alike."""
        numbers = itertools.count(1)
        targets = (f"/{kind}/{number}" for number in numbers)
        await self.send_each(targets, seconds)

    async def send_each(self, targets, seconds):
        """Send requests without waiting for the answers in between."""
        tasks, end_s = [], now_s() + seconds
        for target in targets:
            if now_s() >= end_s:
                break
            own_part = target.replace("/", "a")
            tasks.append(asyncio.create_task(self.send(target, own_part=own_part)))
            await asyncio.sleep(SOUND_GAP_S)
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
