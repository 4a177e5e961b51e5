"""Responses of upstreams, and the errors of reading them."""

import contextlib

import aiohttp
from aiohttp.http import HttpProcessingError

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.upstreams.answer_head import InvalidAnswerHead
from hemlockhoist.upstreams.body_end import BodyEnd
from hemlockhoist.upstreams.bounds import DataWithoutEnd
from hemlockhoist.upstreams.second_answer import SecondAnswerFinder

REQUEST_ID_HEADER = "X-Request-Id"
# Types of bodies that hold messages of HTTP themselves.
_MESSAGE_TYPES = ("message/http", "application/http")
VERSION_HEADER = "X-Upstream-Version"
# An error of the HTTP library may quote what the upstream sent, at any length.
MAX_REASON_CHARACTERS = 200


class AnswerNotBegun(DispatchError):  # noqa: N818
    """A connection ended in order before any byte of a body without a stated end."""


class UpstreamResponse:
    """Response of an upstream, whose body is not read yet.

    A body with neither a length nor chunks ends with its connection. If nothing of it
    arrived, the upstream ended before it began its answer. If the connection ends
    later, the end of such a body can't be told from a break.

    Parameters
    ==========
    response : aiohttp.ClientResponse
    request_id_header : str, optional
        Header in which upstreams echo the request's id.
    is_reused : bool, optional
        Whether its connection carried another request before.
    request_id : str, optional

    Attributes
    ==========
    body_end : BodyEnd
        How the end of the body is known, once it has been read without an error.
    """

    __slots__ = (
        "_finder",
        "_first_data",
        "_received_bytes",
        "_request_id_header",
        "_response",
        "body_end",
        "is_reused",
    )

    def __init__(
        self,
        response,
        request_id_header=REQUEST_ID_HEADER,
        is_reused=False,
        request_id="",
    ):
        self.is_reused = is_reused
        self.body_end = BodyEnd.announced(
            response.method, response.status, response.headers
        )
        self._first_data = b""
        self._received_bytes = 0
        self._response = response
        self._request_id_header = request_id_header
        self._finder = self._new_finder(request_id)

    def _new_finder(self, request_id):
        """Return what finds second answers, by what is known of the body's bytes.

        A body with a length or chunks states which bytes are its own, and may hold the
        head of another answer as text. One without may hold anything.
        """
        id_header = self._request_id_header
        if not self.body_end.is_certain:
            holds_messages = self.headers.get("Content-Type", "").lower()
            finds_heads = not holds_messages.startswith(_MESSAGE_TYPES)
            return SecondAnswerFinder(id_header, finds_heads=finds_heads)
        if self.is_reused:
            # A late answer to an earlier request may come within the body.
            return SecondAnswerFinder(id_header)
        return SecondAnswerFinder(id_header, own_id=request_id)

    @property
    def status(self):
        """The HTTP status code."""
        return self._response.status

    @property
    def headers(self):
        """The response's headers, a multi-valued mapping."""
        return self._response.headers

    @property
    def version(self):
        """The version that the upstream reports to run; empty if it reports none."""
        return self._response.headers.get(VERSION_HEADER, "")

    def matches_request(self, request_id):
        """Return whether the response belongs to the request.

        A response without an echoed request id is accepted if its connection carried
        only one request. One with two different ids belongs to none.
        """
        echoed = self._echoed_ids
        if not echoed:
            return not self.is_reused
        return echoed == {request_id}

    def is_of_another_request(self, request_id):
        """Return whether the response carries the id of another request."""
        return bool(self._echoed_ids - {request_id})

    @property
    def _echoed_ids(self):
        return set(self._response.headers.getall(self._request_id_header, ()))

    def close(self):
        """Close the connection, and drop what is unread; a pending read raises an error.

        The HTTP library's objects refer to one another, so they exist until the garbage
        collector finds them, which may take minutes.
        """
        self._response.close()
        content = self._response.content
        if content.total_bytes:
            content._buffer.clear()

    @property
    def unread_bytes(self):
        """Bytes of the body that the HTTP library has read ahead of its reader."""
        # The library has no public interface for it. A response without a body has no
        # size.
        content = self._response.content
        return content._size if content.total_bytes else 0

    def pause(self):
        """Read nothing more from the connection until ``resume`` is called."""
        connection = self._response.connection
        if connection is not None and connection.transport is not None:
            connection.transport.pause_reading()

    def resume(self):
        """Read from the connection again."""
        connection = self._response.connection
        if connection is not None and connection.transport is not None:
            connection.transport.resume_reading()

    async def wait_for_data(self):
        """Wait until the body has begun; ``chunks`` yields what has arrived.

        Raises
        ======
        DispatchError
            As in ``chunks``.
        """
        if not self._first_data:
            self._first_data = await self._next_data()
            self._check_begun()

    async def chunks(self):
        """Yield the body in chunks as they arrive.

        Raises
        ======
        DispatchError
            When the body breaks off, is not as long as stated or, without a length or
            chunks, never begins, or no data arrives within the idle timeout.
            ``SecondAnswer`` after the bytes before one.
        """
        # A list, from which each chunk is taken: a name would keep it in memory for as
        # long as the reader waits for its caller.
        chunks = [self._first_data]
        self._first_data = b""
        if chunks[0]:
            yield chunks.pop()
        while True:
            chunks = [await self._next_data()]
            if not chunks[0]:
                break
            yield chunks.pop()
        self._check_begun()
        self._check_length(self._received_bytes)

    async def _next_data(self):
        """Return the next bytes of the body; none once it has ended.

        Raises
        ======
        SecondAnswer
            If one begins there.
        DispatchError
            As in ``chunks``.
        """
        finder = self._finder
        while finder.error is None:
            with dispatch_errors():
                received = [await self._response.content.readany()]
            self._received_bytes += len(received[0])
            has_ended = not received[0]
            if has_ended:
                data = finder.finish(self._bytes_behind)
            else:
                data = finder.feed(received.pop())
            if data or (has_ended and finder.error is None):
                return data
        raise finder.error

    @property
    def _bytes_behind(self):
        """What its connection brought behind a body of stated length."""
        content = self._response.content
        # Bodies that another host has passed on, and empty ones, have none.
        protocol = getattr(content, "_protocol", None)
        bytes_behind = getattr(protocol, "bytes_behind", None)
        return b"" if bytes_behind is None else bytes_behind(content)

    def _check_begun(self):
        if not self._received_bytes and not self.body_end.is_certain:
            text = "the connection ended before the answer began"
            raise AnswerNotBegun(text, ResultCode.UPSTREAM_BROKE_OFF)

    def _check_length(self, body_bytes):
        """Compare the size of a body with the one that its head states.

        The HTTP library does so on this host's own connections. A body that another
        host has passed on comes in that host's chunks.
        """
        length = self._stated_length
        if length is not None and body_bytes != length:
            text = f"the answer ended after {body_bytes} of {length} bytes"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)

    async def read(self, max_bytes, reserve=None):
        """Return the complete body.

        Parameters
        ==========
        max_bytes : int
        reserve : coroutine function, optional
            ``reserve(byte_count)`` is awaited before that much is read, if the length
            is known, or else for each chunk before the next is read.

        Raises
        ======
        DispatchError
            As in ``chunks``, and when the body is longer than ``max_bytes``.
        """
        length = self._stated_length
        if length is not None and length > max_bytes:
            raise _too_long(max_bytes)
        if reserve is not None and length:
            await reserve(length)
        parts = []
        size = 0
        async for chunk in self.chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise _too_long(max_bytes)
            if reserve is not None and length is None:
                await reserve(len(chunk))
        return b"".join(parts)

    @property
    def _stated_length(self):
        """The stated length of the body; None if it is not stated or has none."""
        if self.body_end is not BodyEnd.LENGTH:
            return None
        text = self.headers.get("Content-Length", "")
        return int(text) if text.isdecimal() else None


def _too_long(max_bytes):
    text = f"response body longer than {max_bytes} bytes"
    return DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)


@contextlib.contextmanager
def dispatch_errors():
    """Convert errors of the HTTP library after a dispatch to ``DispatchError``."""
    try:
        yield
    except InvalidAnswerHead:
        raise
    except (TimeoutError, aiohttp.ServerTimeoutError) as error:
        text = "no data from the upstream within the idle timeout"
        raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error
    except DataWithoutEnd as error:
        raise DispatchError(str(error), ResultCode.UPSTREAM_BROKE_OFF) from error
    except aiohttp.ClientPayloadError as error:
        text = f"the answer broke off before its end: {error}"[:MAX_REASON_CHARACTERS]
        raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF) from error
    except (aiohttp.ClientError, HttpProcessingError, OSError, ValueError) as error:
        text = describe_error(error)
        raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF) from error


def describe_error(error):
    """Return an error of the HTTP library as a text of bounded length."""
    if isinstance(error, aiohttp.ClientResponseError):
        text = f"{type(error).__name__}: {error.message}"
    else:
        text = repr(error)
    return text[:MAX_REASON_CHARACTERS]
