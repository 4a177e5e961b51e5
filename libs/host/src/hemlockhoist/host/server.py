"""The HTTP server for callers and operators."""

import ssl

from aiohttp import web

from hemlockhoist.base import (
    BadRequest,
    HemlockhoistError,
    Property,
    Ran,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.base.metrics_table import REQUESTS_ENDED
from hemlockhoist.base.traces import Hop, parent_from_headers
from hemlockhoist.host.chat import CHAT_PATH
from hemlockhoist.host.responses import CODE_HEADER, error_response
from hemlockhoist.host.services import SERVICES_PREFIX

_log = get_logger("host.server")

HOSTS_PATH = "/v1/hosts"
OPERATORS_PREFIX = "/-/"
# A new host has its declarations within a second or two, of the store or of a peer.
NOT_READY_RETRY_MS = 2_000
# Callers keep connections between requests for this long; a leaving host tells them
# to close instead.
KEEP_ALIVE_S = 60.0
# How long the listening socket is kept open for callers who hold a cached address is
# the address's time to live; what then comes on open connections is still answered.
SHUTDOWN_TIMEOUT_S = 1.0


class HttpServer:
    """Serves callers and operators on one address.

    Parameters
    ==========
    context : HostContext
    chat : ChatHandlers
    services : ServiceHandlers
    operators : OperatorHandlers
    """

    __slots__ = ("_context", "_runner", "_site", "address")

    def __init__(self, context, chat, services, operators):
        self._context = context
        limit = context.settings.max_header_bytes
        application = web.Application(middlewares=[self._answer], client_max_size=0)
        application.router.add_post(CHAT_PATH, chat.create)
        application.router.add_get("/v1/streams/{token}", chat.resume)
        application.router.add_get("/v1/models", chat.models)
        application.router.add_get(HOSTS_PATH, self._hosts)
        path = SERVICES_PREFIX + "/{service}/{path:.*}"
        application.router.add_route("*", path, services.handle)
        operators.add_routes(application.router)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_line_size=limit,
            max_field_size=limit,
            auto_decompress=False,
        )
        self._site = None
        self.address = ""

    async def start(self):
        """Listen."""
        settings = self._context.settings
        await self._runner.setup()
        endpoint = settings.listen_address
        self._site = web.TCPSite(
            self._runner,
            endpoint.ip,
            endpoint.port,
            ssl_context=_tls_context(settings),
            reuse_address=True,
        )
        await self._site.start()
        port = self._runner.addresses[0][1]
        self.address = str(type(endpoint)(endpoint.ip, port))

    async def stop_listening(self):
        """Take no new connection; open ones go on."""
        await self._site.stop()

    async def close(self):
        """Close all connections."""
        await self._runner.cleanup()

    @web.middleware
    async def _answer(self, request, handler):
        """Give each request an id, and turn errors into numbered answers."""
        context = self._context
        request["request_id"] = context.identity.new_request_id()
        context.open_requests += 1
        self._bound_buffer(request.transport)
        parent = parent_from_headers(request.headers)
        try:
            with context.traces.span(Hop.CALLER, parent, path=request.path) as span:
                response = await self._handle(request, handler)
                code = response.headers.get(CODE_HEADER, "")
                span.set_attribute("result_code", code)
        finally:
            context.open_requests -= 1
        context.metrics.count(REQUESTS_ENDED, code or "none")
        if context.leaving and not response.prepared:
            # A caller that keeps its connection would come back to a host that is
            # about to close it, and lose the request that crosses the close.
            response.force_close()
        return response

    def _bound_buffer(self, transport):
        """Bound what is held for a caller that reads slowly.

        Beyond the bound a write waits, and with it the reading from the upstream:
        without it a few callers on slow links would take this host's memory.
        """
        if transport is not None:
            limit = self._context.settings.stream_buffer_bytes
            transport.set_write_buffer_limits(high=limit)

    async def _handle(self, request, handler):
        request_id = request["request_id"]
        try:
            self._refuse_unready(request)
            return await handler(request)
        except HemlockhoistError as error:
            self._check_not_run(request_id, error)
            _log.info(
                "request_refused",
                request=request_id,
                path=request.path,
                code=int(error.code),
                reason=error.message,
            )
            return error_response(error, request["request_id"])
        except web.HTTPException as error:
            code = ResultCode.NOT_FOUND
            if error.status == 405:
                return error_response(BadRequest("wrong method", code), request_id)
            return error_response(BadRequest("", code), request_id)
        except Exception as error:
            # A fault of this program: the caller must not read "not run" into it.
            _log.error("request_failed", request=request_id, exc_info=True)
            code = ResultCode.INTERNAL_ERROR
            return error_response(HemlockhoistError(repr(error), code), request_id)

    def _refuse_unready(self, request):
        """Refuse callers while no declarations are known to be the newest here.

        Without them no key can be told from a wrong one, and a caller with a good
        key would be sent away for good.
        """
        if request.path.startswith(OPERATORS_PREFIX):
            return
        if not self._context.configuration.is_ready():
            raise Refused("", ResultCode.NOT_READY, NOT_READY_RETRY_MS)

    def _check_not_run(self, request_id, error):
        if error.info.ran is not Ran.NO:
            return
        dispatched = request_id in self._context.dispatcher.register
        self._context.invariants.check(
            Property.NOT_RUN_IS_TRUE,
            not dispatched,
            f"{request_id} was dispatched and its caller told code {int(error.code)}",
        )

    async def _hosts(self, request):
        """Answer ``GET /v1/hosts``: which hosts to use, and for how long."""
        self._context.callers.authenticate(request.headers)
        return self._context.fleet.hosts_response()


def _tls_context(settings):
    if settings.tls_cert_file is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.tls_cert_file, settings.tls_key_file)
    return context
