"""HTTP API of the simulated platform."""

import asyncio

import msgspec
import xxhash
from aiohttp import web

from hemlockhoist.base import Clock
from hemlockhoist.standins.delayed_value import DelayedValue
from hemlockhoist.standins.platform.faults import PlatformFaults
from hemlockhoist.standins.platform.stores import ObjectStore, RateLimit
from hemlockhoist.standins.platform.tables import TableStore, VersionMismatch
from hemlockhoist.standins.rejections import Rejection, reject

_MS_PER_S = 1000
_MAX_BODY_BYTES = 16 * 1024 * 1024
_ANY_VERSION = None
_ABSENT = 0


class PlatformStandin:
    """HTTP server for tables, host list, objects and weights, with fault injection.

    Parameters
    ==========
    clock : hemlockhoist.base.Clock
    hosts_lag_ms : int
        Delay until a change of the host list becomes visible.
    weights_per_second : float
        Rate limit on reads of the weight store.
    """

    __slots__ = (
        "_clock",
        "_frozen_hosts",
        "_hosts",
        "_objects",
        "_rejections",
        "_weights",
        "_weights_rate",
        "faults",
        "host_lists_sent",
        "server",
        "tables",
    )

    def __init__(self, clock, hosts_lag_ms, weights_per_second):
        now_ms = clock.now_ms()
        self._clock = clock
        self._hosts = DelayedValue([], now_ms, hosts_lag_ms)
        self._frozen_hosts = None
        self._objects = ObjectStore()
        self._weights = ObjectStore()
        self._weights_rate = RateLimit(weights_per_second, now_ms)
        self.faults = PlatformFaults()
        # By IP address of a host, what is done with its requests.
        self._rejections = {}
        self.host_lists_sent = 0
        # Set by the code that serves the application.
        self.server = None
        self.tables = TableStore()

    @classmethod
    def from_config(cls, clock=None, hosts_lag_ms=0, weights_per_second=5.0):
        """Return a platform with empty tables; requires a running event loop."""
        clock = clock or Clock.from_running_loop()
        return cls(clock, hosts_lag_ms, weights_per_second)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=_MAX_BODY_BYTES
        )
        app.add_routes(
            [
                web.post("/tables/transact", self._transact),
                web.get("/tables/{table}", self._list_rows),
                web.get("/tables/{table}/{key:.+}", self._read_row),
                web.put("/tables/{table}/{key:.+}", self._put_row),
                web.get("/hosts", self._read_hosts),
                web.put("/-/hosts", self._set_hosts),
                web.get("/objects/{name:.+}", self._get_object),
                web.put("/objects/{name:.+}", self._put_object),
                web.get("/weights/{name:.+}", self._get_weights),
                web.put("/-/weights/{name:.+}", self._put_weights),
                web.get("/-/counts", self._counts),
                web.post("/-/faults", self._set_faults),
                web.post("/-/rejections", self._set_rejections),
            ]
        )
        return app

    @web.middleware
    async def _inject_faults(self, request, handler):
        if request.path.startswith("/-/"):
            return await handler(request)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / _MS_PER_S)
        if self.faults.unreachable:
            return _drop(request)
        if self.faults.outage:
            return web.json_response({"error": "injected outage"}, status=503)
        if request.remote in self._rejections:
            return await reject(request, self._rejections[request.remote])
        response = await handler(request)
        is_write = request.method != "GET" and response.status < 300
        if is_write and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _drop(request)
        return response

    async def _read_row(self, request):
        row = self.tables.read(request.match_info["table"], request.match_info["key"])
        if row is None:
            return web.json_response({"error": "row not found"}, status=404)
        return web.json_response({"value": row[0], "version": row[1]})

    async def _list_rows(self, request):
        rows = self.tables.rows(request.match_info["table"])
        found = [{"key": key, "value": value, "version": n} for key, value, n in rows]
        return web.json_response({"rows": found})

    async def _put_row(self, request):
        body = await request.json()
        match = request.match_info
        put = (match["table"], match["key"], body["value"], _condition(request.headers))
        return self._write([put], lambda versions: {"version": versions[0]})

    async def _transact(self, request):
        body = await request.json()
        puts = [
            (item["table"], item["key"], item["value"], item.get("if_version"))
            for item in body["puts"]
        ]
        return self._write(puts, lambda versions: {"versions": versions})

    def _write(self, puts, response_body):
        try:
            versions = self.tables.put_all(puts)
        except VersionMismatch as error:
            found = {
                "table": error.table,
                "key": error.key,
                "version": error.actual_version,
            }
            return web.json_response(found, status=412)
        return web.json_response(response_body(versions))

    async def _read_hosts(self, request):
        body = msgspec.json.encode({"members": self._visible_hosts()})
        etag = f'"{xxhash.xxh64_hexdigest(body)}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        self.host_lists_sent += 1
        return web.Response(
            body=body, headers={"ETag": etag}, content_type="application/json"
        )

    def _visible_hosts(self):
        if self.faults.hosts_empty:
            return []
        if self.faults.hosts_stale:
            return self._frozen_hosts
        return self._hosts.get(self._clock.now_ms())

    async def _set_hosts(self, request):
        body = await request.json()
        if "lag_ms" in body:
            self._hosts.lag_ms = body["lag_ms"]
        if "members" in body:
            self._hosts.set(body["members"], self._clock.now_ms())
        return web.json_response({"lag_ms": self._hosts.lag_ms})

    async def _get_object(self, request):
        return _bytes_response(self._objects.get(request.match_info["name"]))

    async def _put_object(self, request):
        self._objects.put(request.match_info["name"], await request.read())
        return web.json_response({})

    async def _get_weights(self, request):
        wait_ms = self._weights_rate.acquire(self._clock.now_ms())
        if wait_ms:
            retry_after_s = -(-wait_ms // _MS_PER_S)
            headers = {"Retry-After": str(retry_after_s)}
            return web.json_response(
                {"error": "rate limit exceeded"}, status=429, headers=headers
            )
        return _bytes_response(self._weights.get(request.match_info["name"]))

    async def _put_weights(self, request):
        self._weights.put(request.match_info["name"], await request.read())
        return web.json_response({})

    async def _counts(self, _request):
        counts = {"reads": self.tables.reads, "writes": self.tables.writes}
        return web.json_response(counts)

    async def _set_faults(self, request):
        faults = msgspec.json.decode(await request.read(), type=PlatformFaults)
        if faults.hosts_stale and not self.faults.hosts_stale:
            self._frozen_hosts = self._hosts.get(self._clock.now_ms())
        self.faults = faults
        return web.json_response(msgspec.to_builtins(faults))

    async def _set_rejections(self, request):
        """Replace the hosts that are rejected, given as ``{IP: rejection}``."""
        body = await request.json()
        self._rejections = {ip: Rejection(text) for ip, text in body.items()}
        return web.json_response(body)


def _condition(headers):
    """Return the row version that a write requires, or None for any version."""
    if headers.get("If-None-Match") == "*":
        return _ABSENT
    if "If-Match" in headers:
        return int(headers["If-Match"].strip('"'))
    return _ANY_VERSION


def _bytes_response(body):
    if body is None:
        return web.json_response({"error": "not found"}, status=404)
    return web.Response(body=body)


def _drop(request):
    """Drop the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
