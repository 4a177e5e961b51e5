"""Responses to callers: those of upstreams, and error responses of this system."""

from aiohttp import web

from hemlockhoist.base import Ran
from hemlockhoist.listeners import OpaqueHeaders, UnframedResponse
from hemlockhoist.upstreams import check_head

CODE_HEADER = "X-Result-Code"
# Full responses are buffered before anything is sent to the caller, so that a failed
# attempt never leaves the caller with part of a response that cannot be restarted.
MAX_RESPONSE_BYTES = 8_388_608
_NOT_RUN_STATUS = 503
# Callers conclude from these statuses that the request did not run.
_NOT_RUN_STATUSES = frozenset({429, 503})
_UNKNOWN_STATUS = 502
_UNCHANGED_STATUSES = frozenset({400, 401, 403, 404, 408, 413, 429, 431})
# Retry-After of a refusal that gives none.
DEFAULT_RETRY_AFTER_MS = 500


class WholeResponse(OpaqueHeaders, web.Response):
    """A whole response that drops its body once it has been written.

    Failure prevented: the HTTP server keeps the response of a connection until the next
    request arrives on it. Idle connections would keep bodies of megabytes, which are not
    accounted any more.
    """

    async def write_eof(self, data=b""):
        """Write the body, and drop it."""
        try:
            await super().write_eof(data)
        finally:
            self.body = None


def upstream_response(head, body, body_end):
    """Return the response that passes an upstream's full response on unchanged.

    It states no more about its end than the upstream's did.

    Parameters
    ==========
    head : ResponseHead
    body : bytes
    body_end : BodyEnd

    Raises
    ======
    InvalidAnswerHead
    """
    if body_end.is_certain:
        response = WholeResponse(status=head.status, body=body)
    else:
        response = UnframedResponse(head.status, body, ends_itself=False)
    add_headers(response, head.headers)
    return response


def add_headers(response, headers):
    """Copy an upstream's headers into the response to the caller.

    Raises
    ======
    InvalidAnswerHead
        If the head is none that a caller can read, whoever made it.
    """
    check_head(response.status, headers)
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)


def error_response(wire, call, error):
    """Return the response to a request that this system refused or failed.

    A status from which callers conclude that the request did not run (503, 429) is only
    used if the result code says so, as callers then send a booking again.

    Parameters
    ==========
    wire : WireFormat
    call : CallerCall or None
    error : HemlockhoistError
    """
    row = error.info
    status = row.http_status
    retry_after_ms = None
    if row.ran is Ran.NO and status not in _UNCHANGED_STATUSES:
        status = _NOT_RUN_STATUS
    if row.ran is not Ran.NO and status in _NOT_RUN_STATUSES:
        status = _UNKNOWN_STATUS
    if row.ran is Ran.NO and row.retryable:
        retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    headers = wire.refusal_headers(call, retry_after_ms)
    headers[CODE_HEADER] = str(int(error.code))
    return web.Response(status=status, headers=headers)
