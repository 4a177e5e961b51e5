"""Forwards plain service calls: any method, body and headers, sent at most once."""

from aiohttp import web

from hemlockhoist.base import BadRequest, DispatchError, ResultCode
from hemlockhoist.base.traces import TRACEPARENT
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.decisions.ledger import fingerprint_request
from hemlockhoist.declarations import PoolKind
from hemlockhoist.host.body import read_body
from hemlockhoist.host.callers import TIER_HEADER
from hemlockhoist.host.dispatcher import EntryRequest
from hemlockhoist.host.relay import check_response
from hemlockhoist.host.responses import result_headers, with_trace_context
from hemlockhoist.listeners import OpaqueHeaders, UnframedResponse
from hemlockhoist.messages import StoredAnswer
from hemlockhoist.upstreams import UpstreamCall, check_head, end_to_end_headers

SERVICES_PREFIX = "/services"
KEY_HEADER = "Idempotency-Key"
# Limit on a response, which is read completely before its head is sent to the caller,
# so that a caller never holds part of a response that cannot be fetched again.
MAX_RESPONSE_BYTES = 8_388_608
_SERVER_ERROR = 500
# Errors after which it is looked up whether the upstream has ended.
_BROKEN = frozenset({ResultCode.OUTCOME_UNKNOWN, ResultCode.UPSTREAM_BROKE_OFF})

# Headers that describe this hop, or are set again for the next one.
# A caller's key is valid for this proxy and must not be forwarded to the upstreams.
_DROPPED_FROM_REQUESTS = frozenset(
    {
        "authorization",
        "host",
        TIER_HEADER.lower(),
        TRACEPARENT,
        "tracestate",
        "x-request-id",
    }
)
_DROPPED_FROM_ANSWERS = frozenset(
    {"host", "x-request-id", "x-result-code", "x-request-ran"}
)


class ServiceHandlers:
    """Handles callers' requests to plain services.

    Parameters
    ==========
    context : HostContext
    """

    __slots__ = ("_context",)

    def __init__(self, context):
        self._context = context

    async def handle(self, request):
        """Answer any call under ``/services/{service}/``."""
        context = self._context
        caller = context.callers.authenticate(request.headers)
        pool = self._pool(request.match_info["service"])
        path = path_within_service(request)
        idempotent = pool.is_idempotent(request.method, path)
        body = await read_body(
            request, pool.max_body_bytes, context.settings.body_timeout_ms
        )
        work = self._entry_request(request, caller, pool, path, idempotent, body)
        exchange = _ServiceExchange(context, work, request, body)
        if idempotent:
            answer = await context.dispatcher.run(work, exchange.consume)
        else:
            answer = await self._run_non_idempotent(request, work, exchange, body)
        return _response(answer, work.request_id)

    def _pool(self, name):
        pool = self._context.declarations.pool(name)
        if pool is None or pool.kind is not PoolKind.SERVICE:
            raise BadRequest(f"unknown service {name!r}", ResultCode.UNKNOWN_SERVICE)
        return pool

    def _entry_request(self, request, caller, pool, path, idempotent, body):
        now_ms = self._context.clock.now_ms()
        tier = caller.tier
        return EntryRequest(
            request_id=request["request_id"],
            pool=pool.name,
            route=route_label(pool, request.method, path),
            customer=caller.customer.name,
            tier=tier.name,
            tier_rank=tier.rank,
            weight=caller.customer.weight,
            max_in_flight=caller.customer.max_in_flight,
            idempotent=idempotent,
            fingerprint=self._context.fingerprints.of(
                caller.customer.name, request.method, request.rel_url.raw_path_qs, body
            ),
            arrived_ms=now_ms,
            deadline_ms=now_ms + tier.deadline_ms,
            first_token_by_ms=now_ms + tier.first_token_target_ms,
            failure_domain=self._context.identity.failure_domain,
        )

    async def _run_non_idempotent(self, request, work, exchange, body):
        """Run a non-idempotent call at most once in the fleet per idempotency key."""
        key_text = request.headers.get(KEY_HEADER)
        if key_text is None:
            raise BadRequest("", ResultCode.KEY_REQUIRED)
        path = request.rel_url.raw_path_qs
        fingerprint = fingerprint_request(request.method, path, body)
        ledger = self._context.ledger
        claim = await ledger.claim(work.customer, key_text, fingerprint)
        if claim.answer is not None:
            return claim.answer
        return await ledger.run(
            claim.attempt,
            lambda on_dispatch: self._context.dispatcher.run(
                work, exchange.consume, on_dispatch
            ),
        )


def path_within_service(request):
    """Return the path of a call after its service's name, encoded as received."""
    raw_path = request.rel_url.raw_path.removeprefix(SERVICES_PREFIX + "/")
    return "/" + raw_path.partition("/")[2]


def route_label(pool, method, path):
    """Return the route label under which a call counts as evidence for a version.

    Parameters
    ==========
    pool : Pool
    method, path : str

    Notes
    =====
    Paths may contain ids, and with the full path each id would be a separate route with
    too little evidence. The first segment is enough to distinguish kinds of call, such
    as lookups from bookings.
    """
    first = path.split("/", 2)[1] if path != "/" else ""
    return f"{method} {SERVICES_PREFIX}/{pool.name}/{first}"


class _ServiceExchange:
    """Sends one granted call upstream and reads its complete answer."""

    __slots__ = ("_body", "_context", "_request", "_work")

    def __init__(self, context, work, request, body):
        self._context = context
        self._work = work
        self._request = request
        self._body = body

    async def consume(self, hold, report):
        """Send the call and return its answer, as whole as can be known."""
        try:
            answer = await self._exchange(hold, report)
        except DispatchError as error:
            if error.code in _BROKEN and not report.guard.relay:
                client, call = self._context.upstreams, self._call(hold)
                _, report.is_upstream_lost = await client.find_fault(call)
            raise
        if not answer.is_end_certain:
            await self._check_end(hold, report)
        return answer

    async def _check_end(self, hold, report):
        """Reject an answer of uncertain end that was lost with its upstream or link.

        It is not asked for again: a service that never states a length would run each
        request twice.
        """
        (
            is_link_at_fault,
            report.is_upstream_lost,
        ) = await self._context.upstreams.find_fault(
            self._call(hold), bool(report.guard.relay)
        )
        if is_link_at_fault or report.is_upstream_lost:
            text = "the upstream was lost at the end of an answer without a stated end"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)

    async def _exchange(self, hold, report):
        client = self._context.upstreams
        report.call = self._call(hold)
        async with client.dispatch(report.call, report.guard) as answer:
            check_response(answer, self._work.request_id)
            report.first_ms = self._context.clock.now_ms()
            body = await answer.read(MAX_RESPONSE_BYTES)
            failed = answer.status >= _SERVER_ERROR
            report.kind = OutcomeKind.FAILED if failed else OutcomeKind.SUCCESS
            headers = end_to_end_headers(answer.headers, _DROPPED_FROM_ANSWERS)
            return StoredAnswer(
                status=answer.status,
                headers=headers,
                body=body,
                is_end_certain=answer.body_end.is_certain,
            )

    def _call(self, hold):
        now_ms = self._context.clock.now_ms()
        path = path_within_service(self._request)
        query = self._request.rel_url.raw_query_string
        return UpstreamCall(
            address=hold.address,
            method=self._request.method,
            path=path + (f"?{query}" if query else ""),
            headers=with_trace_context(
                end_to_end_headers(self._request.headers, _DROPPED_FROM_REQUESTS)
            ),
            body=self._body,
            request_id=self._work.request_id,
            idle_timeout_ms=max(1, self._work.deadline_ms - now_ms),
            pool=hold.pool,
            upstream_id=hold.upstream_id,
            version=hold.version,
            is_repeatable=self._work.idempotent,
        )


class _ServiceResponse(OpaqueHeaders, web.Response):
    """The answer of a service, for its caller."""


def _response(answer, request_id):
    code = ResultCode.OK
    if answer.status >= _SERVER_ERROR:
        code = ResultCode.UPSTREAM_FAILED
    check_head(answer.status, answer.headers)
    if answer.is_end_certain:
        response = _ServiceResponse(status=answer.status, body=answer.body)
    else:
        response = UnframedResponse(answer.status, answer.body)
    for name, value in answer.headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    response.headers.update(result_headers(code, request_id))
    return response
