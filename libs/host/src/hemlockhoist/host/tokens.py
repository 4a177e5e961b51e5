"""Signed stream tokens, with which a caller resumes a stream at any host."""

import base64
import hashlib
import hmac

import msgspec

from hemlockhoist.base import DECODE_ERRORS, BadRequest, ResultCode

_DIGEST_BYTES = 16
# Domain separation: a token's digest must not be valid for a peer's frame, which is
# signed with the same key.
_PURPOSE = b"stream-token"


class StreamTicket(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Location and owner of a stream, the content of a stream token.

    Parameters
    ==========
    request_id, pool, customer : str
    address : str
        Address of the upstream.
    version : str
    owner : str
        Host id of the entry host that dispatched the request.
    """

    request_id: str
    pool: str
    customer: str
    address: str
    version: str
    owner: str


class StreamTokens:
    """Signs and verifies stream tokens.

    A token is signed with the key that all hosts share, so that a caller cannot
    direct a host to another address or to another customer's stream.

    Parameters
    ==========
    key : bytes

    Examples
    ========
    >>> from hemlockhoist.host.tokens import StreamTicket, StreamTokens
    >>> ticket = StreamTicket(request_id="r", pool="p", customer="c",
    ...     address="127.0.0.1:1", version="v1", owner="h")
    >>> tokens = StreamTokens(b"secret")
    >>> tokens.read(tokens.sign(ticket)) == ticket
    True
    """

    __slots__ = ("_decoder", "_key")

    def __init__(self, key):
        self._key = key
        self._decoder = msgspec.msgpack.Decoder(StreamTicket)

    def sign(self, ticket):
        """Return the token of a ticket, encoded as URL-safe base64."""
        body = msgspec.msgpack.encode(ticket)
        return base64.urlsafe_b64encode(self._digest(body) + body).decode().rstrip("=")

    def read(self, token):
        """Return the ticket that a token holds.

        Raises
        ======
        BadRequest
            ``UNKNOWN_STREAM`` when the token is malformed or its signature is wrong.
        """
        padding = "=" * (-len(token) % 4)
        try:
            raw = base64.urlsafe_b64decode(token + padding)
        except ValueError as error:
            raise _invalid_token() from error
        digest, body = raw[:_DIGEST_BYTES], raw[_DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise _invalid_token()
        try:
            return self._decoder.decode(body)
        except DECODE_ERRORS as error:
            raise _invalid_token() from error

    def _digest(self, body):
        digest = hmac.digest(self._key, _PURPOSE + body, hashlib.sha256)
        return digest[:_DIGEST_BYTES]


def _invalid_token():
    return BadRequest("invalid stream token", ResultCode.UNKNOWN_STREAM)
