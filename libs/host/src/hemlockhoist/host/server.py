"""HTTP server for callers and operators."""

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
from hemlockhoist.base.metrics_table import CONNECTIONS_CUT, REQUESTS_ENDED
from hemlockhoist.base.traces import Hop, parent_from_headers
from hemlockhoist.decisions.entry import caller_limit
from hemlockhoist.declarations import RequestLimits
from hemlockhoist.host.chat import CHAT_PATH
from hemlockhoist.host.responses import CODE_HEADER, error_response, result_headers
from hemlockhoist.host.services import SERVICES_PREFIX
from hemlockhoist.listeners import HttpListener, descriptor_limit

_log = get_logger("host.server")

HOSTS_PATH = "/v1/hosts"
OPERATORS_PREFIX = "/-/"
# A new host usually has its declarations within 1 s to 2 s, from the store or a peer.
NOT_READY_RETRY_AFTER_MS = 2_000
# Idle connections are kept open for this long; a leaving host closes them after the
# response instead.
KEEP_ALIVE_S = 60.0
# Time for handlers to finish when the server closes. It can be short: the listening
# socket stays open for the time to live of a caller's cached address, and requests that
# arrive later on open connections are still answered.
SHUTDOWN_TIMEOUT_S = 1.0


class HttpServer:
    """Routes requests of callers and operators on one address.

    Parameters
    ==========
    context : HostContext
    chat : ChatHandlers
    services : ServiceHandlers
    operators : OperatorHandlers
    """

    __slots__ = ("_context", "_http", "_runner", "address")

    def __init__(self, context, chat, services, operators):
        self._context = context
        application = web.Application(middlewares=[self._process], client_max_size=0)
        application.router.add_post(CHAT_PATH, chat.create)
        application.router.add_get("/v1/streams/{token}", chat.resume)
        application.router.add_get("/v1/models", chat.models)
        application.router.add_get(HOSTS_PATH, self._hosts)
        path = SERVICES_PREFIX + "/{service}/{path:.*}"
        application.router.add_route("*", path, services.handle)
        operators.add_routes(application.router)
        self._runner = web.AppRunner(application, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._http = None
        self.address = ""

    async def start(self):
        """Start to listen; sets ``address`` with the port in use."""
        settings = self._context.settings
        limits = RequestLimits(
            max_header_bytes=settings.max_header_bytes,
            header_timeout_ms=settings.body_timeout_ms,
        )
        bounds = {
            "options": {
                "access_log": None,
                "keepalive_timeout": KEEP_ALIVE_S,
            },
            "max_connections": caller_limit(descriptor_limit(0), 0),
            "refusal_headers": lambda code: result_headers(code, ""),
            "on_cut": lambda cause: self._context.metrics.count(CONNECTIONS_CUT, cause),
        }
        self._http = HttpListener(
            "callers",
            self._runner,
            str(settings.listen_address),
            limits=lambda: limits,
            bounds=bounds,
            ssl_context=_tls_context(settings),
        )
        await self._http.start()
        self.address = self._http.address

    @property
    def is_quiet(self):
        """Whether no request is being answered, has begun or is about to come."""
        return self._http.is_quiet

    async def stop_listening(self):
        """Stop accepting connections; open ones continue."""
        await self._http.stop_listening()

    async def close(self):
        """Close all connections."""
        if self._http is not None:
            await self._http.close()

    @web.middleware
    async def _process(self, request, handler):
        """Assign a request id, handle the request and record its result code."""
        context = self._context
        request["request_id"] = context.identity.new_request_id()
        context.open_requests += 1
        self._limit_write_buffer(request.transport)
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
            # On a kept connection the caller's next request could reach this host just
            # as it closes the connection, and would be lost.
            response.force_close()
        return response

    def _limit_write_buffer(self, transport):
        """Limit the bytes buffered for a caller that reads slowly.

        Above the limit a write waits, and with it reading from the upstream. Without
        the limit, a few callers on slow links could exhaust this host's memory.
        """
        if transport is not None:
            limit = self._context.settings.stream_buffer_bytes
            transport.set_write_buffer_limits(high=limit)

    async def _handle(self, request, handler):
        request_id = request["request_id"]
        try:
            self._check_ready(request)
            return await handler(request)
        except HemlockhoistError as error:
            self._check_not_dispatched(request_id, error)
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
                return error_response(
                    BadRequest("method not allowed", code), request_id
                )
            return error_response(BadRequest("", code), request_id)
        except Exception as error:
            # An internal error says nothing about whether the request ran, so the code
            # must not state that it did not.
            _log.error("request_failed", request=request_id, exc_info=True)
            code = ResultCode.INTERNAL_ERROR
            return error_response(HemlockhoistError(repr(error), code), request_id)

    def _check_ready(self, request):
        """Refuse callers until this host's declarations are known to be current.

        Without them a valid key cannot be distinguished from an invalid one, and a
        caller with a valid key would receive an error that it must not retry.
        """
        if request.path.startswith(OPERATORS_PREFIX):
            return
        if not self._context.configuration.is_ready():
            raise Refused("", ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_MS)

    def _check_not_dispatched(self, request_id, error):
        if error.info.ran is not Ran.NO:
            return
        dispatched = request_id in self._context.dispatcher.register
        self._context.invariants.check(
            Property.NOT_RUN_IS_TRUE,
            not dispatched,
            f"{request_id} was dispatched, but answered with code {int(error.code)}",
        )

    async def _hosts(self, request):
        """Answer ``GET /v1/hosts`` with the hosts to use and for how long."""
        self._context.callers.authenticate(request.headers)
        return self._context.fleet.hosts_response()


def _tls_context(settings):
    if settings.tls_cert_file is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.tls_cert_file, settings.tls_key_file)
    return context
