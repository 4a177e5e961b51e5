"""Answers to callers: an upstream's own, and the system's."""

from aiohttp import web

from hemlockhoist.base import Ran

CODE_HEADER = "X-Result-Code"
_NOT_RUN_STATUS = 503
# Callers take these for "not run".
_PROMISING_STATUSES = frozenset({429, 503})
_UNKNOWN_STATUS = 502
_KEPT_NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 408, 413, 429, 431})
# What a caller is told where a refusal gives no time of its own.
DEFAULT_RETRY_AFTER_MS = 500


def upstream_response(head, body):
    """Return an upstream's whole answer as it came.

    Parameters
    ==========
    head : AnswerHead
    body : bytes
    """
    response = web.Response(status=head.status, body=body)
    add_headers(response, head.headers)
    return response


def add_headers(response, headers):
    """Put an upstream's headers into the answer to the caller."""
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)


def error_response(wire, call, error):
    """Return the system's own answer to a request.

    A status that promises "not run" (503, 429) is given where the code says so, and
    never else: callers repeat bookings on it.

    Parameters
    ==========
    wire : WireFormat
    call : CallerCall or None
    error : HemlockhoistError
    """
    row = error.info
    status = row.http_status
    retry_after_ms = None
    if row.ran is Ran.NO and status not in _KEPT_NOT_RUN_STATUSES:
        status = _NOT_RUN_STATUS
    if row.ran is not Ran.NO and status in _PROMISING_STATUSES:
        status = _UNKNOWN_STATUS
    if row.ran is Ran.NO and row.retryable:
        retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    headers = wire.refusal_headers(call, retry_after_ms)
    headers[CODE_HEADER] = str(int(error.code))
    return web.Response(status=status, headers=headers)
