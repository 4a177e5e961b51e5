"""Which heads are answers: the one decision for all readers and both parsers."""

import re

import aiohttp

from hemlockhoist.base import DispatchError, ResultCode

# What an error quotes of a head.
MAX_QUOTED_CHARACTERS = 60
# The same with its control bytes escaped, which take four characters each.
MAX_ESCAPED_CHARACTERS = 100
_HEAD_BEGIN = b"HTTP/1."
_EMPTY_LINES = re.compile(rb"\A(?:\r?\n)+")
# The blank before an empty reason is often left out. A later minor version is refused
# by one of the library's parsers only, and 0.9 has no heads.
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([0-9]{3})(?: (.*))?", re.DOTALL)
# RFC 9110, section 5.6.2.
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# RFC 9110, section 5.5. Bytes above 0x7f are ordinary; the HTTP library decodes those
# that are no UTF-8 as surrogates from U+DC80 to U+DCFF. Others can't be written.
_FORBIDDEN = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udc7f\udd00-\udfff]")
# Longer numbers overflow one of the library's parsers.
# A second answer's status line, which begins wherever the first answer had come to.
_GLUED_STATUS_LINE = re.compile(r"[^\s:=\"'(\[<>,;|]HTTP/1\.[01] [1-5][0-9]{2}(?: |$)")
_LENGTH = re.compile(r"[0-9]{1,18}")
_NO_CONTENT = 204
_FIRST_STATUS, _FIRST_FINAL_STATUS, _LAST_STATUS = 100, 200, 599
_SWITCHING_PROTOCOLS = 101


class InvalidAnswerHead(DispatchError, aiohttp.ClientPayloadError):  # noqa: N818
    """What an upstream sent is no answer; the request may have run.

    It is an error of the HTTP library too, as it is raised through it.

    Parameters
    ==========
    text : str
        What is wrong.
    quoted : str, optional
        The part of the head that is; control bytes are escaped.
    """

    code = ResultCode.UPSTREAM_BROKE_OFF

    def __init__(self, text, quoted=None):
        if quoted is not None:
            escaped = ascii(quoted[:MAX_QUOTED_CHARACTERS])
            text = f"{text}: {escaped[:MAX_ESCAPED_CHARACTERS]}"
        super().__init__(f"the head of the answer is invalid: {text}")


class HeadReader:
    """Reads the heads of one answer in the bytes of its connection, and checks them.

    Failure prevented: the HTTP library's two parsers let different heads through, and
    both take some for answers that can't be passed on. So the bytes themselves are
    checked, before a parser sees them.

    Attributes
    ==========
    status : int or None
        The status of the answer; None until its head has ended.
    is_chunked : bool
        Whether the head announces chunks.
    rest : bytes
        What followed the head in the bytes in which it ended.

    Examples
    ========
    >>> from hemlockhoist.upstreams.answer_head import HeadReader
    >>> reader = HeadReader()
    >>> _ = reader.feed(b"HTTP/1.1 102 Processing\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n")
    >>> reader.status
    >>> reader.feed(b"Content-Length: 2\\r\\n\\r\\nok")
    b'Content-Length: 2\\r\\n\\r\\nok'
    >>> reader.status, reader.rest
    (200, b'ok')
    """

    __slots__ = ("_has_begun", "_incomplete", "_lines", "is_chunked", "rest", "status")

    def __init__(self):
        self._has_begun = False
        self._incomplete = b""
        self._lines = []
        self.status = None
        self.is_chunked = False
        self.rest = b""

    def feed(self, data):
        """Check the next bytes of the connection; return those for a parser.

        Empty lines before the answer are dropped: one parser skips them, and the other
        refuses the answer.

        Raises
        ======
        InvalidAnswerHead
        """
        if not self._has_begun:
            data = _EMPTY_LINES.sub(b"", self._incomplete + data)
            self._incomplete = data if data in (b"", b"\r") else b""
            self._has_begun = not self._incomplete and bool(data)
        if self._has_begun and self.status is None:
            self._read_lines(data)
        return data if self._has_begun else b""

    def _read_lines(self, data):
        # Lines may end without CR (RFC 9112, section 2.2).
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        for number, line in enumerate(lines, 1):
            self._add_line(line.removesuffix(b"\r").decode("latin-1"))
            if self.status is not None:
                self.rest = b"\n".join([*lines[number:], self._incomplete])
                return
        if not self._lines:
            self._check_begin()

    def _add_line(self, line):
        if not self._lines:
            _read_status_line(line)
        elif not line:
            self._end_head()
            return
        else:
            _read_field(line)
        self._lines.append(line)

    def _end_head(self):
        first, *lines = self._lines
        minor_version, status = _read_status_line(first)
        fields = [_read_field(line) for line in lines]
        check_framing(status, fields, minor_version)
        self._lines = []
        if status >= _FIRST_FINAL_STATUS:
            self.status = status
            self.is_chunked = bool(_values(fields, "transfer-encoding"))

    def _check_begin(self):
        """Refuse bytes that no longer can become a status line."""
        begin = self._incomplete[: len(_HEAD_BEGIN)]
        if not _HEAD_BEGIN.startswith(begin):
            raise InvalidAnswerHead(
                "no status line", self._incomplete.decode("latin-1")
            )


def check_head(status, fields):
    """Check the final head of an answer that another host has parsed.

    Parameters
    ==========
    status : int
    fields : sequence of (str, str)

    Raises
    ======
    InvalidAnswerHead
    """
    check_status(status, is_final=True)
    for name, value in fields:
        check_field(name, value)
    check_framing(status, fields)


def _read_status_line(line):
    """Return the minor version and the status."""
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise InvalidAnswerHead("no status line", line)
    if _FORBIDDEN.search(line):
        raise InvalidAnswerHead("control byte in the status line", line)
    _check_not_glued(line)
    status = int(match[2])
    check_status(status)
    return int(match[1]), status


def _read_field(line):
    """Return the name and the value of a field, with blanks around it."""
    if line[0] in " \t":
        # RFC 9112, section 5.2. The parsers differ in where they take a line for the
        # rest of the one before, and a gateway may refuse them all.
        raise InvalidAnswerHead("folded line", line)
    name, colon, value = line.partition(":")
    if not colon:
        raise InvalidAnswerHead("line without a colon", line)
    check_field(name, value)
    _check_not_glued(line)
    return name, value


def _check_not_glued(line):
    """Refuse a line of a head into which another answer's status line runs.

    Failure prevented: the two heads are taken for one, and the rest of the first for a
    part of the body.
    """
    if _GLUED_STATUS_LINE.search(line):
        raise InvalidAnswerHead("status line within a line of the head", line)


def check_field(name, value):
    """Check that a field can be written again, and is read alike by everyone.

    Raises
    ======
    InvalidAnswerHead
    """
    if not _TOKEN.fullmatch(name):
        raise InvalidAnswerHead("name of a field", name)
    if _FORBIDDEN.search(value):
        raise InvalidAnswerHead(f"control byte in {name[:40]}", value)


def check_framing(status, fields, minor_version=1):
    """Check that the fields of a head say in one way where its body ends.

    Failure prevented: a part of the body, or its framing, is passed on as the whole.
    Parsers also differ in which of two statements they follow.

    Parameters
    ==========
    status : int
    fields : sequence of (str, str)
    minor_version : int, optional
        That of HTTP/1.

    Raises
    ======
    InvalidAnswerHead
    """
    codings = _values(fields, "transfer-encoding")
    lengths = _values(fields, "content-length")
    if codings:
        # Others were not asked for, and the body would be passed on still encoded.
        if len(codings) > 1 or codings[0].lower() != "chunked":
            raise InvalidAnswerHead("Transfer-Encoding", ", ".join(codings))
        if not minor_version:
            raise InvalidAnswerHead("Transfer-Encoding in HTTP/1.0")
        if lengths:
            raise InvalidAnswerHead("both Transfer-Encoding and Content-Length")
    if len(lengths) > 1 or not all(_LENGTH.fullmatch(length) for length in lengths):
        raise InvalidAnswerHead("Content-Length", ", ".join(lengths))
    has_body = bool(codings) or any(int(length) for length in lengths)
    if has_body and (status < _FIRST_FINAL_STATUS or status == _NO_CONTENT):
        raise InvalidAnswerHead(f"body with status {status}")


def _values(fields, name):
    return [value.strip(" \t") for key, value in fields if key.lower() == name]


def check_status(status, is_final=False):
    """Check that a status has a meaning, and none that nobody asked for.

    Parameters
    ==========
    status : int
    is_final : bool, optional
        Whether an interim one is refused, too.

    Raises
    ======
    InvalidAnswerHead
    """
    first = _FIRST_FINAL_STATUS if is_final else _FIRST_STATUS
    if not first <= status <= _LAST_STATUS or status == _SWITCHING_PROTOCOLS:
        raise InvalidAnswerHead(f"status {status:03}"[:MAX_QUOTED_CHARACTERS])
