"""Reads request bodies within limits of size and time."""

import asyncio

from hemlockhoist.base import MS_PER_S, BadRequest, ResultCode


async def read_body(request, max_bytes, timeout_ms, reserve=None, on_ready=None):
    """Return the complete body of a request.

    Parameters
    ==========
    request : aiohttp.web.Request
    max_bytes, timeout_ms : int
    reserve : coroutine function, optional
        ``reserve(byte_count)`` is awaited before that much is read, if the length is
        known, or else before more is read. What it raises ends the reading.
    on_ready : coroutine function, optional
        Awaited without arguments before the first read.

    Raises
    ======
    BadRequest
        ``BODY_TOO_LARGE`` as soon as the length is known to exceed ``max_bytes``, so
        that no more is buffered; ``BODY_TOO_SLOW``; ``MALFORMED_BODY`` when the body is
        truncated.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        raise _too_large(max_bytes)
    if reserve is not None and length:
        await reserve(length)
    if on_ready is not None:
        await on_ready()
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            async for chunk in request.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                if size > max_bytes:
                    raise _too_large(max_bytes)
                if reserve is not None and length is None:
                    await reserve(len(chunk))
    except TimeoutError as error:
        text = f"request body did not arrive within {timeout_ms} ms"
        raise BadRequest(text, ResultCode.BODY_TOO_SLOW) from error
    except (OSError, ValueError) as error:
        raise BadRequest("request body is truncated or malformed") from error
    return b"".join(chunks)


def _too_large(max_bytes):
    text = f"request body exceeds {max_bytes} bytes"
    return BadRequest(text, ResultCode.BODY_TOO_LARGE)
