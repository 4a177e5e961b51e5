"""Serves ``POST /v1/chat/completions`` and resumes its streams."""

import msgspec
from aiohttp import web

from hemlockhoist.base import (
    DECODE_ERRORS,
    BadRequest,
    DispatchError,
    HemlockhoistError,
    ResultCode,
    get_logger,
    result_info,
)
from hemlockhoist.base.traces import Hop
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.quarantine import part_hashes
from hemlockhoist.declarations import PoolKind
from hemlockhoist.host.body import read_body
from hemlockhoist.host.completions import parse_chat, prefix_hashes, prompt_tokens
from hemlockhoist.host.dispatcher import EntryRequest
from hemlockhoist.host.relay import StreamHandedOver, StreamRelay, check_response
from hemlockhoist.host.responses import (
    json_response,
    result_headers,
    with_trace_context,
)
from hemlockhoist.host.sinks import (
    CallerDisconnected,
    CollectSink,
    EventSink,
    read_usage,
)
from hemlockhoist.host.stream_readers import FIRST_READER
from hemlockhoist.host.tokens import StreamTicket
from hemlockhoist.upstreams import SecondAnswer, UpstreamCall

_log = get_logger("host.chat")

CHAT_PATH = "/v1/chat/completions"
ROUTE = f"POST {CHAT_PATH}"
# Limit on the bytes read of an engine's error body; its start goes into the error
# message.
MAX_ERROR_BYTES = 65_536


class ChatHandlers:
    """Handles chat completion requests of callers.

    Parameters
    ==========
    context : HostContext
    """

    __slots__ = ("_context",)

    def __init__(self, context):
        self._context = context

    async def models(self, request):
        """Answer ``GET /v1/models``."""
        self._context.callers.authenticate(request.headers)
        pools = self._context.declarations.pools
        names = [pool.name for pool in pools if pool.kind is PoolKind.MODEL]
        data = [
            {"id": name, "object": "model", "owned_by": "hemlockhoist"}
            for name in names
        ]
        return json_response({"object": "list", "data": data})

    async def create(self, request):
        """Answer ``POST /v1/chat/completions``."""
        caller = self._context.callers.authenticate(request.headers)
        body = await read_body(
            request, self._max_body_bytes(), self._context.settings.body_timeout_ms
        )
        chat = parse_chat(body)
        pool = self._pool(chat.model)
        if len(body) > pool.max_body_bytes:
            text = f"request body exceeds {pool.max_body_bytes} bytes"
            raise BadRequest(text, ResultCode.BODY_TOO_LARGE)
        work = self._entry_request(request["request_id"], caller, pool, chat, body)
        sink = EventSink(request, work.request_id) if chat.stream else CollectSink()
        exchange = _ChatExchange(self._context, work, body, chat.stream, sink)
        return await self._answer(request, work, exchange, sink)

    def _max_body_bytes(self):
        pools = self._context.declarations.pools
        sizes = [p.max_body_bytes for p in pools if p.kind is PoolKind.MODEL]
        return max(sizes, default=0)

    def _pool(self, model):
        pool = self._context.declarations.pool(model)
        if pool is None or pool.kind is not PoolKind.MODEL:
            raise BadRequest(f"unknown model {model!r}", ResultCode.UNKNOWN_MODEL)
        return pool

    def _entry_request(self, request_id, caller, pool, chat, body):
        now_ms = self._context.clock.now_ms()
        prompt = chat.prompt_bytes()
        customer = caller.customer.name
        fingerprints = self._context.fingerprints
        tier = caller.tier
        return EntryRequest(
            request_id=request_id,
            pool=pool.name,
            route=ROUTE,
            customer=customer,
            tier=tier.name,
            tier_rank=tier.rank,
            weight=caller.customer.weight,
            max_in_flight=caller.customer.max_in_flight,
            idempotent=True,
            prompt_tokens=prompt_tokens(prompt),
            output_tokens=chat.output_tokens(pool.expected_output_tokens),
            prefix_hashes=prefix_hashes(prompt),
            parts=part_hashes(chat.part_names()),
            fingerprint=fingerprints.of(customer, "POST", CHAT_PATH, body),
            arrived_ms=now_ms,
            deadline_ms=now_ms + tier.deadline_ms,
            first_token_by_ms=now_ms + tier.first_token_target_ms,
            failure_domain=self._context.identity.failure_domain,
        )

    async def _answer(self, request, work, exchange, sink):
        try:
            await self._context.dispatcher.run(work, exchange.consume)
            if isinstance(sink, CollectSink):
                return _completion(sink, exchange, work)
            return await sink.finish()
        except StreamHandedOver:
            return await sink.finish()
        except CallerDisconnected:
            address = exchange.hold.address
            self._context.stream_readers.on_left(work.request_id, FIRST_READER, address)
            return web.Response(status=result_info(ResultCode.CANCELLED).http_status)
        except HemlockhoistError as error:
            if not sink.started:
                raise
            return await _end_with_error(sink, error)

    async def resume(self, request):
        """Answer ``GET /v1/streams/{token}?offset=N`` with the rest of a stream.

        Resuming does not dispatch the request again: the engine continues the stream
        that it has begun.
        """
        caller = self._context.callers.authenticate(request.headers)
        token = request.match_info["token"]
        ticket = self._context.tokens.read(token)
        if ticket.customer != caller.customer.name:
            raise BadRequest("", ResultCode.UNKNOWN_STREAM)
        reader_id = request["request_id"]
        request["request_id"] = ticket.request_id
        self._context.stream_readers.report_resumed(ticket, reader_id)
        sink = EventSink(request, ticket.request_id, token)
        relay = StreamRelay(
            self._context.upstreams,
            self._context.clock,
            self._context.invariants,
            ticket.address,
            ticket.request_id,
            sink,
            self._context.handover,
            _read_offset(request),
        )
        return await self._answer_resumed(relay, sink, ticket, reader_id)

    async def _answer_resumed(self, relay, sink, ticket, reader_id):
        try:
            with self._context.traces.span(Hop.RESUME):
                await relay.run(None)
            return await sink.finish()
        except StreamHandedOver:
            return await sink.finish()
        except CallerDisconnected:
            self._context.stream_readers.report_left(ticket, reader_id)
            return web.Response(status=result_info(ResultCode.CANCELLED).http_status)
        except HemlockhoistError as error:
            if not sink.started:
                raise
            return await _end_with_error(sink, error)


def _read_offset(request):
    text = request.query.get("offset") or request.headers.get("Last-Event-ID")
    if text is None:
        return 0
    if not text.isdecimal():
        raise BadRequest("offset: must be an integer of at least 0")
    # The header holds the offset of the last event received, the parameter that of the
    # next event requested.
    return int(text) if "offset" in request.query else int(text) + 1


async def _end_with_error(sink, error):
    try:
        await sink.fail(error)
        return await sink.finish()
    except CallerDisconnected:
        return web.Response(status=error.info.http_status)


def _completion(sink, exchange, work):
    response = json_response(sink.completion())
    response.headers.update(result_headers(ResultCode.OK, work.request_id))
    response.headers["X-Upstream-Version"] = exchange.hold.version
    return response


class _ChatExchange:
    """Sends one granted chat request upstream and relays its stream to the end."""

    __slots__ = ("_body", "_context", "_sink", "_work", "hold", "relay")

    def __init__(self, context, work, body, stream, sink):
        self._context = context
        self._work = work
        self._body = body if stream else _as_streaming(body)
        self._sink = sink
        self.hold = None
        self.relay = None

    async def consume(self, hold, report):
        """Send the request, relay its stream and fill the dispatch report."""
        self.hold = hold
        if isinstance(self._sink, EventSink):
            self._sink.set_token(self._token(hold))
        self.relay = StreamRelay(
            self._context.upstreams,
            self._context.clock,
            self._context.invariants,
            hold.address,
            self._work.request_id,
            self._sink,
            self._context.handover,
            on_first=lambda: self._report_first_token(hold, report),
        )
        try:
            await self._exchange(hold, report)
            report.kind = OutcomeKind.SUCCESS
        except CallerDisconnected:
            report.kind = OutcomeKind.CANCELLED
            raise
        except StreamHandedOver:
            report.kind = OutcomeKind.SUCCESS
            report.is_continued = True
            raise
        finally:
            self._fill_report(report)

    def _report_first_token(self, hold, report):
        first_token_ms = self.relay.first_event_ms - report.guard.dispatched_ms
        self._context.grants.report_first_token(hold, first_token_ms)

    async def _exchange(self, hold, report):
        client = self._context.upstreams
        report.call = self._call(hold)
        try:
            async with client.dispatch(report.call, report.guard) as answer:
                check_response(answer, self._work.request_id)
                if answer.status != 200:
                    await self._raise_status(answer)
                await self.relay.run(answer)
        except DispatchError as error:
            report.is_upstream_lost = await self._has_ended(hold, report, error)
            if error.code not in _RESUMABLE or self.relay.event_count:
                raise
            # The connection broke after the request was sent and before any event
            # arrived, or it carried the answer to another request. If the engine has
            # the stream, resuming it still gives the caller its own answer.
            await self._resume_from_start(error)

    async def _has_ended(self, hold, report, error):
        """Return whether the engine has ended, also if it has started again since."""
        if self.relay.event_count and error.code is ResultCode.UNKNOWN_STREAM:
            # The engine has lost what it had begun: it is another process now.
            return True
        if error.code not in _RESUMABLE or report.guard.relay:
            return False
        client = self._context.upstreams
        is_link_at_fault, is_lost = await client.find_fault(self._call(hold))
        return is_lost or (self.relay.was_refused and not is_link_at_fault)

    async def _resume_from_start(self, error):
        try:
            await self.relay.run(None)
        except DispatchError:
            raise error from None

    async def _raise_status(self, answer):
        text = f"engine status {answer.status}"
        try:
            body = await answer.read(MAX_ERROR_BYTES)
        except SecondAnswer as error:
            raise DispatchError(text, ResultCode.UPSTREAM_FAILED) from error
        # A second answer may stand behind an error of uncertain end.
        if answer.body_end.is_certain or _is_json(body):
            text += f": {body[:500].decode(errors='replace')}"
        raise DispatchError(text, ResultCode.UPSTREAM_FAILED)

    def _call(self, hold):
        now_ms = self._context.clock.now_ms()
        return UpstreamCall(
            address=hold.address,
            method="POST",
            path=CHAT_PATH,
            headers=with_trace_context((("Content-Type", "application/json"),)),
            body=self._body,
            request_id=self._work.request_id,
            idle_timeout_ms=max(1, self._work.deadline_ms - now_ms),
            pool=hold.pool,
            upstream_id=hold.upstream_id,
            version=hold.version,
        )

    def _token(self, hold):
        ticket = StreamTicket(
            request_id=self._work.request_id,
            pool=hold.pool,
            customer=self._work.customer,
            address=hold.address,
            version=hold.version,
            owner=self._context.identity.host_id,
        )
        return self._context.tokens.sign(ticket)

    def _fill_report(self, report):
        report.first_ms = self.relay.first_event_ms
        usage = read_usage(self.relay.last_event)
        report.output_tokens = self.relay.event_count
        if usage is not None:
            report.output_tokens = usage.completion_tokens
            details = usage.prompt_tokens_details
            report.cached_tokens = details.cached_tokens if details else 0


_RESUMABLE = frozenset(
    {
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.UPSTREAM_BROKE_OFF,
        ResultCode.ANSWER_MISMATCH,
    }
)


def _is_json(body):
    try:
        msgspec.json.decode(body)
    except DECODE_ERRORS:
        return False
    return True


def _as_streaming(body):
    """Return the body of a non-streaming request, changed to request a stream.

    A stream is always requested from the engine, since only streams can be resumed; a
    non-streaming caller receives the collected answer.
    """
    payload = msgspec.json.decode(body)
    payload["stream"] = True
    return msgspec.json.encode(payload)
