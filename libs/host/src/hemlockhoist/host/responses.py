"""Responses to callers, with result code, request id and whether the request ran."""

import json
import math

from aiohttp import web

from hemlockhoist.base import MS_PER_S, ResultCode, result_info
from hemlockhoist.base.traces import TRACEPARENT, context_to_text

CODE_HEADER = "X-Result-Code"
RAN_HEADER = "X-Request-Ran"
REQUEST_ID_HEADER = "X-Request-Id"
# Sent with retryable refusals that specify no time.
DEFAULT_RETRY_AFTER_MS = 1_000


def result_headers(code, request_id):
    """Return the headers that every response carries."""
    headers = {
        CODE_HEADER: str(int(code)),
        RAN_HEADER: result_info(code).ran.value,
    }
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    return headers


def error_body(code, message, request_id, retry_after_ms=None):
    """Return the JSON object of an error, in the format that OpenAI's clients read."""
    result = result_info(code)
    error = {
        "message": message,
        "type": result.code.name.lower(),
        "code": int(code),
        "ran": result.ran.value,
        "request_id": request_id,
        "remedy": result.remedy,
    }
    if retry_after_ms is not None:
        error["retry_after_ms"] = retry_after_ms
    return {"error": error}


def error_response(error, request_id=""):
    """Return the HTTP response for an error.

    Parameters
    ==========
    error : HemlockhoistError
    request_id : str
    """
    result = error.info
    headers = result_headers(error.code, request_id)
    retry_after_ms = None
    if result.retryable:
        retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        # The header counts whole seconds; rounded down, callers would retry before a
        # slot is free.
        headers["Retry-After"] = str(math.ceil(retry_after_ms / MS_PER_S))
    if result.code is ResultCode.UNKNOWN_KEY:
        headers["WWW-Authenticate"] = "Bearer"
    body = error_body(error.code, error.message, request_id, retry_after_ms)
    return web.json_response(body, status=result.http_status, headers=headers)


def json_response(payload, status=200):
    """Return a JSON response with result code 0."""
    text = json.dumps(payload, indent=2) + "\n"
    headers = result_headers(ResultCode.OK, "")
    return web.Response(
        text=text, status=status, headers=headers, content_type="application/json"
    )


def with_trace_context(headers):
    """Return headers for the next hop, with the trace context of the current span.

    Parameters
    ==========
    headers : tuple of (str, str)
    """
    text = context_to_text()
    return (*headers, (TRACEPARENT, text)) if text else headers
