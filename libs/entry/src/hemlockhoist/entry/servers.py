"""HTTP server of an entry host for callers."""

import asyncio

from aiohttp import web

from hemlockhoist.base import (
    BadRequest,
    HemlockhoistError,
    Property,
    Ran,
    Refused,
    ResultCode,
    RouteChanged,
    get_logger,
)
from hemlockhoist.base.metrics_table import (
    CALLER_CONNECTIONS,
    CALLER_CONNECTIONS_LIMIT,
    CALLER_CONNECTIONS_WAITING,
    CALLERS_DISCONNECTED,
    CALLERS_DISCONNECTED_MS,
    MEMORY_REFUSED,
    REQUESTS_ARRIVED,
    REQUESTS_ENDED,
    STREAMS_CUT,
)
from hemlockhoist.base.traces import Hop, parent_from_headers
from hemlockhoist.decisions.entry import CutCause, PoolChooser
from hemlockhoist.declarations import RequestLimits
from hemlockhoist.entry.admission import Admission
from hemlockhoist.entry.caller_buffer import (
    FREE_BUFFER_BYTES,
    CallerBuffer,
    SlowReader,
)
from hemlockhoist.entry.caller_connections import CallerConnections
from hemlockhoist.entry.exchange import Exchange
from hemlockhoist.entry.memory import HeadMemory, RequestMemory
from hemlockhoist.entry.responses import CODE_HEADER, error_response
from hemlockhoist.host.body import read_body
from hemlockhoist.listeners import HttpListener, UnframedResponse

_log = get_logger("entry.surface")

# Longer than any declared idle time, so that callers close idle connections, not the
# host. A request sent while the host closes the connection is lost, and its caller
# cannot tell whether it ran.
KEEP_ALIVE_S = 75.0
# A host that has just started reads the routes and upstreams within about 20 ms if the
# store answers. Its first callers wait for that, as a refusal would use up one of their
# few retries.
STARTUP_WAIT_MS = 500
# Customary status for a connection closed by the caller; never sent.
CLIENT_CLOSED_STATUS = 499
# Bytes of a body that are read ahead of its request's admission. Usual bodies fit.
READ_BUFFER_BYTES = 32_768
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# In force until the declared ones are known.
_DEFAULT_LIMITS = RequestLimits()


class CallerServer:
    """Serves callers' requests.

    Parameters
    ==========
    context : EntryContext
    listener : socket.socket, optional
        Already listens for callers.
    """

    __slots__ = ("_admission", "_connections", "_context", "_http", "_listener")

    def __init__(self, context, listener=None):
        self._context = context
        self._listener = listener
        self._admission = Admission(context.store_view, PoolChooser())
        self._connections = CallerConnections(context)
        self._http = None

    async def start(self):
        """Listen for callers."""
        server = web.Server(self._handle, handler_cancellation=True)
        bounds = {
            "options": {
                "access_log": None,
                "keepalive_timeout": KEEP_ALIVE_S,
                "read_bufsize": READ_BUFFER_BYTES,
            },
            "memory": HeadMemory(self._context.memory),
            "on_cut": self._context.count_cut,
        }
        connections = self._connections
        self._http = HttpListener.from_server(
            "callers",
            server,
            self._context.settings.caller_address,
            limits=lambda: self._limits,
            bounds=bounds,
            listener=self._listener,
            room=connections.may_accept,
            on_accepted=connections.on_accepted,
            on_error=connections.on_accept_error,
        )
        await connections.start()
        await self._http.start()

    async def close(self):
        """Close all connections."""
        await self._connections.close()
        if self._http is not None:
            await self._http.close()

    async def stop_listening(self):
        """Accept no new connections; open ones are served further."""
        await self._http.stop_listening()

    @property
    def is_quiet(self):
        """Whether no request is being answered, has begun or is about to come."""
        return self._http.is_quiet

    @property
    def takes_callers(self):
        """Whether a new caller is accepted within a moment."""
        if self._connections.is_full or self._http is None:
            return False
        return self._http.acceptor.is_accepting

    def update_gauges(self):
        """Set the gauges of callers' connections."""
        metrics, connections = self._context.metrics, self._connections
        metrics.gauge(CALLER_CONNECTIONS, connections.count)
        metrics.gauge(CALLER_CONNECTIONS_LIMIT, connections.limit)
        metrics.gauge(CALLER_CONNECTIONS_WAITING, self._http.acceptor.waiting_count)

    @property
    def _limits(self):
        routes = self._context.store_view.routes
        return routes.limits if routes is not None else _DEFAULT_LIMITS

    async def _handle(self, request):
        """Respond to one request of a caller."""
        context, transport = self._context, request.transport
        context.open_requests += 1
        self._connections.on_request(transport)
        parent = parent_from_headers(request.headers)
        try:
            with context.traces.span(Hop.CALLER, parent, path=request.path) as span:
                response = await self._respond(request)
                code = response.headers.get(CODE_HEADER, "0")
                span.set_attribute("result_code", code)
        finally:
            context.open_requests -= 1
            self._connections.on_response(transport)
        context.metrics.count(REQUESTS_ENDED, code)
        self._close_if_leaving(response)
        return response

    async def _respond(self, request):
        call = None
        wire = self._context.platform.wire
        try:
            call = wire.read_call(request.method, request.raw_path, request.headers)
            return await self._serve(request, call)
        except HemlockhoistError as error:
            self._log_refused(call, request, error)
            return error_response(wire, call, error)
        except OSError as error:
            # Failure prevented: the caller closes its connection while its response is
            # written. If raised, the server logs a traceback for each, which bypasses
            # the limit on log volume. The returned response is never sent.
            _log.info(
                "caller_left", request=call and call.request_id, reason=repr(error)
            )
            return web.Response(status=CLIENT_CLOSED_STATUS)
        except Exception as error:
            # An internal error: the response must not claim that the request did not
            # run.
            _log.error(
                "request_failed", request=call and call.request_id, exc_info=True
            )
            failure = HemlockhoistError(repr(error), ResultCode.INTERNAL_ERROR)
            return error_response(wire, call, failure)

    async def _serve(self, request, call):
        arrived_ms = self._context.clock.now_ms()
        self._connections.check_room(request.transport)
        async with self._context.drain.limit_unsent():
            await self._context.store_view.wait_complete(STARTUP_WAIT_MS)
        admitted = self._admission.admit(call, arrived_ms)
        self._context.drain.check(admitted)
        self._context.metrics.count(REQUESTS_ARRIVED, admitted.tier)
        self._log_admitted(admitted)
        memory = RequestMemory(self._context.memory, admitted.rank)
        try:
            return await self._exchange(request, admitted, memory)
        finally:
            memory.close()

    async def _exchange(self, request, admitted, memory):
        context, arrived_ms = self._context, admitted.arrived_ms
        async with context.drain.limit_unsent():
            body = await self._read_body(request, admitted, memory)
        admitted = admitted.identified(context.fingerprints, body)
        while True:
            try:
                return await self._run_exchange(request, admitted, body, memory)
            except RouteChanged as error:
                _log.info(
                    "request_readmitted",
                    request=admitted.call.request_id,
                    reason=error.message,
                )
                admitted = self._admission.admit(admitted.call, arrived_ms)
                admitted = admitted.identified(context.fingerprints, body)

    async def _run_exchange(self, request, admitted, body, memory):
        context, arrived_ms = self._context, admitted.arrived_ms
        buffer = CallerBuffer(request.transport, memory, context.clock)
        exchange = Exchange(
            context, request, admitted, body, self._admission, memory, buffer
        )
        try:
            response = await exchange.run()
            self._log_ended(exchange, response, arrived_ms)
            await self._write_whole(request, response)
        except asyncio.CancelledError:
            is_answered = exchange.response_started
            self._record_disconnect(exchange, admitted.tier, arrived_ms, is_answered)
            raise
        except HemlockhoistError as error:
            check_not_run(self._context.invariants, exchange, error)
            self._observe_time(exchange, admitted)
            raise
        self._observe_time(exchange, admitted)
        try:
            await self._flush(exchange, response, buffer)
        except asyncio.CancelledError:
            self._record_disconnect(exchange, admitted.tier, arrived_ms, True)
            raise
        return response

    def _record_disconnect(self, exchange, tier, arrived_ms, is_answered):
        """Record a caller that left, and whether any of its response was written."""
        after_ms = self._context.clock.now_ms() - arrived_ms
        _log.info(
            "caller_left",
            request=exchange.request_id,
            after_ms=after_ms,
            attempts=exchange.attempts,
        )
        if not is_answered:
            self._context.metrics.count(CALLERS_DISCONNECTED, tier)
            self._context.metrics.time(CALLERS_DISCONNECTED_MS, after_ms, tier)

    def _observe_time(self, exchange, admitted):
        if exchange.may_have_run:
            now_ms = self._context.clock.now_ms()
            duration_ms = now_ms - admitted.arrived_ms
            route_times, route = self._context.route_times, admitted.route.name
            route_times.observe(route, admitted.pool, duration_ms, now_ms)

    async def _write_whole(self, request, response):
        """Write a long plain answer, or one without a stated end.

        The HTTP server writes the others.
        """
        if response.prepared:
            return
        is_long = (response.content_length or 0) > FREE_BUFFER_BYTES
        if not is_long and not isinstance(response, UnframedResponse):
            return
        self._close_if_leaving(response)
        await response.prepare(request)
        await response.write_eof()

    async def _flush(self, exchange, response, buffer):
        """Wait until the caller has taken a long answer, whose memory is accounted.

        The upstream has been released. A caller that takes nothing is cut off. A stream
        without chunks has ended in order once the kernel has all of it.
        """
        try:
            if isinstance(response, UnframedResponse) and response.prepared:
                await buffer.flush_all()
                response.end_in_order()
            else:
                await buffer.flush()
        except SlowReader as error:
            buffer.abort()
            self._context.metrics.count(STREAMS_CUT, CutCause.SLOW_READER.value)
            _log.warning(
                "answer_cut",
                request=exchange.request_id,
                cause=CutCause.SLOW_READER.value,
                reason=error.message,
            )

    def _close_if_leaving(self, response):
        """Have the caller close its connection if this host is about to close it.

        A caller that keeps it would reuse it, and lose the request.
        """
        if self._context.leaving and not response.prepared:
            response.force_close()

    async def _read_body(self, request, admitted, memory):
        context, limits = self._context, self._limits

        async def on_ready():
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(_CONTINUE)

        try:
            body = await read_body(
                request,
                limits.max_body_bytes,
                limits.header_timeout_ms,
                memory.reserve_body,
                on_ready,
            )
        except Refused as error:
            context.metrics.count(MEMORY_REFUSED, admitted.tier)
            _log.warning(
                "memory_refused",
                request=admitted.call.request_id,
                rank=admitted.rank,
                reason=error.message,
            )
            raise
        except BadRequest as error:
            if error.code is ResultCode.BODY_TOO_LARGE:
                context.store_view.check_final()
            raise
        memory.keep_body(len(body))
        return body

    def _log_admitted(self, admitted):
        store_view = self._context.store_view
        _log.info(
            "request_admitted",
            request=admitted.call.request_id,
            route=admitted.route.name,
            customer=admitted.customer.name if admitted.customer else "",
            pool=admitted.pool,
            rank=admitted.rank,
            units=admitted.units,
            prompt_tokens=admitted.call.prompt_tokens,
            left_ms=admitted.deadline_ms - admitted.arrived_ms,
            routes_version=store_view.routes.version,
            proof_age_ms=store_view.proof_age_ms(),
        )

    def _log_ended(self, exchange, response, arrived_ms):
        _log.info(
            "request_ended",
            request=exchange.request_id,
            status=response.status,
            attempts=exchange.attempts,
            after_ms=self._context.clock.now_ms() - arrived_ms,
        )

    def _log_refused(self, call, request, error):
        store_view = self._context.store_view
        _log.info(
            "request_refused",
            request=call.request_id if call else "",
            path=request.path,
            code=int(error.code),
            reason=error.message,
            retry_after_ms=error.retry_after_ms,
            routes_version=store_view.routes.version if store_view.routes else None,
            proof_age_ms=store_view.proof_age_ms(),
            behind_ms=self._context.feeds.behind_ms(),
        )


def check_not_run(invariants, exchange, error):
    """Check the invariant that a request refused as "not run" has not run."""
    if error.info.ran is not Ran.NO:
        return
    invariants.check(
        Property.NOT_RUN_IS_TRUE,
        not exchange.may_have_run,
        f"{exchange.request_id} may have run but gets code {int(error.code)}",
    )
