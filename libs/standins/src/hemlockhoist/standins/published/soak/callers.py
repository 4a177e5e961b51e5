"""Callers of the soak: what they sent, and what they saw."""

import asyncio
import itertools
import random

import aiohttp
import msgspec

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.published.site import HOST_NAME

PAUSE_S = 0.03
# A caller goes away in the middle of its answer once in so many requests.
LEAVES_EVERY = 25
LEAVE_AFTER_S = 0.03


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request.

    Parameters
    ==========
    path, method : str
    is_idempotent : bool
        Whether it may run more than once.
    is_stream : bool
    """

    path: str
    method: str
    is_idempotent: bool
    is_stream: bool


REQUEST_KINDS = (
    RequestKind("check-free", "GET", True, False),
    RequestKind("book-hall", "POST", False, False),
    RequestKind("report", "POST", True, True),
    RequestKind("summary", "POST", False, True),
)


class Call(msgspec.Struct):
    """One request, and its end.

    Parameters
    ==========
    attempt_id, key, host : str
    kind : Kind
    sent_s, ended_s : float
        On the run's clock; ``ended_s`` is 0 while it is under way.
    status : int
        0 where no answer came.
    receipt, body : str and bytes
    is_complete : bool
        Whether the answer ended as complete.
    disconnects : bool
        Whether its caller left early.
    """

    attempt_id: str
    kind: RequestKind
    key: str
    host: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    receipt: str = ""
    body: bytes = b""
    is_complete: bool = False
    disconnects: bool = False


class Callers:
    """A few tasks that send requests one after the other.

    Open connections are used until they end, also to hosts that stop.

    Parameters
    ==========
    hosts : callable
        ``hosts()`` gives the addresses to send to.
    keys : list of str
        Those that may be used; taken-away ones are tried now and then as well.
    count : int
    rng : random.Random
    """

    def __init__(self, hosts, keys, count, rng):
        self.calls = []
        self.keys = keys
        self.revoked_keys = []
        self._hosts = hosts
        self._count = count
        self._rng = rng
        self._numbers = itertools.count(1)
        self._stopped = False
        self._tasks = []

    async def start(self):
        """Begin to send."""
        self._tasks = [asyncio.create_task(self._send_on()) for _ in range(self._count)]

    async def finish(self):
        """Send no more, and wait for the last answers."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def close(self):
        """End at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_on(self):
        rng = random.Random(self._rng.random())
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            while not self._stopped:
                await self._send(session, rng)
                await asyncio.sleep(PAUSE_S * rng.random())

    async def _send(self, session, rng):
        hosts = self._hosts()
        if not hosts:
            return
        call = self._new_call(rng, hosts)
        self.calls.append(call)
        headers = {
            "Host": HOST_NAME,
            "Attempt-Id": call.attempt_id,
            "Deadline-Ms": "2500",
            "Authorization": f"Bearer {call.key}",
        }
        url = f"http://{call.host}/{call.kind.path}/{call.attempt_id}"
        limit_s = LEAVE_AFTER_S if call.disconnects else 10.0
        try:
            async with (
                asyncio.timeout(limit_s),
                session.request(
                    call.kind.method, url, headers=headers, data=b"x" * 200
                ) as answer,
            ):
                call.status = answer.status
                call.receipt = answer.headers.get("Response-Signature", "")
                call.body = await answer.read()
                call.is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # What such an end may mean is judged from what the replicas ran.
            pass
        call.ended_s = now_s()

    def _new_call(self, rng, hosts):
        number = next(self._numbers)
        keys = self.keys
        if self.revoked_keys and number % 5 == 0:
            keys = self.revoked_keys
        return Call(
            attempt_id=f"c{number}",
            kind=rng.choice(REQUEST_KINDS),
            key=rng.choice(keys),
            host=rng.choice(hosts),
            sent_s=now_s(),
            disconnects=number % LEAVES_EVERY == 0,
        )


def now_s():
    """Return the run's clock."""
    return asyncio.get_running_loop().time()


def elapsed_ms(start_s, end_s):
    """Return the milliseconds between two moments."""
    return (end_s - start_s) * MS_PER_S
