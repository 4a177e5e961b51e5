"""Another upstream for a stream whose upstream has fallen silent."""

import asyncio

from hemlockhoist.base import (
    MS_PER_S,
    DispatchError,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.decisions.entry import AttemptEnd, Step, next_step

_log = get_logger("entry.exchange")

_OK = 200


class StreamReplacement:
    """Has another upstream continue a stream, beside the silent one.

    Parameters
    ==========
    context : EntryContext
    admitted : AdmittedCall
    sender : AttemptSender
    grants : RequestGrants
    attempts : RequestAttempts
    """

    __slots__ = ("_admitted", "_attempts", "_context", "_grants", "_opened", "_sender")

    def __init__(self, context, admitted, sender, grants, attempts):
        self._context = context
        self._admitted = admitted
        self._sender = sender
        self._grants = grants
        self._attempts = attempts
        self._opened = None

    def take(self):
        """Return the attempt whose upstream has begun to answer, once, or None."""
        opened, self._opened = self._opened, None
        return opened

    async def close(self):
        """Close an attempt that was not taken."""
        opened = self.take()
        if opened is not None:
            await self._attempts.discard(opened)

    async def find(self, relay):
        """Have another upstream continue the current stream; return success.

        Parameters
        ==========
        relay : StreamRelay
        """
        step = next_step(
            AttemptEnd.TIMED_OUT,
            self._admitted.route,
            self._sender.may_have_run,
            self._attempts.sent_count + 1,
            self._attempts.unsent_count,
        )
        if step is not Step.TRY_ANOTHER:
            return False
        try:
            opened = await self._attempts.begin_beside()
        except Refused as error:
            self._log_kept(error.message, relay)
            return False
        if await self._open(opened, relay.first_data_limit_ms):
            self._opened = opened
            return True
        self._log_kept(opened.attempt.reason, relay)
        return False

    async def _open(self, opened, limit_ms):
        """Send to another upstream; return whether it has begun to answer.

        The silent upstream is read meanwhile, so that its stream goes on if it is the
        first to send something, or if the other one fails.
        """
        attempt, has_begun = opened.attempt, False
        try:
            with self._attempts.span(attempt), self._sender.failure_recorded(opened):
                await self._open_in_time(opened, limit_ms)
            has_begun = opened.end is None
        except Refused as error:
            attempt.reason = error.message
            opened.end = AttemptEnd.NOT_SENT
        finally:
            if not has_begun:
                await self._attempts.discard(opened)
        return has_begun

    async def _open_in_time(self, opened, limit_ms):
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await self._sender.open(opened)
                if opened.end is None and opened.head.status != _OK:
                    opened.attempt.reason = f"status {opened.head.status}"
                    opened.end = AttemptEnd.FAILED_ANSWER
                if opened.end is None:
                    await opened.response.wait_for_data()
        except TimeoutError as error:
            text = "the upstream sent no data within the stall limit"
            raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error

    def _log_kept(self, reason, relay):
        _log.info(
            "stream_kept",
            request=self._grants.request_id,
            upstream=self._grants.current.hold.upstream_id,
            silent_ms=relay.silent_ms(),
            reason=reason,
        )
