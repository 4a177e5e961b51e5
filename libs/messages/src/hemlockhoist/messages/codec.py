"""Encoding of message envelopes as authenticated, versioned frames.

A frame is one byte of wire version, a keyed BLAKE2b digest (RFC 7693) of 16 bytes and
a MessagePack envelope. The digest covers the version byte, the receiver's address and
the envelope, and the envelope contains its sender and sequence number. A frame can
therefore not be forged without the peer key, redirected to another host or replayed.
"""

import functools
import hashlib
import hmac
import operator
import socket

import msgspec

from hemlockhoist.base import DECODE_ERRORS, PeerError, ResultCode
from hemlockhoist.messages.registry import MESSAGE_TYPES

WIRE_VERSION = 4
_VERSION_BYTE = bytes([WIRE_VERSION])
# Kept short: a message has about 100 bytes, and three of four peers are in another
# failure domain, to which each byte is charged.
_DIGEST_BYTES = 16
_HEADER_BYTES = 1 + _DIGEST_BYTES
# First byte of a field in packed form, and of one sent as text.
_PACKED, _TEXT = b"\x00", b"\x01"
# A frame holds at most a few hundred small messages; the declarations of the largest
# fleet also fit.
MAX_FRAME_BYTES = 4_194_304

Message = functools.reduce(operator.or_, MESSAGE_TYPES)


class StoreNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How much a host knows of the store's table of routes and orders.

    Parameters
    ==========
    changed_version : int
        Version of the newest change that it has; 0 if it has read nothing yet.
    read_ms : int
        Time on the store's clock up to which it knows all changes.
    """

    changed_version: int = 0
    read_ms: int = 0


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """Messages from one incarnation of a host to another host.

    Parameters
    ==========
    sender, receiver : str
        Peer addresses, ``IP:port``, which identify the hosts.
    incarnation : str
        Incarnation of the sender.
    sequence : int
        Number of the envelope among those from this incarnation to the receiver,
        increasing by one.
    sent_ms : int
        Time of sending on the sender's clock, from which the receiver computes the
        delay.
    messages : list
    news : StoreNews or None
        What the sender knows of the store; None if this envelope doesn't say.
    """

    sender: str
    incarnation: str
    receiver: str
    sequence: int
    sent_ms: int
    messages: list[Message]
    news: StoreNews | None = None


class _WireEnvelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Wire form of an envelope, with addresses and incarnations packed if possible.

    The receiver is omitted: it knows its own address, which the digest covers.
    """

    sender: bytes
    incarnation: bytes
    sequence: int
    sent_ms: int
    messages: list[Message]
    news: StoreNews | None = None


class Codec:
    """Encodes envelopes as frames, and verifies and decodes frames.

    Parameters
    ==========
    peer_key : bytes
        Secret that all hosts of a fleet share.

    Examples
    ========
    >>> from hemlockhoist.messages import Codec, Envelope, GrantCancel
    >>> codec = Codec(b"secret")
    >>> cancel = GrantCancel(pool="chat", request_id="r1")
    >>> envelope = Envelope(
    ...     sender="a", incarnation="1", receiver="b", sequence=1, sent_ms=0,
    ...     messages=[cancel])
    >>> codec.decode(codec.encode(envelope), "b").messages[0].request_id
    'r1'
    """

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, peer_key):
        # Hashed first because BLAKE2b accepts keys of at most 64 bytes.
        self._key = hashlib.blake2b(peer_key).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_WireEnvelope)

    def encode(self, envelope):
        """Return the frame of an envelope."""
        wire = _WireEnvelope(
            sender=pack_address(envelope.sender),
            incarnation=_pack_hex(envelope.incarnation),
            sequence=envelope.sequence,
            sent_ms=envelope.sent_ms,
            messages=envelope.messages,
            news=envelope.news,
        )
        body = self._encoder.encode(wire)
        return _VERSION_BYTE + self._digest(envelope.receiver, body) + body

    def decode(self, frame, receiver):
        """Return the envelope in a frame after verifying it.

        Parameters
        ==========
        frame : bytes
        receiver : str
            Address of this host.

        Raises
        ======
        PeerError
            With ``PEER_MALFORMED``, ``PEER_VERSION`` or ``PEER_UNAUTHENTIC``.
        """
        if not _HEADER_BYTES < len(frame) <= MAX_FRAME_BYTES:
            raise PeerError(
                f"frame length of {len(frame)} bytes is out of range",
                ResultCode.PEER_MALFORMED,
            )
        if frame[0] != WIRE_VERSION:
            text = f"frame has wire version {frame[0]}, this host uses {WIRE_VERSION}"
            raise PeerError(text, ResultCode.PEER_VERSION)
        body = frame[_HEADER_BYTES:]
        digest = self._digest(receiver, body)
        if not hmac.compare_digest(frame[1:_HEADER_BYTES], digest):
            # The frame is from another fleet or addressed to another host.
            raise PeerError("frame digest mismatch", ResultCode.PEER_UNAUTHENTIC)
        try:
            wire = self._decoder.decode(body)
            sender = _unpack_address(wire.sender)
            incarnation = _unpack_hex(wire.incarnation)
        except (*DECODE_ERRORS, OSError) as error:
            raise PeerError(str(error), ResultCode.PEER_MALFORMED) from error
        return Envelope(
            sender=sender,
            incarnation=incarnation,
            receiver=receiver,
            sequence=wire.sequence,
            sent_ms=wire.sent_ms,
            messages=wire.messages,
            news=wire.news,
        )

    def _digest(self, receiver, body):
        digest = hashlib.blake2b(
            _VERSION_BYTE, key=self._key, digest_size=_DIGEST_BYTES
        )
        digest.update(receiver.encode() + b"\0")
        digest.update(body)
        return digest.digest()


def pack_address(address):
    """Return the wire form of an address, which is shorter for an IPv4 address.
    Examples
    ========
    >>> from hemlockhoist.messages.codec import pack_address
    >>> pack_address("10.1.0.35:7600").hex(), pack_address("[::1]:7600")
    ('000a0100231db0', b'\\x01[::1]:7600')
    """
    ip, _, port = address.rpartition(":")
    try:
        packed = socket.inet_aton(ip) + int(port).to_bytes(2)
    except (OSError, ValueError, OverflowError):
        return _TEXT + address.encode()
    is_lossless = _unpack_address(_PACKED + packed) == address
    return _PACKED + packed if is_lossless else _TEXT + address.encode()


def _unpack_address(packed):
    if packed[:1] == _TEXT:
        return packed[1:].decode()
    return f"{socket.inet_ntoa(packed[1:5])}:{int.from_bytes(packed[5:])}"


def _pack_hex(text):
    try:
        packed = bytes.fromhex(text)
    except ValueError:
        return _TEXT + text.encode()
    return _PACKED + packed if packed.hex() == text else _TEXT + text.encode()


def _unpack_hex(packed):
    return packed[1:].decode() if packed[:1] == _TEXT else packed[1:].hex()
