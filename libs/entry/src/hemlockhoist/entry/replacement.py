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
from hemlockhoist.upstreams import AnswerNotBegun

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

    __slots__ = (
        "_admitted",
        "_attempts",
        "_context",
        "_ended",
        "_grants",
        "_opened",
        "_sender",
    )

    def __init__(self, context, admitted, sender, grants, attempts):
        self._context = context
        self._admitted = admitted
        self._sender = sender
        self._grants = grants
        self._attempts = attempts
        self._opened = None
        self._ended = None

    def take_ended(self):
        """Return the attempt whose upstream had nothing to add, once, or None."""
        ended, self._ended = self._ended, None
        return ended

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

        Also if the other one shows, as weakly as an unframed answer can, that nothing
        follows: it has ended its answer in order without a byte, and lives on.

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
        if await self._open(opened, relay):
            self._opened = opened
            return True
        if opened.end is AttemptEnd.UNCONFIRMED and await self._has_ended(relay):
            self._ended = opened.attempt
            return True
        self._log_kept(opened.attempt.reason, relay)
        return False

    async def _has_ended(self, relay):
        """Return whether the stream ends after the other upstream's empty answer.

        It does not if that upstream was killed, or if the silent one has begun to send
        more.
        """
        if not relay.may_have_ended or await self._attempts.is_unconfirmed_broken():
            return False
        if not relay.may_have_ended:
            return False
        relay.on_nothing_follows()
        return True

    async def _open(self, opened, relay):
        """Send to another upstream; return whether it has begun to answer.

        The silent upstream is read meanwhile, so that its stream goes on if it is the
        first to send something, or if the other one fails.
        """
        attempt, has_begun = opened.attempt, False
        try:
            with self._attempts.span(attempt), self._sender.failure_recorded(opened):
                await self._open_in_time(opened, relay)
            has_begun = opened.end is None
        except Refused as error:
            attempt.reason = error.message
            opened.end = AttemptEnd.NOT_SENT
        finally:
            if not has_begun:
                await self._attempts.discard(opened)
        return has_begun

    async def _open_in_time(self, opened, relay):
        limit_s = relay.first_data_limit_ms / MS_PER_S
        try:
            async with asyncio.timeout(limit_s) as limit:
                await self._sender.open(opened)
                if opened.end is None and opened.head.status != _OK:
                    opened.attempt.reason = f"status {opened.head.status}"
                    opened.end = AttemptEnd.FAILED_ANSWER
                if opened.end is None:
                    await self._find_event(opened, relay, limit, limit_s)
        except TimeoutError as error:
            text = "the upstream sent no data within the stall limit"
            raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error

    async def _find_event(self, opened, relay, limit, limit_s):
        """Read to the first event that the caller lacks, or the end of the stream.

        Failure prevented: the silent upstream is given up for one that repeats some
        events that the caller has, and ends.
        """
        loop = asyncio.get_running_loop()
        ahead = opened.read_ahead = relay.read_ahead(opened.response)
        try:
            if await ahead.find_event(lambda: limit.reschedule(loop.time() + limit_s)):
                return
        except AnswerNotBegun as error:
            if not relay.may_have_ended:
                raise
            opened.attempt.reason = error.message
        if not ahead.has_reached_caller:
            text = "the stream ended before the event that it was to go on from"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        if not opened.response.body_end.is_certain:
            self._end_uncertain(opened, relay)

    def _end_uncertain(self, opened, relay):
        """End an attempt that had nothing to add, and proves nothing by that."""
        if not relay.may_have_ended:
            text = "the stream ended without the rest that had been begun"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        opened.end = AttemptEnd.UNCONFIRMED

    def _log_kept(self, reason, relay):
        _log.info(
            "stream_kept",
            request=self._grants.request_id,
            upstream=self._grants.current.hold.upstream_id,
            silent_ms=relay.silent_ms(),
            reason=reason,
        )
