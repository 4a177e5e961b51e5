"""The HTTP server's side of a connection, and answers that it does not give itself."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from hemlockhoist.base import MS_PER_S, Refused, ResultCode

RETRY_AFTER_MS = 1_000


class BoundedRequestHandler(web.RequestHandler):
    """The server's side of an ``HttpConnection``.

    Parameters
    ==========
    connection : HttpConnection
    server : aiohttp.web.Server
    options : dict
        Further parameters of the HTTP library's class.
    """

    __slots__ = ("_connection",)

    def __init__(self, connection, server, **options):
        super().__init__(server, **options)
        self._connection = connection

    def pause_reading(self):
        """Stop the body of the current request."""
        super().pause_reading()
        self._connection.on_parser_paused()

    def resume_reading(self, resume_parser=True):
        """Go on with the body of the current request."""
        self._connection.on_parser_resuming()
        super().resume_reading(resume_parser)
        self._connection.on_parser_resumed()

    async def finish_response(self, request, resp, start_time):
        """Write an answer, and let the next request begin."""
        answer, is_lost = await super().finish_response(request, resp, start_time)
        await self._connection.on_answered(bool(answer.keep_alive) and not is_lost)
        return answer, is_lost

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a request that the library could not parse."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        code = ResultCode.MALFORMED_HEAD
        headers = self._connection.on_malformed(code)
        response = web.Response(status=status, headers=headers)
        response.force_close()
        return response


def refusal(error, refusal_headers):
    """Return the bytes of the answer to a request that the server never saw."""
    status = HTTPStatus(error.info.http_status)
    headers = {"Content-Length": "0", "Connection": "close"}
    if error.info.retryable:
        retry_after_ms = error.retry_after_ms or RETRY_AFTER_MS
        headers["Retry-After"] = str(-(-retry_after_ms // MS_PER_S))
    headers.update(refusal_headers(error.code))
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def no_memory():
    """Return the error of a request whose head does not fit into the memory."""
    text = "no memory for a request's head"
    return Refused(text, ResultCode.MEMORY_FULL, RETRY_AFTER_MS)
