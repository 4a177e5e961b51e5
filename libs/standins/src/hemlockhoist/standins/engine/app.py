"""HTTP API of the simulated model engine."""

import asyncio
import uuid

import msgspec
from aiohttp import web

from hemlockhoist.base import MS_PER_S, Clock
from hemlockhoist.listeners import UnframedResponse
from hemlockhoist.standins import answers
from hemlockhoist.standins.engine import wire
from hemlockhoist.standins.engine.core import EngineCore, EngineRequestFailed
from hemlockhoist.standins.engine.faults import NO_BREAK, EngineFaults
from hemlockhoist.standins.engine.orders import Order, OrderRefused

_DEFAULT_MAX_TOKENS = 64
_INSERT_PAUSE_S = 0.002
_MAX_BODY_BYTES = 16 * 1024 * 1024
_SSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


class _Crossing:
    """Selects the stream whose pieces are sent when responses are mixed up.

    Parameters
    ==========
    other : Stream or None
        Stream of another request; None for a correct response.
    at_piece : int
        Offset of the first piece that is sent from ``other``; with 0, the response
        headers are those of ``other`` too.
    """

    __slots__ = ("_at_piece", "_other")

    def __init__(self, other, at_piece):
        self._other = other
        self._at_piece = at_piece

    def source(self, stream, offset):
        """Return the stream whose piece is sent at ``offset``."""
        other = self._other
        if other is None or offset < self._at_piece or offset >= other.produced:
            return stream
        return other


_NO_CROSSING = _Crossing(None, 0)


class _EventWriter:
    """Writes the events of a response, with the foreign bytes of a fault among them.

    Parameters
    ==========
    response : aiohttp.web.StreamResponse
    transport : asyncio.Transport
    faults : EngineFaults
    request_id : str
    """

    __slots__ = ("_data", "_faults", "_response", "_transport")

    def __init__(self, response, transport, faults, request_id):
        self._response = response
        self._transport = transport
        self._faults = faults
        self._data = b""
        if faults.insert_streams > 0:
            faults.insert_streams -= 1
            text = faults.insert_text.replace("REQUEST_ID", request_id)
            self._data = text.encode()

    async def write(self, offset, events):
        """Write events, the first of which has the given offset."""
        index = self._faults.insert_at_event - offset
        if not self._data or not 0 <= index < len(events):
            await self._response.write(b"".join(events))
            return
        before = sum(map(len, events[:index]))
        place = before + min(self._faults.insert_at_byte, len(events[index]))
        data = b"".join(events)
        await self._write_in_turn(data[:place], data[place:])

    async def _write_in_turn(self, before, behind):
        data, self._data = self._data, b""
        if before:
            await self._response.write(before)
        # In chunks of their own, as the bytes of two answers seldom are one read.
        await asyncio.sleep(_INSERT_PAUSE_S)
        if self._faults.insert_raw:
            self._transport.write(data)
        else:
            await self._response.write(data)
        await asyncio.sleep(_INSERT_PAUSE_S)
        if behind:
            await self._response.write(behind)


class EngineStandin:
    """HTTP server of a simulated model engine.

    Parameters
    ==========
    core : EngineCore
    """

    __slots__ = ("core", "crash_count", "lost_ids", "server")

    def __init__(self, core):
        self.core = core
        self.crash_count = 0
        # Ids of the requests whose streams were lost in crashes.
        self.lost_ids = []
        # Set by the code that serves the application; needed to refuse connections.
        self.server = None

    @classmethod
    def from_config(cls, config, version="v1", clock=None, **options):
        """Return an engine; requires a running event loop.

        Parameters
        ==========
        config : hemlockhoist.standins.engine_model.EngineConfig
        version : str
        clock : hemlockhoist.base.Clock, optional
        options
            Passed on to ``EngineCore.from_config``.
        """
        clock = clock or Clock.from_running_loop()
        return cls(EngineCore.from_config(config, clock, version, **options))

    def application(self):
        """Return the aiohttp application, which starts and closes the engine."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._chat),
                web.get("/v1/streams/{request_id}", self._resume),
                web.delete("/v1/streams/{request_id}", self._cancel),
                web.get("/load", self._load),
                web.get("/cache-events", self._cache_events),
                web.post("/orders", self._accept_order),
                web.get("/orders", self._show_orders),
                web.get("/-/runs", self._runs),
                web.post("/-/faults", self._set_faults),
            ]
        )
        app.cleanup_ctx.append(self._run_core)
        return app

    async def _run_core(self, _app):
        await self.core.start()
        yield
        await self.core.close()

    async def _chat(self, request):
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        try:
            body = await request.json()
            prompt = answers.prompt_text(body["messages"])
            max_tokens = int(body.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        except (ValueError, KeyError, TypeError) as error:
            return web.json_response({"error": {"message": repr(error)}}, status=400)
        model_name = str(body.get("model", ""))
        try:
            stream = self.core.begin(request_id, model_name, prompt, max_tokens)
        except EngineRequestFailed:
            return self._error(request_id, 500, "injected engine failure")
        if self.core.faults.crash_text and self.core.faults.crash_text in prompt:
            return await self._answer_and_crash(request, stream)
        if body.get("stream"):
            return await self._send(request, stream, 0, self._next_crossing(stream))
        await stream.wait_for_more(len(stream.pieces))
        if stream.cancelled:
            return self._error(request_id, 410, "request was cancelled")
        headers = self._headers(stream.request_id, stream.version)
        return web.json_response(wire.completion(stream), headers=headers)

    async def _answer_and_crash(self, request, stream):
        """Send some pieces, and lose all streams and connections."""
        response = web.Response()
        count = self.core.faults.crash_after_pieces
        if count:
            headers = self._headers(stream.request_id, stream.version)
            response = web.StreamResponse(headers={**headers, **_SSE_HEADERS})
            await response.prepare(request)
        for offset in range(count):
            await stream.wait_for_more(offset)
            await response.write(wire.piece_event(stream, offset))
        await stream.wait_for_more(count)
        await asyncio.sleep(self.core.faults.crash_delay_ms / MS_PER_S)
        await self._crash()
        return _abort(request, response)

    async def _crash(self):
        """Lose all streams and connections, and refuse new ones for a time."""
        self.crash_count += 1
        for stream in self.core.streams.unfinished():
            self.lost_ids.append(stream.request_id)
            self.core.cancel(stream)
        if self.server is not None:
            down_ms = self.core.faults.crash_down_ms
            await self.server.refuse_connections_for(down_ms, aborts_open=True)

    async def _resume(self, request):
        request_id = request.match_info["request_id"]
        stream = self.core.streams.get(request_id)
        if stream is None or stream.cancelled:
            return self._error(request_id, 404, "stream not found")
        offset = int(request.query.get("offset", "0")) + self._next_shift()
        offset = min(max(0, offset), len(stream.pieces))
        return await self._send(request, stream, offset)

    async def _cancel(self, request):
        request_id = request.match_info["request_id"]
        stream = self.core.streams.get(request_id)
        if stream is None:
            return self._error(request_id, 404, "stream not found")
        self.core.cancel(stream)
        return web.json_response({"produced": stream.produced})

    async def _send(self, request, stream, offset, crossing=_NO_CROSSING):
        """Send the pieces from ``offset`` on as they are generated, then the end."""
        head = crossing.source(stream, offset)
        response = self._stream_response(head)
        break_at = self._break_offset(offset)
        close_at = self._close_offset(offset)
        await response.prepare(request)
        faults = self.core.faults
        writer = _EventWriter(response, request.transport, faults, stream.request_id)
        try:
            while offset < len(stream.pieces):
                await stream.wait_for_more(offset)
                if stream.cancelled:
                    return _abort(request, response)
                until = stream.produced
                for end in (break_at, close_at):
                    if end != NO_BREAK:
                        until = min(until, end)
                events = [
                    wire.piece_event(crossing.source(stream, i), i)
                    for i in range(offset, until)
                ]
                await writer.write(offset, events)
                offset = until
                if offset == break_at:
                    return _abort(request, response)
                if offset == close_at:
                    return response
            await writer.write(offset, wire.end_events(stream))
        except ConnectionError:
            # The client disconnected; generation continues and can be resumed.
            return response
        return response

    def _stream_response(self, head):
        """Return the response for a stream, or for another one's head."""
        response = web.StreamResponse()
        if self.core.faults.close_unframed:
            response = UnframedResponse(200)
        headers = self._headers(head.request_id, head.version)
        response.headers.update({**headers, **_SSE_HEADERS})
        return response

    def _next_shift(self):
        """Return by how many pieces a fault shifts the resumed stream."""
        faults = self.core.faults
        if faults.shift_resumes <= 0:
            return 0
        faults.shift_resumes -= 1
        return faults.resume_shift

    def _break_offset(self, offset):
        """Return the offset at which a fault drops the connection, or NO_BREAK."""
        faults = self.core.faults
        if faults.break_streams <= 0:
            return NO_BREAK
        faults.break_streams -= 1
        return offset + faults.break_after_pieces

    def _close_offset(self, offset):
        """Return the offset at which a fault ends the response, or NO_BREAK."""
        faults = self.core.faults
        if faults.close_streams <= 0:
            return NO_BREAK
        faults.close_streams -= 1
        return offset + faults.close_after_pieces

    def _next_crossing(self, stream):
        """Return the source of a new stream's pieces as set by the fault."""
        faults = self.core.faults
        other = self.core.streams.newest_except(stream.request_id)
        if faults.cross_streams <= 0 or other is None:
            return _NO_CROSSING
        faults.cross_streams -= 1
        return _Crossing(other, faults.cross_at_piece)

    async def _load(self, _request):
        return web.json_response(self.core.load_report())

    async def _cache_events(self, request):
        since = int(request.query.get("since", "0"))
        return web.json_response(self.core.cache_events(since))

    async def _accept_order(self, request):
        orders = self.core.orders
        try:
            order = msgspec.json.decode(await request.read(), type=Order)
            orders.accept(order, self.core.now_ms())
        except OrderRefused as error:
            return web.json_response({"fencing": error.highest_fencing}, status=409)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(orders.as_json(), status=202)

    async def _show_orders(self, _request):
        self.core.orders.apply_due(self.core.now_ms())
        return web.json_response(self.core.orders.as_json())

    async def _runs(self, _request):
        counts = self.core.runs.as_json()
        counts["begun_after_leaving_ms"] = self.core.begun_after_leaving_ms
        counts["crashes"] = self.crash_count
        counts["lost"] = self.lost_ids
        return web.json_response(counts)

    async def _set_faults(self, request):
        try:
            faults = msgspec.json.decode(await request.read(), type=EngineFaults)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        self.core.set_faults(faults)
        if faults.refuse_ms and self.server is not None:
            await self.server.refuse_connections_for(faults.refuse_ms)
        return web.json_response(msgspec.to_builtins(faults))

    def _headers(self, request_id, version):
        return {
            "X-Request-Id": request_id,
            "X-Upstream-Version": version,
            "X-Upstream-State": self.core.faults.state,
        }

    def _error(self, request_id, status, message):
        headers = self._headers(request_id, self.core.version)
        body = {"error": {"message": message}}
        response = web.json_response(body, status=status, headers=headers)
        faults = self.core.faults
        if faults.insert_streams <= 0:
            return response
        faults.insert_streams -= 1
        data = response.body + faults.insert_text.encode()
        if faults.close_unframed:
            response = UnframedResponse(status, data)
            response.headers.update(headers)
        else:
            response.body = data
        return response


def _abort(request, response):
    """Drop the connection in the middle of the response."""
    if request.transport is not None:
        request.transport.abort()
    return response
