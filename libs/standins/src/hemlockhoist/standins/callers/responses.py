"""Client-side parsing of error responses and server-sent events."""

import json

import msgspec

from hemlockhoist.standins.callers.records import Refusal

_MS_PER_S = 1000


async def read_refusal(response):
    """Return the refusal that an error response describes.

    Parameters
    ==========
    response : aiohttp.ClientResponse
    """
    body = await response.read()
    try:
        message = json.loads(body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = body[:200].decode(errors="replace")
    retry_after = response.headers.get("Retry-After")
    return Refusal(
        status=response.status,
        code=int(response.headers.get("X-Result-Code", "-1")),
        ran=response.headers.get("X-Request-Ran", ""),
        request_id=response.headers.get("X-Request-Id", ""),
        retry_after_ms=int(float(retry_after) * _MS_PER_S) if retry_after else -1,
        message=message,
    )


class Event(msgspec.Struct, frozen=True):
    """Server-sent event; ``offset`` is -1 without an event id."""

    name: str
    offset: int
    data: str

    @property
    def done(self):
        """Whether the event ends the stream."""
        return self.data == "[DONE]"

    def text(self):
        """Return the text that the event adds to the answer."""
        choices = json.loads(self.data).get("choices") or [{}]
        return choices[0].get("delta", {}).get("content") or ""


async def read_events(response):
    """Yield the events of a stream as they arrive.

    Parameters
    ==========
    response : aiohttp.ClientResponse

    Raises
    ======
    aiohttp.ClientError, TimeoutError
        When the connection breaks.
    """
    fields = {}
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        if line:
            name, _, value = line.partition(":")
            fields[name] = value.removeprefix(" ")
            continue
        if fields:
            offset = int(fields.get("id", "-1"))
            yield Event(fields.get("event", ""), offset, fields.get("data", ""))
        fields = {}
