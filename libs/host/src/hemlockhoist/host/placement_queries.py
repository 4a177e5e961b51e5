"""Operator query: to which upstream a request would be assigned.

The messages between the host that is asked and the pool's home.
"""

import asyncio

from hemlockhoist.base import MS_PER_S, Refused, ResultCode, get_logger
from hemlockhoist.decisions.limits import QueryLimiter
from hemlockhoist.host.work_requests import work_request
from hemlockhoist.messages import PlacementQuery, PlacementReply

_log = get_logger("host.placement_queries")

# A home answers within some hundredths of a second. The time covers a lost connection
# that is replaced, and ends well before that of the operator's command.
ANSWER_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_000


class PlacementQueries:
    """Asks the homes of pools, and answers for the homes at this host.

    Parameters
    ==========
    context : HostContext
    send : callable
        ``send(host_id, message)``.
    """

    __slots__ = ("_context", "_limiter", "_send", "_waiting")

    def __init__(self, context, send):
        self._context = context
        self._send = send
        self._limiter = QueryLimiter()
        # The futures of the replies, by the id of the query.
        self._waiting = {}

    async def ask(self, pool, brief):
        """Return the host id of a pool's home, and its report on a request.

        Parameters
        ==========
        pool : str
        brief : RequestBrief

        Returns
        =======
        (str, PlacementReport)

        Raises
        ======
        Refused
            No home is known or it does not answer, it was asked too often, or the
            pool's state is too large.
        """
        home = self._context.homes.home_of(pool)
        if not home:
            text = f"no home of {pool} is known"
            raise Refused(text, ResultCode.HOME_UNREACHABLE, RETRY_AFTER_MS)
        if home == self._context.identity.host_id:
            return home, self._report(pool, brief, home, 0)
        reply = await self._reply_of(home, pool, brief)
        if reply.code or reply.report is None:
            _raise_refusal(home, pool, reply.code, reply.retry_after_ms)
        return home, reply.report

    async def _reply_of(self, home, pool, brief):
        query_id = brief.request_id
        future = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = future
        self._send(home, PlacementQuery(pool=pool, query_id=query_id, brief=brief))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                return await future
        except TimeoutError:
            text = (
                f"the home of {pool}, {home}, did not answer within "
                f"{ANSWER_TIMEOUT_MS} ms; a host of an earlier release does not know "
                "the query"
            )
            raise Refused(text, ResultCode.HOME_UNREACHABLE, RETRY_AFTER_MS) from None
        finally:
            del self._waiting[query_id]

    def on_query(self, sender, message, late_ms=0):
        """Answer the query of another host.

        Parameters
        ==========
        sender : str
        message : PlacementQuery
        late_ms : int, optional
            Time since the message was sent.
        """
        query_id = message.query_id
        try:
            report = self._report(message.pool, message.brief, sender, late_ms)
            reply = PlacementReply(query_id=query_id, report=report)
        except Refused as error:
            reply = PlacementReply(
                query_id=query_id,
                code=int(error.code),
                retry_after_ms=error.retry_after_ms,
            )
        except Exception as error:
            # The asking host would otherwise wait for its whole time limit.
            _log.error("placement_query_failed", reason=repr(error), exc_info=True)
            code = int(ResultCode.INTERNAL_ERROR)
            reply = PlacementReply(query_id=query_id, code=code)
        self._send(sender, reply)

    def on_reply(self, message):
        """Pass a ``PlacementReply`` to the query that waits for it, if any does."""
        future = self._waiting.get(message.query_id)
        if future is not None and not future.done():
            future.set_result(message)

    def _report(self, pool, brief, entry_host, late_ms):
        context = self._context
        home = context.homes.find(pool)
        if home is None:
            raise Refused("", ResultCode.HOME_UNREACHABLE, RETRY_AFTER_MS)
        wait_ms = self._limiter.try_begin(context.clock.now_ms())
        if wait_ms:
            raise Refused("", ResultCode.QUERY_TOO_FREQUENT, wait_ms)
        try:
            now_ms = context.clock.now_ms()
            return home.dry_run(work_request(brief, entry_host, now_ms - late_ms))
        finally:
            self._limiter.end(context.clock.now_ms())


def _raise_refusal(home, pool, code, retry_after_ms):
    """Raise the refusal in a reply; one with a code of a later release as well.

    A reply with neither a code nor a report is treated like one with an unknown code.
    """
    try:
        code = ResultCode(code) or ResultCode.INTERNAL_ERROR
    except ValueError:
        code = ResultCode.INTERNAL_ERROR
    text = ""
    if code is ResultCode.HOME_UNREACHABLE:
        text = f"{home} is not the home of {pool} any more"
    elif code is ResultCode.QUERY_TOO_COSTLY:
        text = f"{home} would copy too many objects of {pool}"
    elif code is ResultCode.INTERNAL_ERROR:
        text = f"the home of {pool}, {home}, failed to answer; see its log"
    raise Refused(text, code, retry_after_ms)
