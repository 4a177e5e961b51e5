"""Which header fields of a message are forwarded to its next hop."""

# RFC 9110, section 7.6.1, and headers that are set again for the next hop.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers, removed=frozenset()):
    """Return the headers to forward: neither hop-by-hop nor removed ones.

    Parameters
    ==========
    headers : multidict.CIMultiDict
    removed : frozenset of str, optional
        Further names, in lowercase.

    Returns
    =======
    tuple of (str, str)

    Examples
    ========
    >>> from multidict import CIMultiDict
    >>> from hemlockhoist.upstreams import end_to_end_headers
    >>> end_to_end_headers(CIMultiDict({"Connection": "x-hop", "X-Hop": "1", "A": "2"}))
    (('A', '2'),)
    """
    connection_options = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    dropped = _HOP_BY_HOP | removed | connection_options
    # Converted to str, as the HTTP library's own type cannot be sent to another host.
    return tuple(
        (str(name), str(value))
        for name, value in headers.items()
        if name.lower() not in dropped
    )
