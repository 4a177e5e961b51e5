"""An in-memory store of rows with a version counter, transactions and a feed."""

import asyncio
import base64
import json

import msgspec
from aiohttp import web

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.rejections import reject


class StoreFaults:
    """The faults that the store injects.

    Attributes
    ==========
    status : int or None
        Status with which every call is answered.
    hangs : bool
        Whether no call is answered.
    loses_answers : bool
        Whether connections are closed without an answer once a commit is done.
    delay_ms : int
        Delay before each answer.
    rejections : dict of str to Rejection
        By the IP address of a host, what is done with its calls.
    """

    __slots__ = ("delay_ms", "hangs", "loses_answers", "rejections", "status")

    def __init__(self):
        self.heal()

    def heal(self):
        """Remove all faults."""
        self.status = None
        self.hangs = False
        self.loses_answers = False
        self.delay_ms = 0
        self.rejections = {}


class _Row(msgspec.Struct):
    table: str
    key: str
    value: str | None
    version: int


class StoreStandin:
    """The store's HTTP server; needs a running event loop.

    Attributes
    ==========
    address : str
    faults : StoreFaults
    calls : list of str
        The paths of all calls, in order.
    whole_reads : list of (float, str, str or None)
        For each whole reading of a table that was answered: when, on the clock of the
        event loop, the table, and the IP address of the host.
    sender_of : callable
        Returns the IP address of the host whose calls come from a port.
    """

    def __init__(self):
        self.address = ""
        self.faults = StoreFaults()
        self.calls = []
        self.whole_reads = []
        self.sender_of = lambda port: None
        self._rows = {}
        self._history = []
        self._oldest_version = 0
        self._version = 0
        self._changed = asyncio.Condition()
        self._runner = None

    async def start(self):
        """Listen on a free loopback port."""
        application = web.Application(middlewares=[self._inject_faults])
        application.router.add_get("/v1/rows-get", self._get)
        application.router.add_get("/v1/rows-feed", self._feed)
        application.router.add_post("/v1/rows-tx", self._commit)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop the server and close all connections."""
        await self._runner.cleanup()

    async def put(self, table, key, payload):
        """Write a row as the operator or a replica does; None deletes it."""
        value = None
        if payload is not None:
            raw = payload if isinstance(payload, bytes) else json.dumps(payload)
            raw = raw if isinstance(raw, bytes) else raw.encode()
            value = base64.b64encode(raw).decode()
        self._version += 1
        self._write(table, key, value)
        await self._notify()

    def payload(self, table, key):
        """Return the decoded JSON payload of a row, or None."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    def payloads(self, table):
        """Return the decoded JSON payloads of all rows of a table."""
        found = (self.payload(name, key) for name, key in self._rows if name == table)
        return [payload for payload in found if payload is not None]

    def truncate_history(self):
        """Drop the change history, so that feed readers must read all rows again."""
        self._oldest_version = self._version
        self._history.clear()

    def _write(self, table, key, value):
        row = _Row(table, key, value, self._version)
        self._history.append(row)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.calls.append(request.path)
        faults = self.faults
        if faults.hangs:
            await asyncio.Event().wait()
        if faults.status is not None:
            return web.Response(status=faults.status)
        sender = self.sender_of(request.transport.get_extra_info("peername")[1])
        response = None
        if sender not in faults.rejections:
            response = await handler(request)
        # A call that waits for a change is rejected too.
        if sender in faults.rejections:
            return await reject(request, faults.rejections[sender])
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / MS_PER_S)
        if faults.loses_answers and request.method == "POST":
            request.transport.abort()
        return response

    async def _get(self, request):
        table = request.query["table"]
        start = request.query.get("from", "")
        if not start:
            port = request.transport.get_extra_info("peername")[1]
            now_s = asyncio.get_running_loop().time()
            self.whole_reads.append((now_s, table, self.sender_of(port)))
        limit = int(request.query.get("limit", 500))
        found = sorted(
            (row for row in self._rows.values() if row.table == table),
            key=lambda row: row.key,
        )
        found = [row for row in found if row.key >= start]
        return self._answer(found[:limit], has_more=len(found) > limit)

    async def _feed(self, request):
        table = request.query["table"]
        since = int(request.query["start_revision"])
        wait_s = int(request.query.get("wait_ms", 0)) / MS_PER_S

        def changes():
            latest = {}
            for row in self._history:
                if row.version > since and row.table == table:
                    latest.pop(row.key, None)
                    latest[row.key] = row
            return list(latest.values())

        if since < self._oldest_version:
            return web.Response(status=410)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: changes() or self._is_truncated(since)
                )
        except TimeoutError:
            pass
        if self._is_truncated(since):
            return web.Response(status=410)
        return self._answer(changes())

    def _is_truncated(self, since):
        return since < self._oldest_version

    async def _commit(self, request):
        body = await request.json()
        for item in body["expected_revision"]:
            row = self._rows.get((item["table"], item["key"]))
            if (row.version if row else 0) != item["schema_version"]:
                return self._answer([row] if row else [], status=412)
        self._version += 1
        for item in body["write"]:
            self._write(item["table"], item["key"], item["value"])
        for item in body["drop"]:
            self._write(item["table"], item["key"], None)
        await self._notify()
        return self._answer([])

    def _answer(self, rows, has_more=False, status=200):
        loop = asyncio.get_running_loop()
        body = {
            "rows": [_wire(row) for row in rows],
            "has_more": has_more,
            "schema_version": self._version,
            "now_ms": int(loop.time() * MS_PER_S),
        }
        return web.json_response(body, status=status)


def _wire(row):
    wire = {
        "table": row.table,
        "part": "",
        "key": row.key,
        "schema_version": row.version,
    }
    if row.value is None:
        return {**wire, "deleted": True}
    return {**wire, "value": row.value}
