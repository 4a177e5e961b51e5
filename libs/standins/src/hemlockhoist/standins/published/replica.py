"""A replica with configurable faults that records the requests it ran."""

import asyncio
import contextlib

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.published.behaviours import (
    ENDLESS_DATA,
    Behaviour,
    CrashMoment,
    ReceivedRequest,
)
from hemlockhoist.standins.published.replica_answers import ReplicaAnswers, framed


class Replica(ReplicaAnswers):
    """An HTTP server that stands in for a replica; needs a running event loop.

    Parameters
    ==========
    replica_id : str
    events : int
        Number of events of a stream; 0 for an answer with a plain body.
    slots : int
        Capacity announced in rows and responses.

    Attributes
    ==========
    behaviour : Behaviour
    delay_ms, event_ms : int
        Delay before the response head, and between events.
    ran : list of ReceivedRequest
        The requests that it began to run.
    rejected : list of ReceivedRequest
        The requests that it answered without running them.
    limit_per_s : float or str, optional
        The limit on requests per second that it names in its answers; None for none.
    rest_s : float or str, optional
        The rest that it asks for when it turns a request away; None for none.
    rests : list of (ReceivedRequest, float)
        The rejected requests for which it asked for rest, and for how long, in seconds.
    slowdown_percent : int or str, optional
        How long it takes in percent of ``delay_ms`` and ``event_ms``, and the fourth
        figure of its load. It takes the usual time with a text, which it reports as it
        is, and with None, when it reports nothing.
    is_leaving : bool
        Whether it says in its answers that it leaves.
    leaving_s : float or None
        Since when it says so, if it was told to by ``announce_leaving``.
    brittle_at : float or str, optional
        How many requests it bears to turn away in a second; it says so in its answers,
        lets no request wait, and falls over at one more. None if it is not brittle.
    down_s : float
        For how long it is down after a fall.
    falls : list of float
        When it fell over.
    crashing_parts : set of str
        Parts of prompts on which it ends as it begins to answer; not if one is last.
    crashing_targets : set of str
        Targets of requests on which it ends whenever it runs one.
    crash_moment : CrashMoment
    crash_after_events : int
        Number of events that it sends first, with ``CrashMoment.AFTER_EVENTS``.
    crash_delay_ms : int
        Delay before the end on a target, besides ``delay_ms``.
    is_spared : callable
        ``is_spared(received)`` returns whether a run on one of ``crashing_targets``
        ends well.
    crashes : list of (float, str)
        When it ended on such a part or target, and on which.
    on_crash : callable
        Called without arguments when it ends.
    on_restart : coroutine function
        Called after it has started again at its address.
    is_unframed : bool
        Whether its streams have neither a length nor chunks, and end with their
        connection.
    early_ends : EarlyEnds or None
        Which of its answers it closes before their end.
    second_answers : SecondAnswers or None
        Which of its answers come with a second one.
    filler_bytes : int
        Bytes that are added to each event of its streams, or to a plain body.
    is_silent : bool
        Whether it sends nothing for the time being, although it works.
    keep_alive : KeepAlive or None
        How it keeps connections open after its answers; None if it closes them.
    connection_count : int
        Connections that it accepted.
    sender_of : callable
        Takes the port of a connection, and returns the address of the host that it is
        of, or an empty text.
    """

    def __init__(self, replica_id, events=0, slots=4):
        self.replica_id = replica_id
        self.events = events
        self.slots = slots
        self.behaviour = Behaviour.NORMAL
        self.delay_ms = 0
        self.event_ms = 0
        self.limit_per_s = None
        self.rest_s = None
        self.rests = []
        self.slowdown_percent = None
        self.is_leaving = False
        self.leaving_s = None
        self.brittle_at = None
        self.down_s = 1.0
        self.falls = []
        self.crashing_parts = set()
        self.crashing_targets = set()
        self._targets_of_end = set()
        self.crash_after_events = 3
        self.crash_delay_ms = 0
        self.is_spared = lambda received: False
        self.crash_moment = CrashMoment.BEFORE_HEAD
        self.crashes = []
        self.on_crash = lambda: None
        self.on_restart = None
        self.is_unframed = False
        self.early_ends = None
        self.second_answers = None
        # Those that are sent while their connection takes further requests.
        self._late_tasks = set()
        self.filler_bytes = 0
        self.is_silent = False
        self.is_dark = False
        self.keep_alive = None
        self.connection_count = 0
        self.sender_of = lambda port: ""
        # The requests that run, by task.
        self._running = {}
        self._turned_away_s = []
        self._restart = None
        self.ran = []
        self.rejected = []
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening and abort all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self.is_dark = False
        self._stop()
        await self._server.wait_closed()

    def _stop(self):
        self._server.close()
        for received in self._running.values():
            received.is_cut |= not received.closed
        for writer in self._writers:
            writer.transport.abort()

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._writers)

    def _fall_over(self):
        """End on too many requests that were turned away."""
        self.falls.append(asyncio.get_running_loop().time())
        self.crash()

    def crash(self):
        """End all connections, and listen again at the same address after a while."""
        self._turned_away_s.clear()
        for task in self._running:
            task.cancel()
        self._stop()
        self.on_crash()
        self._restart = asyncio.create_task(self._listen_again())

    async def _listen_again(self):
        await asyncio.sleep(self.down_s)
        self._targets_of_end.clear()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        if self.on_restart is not None:
            await self.on_restart()

    def _crash_cause(self, received):
        """Return the target or the part on which it ends, or None."""
        if received.target in self.crashing_targets:
            return None if self.is_spared(received) else received.target
        *shared, _ = received.headers.get("prefix-hash", "").split(",")
        names = (part.partition(":")[0] for part in shared)
        return next((name for name in names if name in self.crashing_parts), None)

    async def _crash_on(self, cause, received, writer):
        """End while it answers a request that crashes it."""
        received.is_cut = True
        await self._work(self.crash_delay_ms)
        if self.crash_moment is CrashMoment.AFTER_EVENTS:
            await self._send_begin(received, writer)
        # Copies of one request that run here end the replica once.
        if cause not in self._targets_of_end:
            self.crashes.append((asyncio.get_running_loop().time(), cause))
        if cause in self.crashing_targets:
            self._targets_of_end.add(cause)
        if self.crash_moment in (CrashMoment.BEFORE_EVENT, CrashMoment.IN_EVENT):
            framing = "Content-Type: text/event-stream\r\nConnection: close\r\n"
            writer.write(self._head(received, "200 OK", framing))
            if self.crash_moment is CrashMoment.IN_EVENT:
                writer.write(b"id: 1\nda")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
        self.crash()
        # The task has been cancelled, with all others.
        await asyncio.sleep(0)

    async def _send_begin(self, received, writer):
        """Send some events of a stream, or a part of a plain body."""
        if not self.events:
            framing = "Content-Length: 100\r\n"
            received.sent.append(b"begun")
            writer.write(self._head(received, "200 OK", framing) + b"begun")
        else:
            framing = "Content-Type: text/event-stream\r\n"
            framing += "Transfer-Encoding: chunked\r\n"
            writer.write(self._head(received, "200 OK", framing))
            start = int(received.headers.get("last-event-id", 0)) + 1
            for number in range(start, start + self.crash_after_events):
                event = self._event(number)
                received.sent.append(event)
                writer.write(framed(event, is_unframed=False))
                await self._work(self.event_ms)
        await writer.drain()
        # Until the host has read it.
        await self._work(self.event_ms)

    def announce_leaving(self):
        """Say in all answers from now on that it leaves."""
        self.is_leaving = True
        self.leaving_s = asyncio.get_running_loop().time()

    def row(self, service, zone="a", version="v1", state="ready"):
        """Return the row by which it registers itself in the store."""
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
        self.connection_count += 1
        ended = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)
        with contextlib.suppress(*ended):
            pushed_back = await self._answer(reader, writer)
            while self._keeps_open(writer):
                if not pushed_back:
                    pushed_back = await self.keep_alive.wait_for_request(reader, writer)
                if not pushed_back:
                    break
                pushed_back = await self._answer(reader, writer, pushed_back)
            while self.is_dark:
                await asyncio.sleep(0.01)
        self._writers.discard(writer)
        writer.close()

    def _keeps_open(self, writer):
        is_kept = self.keep_alive is not None and not self.is_dark
        return is_kept and not writer.is_closing()

    def go_dark(self):
        """Accept no new connections, and neither read nor send on the open ones."""
        self.is_dark = True
        self._server.close()

    async def _answer(self, reader, writer, begun=b""):
        """Answer the next request; return what was read of the one after it."""
        head = (begun + await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        started_s = asyncio.get_running_loop().time()
        received = ReceivedRequest(
            method,
            target,
            headers,
            body,
            replica_id=self.replica_id,
            started_s=started_s,
            sender=self.sender_of(writer.get_extra_info("peername")[1]),
        )
        if await self._reject(received, writer):
            return b""
        self.ran.append(received)
        task = asyncio.current_task()
        self._running[task] = received
        try:
            watcher = asyncio.create_task(self._detect_disconnect(reader, received))
            try:
                await self._work(self.delay_ms)
                await self._respond(received, writer)
            finally:
                watcher.cancel()
            await asyncio.wait([watcher])
        finally:
            self._running.pop(task, None)
        return b"" if watcher.cancelled() else watcher.result()

    async def _work(self, usual_ms):
        percent = self.slowdown_percent
        factor = percent / 100 if isinstance(percent, int) else 1.0
        await asyncio.sleep(factor * usual_ms / MS_PER_S)

    async def _detect_disconnect(self, reader, received):
        data = b""
        with contextlib.suppress(OSError):
            data = await reader.read(1)
        received.closed = not data
        return data

    async def _reject(self, received, writer):
        expected = received.headers.get("expected-instance", self.replica_id)
        if self.behaviour is Behaviour.SHEDS:
            status, extra = "503 Service Unavailable", "Not-Executed: 1\r\n"
            if self.rest_s is not None:
                extra += f"Retry-After: {self.rest_s}\r\n"
                self.rests.append((received, self.rest_s))
        elif self.brittle_at is not None and len(self._running) >= self.slots:
            status, extra = "503 Service Unavailable", "Not-Executed: 1\r\n"
            self._count_turned_away()
        elif self.behaviour is Behaviour.MISDIRECTED or expected != self.replica_id:
            status, extra = "421 Misdirected Request", "Instance-Id: other\r\n"
        else:
            return False
        self.rejected.append(received)
        extra += self._condition()
        text = f"HTTP/1.1 {status}\r\n{extra}Content-Length: 0\r\n\r\n"
        writer.write(text.encode())
        await writer.drain()
        return True

    def _count_turned_away(self):
        now_s = asyncio.get_running_loop().time()
        recent = [at_s for at_s in self._turned_away_s if now_s - at_s < 1.0]
        self._turned_away_s = [*recent, now_s]
        if len(self._turned_away_s) > float(self.brittle_at):
            self._fall_over()

    async def _wait_until_heard(self):
        while self.is_silent:
            await asyncio.sleep(0.01)

    async def _respond(self, received, writer):
        await self._wait_until_heard()
        cause = self._crash_cause(received)
        if cause is not None:
            await self._crash_on(cause, received, writer)
            return
        if self.behaviour is Behaviour.HANGS:
            await self._wait_disconnected(received)
            return
        if self.behaviour is Behaviour.RESETS:
            writer.transport.abort()
            return
        data = ENDLESS_DATA.get(self.behaviour)
        if data is not None:
            await self._send_without_end(data, received, writer)
            return
        second = None
        if self.second_answers is not None and self.behaviour is Behaviour.NORMAL:
            second = self.second_answers.next(self.events > 0)
        if second is not None:
            await self._send_with_second(second, received, writer)
        elif self.behaviour is Behaviour.FAILS or not self.events:
            await self._send_body(received, writer)
        else:
            await self._send_events(received, writer)

    async def _wait_disconnected(self, received):
        while not received.closed:
            await asyncio.sleep(0.01)
