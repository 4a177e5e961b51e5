"""Envelopes: authentic, versioned frames of typed messages.

A frame is one byte of wire version, a keyed BLAKE2b digest (RFC 7693) of 16 bytes and
a MessagePack envelope. The digest covers the version byte, the receiver's address and
the envelope, and the envelope names sender and sequence number, so a frame can neither
be forged without the peer key, nor be sent to another host, nor be delivered twice.
"""

import functools
import hashlib
import hmac
import operator
import socket

import msgspec

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages.registry import MESSAGE_TYPES

WIRE_VERSION = 4
_VERSION_BYTE = bytes([WIRE_VERSION])
# A message is some 100 bytes, and three of four hosts are in another failure domain,
# where each byte is paid for.
_DIGEST_BYTES = 16
_HEAD_BYTES = 1 + _DIGEST_BYTES
# Begin what was packed, and what goes as text.
_PACKED, _TEXT = b"\x00", b"\x01"
# A frame is built from at most some hundreds of small messages; declarations of
# the largest fleet stay under this.
MAX_FRAME_BYTES = 4_194_304

Message = functools.reduce(operator.or_, MESSAGE_TYPES)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
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


class _WireEnvelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An envelope as it is sent: addresses and incarnations packed where they can be.

    The receiver is not sent: it knows its address, which the digest covers.
    """

    sender: bytes
    incarnation: bytes
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
    >>> codec.decode(codec.encode(envelope), "b").messages[0].request_id
    'r1'
    """

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, peer_key):
        # A key may be longer than the digest's own bound of 64 bytes.
        self._key = hashlib.blake2b(peer_key).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_WireEnvelope)

    def encode(self, envelope):
        """Return the frame of an envelope."""
        wire = _WireEnvelope(
            sender=pack_address(envelope.sender),
            incarnation=_packed_hex(envelope.incarnation),
            sequence=envelope.sequence,
            sent_ms=envelope.sent_ms,
            messages=envelope.messages,
        )
        body = self._encoder.encode(wire)
        return _VERSION_BYTE + self._digest(envelope.receiver, body) + body

    def decode(self, frame, receiver):
        """Return the envelope of a frame.

        Parameters
        ==========
        frame : bytes
        receiver : str
            The address of this host.

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
        digest = self._digest(receiver, body)
        if not hmac.compare_digest(frame[1:_HEAD_BYTES], digest):
            # Of another fleet, or meant for another host.
            raise PeerError("digest does not match", ResultCode.PEER_UNAUTHENTIC)
        try:
            wire = self._decoder.decode(body)
            sender = _address_text(wire.sender)
            incarnation = _hex_text(wire.incarnation)
        except (msgspec.MsgspecError, OSError, UnicodeDecodeError) as error:
            raise PeerError(str(error), ResultCode.PEER_MALFORMED) from error
        return Envelope(
            sender=sender,
            incarnation=incarnation,
            receiver=receiver,
            sequence=wire.sequence,
            sent_ms=wire.sent_ms,
            messages=wire.messages,
        )

    def _digest(self, receiver, body):
        digest = hashlib.blake2b(
            _VERSION_BYTE, key=self._key, digest_size=_DIGEST_BYTES
        )
        digest.update(receiver.encode() + b"\0")
        digest.update(body)
        return digest.digest()


def pack_address(address):
    """Return the bytes of an address, fewer where it is one of IPv4.

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
    is_same = _address_text(_PACKED + packed) == address
    return _PACKED + packed if is_same else _TEXT + address.encode()


def _address_text(packed):
    if packed[:1] == _TEXT:
        return packed[1:].decode()
    return f"{socket.inet_ntoa(packed[1:5])}:{int.from_bytes(packed[5:])}"


def _packed_hex(text):
    try:
        packed = bytes.fromhex(text)
    except ValueError:
        return _TEXT + text.encode()
    return _PACKED + packed if packed.hex() == text else _TEXT + text.encode()


def _hex_text(packed):
    return packed[1:].decode() if packed[:1] == _TEXT else packed[1:].hex()
