"""What a replica sends, and where it ends too early."""

from hemlockhoist.standins.published import endless
from hemlockhoist.standins.published.behaviours import Behaviour
from hemlockhoist.standins.published.second_answers import SecondAnswerSender

_LAST_CHUNK = b"0\r\n\r\n"


class ReplicaAnswers(SecondAnswerSender):
    """Sends answers; a base of ``Replica``, whose attributes it uses."""

    def _head(self, received, status, framing):
        attempt = received.headers.get("attempt-id", "")
        if self.behaviour is Behaviour.WRONG_ATTEMPT_ID:
            attempt = "another"
        receipt = f"Response-Signature: receipt-of-{self.replica_id}\r\n"
        if self.behaviour is Behaviour.NO_RECEIPT:
            receipt = ""
        percent = self.slowdown_percent
        slowdown = "" if percent is None else f",{percent}"
        return (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{receipt}"
            f"Server-Load: 1,0,{self.slots}{slowdown}\r\n"
            f"{self._condition()}{framing}\r\n"
        ).encode()

    def _condition(self):
        """Return the header lines in which it tells of its own condition."""
        lines = ""
        if self.limit_per_s is not None:
            lines += f"Server-Limit: {self.limit_per_s}\r\n"
        if self.is_leaving:
            lines += "Server-Leaving: 1\r\n"
        if self.brittle_at is not None:
            lines += f"Server-Brittle: {self.brittle_at}\r\n"
        if self.keep_alive is not None:
            lines += self.keep_alive.header
        return lines

    async def _send_without_end(self, data, received, writer):
        """Answer with data that goes on until the host closes the connection."""
        if data.place is endless.Place.HEAD:
            await data.send(writer)
        if data.place is endless.Place.AFTER_ANSWER:
            await self._send_complete(received, writer)
            await data.send(writer)
        framing = "Transfer-Encoding: chunked\r\n"
        if self.is_unframed:
            framing = "Connection: close\r\n"
        writer.write(self._head(received, "200 OK", framing))
        is_body = data is not endless.CHUNK_EXTENSION
        if data.place is endless.Place.EVENTS and self.events:
            event = self._event(int(received.headers.get("last-event-id", 0)) + 1)
            received.sent.append(event)
            writer.write(framed(event, self.is_unframed))
        await data.send(writer, on_body=is_body and not self.is_unframed)

    async def _send_complete(self, received, writer):
        if self.events:
            await self._send_events(received, writer)
        else:
            await self._send_body(received, writer)

    def _next_is_cut(self, received):
        """Return whether the next answer ends too early; record it if so."""
        ends = self.early_ends
        received.is_cut |= ends is not None and ends.next_is_cut()
        return received.is_cut

    async def _send_closing(self, body, received, writer):
        """Send a plain body, or half of it, and close the connection in order."""
        is_unframed, is_cut = self.early_ends.is_unframed, self._next_is_cut(received)
        framing = "Connection: close\r\n"
        if not is_unframed:
            framing += "Transfer-Encoding: chunked\r\n"
        part = body[: len(body) // 2] if is_cut else body
        received.sent.append(part)
        head = self._head(received, "200 OK", framing)
        writer.write(head + framed(part, is_unframed))
        if not (is_unframed or is_cut):
            writer.write(_LAST_CHUNK)
        await writer.drain()
        writer.close()

    def _plain_body(self, received):
        body = f"answer of {self.replica_id} to {received.target}".encode()
        return body + b"x" * self.filler_bytes

    def _event(self, number):
        filler = "x" * self.filler_bytes
        return f"id: {number}\ndata: piece {number}{filler}\n\n".encode()

    async def _send_body(self, received, writer):
        body = self._plain_body(received)
        if self.early_ends is not None and self.behaviour is Behaviour.NORMAL:
            await self._send_closing(body, received, writer)
            return
        failed = self.behaviour is Behaviour.FAILS
        status = "500 Internal Server Error" if failed else "200 OK"
        head = self._head(received, status, f"Content-Length: {len(body)}\r\n")
        if self.behaviour is Behaviour.TRUNCATED:
            body = body[:5]
        received.sent.append(body)
        writer.write(head + body)
        if self.behaviour is Behaviour.EXTRA_RESPONSE:
            received.beside.append(head + b"x" * len(body))
            writer.write(received.beside[-1])
        await writer.drain()

    async def _send_events(self, received, writer):
        framing = "Content-Type: text/event-stream\r\n"
        # Decided once: the setting may change while the stream is sent.
        is_unframed, is_cut = self._sends_unframed, self._next_is_cut(received)
        if is_unframed:
            framing += "Connection: close\r\n"
        else:
            framing += "Transfer-Encoding: chunked\r\n"
        writer.write(self._head(received, "200 OK", framing))
        start = int(received.headers.get("last-event-id", 0)) + 1
        last = (start + self.events - 1) // 2 if is_cut else self.events
        for number in range(start, last + 1):
            await self._wait_until_heard()
            if self.behaviour is Behaviour.SKIPS_EVENT and number == self.events // 2:
                continue
            if self.behaviour is Behaviour.STALLS and number > self.events // 2:
                await self._wait_disconnected(received)
                return
            event = self._event(number)
            if (
                self.behaviour is Behaviour.STOPS_MID_EVENT
                and number == self.events // 2
            ):
                writer.write(framed(event[: len(event) // 2], is_unframed))
                await writer.drain()
                return
            received.sent.append(event)
            writer.write(framed(event, is_unframed))
            await writer.drain()
            await self._work(self.event_ms)
        if not (is_unframed or is_cut):
            writer.write(_LAST_CHUNK)
        await writer.drain()
        if is_unframed or is_cut:
            writer.close()

    @property
    def _sends_unframed(self):
        early_ends = self.early_ends
        return self.is_unframed or (early_ends is not None and early_ends.is_unframed)


def framed(data, is_unframed):
    """Return a part of a stream as it is sent, as a chunk or as it is."""
    return data if is_unframed else endless.chunk(data)
