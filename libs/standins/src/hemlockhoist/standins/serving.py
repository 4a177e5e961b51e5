"""Run a stand-in's HTTP application as a process of its own."""

import asyncio
import contextlib
import signal

import uvloop
from aiohttp import web

# A stand-in that is told to stop ends its streams at once: nothing is drained here.
_SHUTDOWN_TIMEOUT_S = 0.2


class Server:
    """An HTTP application on one TCP address.

    Parameters
    ==========
    app : aiohttp.web.Application
    ip : str
    port : int
        0 lets the kernel choose.
    """

    __slots__ = ("_app", "_reopen", "_runner", "_site", "ip", "port")

    def __init__(self, app, ip, port):
        self._app = app
        self._runner = None
        self._site = None
        self._reopen = None
        self.ip = ip
        self.port = port

    @classmethod
    def from_config(cls, app, listen="127.0.0.1:0"):
        """Return a server that is not listening yet.

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
        """``IP:port``, once started."""
        return f"{self.ip}:{self.port}"

    @property
    def url(self):
        """``http://IP:port``, once started."""
        return f"http://{self.address}"

    async def start(self):
        """Listen, and learn the port that the kernel chose."""
        self._runner = web.AppRunner(
            self._app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await self._listen()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        """Stop listening and end the connections."""
        if self._reopen is not None:
            self._reopen.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reopen
        await self._runner.cleanup()

    async def refuse_connections_for(self, duration_ms):
        """Refuse new connections for a while; end those that wait for a request.

        Parameters
        ==========
        duration_ms : int
        """
        await self._site.stop()
        for connection in self._runner.server.connections:
            connection.close()
        self._reopen = asyncio.create_task(self._listen_after(duration_ms))

    async def _listen(self):
        self._site = web.TCPSite(
            self._runner, self.ip, self.port, reuse_address=True, backlog=1024
        )
        await self._site.start()

    async def _listen_after(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)
        await self._listen()


@contextlib.asynccontextmanager
async def serving(standin):
    """Serve a stand-in inside this process, for the body of an ``async with``.

    Parameters
    ==========
    standin : object
        With ``application()`` and a ``server`` attribute.
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
    """Serve until SIGTERM or SIGINT, after a line ``listening address=IP:port``.

    Parameters
    ==========
    build : callable
        Takes the listening address and returns a ``Server``; called in the loop.
    listen : str
        ``IP:port``.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(build, listen))
