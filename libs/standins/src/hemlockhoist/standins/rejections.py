"""What a store does with the calls of single hosts that it rejects."""

import asyncio
import enum

from aiohttp import web


class Rejection(enum.Enum):
    """What the store does with the calls of a host that it rejects."""

    BUSY = "busy"
    TOO_MANY_CALLS = "too many calls"
    RESET = "reset"
    SILENT = "silent"


_STATUSES = {Rejection.BUSY: 503, Rejection.TOO_MANY_CALLS: 429}


async def reject(request, rejection):
    """Return the answer to a host that is rejected; a silent store never returns."""
    if rejection is Rejection.SILENT:
        await asyncio.Event().wait()
    if rejection is Rejection.RESET and request.transport is not None:
        request.transport.abort()
    return web.Response(status=_STATUSES.get(rejection, 503))
