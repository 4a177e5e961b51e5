"""End-to-end tests of upstreams that end a connection within the head of an answer."""

import asyncio
import itertools
import socket
import struct

from hemlockhoist.base.testing import PausedSocketTestCase
from hemlockhoist.standins.published import Replica, Site, route

ROUTES = [
    route("read", "reservas", max_attempts=1),
    route("book", "reservas", kind="non_idempotent", max_attempts=1),
    route("chat", "reservas", kind="streaming", resumable=True, max_attempts=1),
]
FRAMINGS = {
    "length": b"Content-Length: 4\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
    "none": b"Connection: close\r\n",
    "empty": b"Content-Length: 0\r\n",
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
WHOLE = b"Content-Length: 4\r\nKeep-Alive: timeout=9\r\n"
# Every so many bytes of the head a cut is tried, and at the ends of its lines.
CUT_STEP_BYTES = 7
# An upstream whose answers fail gets no requests for a while.
PAUSE_S = 1.0
MAX_TRIES = 30


class CuttingReplica:
    """Answers one request wholly, or ends its connection within the head.

    Attributes
    ==========
    cut_bytes : int or None
        After how many bytes of its next answer the connection ends; None for whole.
    resets : bool
        Whether it is reset, and not closed.
    framing, before : bytes
        Headers of the answer's framing, and what precedes the head.
    cut_count : int
        Answers that were cut.
    """

    def __init__(self):
        self.cut_bytes = None
        self.resets = False
        self.framing = WHOLE
        self.before = b""
        self.cut_count = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def close(self):
        self._server.close()

    def row(self):
        host, port = self._server.sockets[0].getsockname()
        row = Replica("cut").row("reservas")
        return {**row, "address": f"{host}:{port}", "slots": 8}

    async def _serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        request = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = dict(
            line.split(": ", 1) for line in request.lower().split("\r\n")[1:] if line
        )
        await reader.readexactly(int(headers.get("content-length", 0)))
        head = self.before + answer_head(headers["attempt-id"], self.framing)
        if self.cut_bytes is None:
            writer.write(head + b"gone")
            return True
        self.cut_count += 1
        writer.write(head[: self.cut_bytes])
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False


def answer_head(attempt_id, framing):
    return (
        b"HTTP/1.1 200 OK\r\n"
        + f"Attempt-Id: {attempt_id}\r\n".encode()
        + b"Response-Signature: 3e1b.07.5a2\r\n"
        + b"Content-Type: text/event-stream\r\n"
        + framing
        + b"\r\n"
    )


def cuts(head):
    """Return after how many bytes of a head a cut is tried; never after all of them."""
    ends = [n for n in range(1, len(head)) if head[:n].endswith((b"\r", b"\r\n"))]
    return sorted({*range(1, len(head) - 1, CUT_STEP_BYTES), *ends})


class CutHeadCase(PausedSocketTestCase):
    kept_connections = 0
    before = (b"", INTERIM)

    async def asyncSetUp(self):
        self.replica = CuttingReplica()
        await self.replica.start()
        self.addAsyncCleanup(self.replica.close)
        site = Site(
            {"reservas": []},
            ROUTES,
            settings={"kept_connections": self.kept_connections},
        )
        self.site = await self.enterAsyncContext(site)
        await self.site.store.put("servers", "cut", self.replica.row())
        self.numbers = itertools.count(1)

    async def send(self, path, method):
        """Send a request; return its status and the bytes of the body that came."""
        attempt_id = f"{next(self.numbers):016x}"
        body = b"x" if method == "POST" else None
        async with self.site.call(
            path, 0, method, body, Attempt_Id=attempt_id
        ) as answer:
            return answer.status, await answer.read()

    async def send_cut(self, path, method):
        """Send requests until one has met a cut; return the statuses."""
        statuses, count = [], self.replica.cut_count
        for _ in range(MAX_TRIES):
            await self.prepare(path, method)
            status, _ = await self.send(path, method)
            statuses.append(status)
            if self.replica.cut_count > count:
                return statuses
            await asyncio.sleep(PAUSE_S)
        self.fail(f"no request was sent: {statuses}")
        return None

    async def prepare(self, path, method):
        """Prepare the connection by which the next request is sent."""

    async def check_never_whole(self, path, method):
        for name, framing in FRAMINGS.items():
            for before, resets in itertools.product(self.before, (False, True)):
                head = before + answer_head(f"{0:016x}", framing)
                for cut_bytes in cuts(head):
                    self.cut = (framing, before, resets, cut_bytes)
                    self.set_cut()
                    with self.subTest(name, cut=cut_bytes, resets=resets):
                        statuses = await self.send_cut(path, method)
                        self.assertEqual([s for s in statuses if s < 400], [])

    def set_cut(self):
        replica = self.replica
        replica.framing, replica.before, replica.resets, replica.cut_bytes = self.cut


class CutHeadTests(CutHeadCase):
    """Each request has its own connection."""

    async def test_call_gets_no_whole_answer(self):
        """Guards against a 200 with an empty or short body that is framed as whole."""
        await self.check_never_whole("/read/1", "GET")

    async def test_call_that_may_not_be_repeated_gets_no_whole_answer(self):
        """Guards against a booking that is confirmed by half a head."""
        await self.check_never_whole("/book/1", "POST")

    async def test_stream_gets_no_whole_answer(self):
        """Guards against a stream that ends as complete before it began."""
        await self.check_never_whole("/chat/1", "POST")


class KeptConnectionCutHeadTests(CutHeadCase):
    """The cut comes on a connection on which an answer was whole."""

    kept_connections = 10
    before = (b"",)

    async def prepare(self, path, method):
        replica = self.replica
        replica.framing, replica.before, replica.cut_bytes = WHOLE, b"", None
        for _ in range(MAX_TRIES):
            status, _ = await self.send("/read/9", "GET")
            if status == 200:
                break
            await asyncio.sleep(PAUSE_S)
        self.set_cut()

    async def test_call_gets_no_whole_answer(self):
        """Guards against the rest of an earlier answer that passes for this one."""
        await self.check_never_whole("/read/1", "GET")
