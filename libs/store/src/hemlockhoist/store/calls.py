"""How long calls to the store are given."""

import asyncio

from hemlockhoist.base import MS_PER_S

# An answer usually takes about 10 ms, and under faults up to 90 times the store's own
# 4 ms.
CALL_TIMEOUT_MS = 1_500


class StoreCalls:
    """Makes calls to the store within a time limit.

    Examples
    ========
    >>> import asyncio
    >>> from hemlockhoist.store import StoreCalls
    >>> async def answer():
    ...     return "rows"
    >>> asyncio.run(StoreCalls().run(answer))
    'rows'
    """

    __slots__ = ()

    async def run(self, call, wait_ms=0):
        """Return the result of a call.

        Parameters
        ==========
        call : callable
            Returns a coroutine that makes the call.
        wait_ms : int, optional
            How long the store itself may wait before it answers.

        Raises
        ======
        TimeoutError
        """
        async with asyncio.timeout((wait_ms + CALL_TIMEOUT_MS) / MS_PER_S):
            return await call()
