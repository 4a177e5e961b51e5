"""Operator query: to which upstream a request would be assigned.

The query at an entry host of a platform.
"""

import hmac

import msgspec
from aiohttp import web

from hemlockhoist.base import BadRequest, HemlockhoistError, ResultCode, get_logger
from hemlockhoist.decisions.entry import chained_hashes
from hemlockhoist.declarations import CallKind
from hemlockhoist.entry.admission import (
    DEFAULT_MAX_WAIT_MS,
    AdmittedCall,
    requires_key,
)
from hemlockhoist.entry.wire import CallerCall
from hemlockhoist.host.body import read_body
from hemlockhoist.host.responses import error_response
from hemlockhoist.host.where import placement_view
from hemlockhoist.host.where_messages import MAX_TOKENS, PlacementRequestBody
from hemlockhoist.messages import RequestBrief

_log = get_logger("entry.where")

MAX_BODY_BYTES = 1_048_576
BODY_TIMEOUT_MS = 3_000
# Names that an error lists; a site may have thousands of routes and customers.
MAX_NAMED = 10


class WhereHandler:
    """Answers ``POST /-/where``.

    Parameters
    ==========
    context : EntryContext
    key : str
        The operators' key.
    """

    __slots__ = ("_context", "_key")

    def __init__(self, context, key):
        self._context = context
        self._key = key

    async def handle(self, request):
        """Return the response to a request for ``WHERE_PATH``."""
        try:
            view = await self._view(request)
        except HemlockhoistError as error:
            return error_response(error)
        except Exception as error:
            _log.error("query_failed", exc_info=True)
            code = ResultCode.INTERNAL_ERROR
            return error_response(HemlockhoistError(repr(error), code))
        body = msgspec.json.format(msgspec.json.encode(view), indent=2) + b"\n"
        return web.Response(body=body, content_type="application/json")

    async def _view(self, request):
        text = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(text.encode(errors="replace"), self._key.encode()):
            raise BadRequest("", ResultCode.OPERATOR_KEY_WRONG)
        if request.method != "POST":
            raise BadRequest("method not allowed", ResultCode.NOT_FOUND)
        data = await read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS)
        try:
            body = msgspec.json.decode(data, type=PlacementRequestBody)
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise BadRequest(str(error)) from error
        context = self._context
        context.store_view.check_complete()
        admitted = described_call(body, context.store_view.routes)
        request_id = context.identity.new_request_id()
        brief = described_brief(admitted, request_id, context.identity.failure_domain)
        home, report = await context.placement_queries.ask(admitted.pool, brief)
        return placement_view(
            home,
            report,
            route=admitted.route.name,
            pool=admitted.pool,
            customer=admitted.customer.name if admitted.customer else "",
            tier=admitted.tier,
            prompt_tokens=admitted.call.prompt_tokens,
            output_tokens=admitted.output_tokens,
        )


def described_call(body, table):
    """Return the ``AdmittedCall`` that a query describes, arriving at time 0.

    Of a route with several pools, the one with the largest share is meant. On a route
    that needs no key, the customer is ignored as by ``Admission``.

    Parameters
    ==========
    body : PlacementRequestBody
    table : RouteTable

    Raises
    ======
    BadRequest
        With all faults of the body.
    """
    blocks, faults = _prefix_blocks(body.prefix)
    total = sum(count for _, count in blocks)
    faults = [*_route_faults(body, table), *faults, *_token_faults(body, total)]
    if faults:
        raise BadRequest("\n".join(faults))
    return _admitted(body, table, blocks, total)


def _routes_by_name(table):
    return {item.name: item for item in table.routes if item.shares}


def _route_faults(body, table):
    """Yield the faults of route, customer and tier."""
    routes = _routes_by_name(table)
    route = routes.get(body.route)
    if route is None:
        yield _fault("route", body.route, _names(routes))
    needs_customer = route is not None and requires_key(route, table)
    is_missing = needs_customer and not body.customer
    if is_missing or (body.customer and table.customer(body.customer) is None):
        allowed = _names(item.name for item in table.customers)
        if is_missing:
            allowed += "; requests for this route need a customer's key"
        yield _fault("customer", body.customer, allowed)
    if body.tier:
        yield _fault("tier", body.tier, "none; the customer and route")


def _prefix_blocks(parts):
    """Return the named blocks of a prefix with their token counts, and its faults."""
    blocks, faults = [], []
    for part in parts:
        name, _, count = part.rpartition(":")
        if not name or not _is_count(count):
            faults.append(_fault("prefix", part, f"NAME:TOKENS, up to {MAX_TOKENS}"))
        else:
            blocks.append((name, int(count)))
    return blocks, faults


def _token_faults(body, total):
    """Yield the faults of the token counts, ``total`` being that of the prefix."""
    if total > MAX_TOKENS:
        allowed = f"parts of up to {MAX_TOKENS} tokens in all"
        yield _fault("prefix", f"{total} tokens", allowed)
    prompt_tokens = body.prompt_tokens
    if prompt_tokens is not None and prompt_tokens < total:
        yield _fault("prompt_tokens", prompt_tokens, f"at least {total}")


def _admitted(body, table, blocks, total):
    """Return the ``AdmittedCall`` of a body without faults."""
    route = _routes_by_name(table)[body.route]
    customer = table.customer(body.customer) if requires_key(route, table) else None
    tokens = (body.prompt_tokens, body.max_tokens)
    call = CallerCall(
        request_id="",
        method="",
        target=route.prefix,
        host=route.host,
        prompt_tokens=total if body.prompt_tokens is None else body.prompt_tokens,
        max_output_tokens=body.max_tokens or 0,
        states_tokens=any(item is not None for item in tokens) or bool(total),
        prefix_blocks=tuple(blocks),
    )
    deadline_ms = min(DEFAULT_MAX_WAIT_MS, route.timeout_ms)
    return AdmittedCall(
        call=call,
        route=route,
        customer=customer,
        pool=max(route.shares, key=lambda share: share.weight).pool,
        arrived_ms=0,
        deadline_ms=deadline_ms,
        target_by_ms=route.target_ms,
        waits_until_ms=min(deadline_ms, route.caller_wait_limit_ms or deadline_ms),
        prefix_hashes=chained_hashes(name for name, _ in blocks),
    )


def described_brief(admitted, request_id, failure_domain):
    """Return the ``RequestBrief`` of a described call that has just arrived.

    Parameters
    ==========
    admitted : AdmittedCall
    request_id : str
        Of the query; no other request may have it.
    failure_domain : str
    """
    return RequestBrief(
        request_id=request_id,
        route=admitted.route.name,
        customer=admitted.customer.name if admitted.customer else "",
        tier_rank=admitted.rank,
        idempotent=admitted.route.kind is not CallKind.NON_IDEMPOTENT,
        prompt_tokens=admitted.call.prompt_tokens,
        output_tokens=admitted.output_tokens,
        deadline_in_ms=admitted.deadline_ms,
        first_token_in_ms=admitted.target_by_ms,
        max_wait_ms=admitted.waits_until_ms,
        max_gap_ms=admitted.route.max_gap_ms,
        failure_domain=failure_domain,
        units=admitted.units,
        prefix_hashes=admitted.prefix_hashes,
        prefix_tokens=admitted.prefix_tokens,
        regions=admitted.regions,
        parts=admitted.parts,
        is_stream=admitted.route.kind is CallKind.STREAM,
    )


def _fault(name, value, allowed):
    return f"{name}: is {value!r}; allowed: {allowed}"


def _names(names):
    names = sorted(names)
    more = f" and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else ""
    return (", ".join(names[:MAX_NAMED]) or "none declared") + more


def _is_count(text):
    is_number = (
        text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_TOKENS))
    )
    return is_number and int(text) <= MAX_TOKENS
