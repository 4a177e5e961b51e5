"""Envelopes: authentic, versioned frames of typed messages.

A frame is one byte of wire version, a keyed BLAKE2b digest (RFC 7693) of 16 bytes and
a MessagePack envelope. The digest covers the version byte and the envelope, and the
envelope names sender, receiver and sequence number, so a frame can neither be forged
without the peer key, nor be sent to another host, nor be delivered twice.
"""

import functools
import hashlib
import hmac
import operator

import msgspec

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages.registry import MESSAGE_TYPES

WIRE_VERSION = 3
_VERSION_BYTE = bytes([WIRE_VERSION])
# A message is some 100 bytes, and three of four hosts are in another failure domain,
# where each byte is paid for.
_DIGEST_BYTES = 16
_HEAD_BYTES = 1 + _DIGEST_BYTES
# A frame is built from at most some hundreds of small messages; declarations of
# the largest fleet stay under this.
MAX_FRAME_BYTES = 4_194_304

Message = functools.reduce(operator.or_, MESSAGE_TYPES)


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Messages from one host's incarnation to another host.

    Parameters
    ==========
    sender, receiver : str
        Addresses for peers, ``IP:port``, by which hosts are told apart.
    incarnation : str
        Of the sender.
    sequence : int
        Counts up by one for each envelope of a sender's incarnation to a receiver.
    sent_ms : int
        The sender's clock, from which the receiver works out how late it came.
    messages : list
    """

    sender: str
    incarnation: str
    receiver: str
    sequence: int
    sent_ms: int
    messages: list[Message]


class Codec:
    """Encodes and checks frames.

    Parameters
    ==========
    peer_key : bytes
        The secret that all hosts of a fleet share.

    Examples
    ========
    >>> from hemlockhoist.messages import Codec, Envelope, GrantCancel
    >>> codec = Codec(b"secret")
    >>> cancel = GrantCancel(pool="chat", request_id="r1")
    >>> envelope = Envelope(
    ...     sender="a", incarnation="1", receiver="b", sequence=1, sent_ms=0,
    ...     messages=[cancel])
    >>> codec.decode(codec.encode(envelope)).messages[0].request_id
    'r1'
    """

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, peer_key):
        # A key may be longer than the digest's own bound of 64 bytes.
        self._key = hashlib.blake2b(peer_key).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, envelope):
        """Return the frame of an envelope."""
        body = self._encoder.encode(envelope)
        return _VERSION_BYTE + self._digest(body) + body

    def decode(self, frame):
        """Return the envelope of a frame.

        Raises
        ======
        PeerError
            With ``PEER_MALFORMED``, ``PEER_VERSION`` or ``PEER_UNAUTHENTIC``.
        """
        if not _HEAD_BYTES < len(frame) <= MAX_FRAME_BYTES:
            raise PeerError(f"frame of {len(frame)} bytes", ResultCode.PEER_MALFORMED)
        if frame[0] != WIRE_VERSION:
            text = f"frame of wire version {frame[0]}, this host speaks {WIRE_VERSION}"
            raise PeerError(text, ResultCode.PEER_VERSION)
        body = frame[_HEAD_BYTES:]
        if not hmac.compare_digest(frame[1:_HEAD_BYTES], self._digest(body)):
            raise PeerError("digest does not match", ResultCode.PEER_UNAUTHENTIC)
        try:
            return self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise PeerError(str(error), ResultCode.PEER_MALFORMED) from error

    def _digest(self, body):
        digest = hashlib.blake2b(
            _VERSION_BYTE, key=self._key, digest_size=_DIGEST_BYTES
        )
        digest.update(body)
        return digest.digest()
