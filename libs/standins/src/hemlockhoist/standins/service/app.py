"""HTTP API of the simulated plain service."""

import asyncio
import uuid

import msgspec
import xxhash
from aiohttp import web

from hemlockhoist.base import Clock
from hemlockhoist.listeners import UnframedResponse
from hemlockhoist.standins.counting import FractionSampler, RunCounter
from hemlockhoist.standins.delayed_value import DelayedValue
from hemlockhoist.standins.service.faults import ServiceFaults

_MS_PER_S = 1000
_MAX_BODY_BYTES = 16 * 1024 * 1024


def expected_reply(method, path, body):
    """Return the reply of the simulated service to a call.

    Parameters
    ==========
    method : str
    path : str
        Including the query string, as the service receives it.
    body : bytes
    """
    return xxhash.xxh64_hexdigest(f"{method} {path}\n".encode() + body)


class ServiceStandin:
    """Plain service that counts its calls by idempotency key or request id.

    It does not deduplicate by key: a call that is sent twice runs twice, and the counts
    show it.

    Parameters
    ==========
    clock : hemlockhoist.base.Clock
    version : str
    work_ms : int
        How long a call takes.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_in_flight",
        "_leaving_since_ms",
        "_load",
        "_version",
        "_work_ms",
        "begun_after_leaving_ms",
        "faults",
        "runs",
        "server",
    )

    def __init__(self, clock, version, work_ms):
        self._clock = clock
        self._failures = FractionSampler()
        self._in_flight = 0
        self._leaving_since_ms = None
        self._version = version
        self._work_ms = work_ms
        self.begun_after_leaving_ms = []
        self.faults = ServiceFaults()
        self.runs = RunCounter()
        # Set by the code that serves the application; needed to refuse connections.
        self.server = None
        self._load = DelayedValue(self._report(), clock.now_ms())

    @classmethod
    def from_config(cls, version="v1", work_ms=5, clock=None):
        """Return a service; requires a running event loop."""
        return cls(clock or Clock.from_running_loop(), version, work_ms)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/load", self._read_load),
                web.get("/-/runs", self._read_runs),
                web.post("/-/faults", self._set_faults),
                web.route("*", "/{path:.*}", self._call),
            ]
        )
        return app

    async def _call(self, request):
        headers = request.headers
        key = headers.get("Idempotency-Key") or headers.get("X-Request-Id")
        key = key or uuid.uuid4().hex
        body = await request.read()
        faults = self.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / _MS_PER_S)
        if faults.consume("drop_before"):
            self.runs.rejected[key] += 1
            return _drop(request)
        if faults.consume("fail_before"):
            self.runs.rejected[key] += 1
            return self._answer(500, {"error": "injected failure, not run", "key": key})
        await self._run(key)
        return await self._reply(request, key, body)

    async def _run(self, key):
        self.runs.begun[key] += 1
        if self._leaving_since_ms is not None:
            since_leaving_ms = self._clock.now_ms() - self._leaving_since_ms
            self.begun_after_leaving_ms.append(since_leaving_ms)
        self._add_in_flight(1)
        try:
            slow = self.faults.applies_to(self._version)
            run_ms = self._work_ms + (self.faults.slow_ms if slow else 0)
            await asyncio.sleep(run_ms / _MS_PER_S)
            self.runs.finished[key] += 1
        finally:
            self._add_in_flight(-1)

    async def _reply(self, request, key, body):
        faults = self.faults
        if faults.consume("drop_after"):
            return _drop(request)
        share = faults.fail_share if faults.applies_to(self._version) else 0.0
        if faults.consume("fail_after") or self._failures.is_selected(share):
            self.runs.failed[key] += 1
            return self._answer(500, {"error": "injected failure, has run", "key": key})
        reply = expected_reply(request.method, request.path_qs, body)
        content = {"reply": reply, "key": key}
        if faults.consume("unframed"):
            return await self._answer_unframed(content)
        return self._answer(200, content)

    async def _answer_unframed(self, content):
        """Return an answer that ends with its connection, or a part of one."""
        body = msgspec.json.encode(content)
        if self.faults.consume("close_in_body"):
            body = body[: len(body) // 2]
            if self.faults.close_down_ms and self.server is not None:
                down_ms = self.faults.close_down_ms
                await self.server.refuse_connections_for(down_ms)
        response = UnframedResponse(200, body)
        response.headers.update(self._headers())
        response.content_type = "application/json"
        return response

    def _answer(self, status, body):
        return web.json_response(body, status=status, headers=self._headers())

    def _headers(self):
        return {
            "X-Upstream-Version": self._version,
            "X-Upstream-State": self.faults.state,
        }

    def _add_in_flight(self, step):
        self._in_flight += step
        self._load.set(self._report(), self._clock.now_ms())

    def _report(self):
        return {
            "in_flight": self._in_flight,
            "queued": 0,
            "state": self.faults.state,
            "version": self._version,
        }

    async def _read_load(self, _request):
        report = self._load.get(self._clock.now_ms())
        return web.json_response({**report, "age_ms": self._load.lag_ms})

    async def _read_runs(self, _request):
        counts = self.runs.as_json()
        counts["begun_after_leaving_ms"] = self.begun_after_leaving_ms
        return web.json_response(counts)

    async def _set_faults(self, request):
        try:
            faults = msgspec.json.decode(await request.read(), type=ServiceFaults)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        was_leaving = self.faults.state == "leaving"
        now_ms = self._clock.now_ms()
        self.faults = faults
        self._load.lag_ms = faults.load_lag_ms
        self._load.set(self._report(), now_ms)
        if faults.state != "leaving":
            self._leaving_since_ms = None
        elif not was_leaving:
            self._leaving_since_ms = now_ms
        if faults.refuse_ms and self.server is not None:
            await self.server.refuse_connections_for(faults.refuse_ms)
        return web.json_response(msgspec.to_builtins(faults))


def _drop(request):
    """Drop the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
