"""HTTP server of an entry host: readiness, the directory of hosts, and metrics."""

from aiohttp import web

from hemlockhoist.base import BadRequest, ResultCode
from hemlockhoist.base.exposition import exposition
from hemlockhoist.decisions.entry import (
    STATUS_CONNECTIONS,
    directory_limit,
    nearby_members,
)
from hemlockhoist.entry.memory import HeadMemory
from hemlockhoist.entry.responses import error_response
from hemlockhoist.entry.where import WhereHandler
from hemlockhoist.host.where_messages import WHERE_PATH
from hemlockhoist.listeners import HttpListener, descriptor_limit

# Time to live of a directory response: short, so that no new caller uses a host that
# left or failed for longer than a few seconds.
ADDRESS_TTL_MS = 2_000
MAX_ADDRESSES = 64
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusServer:
    """Serves readiness checks, the directory of hosts, and metrics.

    Parameters
    ==========
    context : EntryContext
    operator_key : str, optional
        Without it, and without an operator address, operators' queries are not served.
    """

    __slots__ = ("_context", "_listeners", "_where")

    def __init__(self, context, operator_key=""):
        self._context = context
        self._where = WhereHandler(context, operator_key) if operator_key else None
        self._listeners = []

    async def start(self):
        """Listen on the addresses of the settings."""
        settings = self._context.settings
        addresses = {
            settings.readiness_address,
            settings.directory_address,
            settings.operator_address,
            settings.metrics_address,
        }
        for address in sorted(filter(None, addresses)):
            is_operators = address == settings.operator_address
            handler = self._handle_operator if is_operators else self._handle
            listener = HttpListener.from_server(
                "status",
                web.Server(handler),
                address,
                bounds=self._bounds(address),
            )
            self._listeners.append(listener)
            await listener.start()

    def _bounds(self, address):
        """Return the bounds on the connections of one address."""
        settings = self._context.settings
        limit = STATUS_CONNECTIONS
        if address == settings.directory_address:
            limit += directory_limit(descriptor_limit(settings.max_descriptors))
        return {
            "options": {"access_log": None},
            "memory": HeadMemory(self._context.memory),
            "max_connections": limit,
            "on_cut": self._context.count_cut,
        }

    @property
    def addresses(self):
        """The addresses listened on, with the actual ports chosen by the kernel."""
        return [item.address for item in self._listeners]

    async def close(self):
        """Close all connections."""
        for listener in self._listeners:
            await listener.close()

    async def _handle_operator(self, request):
        if request.path == WHERE_PATH and self._where is not None:
            return await self._where.handle(request)
        return await self._handle(request)

    async def _handle(self, request):
        platform = self._context.platform
        if request.path == platform.readiness_path:
            return web.Response(status=200 if self.is_ready() else 503)
        if request.path == platform.directory_path:
            return self._directory(platform.parse_directory_query(request.query))
        if request.path == METRICS_PATH:
            body = exposition(self._context.metrics)
            return web.Response(body=body, headers={"Content-Type": METRICS_TYPE})
        error = BadRequest("", ResultCode.NOT_FOUND)
        return error_response(platform.wire, None, error)

    def is_ready(self):
        """Return whether this host can serve callers."""
        context = self._context
        if context.leaving or not context.store_view.is_complete:
            return False
        if not self._takes_callers():
            return False
        routes = context.store_view.routes
        return not routes.requires_keys or context.store_view.is_fresh()

    def _takes_callers(self):
        """Return whether a new caller is accepted within a moment."""
        callers = self._context.callers
        return callers is not None and callers.takes_callers

    def _directory(self, directory_query):
        context = self._context
        members = nearby_members(
            context.fleet.advertised_members(),
            context.settings.regions_by_domain,
            directory_query.region,
            context.store_view.regions_of(directory_query.host),
        )
        addresses = [member.caller_address for member in members]
        own = self._context.identity.address
        if not self.is_ready() and len(addresses) > 1:
            addresses = [item for item in addresses if item != own]
        ttl_ms = min(ADDRESS_TTL_MS, self._context.settings.bounds.address_ttl_ms)
        body = self._context.platform.directory_body(addresses[:MAX_ADDRESSES], ttl_ms)
        status = 200 if addresses else 503
        return web.Response(status=status, body=body, content_type="application/json")
