"""Log lines as text: key=value pairs, quoted where a value needs it."""

import re

import structlog

_NEEDS_QUOTES = re.compile(r'[\s="]').search
_SECRET_FIELDS = frozenset(
    {"authorization", "caller_key", "operator_key", "peer_key", "secret", "token"}
)
_MASK = "***"
_stamp = structlog.processors.TimeStamper(fmt="iso")


class LineRenderer:
    """Makes an event one line of text; the last processor for ``structlog``.

    One step for what could be several: there are some lines for each request, on every
    host, and the steps cost more than the text.

    Parameters
    ==========
    fields : mapping of str to str
        That every line carries, such as the host's name.

    Examples
    ========
    >>> from hemlockhoist.base.logfmt import LineRenderer
    >>> line = LineRenderer({"host": "h1"})(
    ...     None, "info", {"event": "store_lost", "why": 'a "b"', "sent": True})
    >>> line.partition(" ")[2]
    'level=info event=store_lost host=h1 why="a \\\\"b\\\\"" sent=true'
    """

    __slots__ = ("_fixed",)

    def __init__(self, fields):
        pairs = (f" {key}={_text(value)}" for key, value in fields.items())
        self._fixed = "".join(pairs)

    def __call__(self, logger, method, event):
        """Return the line."""
        head = _stamp(logger, method, {})["timestamp"]
        name = event.pop("event", "")
        parts = [f"timestamp={head} level={method} event={_text(name)}{self._fixed}"]
        for key, value in event.items():
            shown = _MASK if key in _SECRET_FIELDS else _text(value)
            parts.append(f"{key}={shown}")
        return " ".join(parts)


def _text(value):
    if type(value) is int:
        return str(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if _NEEDS_QUOTES(text) is None:
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + text.replace("\n", "\\n").replace("\r", "\\r") + '"'
