"""HTTP servers on an ``Acceptor``."""

from aiohttp import web

from hemlockhoist.listeners.acceptor import Acceptor

# The servers close after open requests have been waited for. Failure prevented: waiting
# again here, with a stream still open, makes the process outlast its planned stop.
SHUTDOWN_TIMEOUT_S = 0.05


class HttpListener:
    """Serves an HTTP server at one address.

    Parameters
    ==========
    name : str
        What the server is for, in log lines.
    runner : aiohttp.web.BaseRunner
        Has no sites.
    address : str
        ``IP:port``; with port 0 the kernel chooses one.
    options : dict
        Further parameters of ``Acceptor``.

    Attributes
    ==========
    acceptor : Acceptor
        None before ``start``.
    """

    __slots__ = ("_address", "_name", "_options", "_runner", "acceptor")

    def __init__(self, name, runner, address, **options):
        self._name = name
        self._runner = runner
        self._address = address
        self._options = options
        self.acceptor = None

    @classmethod
    def from_server(cls, name, server, address, **options):
        """Return a listener for an ``aiohttp.web.Server``; parameters as of the class."""
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        return cls(name, runner, address, **options)

    @property
    def address(self):
        """``IP:port`` that it listens at."""
        return self.acceptor.address

    @property
    def connections(self):
        """The open connections of the server."""
        return self._runner.server.connections

    async def start(self):
        """Start to serve."""
        await self._runner.setup()
        self.acceptor = Acceptor(
            self._name, self._runner.server, self._address, **self._options
        )
        await self.acceptor.start()

    async def stop_listening(self):
        """Accept no new connections; open ones are served further."""
        await self.acceptor.stop()

    async def close(self):
        """Stop listening, and close all connections."""
        if self.acceptor is not None:
            await self.acceptor.close()
        await self._runner.cleanup()
