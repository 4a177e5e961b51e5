"""The format of event streams: where an event ends, and what it consists of."""

import re

import msgspec

from hemlockhoist.base import DispatchError, ResultCode

# Events have a few hundred bytes. This much data without an event's end is no event
# stream, and must not exhaust the memory.
MAX_EVENT_BYTES = 262_144
# More digits are no number of an event, and ``int`` refuses to read thousands of them.
_MAX_NUMBER_DIGITS = 18
# What an error quotes of a line.
_MAX_QUOTED_BYTES = 60
_SEPARATOR = b"\n\n"
_MAX_SEPARATOR_BYTES = len(b"\r\n\r\n")
# Names of fields are far shorter.
_MAX_BEGIN_BYTES = 256
# As a number, which is found faster than a ``bytes`` of one.
_CR = ord("\r")
# Atomic, as the two bytes of one line end are not two line ends.
_ANY_SEPARATOR = re.compile(rb"(?>(\r\n|\n|\r))(?>\r\n|\n|\r)")
_LINE_END = re.compile(rb"\r\n|\n|\r")
# Nearly all events: a number, and one line of data.
_USUAL_EVENT = re.compile(rb"id: ?([0-9]{1,%d})\ndata: ?(.*)\n\n" % _MAX_NUMBER_DIGITS)
_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
_HEAD_BEGIN = b"HTTP/1."
# A status line that something else runs into, which it is written behind in text.
_GLUED_STATUS_LINE = re.compile(
    rb"[^\s:=\"'(\[<>,;|]HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?[\r\n]"
)
_HEAD_END = b"\r\n\r\n"
_LF_ONLY = re.compile(rb"(?<!\r)\n")
_NO_FIELD = "line that is no field of an event"


class InvalidEvent(DispatchError):  # noqa: N818
    """What an upstream sent within a stream is no event.

    Parameters
    ==========
    text : str
        What is wrong.
    quoted : bytes, optional
        The line that is.
    is_begun : bool, optional
        Whether an event may have begun before the bytes that do not belong to it. If
        not, the stream may have ended there.
    """

    def __init__(self, text, quoted=None, is_begun=True):
        if quoted is not None:
            text = f"{text}: {quoted[:_MAX_QUOTED_BYTES].decode('latin-1')!a}"
        super().__init__(text, ResultCode.UPSTREAM_BROKE_OFF)
        self.is_begun = is_begun


class EventFields(msgspec.Struct, frozen=True):
    """The fields of an event that readers need.

    ``number`` is None if it has no id.
    """

    number: int | None
    data: tuple[bytes, ...]


class BlockSplitter:
    """Splits a stream, received in chunks of any size, at its empty lines.

    A line ends with LF, CR or CR LF. If only LF separated blocks here, a caller that
    reads the stream by its format would see two events where this host sees one.

    Examples
    ========
    >>> from hemlockhoist.upstreams.event_format import BlockSplitter
    >>> splitter = BlockSplitter()
    >>> splitter.feed(b"id: 1\\r\\ndata: a\\r\\n\\r")
    []
    >>> splitter.feed(b"\\nid: 2")
    [b'id: 1\\r\\ndata: a\\r\\n\\r\\n']
    >>> splitter.incomplete
    b'id: 2'
    """

    __slots__ = ("_has_cr", "incomplete")

    def __init__(self):
        self.incomplete = b""
        self._has_cr = False

    def clear(self):
        """Drop an incomplete block."""
        self.incomplete = b""
        self._has_cr = False

    def feed(self, chunk):
        """Return the blocks that a chunk completes, with the empty lines that end them."""
        # What was searched before holds no separator but in its last bytes.
        searched = max(0, len(self.incomplete) - _MAX_SEPARATOR_BYTES)
        data = self.incomplete + chunk
        self._has_cr = self._has_cr or _CR in chunk
        if self._has_cr:
            return self._split_any(data, searched)
        end = data.find(_SEPARATOR, searched)
        if end < 0:
            self.incomplete = data
            return []
        if end + len(_SEPARATOR) == len(data):
            # Most reads have one whole event.
            self.incomplete = b""
            return [data]
        *parts, self.incomplete = data.split(_SEPARATOR)
        return [part + _SEPARATOR for part in parts]

    def _split_any(self, data, searched):
        blocks, begin = [], 0
        for match in _ANY_SEPARATOR.finditer(data, searched):
            end = match.end()
            # The LF of the last CR LF has not arrived yet.
            if end == len(data) and match[0] == b"\r\n\r":
                break
            blocks.append(data[begin:end])
            begin = end
        self.incomplete = data[begin:]
        return blocks


def has_fields(block):
    """Return whether a block holds more than empty lines and comments."""
    if block[0] not in b"\r\n:":
        return True
    lines = _LINE_END.split(block)
    return any(line and not line.startswith(b":") for line in lines)


def split_lines(block):
    """Return the lines of a block, without their ends."""
    return _LINE_END.split(block)


def match_usual(block):
    """Return a match with number and data for an event of the usual form, or None.

    Nearly all events have it, and are read without being split into lines.
    """
    # These steps are faster than one expression.
    if _CR in block or _HEAD_BEGIN in block:
        return None
    return _USUAL_EVENT.fullmatch(block)


def read_event(block, declared_fields=frozenset()):
    """Return the ``EventFields`` of a block.

    Failure prevented: bytes that belong to no event, such as a second answer of the
    upstream, are passed on within one. A caller can't tell them from its answer.

    Parameters
    ==========
    block : bytes
        With the empty line that ends it.
    declared_fields : frozenset of bytes, optional
        Names of fields that upstreams may send besides those of the format.

    Raises
    ======
    InvalidEvent
        If any line is none of a field or comment, or the id is no number.

    Examples
    ========
    >>> from hemlockhoist.upstreams.event_format import read_event
    >>> read_event(b"id: 7\\nevent: text\\ndata: a\\n\\n")
    EventFields(number=7, data=(b' a',))
    """
    check_begin(block, declared_fields)
    _check_lines(block)
    numbers, data = [], []
    name = colon = b""
    for line in _LINE_END.split(block):
        if name and not colon and line.startswith(b":"):
            # A line end has come between the name of a field and its colon.
            raise InvalidEvent(_NO_FIELD, line)
        name, colon, value = line.partition(b":")
        if name == b"id":
            numbers.append(_read_number(line, value))
        elif name == b"data":
            data.append(value)
        elif name and name not in _FIELDS and name not in declared_fields:
            raise InvalidEvent(_NO_FIELD, line)
    if len(numbers) > 1:
        raise InvalidEvent("event with several numbers", block)
    return EventFields(numbers[0] if numbers else None, tuple(data))


def check_begin(data, declared_fields=frozenset()):
    """Check that bytes can be the begin of an event.

    Failure prevented: foreign bytes without an empty line behind them, on a connection
    that stays open, look like an event that is about to end.

    Parameters
    ==========
    data : bytes
        At least one byte.
    declared_fields : frozenset of bytes, optional
        As of ``read_event``.

    Raises
    ======
    InvalidEvent
    """
    begin = data[:_MAX_BEGIN_BYTES].lstrip(b"\r\n")
    first = _LINE_END.split(begin, maxsplit=1)
    name, colon, _ = first[0].partition(b":")
    names = _FIELDS | declared_fields
    if not name or name in names:
        return
    is_unfinished = not colon and len(first) == 1
    if is_unfinished and any(item.startswith(name) for item in names):
        return
    is_begun = any(name[0] == item[0] for item in names)
    raise InvalidEvent(_NO_FIELD, first[0], is_begun)


def _read_number(line, value):
    text = value.strip(b" \t")
    if not text.isdigit() or len(text) > _MAX_NUMBER_DIGITS:
        raise InvalidEvent("event whose id is no number", line)
    return int(text)


def _check_lines(block):
    """Refuse the lines of another answer within an event, as far as they show.

    Text like a status line stands behind a blank or a mark, while a second answer's line
    begins wherever the first answer had come to. A head ends with two times CR LF, which
    would end an event whose lines end with LF.
    """
    match = _GLUED_STATUS_LINE.search(block)
    if match is not None:
        raise InvalidEvent("head of an answer within an event", match[0])
    if block.endswith(_HEAD_END) and _LF_ONLY.search(block.lstrip(b"\r\n")):
        raise InvalidEvent("event that ends like a head", block)
