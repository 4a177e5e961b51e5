"""Formats log lines as key=value pairs, with values quoted where necessary."""

import re

import structlog

_NEEDS_QUOTES = re.compile(r'[\s="]').search
_SECRET_FIELDS = frozenset(
    {"authorization", "caller_key", "operator_key", "peer_key", "secret", "token"}
)
_MASK = "***"
_timestamper = structlog.processors.TimeStamper(fmt="iso")


class LineRenderer:
    """Renders an event as one line of text; the last processor of ``structlog``.

    This is one processor instead of several, because every host logs several lines per
    request, and the calls of separate processors cost more than the formatting.

    Parameters
    ==========
    fields : mapping of str to str
        Fields that are added to every line, such as the host's name.

    Examples
    ========
    >>> from hemlockhoist.base.logfmt import LineRenderer
    >>> line = LineRenderer({"host": "h1"})(
    ...     None, "info", {"event": "store_lost", "why": 'a "b"', "sent": True})
    >>> line.partition(" ")[2]
    'level=info event=store_lost host=h1 why="a \\\\"b\\\\"" sent=true'
    """

    __slots__ = ("_fields",)

    def __init__(self, fields):
        pairs = (f" {key}={_render(value)}" for key, value in fields.items())
        self._fields = "".join(pairs)

    def __call__(self, logger, method, event):
        """Return the rendered line."""
        timestamp = _timestamper(logger, method, {})["timestamp"]
        name = event.pop("event", "")
        parts = [
            f"timestamp={timestamp} level={method} event={_render(name)}{self._fields}"
        ]
        for key, value in event.items():
            rendered = _MASK if key in _SECRET_FIELDS else _render(value)
            parts.append(f"{key}={rendered}")
        return " ".join(parts)


def _render(value):
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
