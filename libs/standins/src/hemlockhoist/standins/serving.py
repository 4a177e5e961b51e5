"""Serves a stand-in's HTTP application, as a process or inside a test."""

import asyncio
import contextlib
import signal

import msgspec
import uvloop
from aiohttp import web

from hemlockhoist.standins.packet_filter import drop_packets

# Stand-ins do not drain: open streams are closed as soon as they stop.
_SHUTDOWN_TIMEOUT_S = 0.2


class LinkCut(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A loss of all that arrives from some addresses; ``POST /-/links`` begins one.

    Parameters
    ==========
    ips : tuple of str
    duration_ms : int
    is_open_cut : bool
        Whether open connections fall silent as well, and not only new ones.
    """

    ips: tuple[str, ...]
    duration_ms: int
    is_open_cut: bool = False


class Server:
    """Serves an HTTP application on one TCP address.

    Parameters
    ==========
    app : aiohttp.web.Application
    ip : str
    port : int
        0 for a port chosen by the kernel.
    """

    __slots__ = ("_app", "_cuts", "_reopen", "_runner", "_site", "ip", "port")

    def __init__(self, app, ip, port):
        self._app = app
        self._runner = None
        self._site = None
        self._reopen = None
        self._cuts = []
        self.ip = ip
        self.port = port

    @classmethod
    def from_config(cls, app, listen="127.0.0.1:0"):
        """Return a server that has not been started.

        Parameters
        ==========
        app : aiohttp.web.Application
        listen : str
            ``IP:port``.
        """
        ip, _, port = listen.rpartition(":")
        return cls(app, ip, int(port))

    @property
    def address(self):
        """``IP:port``; available once started."""
        return f"{self.ip}:{self.port}"

    @property
    def url(self):
        """``http://IP:port``; available once started."""
        return f"http://{self.address}"

    async def start(self):
        """Start listening and store the port chosen by the kernel."""
        self._app.router.add_post("/-/links", self._begin_cut)
        self._runner = web.AppRunner(
            self._app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await self._listen()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        """Stop listening and close the connections."""
        if self._reopen is not None:
            self._reopen.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reopen
        await self._runner.cleanup()

    async def refuse_connections_for(self, duration_ms, aborts_open=False):
        """Refuse new connections for a time; close the idle ones.

        Parameters
        ==========
        duration_ms : int
        aborts_open : bool, optional
            Whether connections with a request are aborted.
        """
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        for connection in self._runner.server.connections:
            if aborts_open and connection.transport is not None:
                connection.transport.abort()
            connection.close()
        self._reopen = asyncio.create_task(self._listen_after(duration_ms))

    async def _begin_cut(self, request):
        try:
            cut = msgspec.json.decode(await request.read(), type=LinkCut)
        except msgspec.ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        self._cuts.append(cut)
        self._apply_cuts()
        loop = asyncio.get_running_loop()
        loop.call_later(cut.duration_ms / 1000, self._end_cut, cut)
        return web.json_response(msgspec.to_builtins(cut))

    def _end_cut(self, cut):
        self._cuts.remove(cut)
        self._apply_cuts()

    def _apply_cuts(self):
        lost = {ip for cut in self._cuts for ip in cut.ips}
        silent = {ip for cut in self._cuts if cut.is_open_cut for ip in cut.ips}
        if self._site is not None:
            for sock in self._site._server.sockets:
                drop_packets(sock, lost)
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is not None and not transport.is_closing():
                drop_packets(transport.get_extra_info("socket"), silent)

    async def _listen(self):
        site = web.TCPSite(
            self._runner, self.ip, self.port, reuse_address=True, backlog=1024
        )
        await site.start()
        self._site = site
        self._apply_cuts()

    async def _listen_after(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)
        await self._listen()


@contextlib.asynccontextmanager
async def serving(standin):
    """Serve a stand-in in this process for the body of an ``async with``.

    Parameters
    ==========
    standin : object
        Has ``application()`` and a ``server`` attribute.
    """
    standin.server = Server.from_config(standin.application())
    await standin.server.start()
    try:
        yield standin
    finally:
        await standin.server.close()


async def _serve(build, listen):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = build(listen)
    await server.start()
    print(f"listening address={server.address}", flush=True)
    await stop.wait()
    await server.close()


def run(build, listen):
    """Print ``listening address=IP:port`` and serve until SIGTERM or SIGINT.

    Parameters
    ==========
    build : callable
        Takes the listen address and returns a ``Server``; called in the event loop.
    listen : str
        ``IP:port``.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(build, listen))
