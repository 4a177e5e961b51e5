"""Addresses to connect to."""

import ipaddress

MAX_PORT = 65_535


def is_address(text):
    """Return whether a text is an IP number and a port to connect to.

    Examples
    ========
    >>> from hemlockhoist.base import is_address
    >>> is_address("10.1.0.4:80"), is_address("[::1]:80")
    (True, True)
    >>> is_address("10.1.0.4:99999"), is_address("halls.example:80")
    (False, False)
    """
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT
