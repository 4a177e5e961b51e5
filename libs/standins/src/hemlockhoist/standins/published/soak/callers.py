"""Callers of the soak test, which record their requests and the answers."""

import asyncio
import itertools
import random

import aiohttp
import msgspec
from aiohttp import HttpVersion10, HttpVersion11

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.published.site import HOST_NAME
from hemlockhoist.standins.published.soak.answer_ends import (
    AnswerEnd,
    new_connector,
    read_all,
)

MAX_REQUEST_GAP_S = 0.03
# Time limit that each request names.
CALLER_DEADLINE_MS = 2_500
# One task in so many sends requests of HTTP/1.0, whose streams have no chunks.
OLD_CALLER_EVERY = 4
# One in this many requests only tests whether a route is in force.
PROBE_EVERY = 4
# One in this many requests is abandoned by its caller before the answer is complete.
DISCONNECT_EVERY = 25
DISCONNECT_AFTER_S = 0.03
# One in this many requests has the part that crashes replicas, if it is a stream.
GUILTY_EVERY = 9
# One in this many is the request that ends replicas, sent again.
REPEATED_EVERY = 7
BODY = b"x" * 200
SUBJECT_COUNT = 20


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request.

    Parameters
    ==========
    path, method, service : str
    is_idempotent : bool
        Whether it may run more than once.
    is_stream : bool
    """

    path: str
    method: str
    service: str
    is_idempotent: bool
    is_stream: bool


REQUEST_KINDS = (
    RequestKind("check-free", "GET", "reservas", True, False),
    RequestKind("book-hall", "POST", "reservas", False, False),
    RequestKind("report", "POST", "asistente", True, True),
    RequestKind("summary", "POST", "asistente", False, True),
)


class Call(msgspec.Struct):
    """A request and its outcome.

    Parameters
    ==========
    attempt_id, key, host : str
    kind : RequestKind
    sent_s, ended_s : float
        On the clock of the event loop; ``ended_s`` is 0 while in progress.
    status : int
        0 without an answer.
    receipt, body : str and bytes
        The body is all that was received of it, also of an answer that broke off.
    is_complete : bool
        Whether the answer was received to its end.
    end : AnswerEnd
        How the end of the answer was known.
    disconnects : bool
        Whether the caller abandons the request early.
    parts : str
        The parts of its prompt and their tokens, as in its header; empty for none.
    is_guilty : bool
        Whether it, or one of them, crashes replicas.
    name : str
        The rest of its path; empty for the id.
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
    parts: str = ""
    is_guilty: bool = False
    name: str = ""
    end: AnswerEnd = AnswerEnd.NONE


class Callers:
    """Tasks that send requests one after the other.

    Connections are reused until they are closed, also those to stopping hosts.

    Parameters
    ==========
    hosts : callable
        ``hosts()`` returns the addresses to send to.
    keys : list of str
        The valid keys; one request in 5 uses a revoked key, if there is one.
    count : int
        Number of tasks.
    rng : random.Random
    max_gap_s : float, optional
        Longest pause of a task between two requests.
    """

    def __init__(self, hosts, keys, count, rng, max_gap_s=MAX_REQUEST_GAP_S):
        self._max_gap_s = max_gap_s
        self.calls = []
        # Bytes on callers' connections that belong to no answer.
        self.surplus = []
        self.keys = keys
        self.revoked_keys = []
        # A part of prompts that crashes replicas, and is sent now and then, or None.
        self.guilty_part = None
        # A ``RepeatedRequest`` that ends replicas, and is sent again, or None.
        self.repeated = None
        # The paths of routes that were added lately.
        self.probe_paths = []
        self._hosts = hosts
        self._count = count
        self._rng = rng
        self._numbers = itertools.count(1)
        self._stopped = False
        self._tasks = []

    async def start(self):
        """Start the tasks."""
        self._tasks = [
            asyncio.create_task(self._send_repeatedly(number % OLD_CALLER_EVERY == 1))
            for number in range(self._count)
        ]

    async def finish(self):
        """Stop sending, and wait for the last answers."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def close(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_repeatedly(self, is_old):
        rng = random.Random(self._rng.random())
        async with aiohttp.ClientSession(
            connector=new_connector(self.surplus.append),
            auto_decompress=False,
            version=HttpVersion10 if is_old else HttpVersion11,
        ) as session:
            while not self._stopped:
                await self._send(session, rng)
                await asyncio.sleep(self._max_gap_s * rng.random())

    async def _send(self, session, rng):
        hosts = self._hosts()
        if not hosts:
            return
        call = self._new_call(rng, hosts)
        self.calls.append(call)
        headers = {
            "Host": HOST_NAME,
            "Attempt-Id": call.attempt_id,
            "Deadline-Ms": str(CALLER_DEADLINE_MS),
        }
        if call.key:
            headers["Authorization"] = f"Bearer {call.key}"
        if call.parts:
            headers["Prefix-Hash"] = call.parts
        url = f"http://{call.host}/{call.kind.path}/{call.name or call.attempt_id}"
        timeout_s = DISCONNECT_AFTER_S if call.disconnects else 10.0
        received = []
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.request(
                    call.kind.method, url, headers=headers, data=BODY
                ) as answer,
            ):
                call.status, call.end = answer.status, AnswerEnd.BROKEN
                call.receipt = answer.headers.get("Response-Signature", "")
                await read_all(answer, received)
                call.is_complete = True
                call.end = AnswerEnd.of_whole(answer.headers)
        except TimeoutError:
            if call.end is AnswerEnd.BROKEN:
                call.end = AnswerEnd.ABANDONED
        except (aiohttp.ClientError, OSError):
            # The checks compare such an outcome with the requests that replicas ran.
            pass
        call.body = b"".join(received)
        call.ended_s = now_s()

    def _new_call(self, rng, hosts):
        number = next(self._numbers)
        keys = self.keys
        if self.revoked_keys and number % 5 == 0:
            keys = self.revoked_keys
        kind = rng.choice(REQUEST_KINDS)
        if self.probe_paths and number % PROBE_EVERY == 1:
            path = rng.choice(self.probe_paths)
            kind = RequestKind(path, "GET", "reservas", True, False)
            # Without a key, a host serves it however old its routes are.
            keys = [""]
        is_guilty = self.guilty_part is not None and number % GUILTY_EVERY == 0
        repeated = self.repeated
        if repeated is not None and number % REPEATED_EVERY == 0:
            return self._repeated_call(repeated, number, rng.choice(hosts))
        return Call(
            parts=self._parts(number, is_guilty) if kind.is_stream else "",
            is_guilty=is_guilty and kind.is_stream,
            attempt_id=f"c{number}",
            kind=kind,
            key=rng.choice(keys),
            host=rng.choice(hosts),
            sent_s=now_s(),
            disconnects=number % DISCONNECT_EVERY == 0,
        )

    def _repeated_call(self, repeated, number, host):
        kinds = {kind.path: kind for kind in REQUEST_KINDS}
        return Call(
            parts=repeated.parts,
            is_guilty=True,
            attempt_id=f"c{number}",
            kind=kinds[repeated.path],
            key=repeated.key,
            host=host,
            sent_s=now_s(),
            name=repeated.name,
        )

    def _parts(self, number, is_guilty):
        """Return the parts of a prompt: common, of a subject, and its own."""
        subject = f"5e55{number % SUBJECT_COUNT:02x}"
        if is_guilty:
            subject = self.guilty_part
        return f"c0de:60,{subject}:200,{number:x}:90"


def now_s():
    """Return the time on the clock of the event loop."""
    return asyncio.get_running_loop().time()


def elapsed_ms(start_s, end_s):
    """Return the milliseconds between two times in seconds."""
    return (end_s - start_s) * MS_PER_S
