"""Authenticated frames in the bodies of relayed requests and of their answers."""

import asyncio
import struct

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages import MAX_FRAME_BYTES, Codec, Envelope
from hemlockhoist.peers.frames import encode_frame

_LENGTH = struct.Struct(">I")


class RelayFrames:
    """Encodes and decodes the frames of one host.

    Parameters
    ==========
    peer_key : bytes
    own_id, incarnation : str
        This host's id, which is its address for peers, and its incarnation.
    clock : Clock
    """

    __slots__ = ("_clock", "_codec", "_incarnation", "own_id")

    def __init__(self, peer_key, own_id, incarnation, clock):
        self._codec = Codec(peer_key)
        self._incarnation = incarnation
        self._clock = clock
        self.own_id = own_id

    def encode(self, message, receiver):
        """Return the frame of a message to a host, with its length.

        Parameters
        ==========
        message : object
            Of a registered message type.
        receiver : str
            Id of the host.

        Raises
        ======
        ValueError
            If the message is longer than a frame may be.
        """
        envelope = Envelope(
            sender=self.own_id,
            incarnation=self._incarnation,
            receiver=receiver,
            sequence=0,
            sent_ms=self._clock.now_ms(),
            messages=[message],
        )
        frame = self._codec.encode(envelope)
        if len(frame) > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {len(frame)} bytes is too long")
        return encode_frame(frame)

    async def read(self, content):
        """Return the next message of a body, and its sender.

        Parameters
        ==========
        content : aiohttp.StreamReader

        Raises
        ======
        PeerError
            If the body ends, or the frame can't be read or is not authentic.
        """
        try:
            (length,) = _LENGTH.unpack(await content.readexactly(_LENGTH.size))
            if length > MAX_FRAME_BYTES:
                text = f"frame length of {length} bytes is out of range"
                raise PeerError(text, ResultCode.PEER_MALFORMED)
            frame = await content.readexactly(length)
        except asyncio.IncompleteReadError as error:
            text = "the connection ended within a frame"
            raise PeerError(text, ResultCode.PEER_MALFORMED) from error
        envelope = self._codec.decode(frame, self.own_id)
        if len(envelope.messages) != 1:
            text = f"frame with {len(envelope.messages)} messages, expected one"
            raise PeerError(text, ResultCode.PEER_MALFORMED)
        return envelope.messages[0], envelope.sender
