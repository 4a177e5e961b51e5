"""Where the pieces of an answer go: to the caller at once, or collected."""

import asyncio
import json

import msgspec
from aiohttp import web

from hemlockhoist.base import MS_PER_S, ResultCode
from hemlockhoist.host.responses import error_body, result_headers

TOKEN_HEADER = "X-Stream-Token"
# A caller that takes nothing for this long is taken for gone. Its answer stays at
# the engine for a resume; here it would hold a place that others wait for.
STALL_TIMEOUT_MS = 30_000


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed the connection or stopped reading."""


class EventSink:
    """Passes a stream's events on to the caller as they come.

    Writing waits until the caller has taken enough of what is buffered, so a slow
    reader holds back the engine's stream and not this host's memory.

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
        """Name the stream, once the grant tells where it will be."""
        self._token = token

    @property
    def started(self):
        """Whether the answer's head has gone to the caller."""
        return self._response is not None

    async def write(self, events):
        """Pass events on.

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
            if self._has_room():
                await self._response.write(data)
                return
            async with asyncio.timeout(STALL_TIMEOUT_MS / MS_PER_S):
                await self._response.write(data)
        except (OSError, TimeoutError) as error:
            raise CallerDisconnected from error

    def _has_room(self):
        # A write waits only when the caller has left much unread. Setting a timer for
        # each piece took an eighth of the time that a host spends on a token.
        transport = self._request.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def fail(self, error):
        """Tell a caller who has part of the answer that the rest will not come."""
        body = error_body(error.code, error.message, self._request_id)
        await self._write(b"event: error\ndata: " + _line(body) + b"\n\n")

    async def hand_over(self, offset):
        """Tell the caller to go on reading at another host, from ``offset``."""
        if self._response is None:
            await self._start()
        body = {"stream_token": self._token, "offset": offset}
        await self._write(b"event: moved\ndata: " + _line(body) + b"\n\n")

    async def finish(self):
        """End the answer and return it."""
        try:
            await self._response.write_eof()
        except OSError as error:
            raise CallerDisconnected from error
        return self._response


def _line(payload):
    return json.dumps(payload).encode()


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class TokenDetails(msgspec.Struct):
    """How many prompt tokens the engine had in its cache."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """The engine's own count of tokens."""

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
    except msgspec.MsgspecError:
        return None


class CollectSink:
    """Collects a stream into one unstreamed answer."""

    __slots__ = ("_chunks",)
    supports_handover = False
    started = False

    def __init__(self):
        self._chunks = []

    async def write(self, events):
        """Take events in."""
        self._chunks += [event for event in events if not event.done]

    def completion(self):
        """Return the answer as a ``chat.completion`` object."""
        texts, finish, usage, last = {}, {}, None, _Chunk()
        for event in self._chunks:
            last = _chunk_decoder.decode(event.data())
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
