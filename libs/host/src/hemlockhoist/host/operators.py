"""HTTP API for operators under ``/-/``."""

import hmac

import msgspec
from aiohttp import web

from hemlockhoist.base import BadRequest, PlatformError, ResultCode, get_logger
from hemlockhoist.decisions.versions import MoveRequest
from hemlockhoist.host.body import read_body
from hemlockhoist.host.operator_messages import (
    DECLARATIONS_PATH,
    DRAIN_PATH,
    HISTORY_PATH,
    MOVES_PATH,
    PARTS_PATH,
    STATUS_PATH,
    DeclarationChange,
    DeclarationsView,
    HistoryView,
    HostVersion,
    MovesView,
    MoveView,
    PartsView,
    part_view,
)
from hemlockhoist.host.responses import result_headers
from hemlockhoist.host.where import DescribedRequest
from hemlockhoist.host.where_messages import WHERE_PATH, PlacementRequestBody

_log = get_logger("host.operators")

# The declarations of the largest fleet take less than 1 MB.
MAX_BODY_BYTES = 4_194_304


class OperatorHandlers:
    """Handles requests of operators' commands.

    Parameters
    ==========
    context : HostContext
    declarations : OperatorDeclarations
    begin_drain : callable
        Called without arguments when an operator drains this host.
    """

    __slots__ = ("_begin_drain", "_context", "_declarations")

    def __init__(self, context, declarations, begin_drain):
        self._context = context
        self._declarations = declarations
        self._begin_drain = begin_drain

    def add_routes(self, router):
        """Add the routes of the API to an application's router."""
        router.add_get(STATUS_PATH, self._require_key(self._status))
        router.add_post(DRAIN_PATH, self._require_key(self._drain))
        router.add_get(DECLARATIONS_PATH, self._require_key(self._read))
        router.add_put(DECLARATIONS_PATH, self._require_key(self._apply))
        router.add_get(HISTORY_PATH, self._require_key(self._history))
        router.add_get(MOVES_PATH, self._require_key(self._moves))
        router.add_post(MOVES_PATH, self._require_key(self._start_move))
        router.add_delete(
            MOVES_PATH + "/{move_id}", self._require_key(self._cancel_move)
        )

        router.add_get(PARTS_PATH, self._require_key(self._parts))
        router.add_delete(PARTS_PATH + "/{part}", self._require_key(self._lift_part))
        router.add_post(WHERE_PATH, self._require_key(self._where))

    def _require_key(self, handler):
        """Return a handler that checks the operator's key before ``handler`` runs."""

        async def handle(request):
            self._authenticate(request.headers)
            return await handler(request)

        return handle

    def _authenticate(self, headers):
        text = headers.get("Authorization", "").removeprefix("Bearer ")
        key = self._context.settings.operator_key
        if not hmac.compare_digest(text.encode(), key.encode()):
            raise BadRequest("", ResultCode.OPERATOR_KEY_WRONG)

    async def _status(self, request):
        return _json_response(host_status(self._context))

    async def _drain(self, request):
        self._begin_drain()
        return _json_response({"leaving": True, "host": self._context.identity.name})

    async def _read(self, request):
        in_force = self._context.declarations
        try:
            stored = await self._declarations.current()
            declarations = stored.declarations
        except PlatformError:
            # Operators must see the declarations in force even while the store is down.
            declarations = in_force
        view = DeclarationsView(
            version=declarations.version,
            hosts=await self._host_versions(declarations.version),
            declarations=declarations,
        )
        return _json_response(view)

    async def _host_versions(self, version):
        versions = await self._context.configuration.versions_in_force(version)
        return tuple(
            HostVersion(host_id=host, version=version)
            for host, version in sorted(versions.items())
        )

    async def _apply(self, request):
        change = await self._decode(request, DeclarationChange)
        result = await self._declarations.apply(change)
        self._context.configuration.read_now()
        return _json_response(result)

    async def _history(self, request):
        return _json_response(HistoryView(entries=await self._declarations.history()))

    async def _moves(self, request):
        rows = await self._context.moves.rows()
        return _json_response(MovesView(moves=tuple(move_view(row) for row in rows)))

    async def _start_move(self, request):
        order = await self._decode(request, MoveRequest)
        row = await self._context.moves.order(order)
        _log.info("move_ordered", move_id=row.move_id, pool=row.pool, author=row.author)
        return _json_response(move_view(row))

    async def _cancel_move(self, request):
        move_id = request.match_info["move_id"]
        reason = request.query.get("reason", "cancelled by an operator")
        author = request.query.get("author", "operator")
        row = await self._context.moves.cancel(move_id, reason, author)
        return _json_response(move_view(row))

    async def _parts(self, request):
        return _json_response(self._parts_view())

    def _parts_view(self):
        records = self._context.quarantine.records()
        known = (item for item in records if item.crashes or item.state)
        return PartsView(parts=tuple(part_view(record) for record in known))

    async def _lift_part(self, request):
        """Withdraw the evidence against a part or request, so that it is sent again."""
        text = request.match_info["part"]
        parts = {item.part for item in self._parts_view().parts}
        if text not in parts:
            raise BadRequest(f"no evidence against {text!r}", ResultCode.PART_UNKNOWN)
        author = request.query.get("author", "operator")
        reason = request.query.get("reason", "")
        _log.info("part_lifted", part=text, author=author, reason=reason)
        self._context.quarantine.lift(int(text, 16))
        return _json_response(self._parts_view())

    async def _where(self, request):
        """Answer to which upstream a request would be assigned."""
        context = self._context
        body = await self._decode(request, PlacementRequestBody)
        described = DescribedRequest(body, context.declarations)
        identity = context.identity
        brief = described.brief(identity.new_request_id(), identity.failure_domain)
        home, report = await context.placement_queries.ask(described.pool.name, brief)
        return _json_response(described.view(home, report))

    async def _decode(self, request, kind):
        timeout_ms = self._context.settings.body_timeout_ms
        body = await read_body(request, MAX_BODY_BYTES, timeout_ms)
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise BadRequest(str(error)) from error


def move_view(row):
    """Return the view of a move's row for operators."""
    return MoveView(
        move_id=row.move_id,
        pool=row.pool,
        from_version=row.from_version,
        to_version=row.to_version,
        state=row.state.value,
        started_unix_ms=row.started_unix_ms,
        moved_by_unix_ms=row.moved_by_unix_ms,
        share_permille=row.share_permille,
        reason=row.reason,
        author=row.author,
    )


def host_status(context):
    """Return the status document of a host."""
    identity = context.identity
    return {
        "host": identity.name,
        "address": identity.address,
        "peer_address": identity.host_id,
        "incarnation": identity.incarnation,
        "failure_domain": identity.failure_domain,
        "leaving": context.leaving,
        "evacuated_domains": context.declarations.evacuations(),
        "declarations_version": context.declarations.version,
        "open_requests": context.open_requests,
        "grants_held": len(context.grants.held()),
        "keys_in_progress": context.ledger.in_progress,
        "peer_bytes_sent": context.bus.bytes_sent(),
        "peer_bytes_received": context.bus.bytes_received,
        "hosts": [_member_status(item) for item in context.fleet.members()],
        "pools": [_pool_status(context, pool) for pool in context.declarations.pools],
        "upstreams": [_upstream_status(item) for item in context.homes.upstreams()],
        "tiers": [_tier_status(tier) for tier in context.declarations.tiers],
        "parts": [
            msgspec.to_builtins(part_view(record))
            for record in context.quarantine.records()
            if record.state
        ],
        "leases": context.moves.leases(),
        "moves": list(context.moves.events),
        "checks": {p.name: n for p, n in context.invariants.checks.items()},
        "violations": {p.name: n for p, n in context.invariants.violations.items()},
        "settings": context.settings.masked(),
    }


def _member_status(member):
    return {
        "address": member.caller_address,
        "peer_address": member.address,
        "incarnation": member.incarnation,
        "failure_domain": member.failure_domain,
    }


def _upstream_status(upstream):
    return {
        "upstream": upstream.upstream_id,
        "pool": upstream.pool,
        "version": upstream.version,
        "address": upstream.address,
        "failure_domain": upstream.failure_domain,
        "state": upstream.state.value,
    }


def _tier_status(tier):
    return {
        "tier": tier.name,
        "rank": tier.rank,
        "deadline_ms": tier.deadline_ms,
        "first_token_target_ms": tier.first_token_target_ms,
    }


def _pool_status(context, pool):
    status = {"pool": pool.name, "home": context.homes.home_of(pool.name)}
    home = context.homes.find(pool.name)
    if home is not None:
        queued, granted = home.counts()
        status |= {
            "queued": queued,
            "granted": granted,
            "recovered_ms": home.recovered_ms,
            "first_grant_ms": home.first_grant_ms,
        }
    return status


def _json_response(payload):
    body = msgspec.json.format(msgspec.json.encode(payload), indent=2) + b"\n"
    headers = result_headers(ResultCode.OK, "")
    return web.Response(body=body, headers=headers, content_type="application/json")
