"""Heads of answers in messages, whose values may be no UTF-8."""

from hemlockhoist.messages import RelayedHead


def relayed_head(status, headers):
    """Return the message with the head of an answer.

    Failure prevented: a value that is no UTF-8 can't be encoded as text, and the answer
    would be lost.

    Parameters
    ==========
    status : int
    headers : multidict.CIMultiDict
        With bytes that are no UTF-8 as surrogates, as the HTTP library decodes them.

    Examples
    ========
    >>> from hemlockhoist.relays.heads import head_fields, relayed_head
    >>> head = relayed_head(200, {"X-A": "caf\\udce9"})
    >>> head.raw_values
    (b'caf\\xe9',)
    >>> head_fields(head)
    (('X-A', 'caf\\udce9'),)
    """
    # Converted to str, as the library's own type cannot be sent to another host.
    fields = [(str(name), str(value)) for name, value in headers.items()]
    values = tuple(value.encode(errors="surrogateescape") for _, value in fields)
    texts = tuple(
        (name, value.decode(errors="replace"))
        for (name, _), value in zip(fields, values, strict=True)
    )
    raw_values = () if texts == tuple(fields) else values
    return RelayedHead(status=status, headers=texts, raw_values=raw_values)


def head_fields(head):
    """Return the fields of a ``RelayedHead`` as the HTTP library decodes them."""
    if len(head.raw_values) != len(head.headers):
        return head.headers
    return tuple(
        (name, raw.decode(errors="surrogateescape"))
        for (name, _), raw in zip(head.headers, head.raw_values, strict=True)
    )
