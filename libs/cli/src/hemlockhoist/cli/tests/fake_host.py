"""A fake of the operators' HTTP interface of a host, with configurable faults."""

import asyncio
import threading

import msgspec
from aiohttp import web

from hemlockhoist.base import (
    DeclarationError,
    HemlockhoistError,
    ResultCode,
    configure_logs,
)
from hemlockhoist.decisions.versions import MoveRequest
from hemlockhoist.host.operator_declarations import OperatorDeclarations
from hemlockhoist.host.operator_messages import (
    DeclarationChange,
    DeclarationsView,
    HistoryView,
    HostVersion,
    MovesView,
    MoveView,
)
from hemlockhoist.host.responses import error_response
from hemlockhoist.host.tests.test_operator_declarations import FakeClock, FakeTables
from hemlockhoist.host.where_messages import PlacementRequestBody

KEY = "operator-key-of-the-test"


class FakeHost:
    """Serves the paths below ``/-/`` on the loopback interface, from its own thread.

    ``lagging_views`` is the number of views in which the second host lags behind,
    ``drop_connection`` closes the connection after a change has taken effect, and
    ``move_ends_as`` is the state of a running move from the second listing on.
    """

    def __init__(self):
        self.tables = FakeTables()
        self.declarations = OperatorDeclarations(self.tables, FakeClock())
        self.lagging_views = 0
        self.drop_connection = False
        self.moves = {}
        self.move_ends_as = "running"
        self.listings = 0
        self.drained = False
        # The answer to a query of a placement, or the error; and the queries so far.
        self.placement = None
        self.placement_requests = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self):
        # Without configuration, logs would go to the captured standard output.
        configure_logs("error")
        self._thread.start()
        self.address = self._call(self._serve())

    def close(self):
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _serve(self):
        app = web.Application(middlewares=[self._guard])
        app.router.add_get("/-/status", self._status)
        app.router.add_post("/-/drain", self._drain)
        app.router.add_get("/-/declarations", self._view)
        app.router.add_put("/-/declarations", self._change)
        app.router.add_get("/-/declarations/history", self._history)
        app.router.add_get("/-/moves", self._list_moves)
        app.router.add_post("/-/moves", self._start_move)
        app.router.add_delete("/-/moves/{move_id}", self._cancel_move)
        app.router.add_post("/-/where", self._where)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return "{}:{}".format(*self._runner.addresses[0][:2])

    @web.middleware
    async def _guard(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            error = HemlockhoistError(code=ResultCode.OPERATOR_KEY_WRONG)
            return error_response(error)
        try:
            result = await handler(request)
        except HemlockhoistError as error:
            return error_response(error)
        if isinstance(result, web.StreamResponse):
            return result
        return web.Response(
            body=msgspec.json.encode(result), content_type="application/json"
        )

    async def _status(self, request):
        hosts = [{"host": "a", "state": "ready"}, {"host": "b", "state": "leaving"}]
        return {"host": "a", "hosts": hosts}

    async def _drain(self, request):
        self.drained = True
        return {"host": "a", "state": "leaving"}

    async def _view(self, request):
        stored = await self.declarations.current()
        version = stored.declarations.version
        behind, self.lagging_views = (
            (1, self.lagging_views - 1) if self.lagging_views else (0, 0)
        )
        hosts = (
            HostVersion(host_id="a", version=version),
            HostVersion(host_id="b", version=version - behind),
        )
        return DeclarationsView(
            version=version, hosts=hosts, declarations=stored.declarations
        )

    async def _change(self, request):
        try:
            change = msgspec.json.decode(await request.read(), type=DeclarationChange)
        except msgspec.DecodeError as error:
            raise DeclarationError(str(error)) from error
        result = await self.declarations.apply(change)
        if self.drop_connection:
            self.drop_connection = False
            request.transport.close()
        return result

    async def _history(self, request):
        return HistoryView(entries=await self.declarations.history())

    async def _list_moves(self, request):
        self.listings += 1
        state = self.move_ends_as if self.listings > 1 else None
        moves = (
            msgspec.structs.replace(item, state=state or item.state)
            for item in self.moves.values()
        )
        return MovesView(moves=tuple(moves))

    async def _start_move(self, request):
        order = msgspec.json.decode(await request.read(), type=MoveRequest)
        move = MoveView(state="running", **msgspec.structs.asdict(order))
        self.moves[order.pool] = move
        return move

    async def _cancel_move(self, request):
        for move in self.moves.values():
            if move.move_id == request.match_info["move_id"]:
                reason = request.query["reason"]
                return msgspec.structs.replace(move, state="cancelled", reason=reason)
        raise HemlockhoistError(code=ResultCode.MOVE_UNKNOWN)

    async def _where(self, request):
        if self.drop_connection:
            request.transport.close()
        body = msgspec.json.decode(await request.read(), type=PlacementRequestBody)
        self.placement_requests.append(body)
        if isinstance(self.placement, HemlockhoistError):
            raise self.placement
        return self.placement
