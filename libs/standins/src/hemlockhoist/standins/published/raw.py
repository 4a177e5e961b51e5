"""Answers byte by byte: a replica that sends any, and a caller that hides nothing."""

import asyncio
import re

import msgspec

from hemlockhoist.standins.published.behaviours import ReceivedRequest
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import HOST_NAME, KEY

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
_READ_BYTES = 65_536
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: |$)")


class RawReplica(Replica):
    """A replica whose answers are sent by a function.

    Parameters
    ==========
    replica_id : str
    send : coroutine function
        ``send(received, writer)`` writes the answer to a request, and may end the
        connection.
    reads_body : bool, optional
        Whether it reads a request's body before it answers.
    """

    def __init__(self, replica_id, send, reads_body=True, **options):
        super().__init__(replica_id, **options)
        self._send = send
        self._reads_body = reads_body

    async def _answer(self, reader, writer, begun=b""):
        if self._reads_body:
            return await super()._answer(reader, writer, begun)
        head = (await reader.readuntil(HEAD_END)).decode()
        first, *lines = head.rstrip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        received = ReceivedRequest(method, target, headers, b"", False, self.replica_id)
        self.ran.append(received)
        await self._send(received, writer)
        return b""

    async def _respond(self, received, writer):
        await self._send(received, writer)

    def stop_listening(self):
        """Accept no more connections, as if its process had ended."""
        self._server.close()

    def head(self, received, status="200 OK", framing=""):
        """Return the bytes of an ordinary head, with further header lines."""
        return self._head(received, status, framing)


class RawAnswer(msgspec.Struct, frozen=True):
    """What a caller received on a connection until its end.

    Parameters
    ==========
    data : bytes
    is_reset : bool
        Whether the connection ended with an error.
    """

    data: bytes
    is_reset: bool = False

    @property
    def head(self):
        """The status line and the header lines; empty if they did not end."""
        head, end, _ = self.data.partition(HEAD_END)
        return head if end else b""

    @property
    def body(self):
        """All bytes after the head, with their framing."""
        return self.data.partition(HEAD_END)[2]

    @property
    def status(self):
        """The status; None if there is no proper status line."""
        match = _STATUS_LINE.match(self.data.partition(b"\r\n")[0])
        return int(match[1]) if match else None

    def header(self, name):
        """Return the value of a header line, or None."""
        for line in self.head.split(b"\r\n")[1:]:
            field, _, value = line.partition(b":")
            if field.lower() == name.lower().encode():
                return value.strip().decode()
        return None

    @property
    def states_end(self):
        """Whether the answer itself says where it ends, and reached that end."""
        if self.header("Transfer-Encoding") is not None:
            return self.body.endswith(b"\r\n" + LAST_CHUNK) or self.body == LAST_CHUNK
        length = self.header("Content-Length")
        return length is not None and len(self.body) >= int(length)

    @property
    def is_unframed(self):
        """Whether nothing but the end of the connection says where it ends."""
        names = ("Transfer-Encoding", "Content-Length")
        return bool(self.head) and all(self.header(name) is None for name in names)


async def call_raw(
    site, path, host=0, method="GET", body=b"", version="HTTP/1.1", **fields
):
    """Send a request to a host of a site; return the ``RawAnswer``.

    The connection is read until the host closes it.

    Parameters
    ==========
    site : Site
    path : str
    host : int, optional
    method : str, optional
    body : bytes, optional
    version : str, optional
    fields
        Further headers, with underscores for hyphens.
    """
    data = request_bytes(path, method, body, version, **fields)
    return await exchange_raw(site.hosts[host].settings.caller_address, data)


def request_bytes(path, method="GET", body=b"", version="HTTP/1.1", **fields):
    """Return the bytes of a request; the parameters are those of ``call_raw``."""
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": "a1",
        "Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        "Connection": "close",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): text for name, text in fields.items()},
    }
    lines = [f"{method} {path} {version}", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange_raw(address, data):
    """Send bytes to an address; return the ``RawAnswer`` once the other side closes.

    Parameters
    ==========
    address : str
        ``IP:port``.
    data : bytes
    """
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(data)
        return await read_to_end(reader)
    finally:
        writer.close()


async def read_to_end(reader):
    """Return the ``RawAnswer`` that arrives until the connection ends."""
    received = []
    try:
        while data := await reader.read(_READ_BYTES):
            received.append(data)
    except OSError:
        return RawAnswer(b"".join(received), is_reset=True)
    return RawAnswer(b"".join(received))
