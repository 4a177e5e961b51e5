"""Answers of a faulty replica that go on until the host closes the connection."""

import asyncio
import enum

import msgspec

PART_BYTES = 16_384
# What a replica sends at a time, and how often, where it trickles.
TRICKLE_INTERVAL_S = 0.02


class Place(enum.Enum):
    """Where in an answer the data without end begins."""

    HEAD = "in place of the head"
    BODY = "after the head, in place of the body"
    EVENTS = "after the first event"
    AFTER_ANSWER = "after a complete answer"


class EndlessData(msgspec.Struct, frozen=True):
    """Data without end: what is sent first, and then again and again.

    Parameters
    ==========
    place : Place
    begin, part : bytes
    interval_s : float
        Pause after each part.
    """

    place: Place
    begin: bytes
    part: bytes
    interval_s: float = 0.0

    async def send(self, writer, on_body=False):
        """Send the data until the connection is closed.

        Parameters
        ==========
        writer : asyncio.StreamWriter
        on_body : bool, optional
            Whether the body is sent in chunks.
        """
        begin, part = self.begin, self.part
        if on_body:
            begin, part = chunk(begin), chunk(part)
        writer.write(begin)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.interval_s)


def chunk(data):
    """Return data as a chunk of a body; nothing for no data, which would end it."""
    return b"%x\r\n" % len(data) + data + b"\r\n" if data else b""


_STATUS = b"HTTP/1.1 200 OK\r\n"
_FILLER = b"x" * PART_BYTES
_HEADERS = b"".join(b"X-%d: %s\r\n" % (number, b"x" * 80) for number in range(100))

STATUS_LINE = EndlessData(Place.HEAD, b"HTTP/1.1 200 ", _FILLER)
HEADER_LINE = EndlessData(Place.HEAD, _STATUS + b"X-Filler: ", _FILLER)
HEADERS = EndlessData(Place.HEAD, _STATUS, _HEADERS)
BLANKS = EndlessData(Place.HEAD, _STATUS + b"X-Filler:", b" " * PART_BYTES)
EMPTY_LINES = EndlessData(Place.HEAD, b"", b"\r\n" * (PART_BYTES // 2))
INTERIM_HEADS = EndlessData(Place.HEAD, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
TRICKLED_HEAD = EndlessData(
    Place.HEAD, _STATUS + b"X-Filler: ", b"x", TRICKLE_INTERVAL_S
)
BODY = EndlessData(Place.BODY, b"", _FILLER)
CHUNK_EXTENSION = EndlessData(Place.BODY, b"1;", _FILLER)
NO_EVENTS = EndlessData(Place.EVENTS, b"", b"\x00\xff\r\n\n: no event\n" * 1_000)
EVENT = EndlessData(Place.EVENTS, b"id: 2\ndata: ", _FILLER)
TRICKLED_EVENT = EndlessData(Place.EVENTS, b"id: 2\ndata: ", b"x", TRICKLE_INTERVAL_S)
AFTER_ANSWER = EndlessData(Place.AFTER_ANSWER, b"", _FILLER)
