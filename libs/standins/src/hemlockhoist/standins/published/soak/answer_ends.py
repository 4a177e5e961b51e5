"""How callers of the soak test know that an answer has ended."""

import enum
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler


class AnswerEnd(enum.Enum):
    """How the end of an answer was known."""

    NONE = "no answer"
    LENGTH = "length"
    LAST_CHUNK = "last chunk"
    CLOSED = "connection closed in order"
    BROKEN = "broken off"

    @property
    def is_stated(self):
        """Whether the answer itself states that this is its end."""
        return self in (AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK)

    @classmethod
    def of_whole(cls, headers):
        """Return the end of an answer that was read to its end.

        Parameters
        ==========
        headers : multidict.CIMultiDict
        """
        if "Transfer-Encoding" in headers:
            return cls.LAST_CHUNK
        return cls.LENGTH if "Content-Length" in headers else cls.CLOSED


class _ResetDetectingHandler(ResponseHandler):
    """Reports a reset in the middle of a body, which the HTTP library takes for its end."""

    def connection_lost(self, exc):
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


def new_connector():
    """Return a connector for callers, which tells a reset from an orderly close."""
    connector = aiohttp.TCPConnector(limit=0)
    # The HTTP library has no parameter for it.
    connector._factory = functools.partial(_ResetDetectingHandler, loop=connector._loop)
    return connector
