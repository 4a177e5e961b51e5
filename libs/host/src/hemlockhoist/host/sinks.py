"""Sinks for a stream's events: sent to the caller at once, or collected."""

import asyncio
import json

import msgspec
from aiohttp import web

from hemlockhoist.base import DECODE_ERRORS, MS_PER_S, DispatchError, ResultCode
from hemlockhoist.host.responses import error_body, result_headers

TOKEN_HEADER = "X-Stream-Token"
# A caller that reads nothing for this long is treated as disconnected. The engine keeps
# the answer for a resume; waiting longer would hold a slot that others are queued for.
STALL_TIMEOUT_MS = 30_000


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed its connection or stopped reading."""


class EventSink:
    """Sends a stream's events to the caller as they arrive.

    Writing waits until the caller has read enough of the buffered bytes, so a slow
    reader applies back-pressure to the engine's stream instead of filling this host's
    memory.

    Parameters
    ==========
    request : aiohttp.web.Request
    request_id, token : str
    """

    __slots__ = ("_request", "_request_id", "_response", "_token")
    supports_handover = True

    def __init__(self, request, request_id, token=""):
        self._request = request
        self._request_id = request_id
        self._token = token
        self._response = None

    def set_token(self, token):
        """Set the stream's token, once the grant has named the upstream."""
        self._token = token

    @property
    def started(self):
        """Whether the response headers have been sent to the caller."""
        return self._response is not None

    async def write(self, events):
        """Send events to the caller.

        Raises
        ======
        CallerDisconnected
        """
        if not events:
            return
        if self._response is None:
            await self._start()
        await self._write(b"".join(event.raw for event in events))

    async def _start(self):
        headers = result_headers(ResultCode.OK, self._request_id)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-store"
        headers[TOKEN_HEADER] = self._token
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(self._request)
        except OSError as error:
            raise CallerDisconnected from error
        self._response = response

    async def _write(self, data):
        try:
            if self._is_buffer_empty():
                await self._response.write(data)
                return
            async with asyncio.timeout(STALL_TIMEOUT_MS / MS_PER_S):
                await self._response.write(data)
        except (OSError, TimeoutError) as error:
            raise CallerDisconnected from error

    def _is_buffer_empty(self):
        # A write waits only when much of the buffer is unread. Setting a timer for each
        # event took an eighth of the time that a host spends on a token.
        transport = self._request.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def fail(self, error):
        """Send an error event to a caller that has received part of the answer."""
        body = error_body(error.code, error.message, self._request_id)
        await self._write(b"event: error\ndata: " + _json_bytes(body) + b"\n\n")

    async def hand_over(self, offset):
        """Send ``moved``: the caller has to resume at another host from ``offset``."""
        if self._response is None:
            await self._start()
        body = {"stream_token": self._token, "offset": offset}
        await self._write(b"event: moved\ndata: " + _json_bytes(body) + b"\n\n")

    async def finish(self):
        """End the response and return it."""
        try:
            await self._response.write_eof()
        except OSError as error:
            raise CallerDisconnected from error
        return self._response


def _json_bytes(payload):
    return json.dumps(payload).encode()


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class TokenDetails(msgspec.Struct):
    """Number of prompt tokens that the engine had in its cache."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: TokenDetails | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []
    usage: Usage | None = None


_chunk_decoder = msgspec.json.Decoder(_Chunk)


def read_usage(event):
    """Return the token counts that an event carries, or None."""
    if event is None:
        return None
    try:
        return _chunk_decoder.decode(event.data()).usage
    except DECODE_ERRORS:
        return None


def _read_chunk(event):
    try:
        return _chunk_decoder.decode(event.data())
    except DECODE_ERRORS as error:
        text = f"event {event.offset} of the engine is no chunk: {error}"
        raise DispatchError(text, ResultCode.UPSTREAM_FAILED) from error


class CollectSink:
    """Collects a stream into one non-streaming answer."""

    __slots__ = ("_events",)
    supports_handover = False
    started = False

    def __init__(self):
        self._events = []

    async def write(self, events):
        """Collect events, without the end mark."""
        self._events += [event for event in events if not event.done]

    def completion(self):
        """Return the collected answer as a ``chat.completion`` object.

        Raises
        ======
        DispatchError
            ``UPSTREAM_FAILED`` if an event is no chunk of a completion.
        """
        texts, finish, usage, last = {}, {}, None, _Chunk()
        for event in self._events:
            last = _read_chunk(event)
            usage = last.usage or usage
            for choice in last.choices:
                texts.setdefault(choice.index, []).append(choice.delta.content or "")
                finish[choice.index] = choice.finish_reason or finish.get(choice.index)
        choices = [_choice(n, "".join(texts[n]), finish[n]) for n in sorted(texts)]
        return {
            "id": last.id,
            "object": "chat.completion",
            "created": last.created,
            "model": last.model,
            "choices": choices,
            "usage": msgspec.to_builtins(usage or Usage()),
        }


def _choice(index, text, finish_reason):
    return {
        "index": index,
        "message": {"role": "assistant", "content": text},
        "finish_reason": finish_reason,
    }
