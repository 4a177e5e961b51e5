"""How callers of the soak test know that an answer has ended, and what came of it."""

import enum
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

# Those below are of interim responses, which the answer follows.
_MIN_FINAL_STATUS = 200


class AnswerEnd(enum.Enum):
    """How the end of an answer was known."""

    NONE = "no answer"
    LENGTH = "length"
    LAST_CHUNK = "last chunk"
    CLOSED = "connection closed in order"
    BROKEN = "broken off"
    # By its caller, or at its caller's time limit.
    ABANDONED = "abandoned"

    @property
    def is_stated(self):
        """Whether the answer itself states that this is its end."""
        return self in (AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK)

    @property
    def is_visible_break(self):
        """Whether the caller knows that it may have received a part."""
        return self in (AnswerEnd.BROKEN, AnswerEnd.ABANDONED)

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


class _CallerHandler(ResponseHandler):
    """Reports what the HTTP library hides from callers.

    These are a reset in the middle of a body, which the library takes for its end, and
    bytes that belong to no answer, for which it closes the connection.

    Parameters
    ==========
    on_surplus : callable
        Takes bytes that arrived before a request, behind the end of its answer, or in
        place of an answer.
    """

    def __init__(self, loop, on_surplus):
        super().__init__(loop)
        self._on_surplus = on_surplus
        self._request_count = 0
        self._head_count = 0

    def set_response_params(self, **options):
        self._request_count += 1
        super().set_response_params(**options)

    def feed_data(self, item, size=0):
        message, _ = item
        self._head_count += message.code >= _MIN_FINAL_STATUS
        super().feed_data(item, size)

    def data_received(self, data):
        is_surplus = self._has_whole_answers
        super().data_received(data)
        is_surplus |= self._head_count > self._request_count
        is_surplus |= isinstance(self.exception(), HttpProcessingError)
        if is_surplus and data:
            self._on_surplus(data)

    @property
    def _has_whole_answers(self):
        """Whether each request was answered to the end of the body."""
        if self._head_count < self._request_count:
            return False
        return self._payload is None or self._payload.is_eof()

    def connection_lost(self, exc):
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


def new_connector(on_surplus=lambda data: None):
    """Return a connector for callers, which tells a reset from an orderly close.

    Parameters
    ==========
    on_surplus : callable, optional
        ``on_surplus(data)`` is called with bytes that belong to no answer.
    """
    connector = aiohttp.TCPConnector(limit=0)
    # The HTTP library has no parameter for it.
    connector._factory = functools.partial(
        _CallerHandler, loop=connector._loop, on_surplus=on_surplus
    )
    return connector


async def read_all(answer, received):
    """Add all that arrives of a body to what was received, also if it breaks off.

    Parameters
    ==========
    answer : aiohttp.ClientResponse
    received : list of bytes

    Raises
    ======
    aiohttp.ClientError, OSError or TimeoutError
        As reading the body does.
    """
    content = answer.content
    try:
        while data := await content.readany():
            received.append(data)
    finally:
        # After an error the library gives out nothing more of what has arrived. An answer
        # without a body has no buffer.
        if content.total_bytes:
            received.extend(content._buffer)
