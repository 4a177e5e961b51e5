"""How a reader knows that the body of an answer is whole."""

import enum

_CHUNKED = "chunked"
# Statuses of responses that have no body.
_BODILESS_STATUSES = frozenset({204, 205, 304})


class BodyEnd(enum.Enum):
    """What marks the end of a body, as its head announces it (RFC 9112, section 6.3)."""

    NO_BODY = "no_body"
    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION = "connection"

    @property
    def is_certain(self):
        """Whether a body that has reached its end is whole.

        A connection that was closed says nothing about it: a process that is killed in
        the middle of a body closes its connections as one that has finished.
        """
        return self is not BodyEnd.CONNECTION

    @classmethod
    def announced(cls, method, status, headers):
        """Return the end that the head of an answer announces.

        Parameters
        ==========
        method : str
            Of the request.
        status : int
        headers : multidict.CIMultiDict

        Examples
        ========
        >>> from multidict import CIMultiDict
        >>> from hemlockhoist.upstreams import BodyEnd
        >>> BodyEnd.announced("GET", 200, CIMultiDict({"Content-Length": "5"}))
        <BodyEnd.LENGTH: 'length'>
        >>> BodyEnd.announced("GET", 200, CIMultiDict({"Connection": "close"}))
        <BodyEnd.CONNECTION: 'connection'>
        """
        if method == "HEAD" or status in _BODILESS_STATUSES:
            return cls.NO_BODY
        codings = headers.getall("Transfer-Encoding", ())
        if codings:
            is_chunked = codings[-1].rpartition(",")[2].strip().lower() == _CHUNKED
            return cls.LAST_CHUNK if is_chunked else cls.CONNECTION
        return cls.LENGTH if "Content-Length" in headers else cls.CONNECTION
