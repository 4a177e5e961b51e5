"""Kinds of setting values, and how they are parsed from text."""

import ipaddress
import pathlib
import urllib.parse
from functools import singledispatch

import msgspec


class Integer(msgspec.Struct, frozen=True):
    """An integer within inclusive bounds."""

    minimum: int
    maximum: int


class Text(msgspec.Struct, frozen=True):
    """A word without spaces, of at most ``max_length`` characters."""

    max_length: int = 64


class Secret(msgspec.Struct, frozen=True):
    """A key of at least ``min_length`` characters; ``@PATH`` reads it from a file."""

    min_length: int = 16


class Address(msgspec.Struct, frozen=True):
    """An IP address with a port; with ``any_port``, port 0 lets the kernel choose."""

    any_port: bool = False


class Url(msgspec.Struct, frozen=True):
    """An HTTP or HTTPS URL."""


class File(msgspec.Struct, frozen=True):
    """The path of an existing file."""


class Choice(msgspec.Struct, frozen=True):
    """One of ``choices``."""

    choices: tuple[str, ...]


class Endpoint(msgspec.Struct, frozen=True):
    """The IP address and port of an address setting.

    Examples
    ========
    >>> from hemlockhoist.host.settings_kinds import Endpoint
    >>> str(Endpoint.from_text("[::1]:80"))
    '[::1]:80'
    """

    ip: str
    port: int

    @classmethod
    def from_text(cls, text):
        """Parse an endpoint from ``IP:port``.

        Raises
        ======
        ValueError
            When the text is not an IP address with a port; host names are not resolved.
        """
        ip, colon, port = text.rpartition(":")
        if not colon or not port.isdecimal() or len(port) > 5 or int(port) > 65_535:
            raise ValueError(text)
        if ip.startswith("[") and ip.endswith("]"):
            return cls(str(ipaddress.IPv6Address(ip[1:-1])), int(port))
        return cls(str(ipaddress.IPv4Address(ip)), int(port))

    def __str__(self):
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


@singledispatch
def parse_value(kind, text):
    """Parse a value of a kind from text.

    Raises
    ======
    ValueError
        When the kind does not accept the text.
    """
    raise TypeError(kind)


@parse_value.register
def _(kind: Integer, text):
    value = int(text) if len(str(text)) <= 20 else None
    if value is None or not kind.minimum <= value <= kind.maximum:
        raise ValueError(text)
    return value


@parse_value.register
def _(kind: Text, text):
    if len(text) > kind.max_length or len(text.split()) != 1 or not text.isprintable():
        raise ValueError(text)
    return text


@parse_value.register
def _(kind: Secret, text):
    if text.startswith("@"):
        text = pathlib.Path(text[1:]).read_text().strip()
    if len(text) < kind.min_length or not text.isascii() or not text.isprintable():
        raise ValueError("")
    return text


@parse_value.register
def _(kind: Address, text):
    endpoint = Endpoint.from_text(text)
    if endpoint.port == 0 and not kind.any_port:
        raise ValueError(text)
    return endpoint


@parse_value.register
def _(kind: Url, text):
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(text)
    return text


@parse_value.register
def _(kind: File, text):
    if not pathlib.Path(text).is_file():
        raise ValueError(text)
    return text


@parse_value.register
def _(kind: Choice, text):
    if text not in kind.choices:
        raise ValueError(text)
    return text


@singledispatch
def describe(kind):
    """Return a description of the values that a kind accepts."""
    raise TypeError(kind)


@describe.register
def _(kind: Integer):
    return f"{kind.minimum} to {kind.maximum}"


@describe.register
def _(kind: Text):
    return f"a word of at most {kind.max_length} characters"


@describe.register
def _(kind: Secret):
    return f"{kind.min_length} or more printable ASCII characters, or @FILE"


@describe.register
def _(kind: Address):
    return "IP:port, port 0 for any" if kind.any_port else "IP:port"


@describe.register
def _(kind: Url):
    return "http://… or https://…"


@describe.register
def _(kind: File):
    return "the path of a file that exists"


@describe.register
def _(kind: Choice):
    return ", ".join(kind.choices)
