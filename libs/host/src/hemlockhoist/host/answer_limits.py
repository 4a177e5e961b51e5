"""The time limits of requests in progress, which a planned stop shortens."""

import asyncio
import contextlib

from hemlockhoist.base import MS_PER_S


class AnswerLimits:
    """Limits what is done for callers to the time at which answers are due.

    Failure prevented: a process ends with requests in progress, and closes their
    callers' connections without an answer.
    """

    __slots__ = ("_due_ms", "_limits")

    def __init__(self):
        # None before a stop.
        self._due_ms = None
        self._limits = set()

    @contextlib.asynccontextmanager
    async def limit(self, deadline_ms=None):
        """Limit work to a deadline, and to the time at which answers are due.

        Parameters
        ==========
        deadline_ms : int, optional
            None for no further limit.

        Yields
        ======
        asyncio.Timeout

        Raises
        ======
        TimeoutError
        """
        deadline_s = None if deadline_ms is None else deadline_ms / MS_PER_S
        async with asyncio.timeout_at(deadline_s) as limit:
            self._limits.add(limit)
            try:
                self._shorten(limit)
                yield limit
            finally:
                self._limits.discard(limit)

    def shorten(self, due_ms):
        """Have all work end by a time, also work that is begun later."""
        self._due_ms = due_ms
        for limit in self._limits:
            self._shorten(limit)

    def _shorten(self, limit):
        if self._due_ms is None or limit.expired():
            return
        due_s = self._due_ms / MS_PER_S
        if limit.when() is None or limit.when() > due_s:
            limit.reschedule(due_s)
