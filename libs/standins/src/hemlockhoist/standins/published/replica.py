"""A replica that answers as it is told, byte by byte, and notes what it ran."""

import asyncio
import contextlib
import enum

import msgspec

from hemlockhoist.base import MS_PER_S


class Behaviour(enum.Enum):
    """How a replica answers."""

    NORMAL = "well"
    FAILS = "answers 500"
    SHEDS = "says that it did not run the request"
    MISDIRECTED = "says that it is another run"
    NO_RECEIPT = "answers without a receipt"
    WRONG_ATTEMPT_ID = "answers another request"
    TRUNCATED = "closes before its answer is whole"
    RESETS = "runs the request and resets the connection"
    HANGS = "runs the request and never answers"
    STOPS_MID_EVENT = "stops in the middle of an event"
    SKIPS_EVENT = "leaves an event out"
    EXTRA_RESPONSE = "sends a second answer after the first"


class ReceivedRequest(msgspec.Struct):
    """A request as it reached a replica."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    closed: bool = False
    replica_id: str = ""
    started_s: float = 0.0


class Replica:
    """One replica; start it in a running event loop.

    Parameters
    ==========
    replica_id : str
    events : int
        Of a stream; 0 answers with one body.
    slots : int

    Attributes
    ==========
    behaviour : Behaviour
    delay_ms, event_ms : int
        Before the answer's head, and between events.
    ran : list of SeenRequest
        The requests that it began to work on.
    """

    def __init__(self, replica_id, events=0, slots=4):
        self.replica_id = replica_id
        self.events = events
        self.slots = slots
        self.behaviour = Behaviour.NORMAL
        self.delay_ms = 0
        self.event_ms = 0
        self.ran = []
        self.rejected = []
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a port of the kernel's choice."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Close the port and all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    def row(self, service, zone="a", version="v1", state="ready"):
        """Return what it says of itself in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": version,
            "slots": self.slots,
            "state": state,
            "sequence": 1,
            "cold_remaining_ms": 0,
            "born": 1,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await self._answer(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        started_s = asyncio.get_running_loop().time()
        seen = ReceivedRequest(
            method,
            target,
            headers,
            body,
            replica_id=self.replica_id,
            started_s=started_s,
        )
        if await self._reject(seen, writer):
            return
        self.ran.append(seen)
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        watch = asyncio.create_task(self._watch_close(reader, seen))
        try:
            await self._run(seen, writer)
        finally:
            watch.cancel()

    async def _watch_close(self, reader, seen):
        with contextlib.suppress(OSError):
            await reader.read(1)
        seen.closed = True

    async def _reject(self, seen, writer):
        expected = seen.headers.get("expected-instance", self.replica_id)
        if self.behaviour is Behaviour.SHEDS:
            status, extra = "503 Service Unavailable", "Not-Executed: 1\r\n"
        elif self.behaviour is Behaviour.MISDIRECTED or expected != self.replica_id:
            status, extra = "421 Misdirected Request", "Instance-Id: other\r\n"
        else:
            return False
        self.rejected.append(seen)
        text = f"HTTP/1.1 {status}\r\n{extra}Content-Length: 0\r\n\r\n"
        writer.write(text.encode())
        await writer.drain()
        return True

    async def _run(self, seen, writer):
        if self.behaviour is Behaviour.HANGS:
            while not seen.closed:
                await asyncio.sleep(0.01)
            return
        if self.behaviour is Behaviour.RESETS:
            writer.transport.abort()
            return
        if self.behaviour is Behaviour.FAILS or not self.events:
            await self._send_body(seen, writer)
        else:
            await self._send_events(seen, writer)

    def _head(self, seen, status, framing):
        attempt = seen.headers.get("attempt-id", "")
        if self.behaviour is Behaviour.WRONG_ATTEMPT_ID:
            attempt = "another"
        receipt = f"Response-Signature: receipt-of-{self.replica_id}\r\n"
        if self.behaviour is Behaviour.NO_RECEIPT:
            receipt = ""
        return (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{receipt}"
            f"Server-Load: 1,0,{self.slots}\r\n{framing}\r\n"
        ).encode()

    async def _send_body(self, seen, writer):
        body = f"answer of {self.replica_id} to {seen.target}".encode()
        failed = self.behaviour is Behaviour.FAILS
        status = "500 Internal Server Error" if failed else "200 OK"
        head = self._head(seen, status, f"Content-Length: {len(body)}\r\n")
        if self.behaviour is Behaviour.TRUNCATED:
            body = body[:5]
        writer.write(head + body)
        if self.behaviour is Behaviour.EXTRA_RESPONSE:
            writer.write(head + b"x" * len(body))
        await writer.drain()

    async def _send_events(self, seen, writer):
        framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(self._head(seen, "200 OK", framing))
        start = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(start, self.events + 1):
            if self.behaviour is Behaviour.SKIPS_EVENT and number == self.events // 2:
                continue
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if (
                self.behaviour is Behaviour.STOPS_MID_EVENT
                and number == self.events // 2
            ):
                half = event[: len(event) // 2]
                writer.write(b"%x\r\n" % len(half) + half + b"\r\n")
                await writer.drain()
                return
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_ms / MS_PER_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
