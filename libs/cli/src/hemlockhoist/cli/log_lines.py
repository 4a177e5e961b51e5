"""Parses the key=value log lines of hosts."""

import re

import click
import msgspec

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


_ESCAPE = re.compile(r"\\(.)")
# All other escaped characters stand for themselves.
_ESCAPED = {"n": "\n", "r": "\r"}


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """A log line.

    Parameters
    ==========
    timestamp : str
        The time by the clock of the host that wrote the line, in a format that sorts
        as text.
    event, host : str
    fields : dict of str to str
        All other fields.
    """

    timestamp: str
    event: str
    host: str = ""
    fields: dict[str, str] = {}

    def get(self, name):
        """Return a field, or an empty string if it is missing."""
        return self.fields.get(name, "")

    @property
    def request(self):
        """The id of the request concerned, as sent by the caller; empty if none."""
        return self.get("request").partition("/")[0]


def parse_line(text):
    """Return the ``LogLine`` for a text, or None if the text is not a log line.

    Text before the timestamp, such as a prefix added by a log collector, is ignored.

    Examples
    ========
    >>> from hemlockhoist.cli.log_lines import parse_line
    >>> line = parse_line(
    ...     'h1 | timestamp=2026-01-02T03:04:05Z level=info event=request_ended '
    ...     'host=h1 request=a1 reason="no slot"')
    >>> line.event, line.request, line.get("reason")
    ('request_ended', 'a1', 'no slot')
    >>> parse_line("Traceback (most recent call last):") is None
    True
    """
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text[start:])}
    if "event" not in fields:
        return None
    return LogLine(
        timestamp=fields.pop("timestamp"),
        event=fields.pop("event"),
        host=fields.pop("host", ""),
        fields=fields,
    )


def read_lines(files):
    """Yield the ``LogLine`` objects of files, or of standard input if there are none.

    Parameters
    ==========
    files : sequence of file
    """
    for file in files or (click.get_text_stream("stdin", errors="replace"),):
        for text in file:
            line = parse_line(text)
            if line is not None:
                yield line


def _unquote(value):
    if len(value) < 2 or value[0] != '"':
        return value
    return _ESCAPE.sub(_unescape, value[1:-1])


def _unescape(match):
    return _ESCAPED.get(match.group(1), match.group(1))
