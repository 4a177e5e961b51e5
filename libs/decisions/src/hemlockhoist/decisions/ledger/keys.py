"""Idempotency keys and the fingerprints of the requests that they identify."""

import hashlib
import re

import msgspec

from hemlockhoist.base import BadRequest, ResultCode

MAX_CALLER_PART = 128
_FINGERPRINT_BYTES = 16
_MAX_EPOCH_DIGITS = 12
_KEY = re.compile(
    r"(?P<incarnation>[A-Za-z0-9_-]{1,64})"
    rf"\.(?P<epoch>0|[1-9][0-9]{{0,{_MAX_EPOCH_DIGITS - 1}}})"
    rf"\.(?P<caller>[\x21-\x7e]{{1,{MAX_CALLER_PART}}})"
)


class IdempotencyKey(msgspec.Struct, frozen=True):
    """A parsed ``Idempotency-Key``.

    Parameters
    ==========
    incarnation : str
        Incarnation of the host process that minted the prefix.
    epoch : int
        Epoch of that process when it minted the prefix.
    caller_part : str
        The part that the caller chose.
    """

    incarnation: str
    epoch: int
    caller_part: str

    @property
    def text(self):
        """The key as written in the header."""
        return f"{self.incarnation}.{self.epoch}.{self.caller_part}"


def format_prefix(incarnation, epoch):
    """Return the prefix that callers put before a dot and their own part."""
    return f"{incarnation}.{epoch}"


def parse_key(text):
    """Parse the value of an ``Idempotency-Key`` header.

    Parameters
    ==========
    text : str
        ``<incarnation>.<epoch>.<the caller's own part>``.

    Returns
    =======
    IdempotencyKey

    Raises
    ======
    BadRequest
        With code ``KEY_MALFORMED``; the request was not run.

    Examples
    ========
    >>> from hemlockhoist.decisions.ledger import parse_key
    >>> parse_key("h1-9c2e.7.booking-1204").epoch
    7
    """
    match = _KEY.fullmatch(text)
    if match is None:
        message = "the Idempotency-Key does not begin with a host's prefix"
        raise BadRequest(message, code=ResultCode.KEY_MALFORMED)
    return IdempotencyKey(match["incarnation"], int(match["epoch"]), match["caller"])


def fingerprint_request(method, path, body):
    """Return a digest that distinguishes different requests under one key.

    Parameters
    ==========
    method, path : str
    body : bytes

    Returns
    =======
    bytes
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    head = f"{method} {path}\n"
    digest.update(head.encode())
    digest.update(body)
    return digest.digest()
