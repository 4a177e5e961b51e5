"""Replicas that send a second answer on the connection of their first one."""

import asyncio
import enum

import msgspec

from hemlockhoist.standins.published.endless import chunk

_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_UNFRAMED = "Connection: close\r\n"
_EVENTS = "Content-Type: text/event-stream\r\n"
_PLAIN_BODY = b"second answer"
# How long after its first answer a replica sends a late one: while the host still waits
# for the end, while the connection is idle, and while it carries another request.
_LATE_S = (0.02, 0.4)
# How long a connection stays open behind all that is sent.
_OPEN_S = (0.0, 0.1, 1.0)


class SecondKind(enum.Enum):
    """What a second answer consists of."""

    COPY = "copy of the first"
    NEXT_EVENTS = "goes on with the next event's number"
    PLAIN = "plain body"
    BARE = "plain body, none of the platform's headers"
    NO_BODY = "no body"
    EARLIER = "answer to a request that ran before"


class SecondPlace(enum.Enum):
    """Where on the connection a second answer is sent."""

    BEHIND = "right behind the first"
    LATE = "some time behind the first"
    BETWEEN = "between two events"
    WITHIN = "in the middle of an event, or of a plain body"


_PLACES_BEHIND = (SecondPlace.BEHIND, SecondPlace.LATE)


class SecondAnswer(msgspec.Struct, frozen=True):
    """A second answer, and the first one that it comes with.

    Parameters
    ==========
    kind : SecondKind
    place : SecondPlace
    is_unframed : bool
        Whether the first answer has neither a length nor chunks.
    share : float
        The share of the first answer's parts that are sent before.
    late_s, open_s : float
        Pause before a late one, and time for which the connection then stays open.
    """

    kind: SecondKind
    place: SecondPlace
    is_unframed: bool
    share: float = 0.5
    late_s: float = 0.0
    open_s: float = 0.0

    def index(self, part_count):
        """Return the part of the first answer in or before which it is sent."""
        if self.place in _PLACES_BEHIND:
            return part_count
        return int(self.share * part_count)


class SecondAnswers:
    """Which answers of a replica a second one comes with.

    Parameters
    ==========
    rng : random.Random
    is_unframed : bool
        Whether these answers have neither a length nor chunks. Only then second ones are
        sent within them.
    every : int
        One in so many answers.
    """

    def __init__(self, rng, is_unframed, every):
        self._rng = rng
        self._is_unframed = is_unframed
        self._every = every
        self._count = 0

    def next(self, has_events):
        """Return the ``SecondAnswer`` that comes with the next answer, or None."""
        self._count += 1
        if self._count % self._every:
            return None
        rng = self._rng
        places = _PLACES_BEHIND
        if self._is_unframed:
            places += (SecondPlace.WITHIN,)
            places += (SecondPlace.BETWEEN,) * has_events
        return SecondAnswer(
            rng.choice(tuple(SecondKind)),
            rng.choice(places),
            self._is_unframed,
            rng.random(),
            rng.uniform(*_LATE_S),
            rng.choice(_OPEN_S),
        )


class SecondAnswerSender:
    """Sends second answers; a base of ``Replica``, whose attributes it uses."""

    async def _send_with_second(self, second, received, writer):
        """Send an answer, and a second one within or behind it."""
        parts = self._own_parts(received)
        writer.write(self._own_head(second, parts, received))
        index = second.index(len(parts))
        for number, part in enumerate(parts):
            await self._wait_until_heard()
            if number == index:
                self._write_around(second, part, received, writer)
            elif second.is_unframed or not self.events:
                writer.write(part)
            else:
                writer.write(chunk(part))
            received.sent.append(part)
            await writer.drain()
            await self._work(self.event_ms)
        if self.events and not second.is_unframed:
            writer.write(_LAST_CHUNK)
        await self._send_behind(second, received, writer)

    def _write_around(self, second, part, received, writer):
        """Send a part of an unframed answer with the second answer before or in it."""
        middle = 0 if second.place is SecondPlace.BETWEEN else len(part) // 2
        writer.write(part[:middle])
        self._write_second(second, received, writer)
        writer.write(part[middle:])

    async def _send_behind(self, second, received, writer):
        is_kept = not second.is_unframed and self.keep_alive is not None
        if second.place is SecondPlace.BEHIND:
            self._write_second(second, received, writer)
        await writer.drain()
        if second.place is SecondPlace.LATE and is_kept:
            # The connection takes further requests meanwhile.
            task = asyncio.create_task(self._send_late(second, received, writer))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
        elif second.place is SecondPlace.LATE:
            await self._send_late(second, received, writer)
        if not is_kept:
            await self._hold_open(second.open_s, received)
            writer.close()

    async def _send_late(self, second, received, writer):
        await asyncio.sleep(second.late_s)
        if not writer.is_closing():
            self._write_second(second, received, writer)

    async def _hold_open(self, open_s, received):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + open_s
        while loop.time() < end_s and not received.closed:
            await asyncio.sleep(0.01)

    def _write_second(self, second, received, writer):
        data = self._second_bytes(second, received)
        received.beside.append(data)
        writer.write(data)

    def _own_parts(self, received):
        """Return the events of a stream, or a plain body."""
        if not self.events:
            return [self._plain_body(received)]
        start = int(received.headers.get("last-event-id", 0)) + 1
        return [self._event(number) for number in range(start, self.events + 1)]

    def _own_head(self, second, parts, received):
        framing = _EVENTS if self.events else ""
        if second.is_unframed:
            framing += _UNFRAMED
        elif self.events:
            framing += _CHUNKED
        else:
            framing += f"Content-Length: {len(parts[0])}\r\n"
        return self._head(received, "200 OK", framing)

    def _second_bytes(self, second, received):
        """Return a second answer, from its status line to its end."""
        kind = second.kind
        if kind is SecondKind.COPY:
            return self._copy(second, received)
        if kind is SecondKind.NEXT_EVENTS and self.events:
            return self._next_events(second, received)
        earlier = self._ended_before(received)
        if kind is SecondKind.EARLIER and earlier is not None:
            return self._whole_answer(earlier)
        body = b"" if kind is SecondKind.NO_BODY else _PLAIN_BODY
        framing = f"Content-Length: {len(body)}\r\n"
        if kind is SecondKind.BARE:
            return f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode() + body
        return self._head(received, "200 OK", framing) + body

    def _ended_before(self, received):
        """Return the last run of another request that has ended, or None.

        One that still runs may have been sent over the same connection: no host could
        tell its answer from the run's own.
        """
        attempt_id = received.headers.get("attempt-id")
        running = {id(item) for item in self._running.values()}
        for item in reversed(self.ran):
            is_before = item.started_s < received.started_s
            is_other = item.headers.get("attempt-id") != attempt_id
            if is_before and is_other and id(item) not in running:
                return item
        return None

    def _copy(self, second, received):
        parts = self._own_parts(received)
        head = self._own_head(second, parts, received)
        if second.is_unframed or not self.events:
            return head + b"".join(parts)
        return head + b"".join(map(chunk, parts)) + _LAST_CHUNK

    def _next_events(self, second, received):
        first = int(received.headers.get("last-event-id", 0)) + 1
        number = first + second.index(len(self._own_parts(received)))
        head = self._head(received, "200 OK", _EVENTS + _UNFRAMED)
        return head + _marked_event(number) + _marked_event(number + 1)

    def _whole_answer(self, received):
        """Return a whole answer to a request; the events of a stream are marked."""
        if not self.events:
            body = self._plain_body(received)
            framing = f"Content-Length: {len(body)}\r\n"
            return self._head(received, "200 OK", framing) + body
        head = self._head(received, "200 OK", _EVENTS + _CHUNKED)
        events = map(_marked_event, range(1, self.events + 1))
        return head + b"".join(map(chunk, events)) + _LAST_CHUNK


def _marked_event(number):
    """Return an event that differs from all those of first answers."""
    return b"id: %d\ndata: piece %d of a second answer\n\n" % (number, number)
