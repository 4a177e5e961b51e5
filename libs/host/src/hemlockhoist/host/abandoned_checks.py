"""Looks at upstreams after runs that were given up, as these may end them."""

import asyncio
import functools

import msgspec

from hemlockhoist.base import MS_PER_S, get_logger

_log = get_logger("host.abandoned_checks")

# When an upstream is looked at, from the moment at which the run was given up. Most end
# a run as its connection closes; one that ends itself on it does so within the time
# that the run would have taken.
CHECK_AFTER_MS = (300, 1_000)
# More are not looked at: beside that many, the end of an upstream shows in other runs.
MAX_CHECKS = 256
# Other hosts get this long to try the upstream.
PROBE_LIMIT_MS = 1_000


class AbandonedChecks:
    """Finds out whether upstreams end shortly after a run was given up.

    Parameters
    ==========
    check_link : callable
        As ``UpstreamPaths.check_link``.
    report_lost : callable
        As ``GrantClient.report_lost``.
    was_leaving : callable, optional
        ``was_leaving(upstream_id)`` returns whether the end of an upstream is planned.
    """

    __slots__ = ("_check_link", "_report_lost", "_tasks", "_was_leaving")

    def __init__(self, check_link, report_lost, was_leaving=lambda upstream_id: False):
        self._check_link = check_link
        self._report_lost = report_lost
        self._was_leaving = was_leaving
        self._tasks = set()

    async def start(self):
        """Do nothing: each check starts with a run that is given up."""

    async def close(self):
        """Give up all checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add(self, hold, call, is_begun, is_relayed):
        """Look at an upstream for a while.

        Parameters
        ==========
        hold : GrantHold
        call : UpstreamCall
            The run that was given up.
        is_begun : bool
            Whether any of its answer had come.
        is_relayed : bool
            Whether another host passed the request on.
        """
        if len(self._tasks) >= MAX_CHECKS:
            return
        call = msgspec.structs.replace(call, body=b"", idle_timeout_ms=PROBE_LIMIT_MS)
        parts = () if is_begun else hold.brief.parts
        task = asyncio.create_task(self._run(hold, call, parts, is_relayed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, hold, call, parts, is_relayed):
        waited_ms = 0
        for after_ms in CHECK_AFTER_MS:
            await asyncio.sleep((after_ms - waited_ms) / MS_PER_S)
            waited_ms = after_ms
            if self._was_leaving(hold.upstream_id):
                return
            if await self._is_lost(call, is_relayed):
                self._report(hold, parts, after_ms)
                return

    async def _is_lost(self, call, is_relayed):
        found = asyncio.get_running_loop().create_future()
        self._check_link(call, functools.partial(_set_found, found), is_relayed)
        return await found

    def _report(self, hold, parts, after_ms):
        _log.warning(
            "upstream_lost_after_run",
            request=hold.brief.request_id,
            upstream=hold.upstream_id,
            fingerprint=f"{hold.brief.fingerprint:016x}",
            after_ms=after_ms,
        )
        self._report_lost(hold, parts)


def _set_found(found, is_link_at_fault, is_upstream_lost):
    if not found.done():
        found.set_result(is_upstream_lost)
