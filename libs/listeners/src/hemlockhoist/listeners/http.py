"""HTTP servers on an ``Acceptor``."""

from aiohttp import web

from hemlockhoist.declarations import RequestLimits
from hemlockhoist.listeners.acceptor import Acceptor
from hemlockhoist.listeners.http_connections import HttpConnections

# The servers close after open requests have been waited for. Failure prevented: waiting
# again here, with a stream still open, makes the process outlast its planned stop.
SHUTDOWN_TIMEOUT_S = 0.05
_DEFAULT_LIMITS = RequestLimits()


def default_limits():
    """Return the limits of a server for which none are declared."""
    return _DEFAULT_LIMITS


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
    limits : callable, optional
        Returns the ``RequestLimits`` in force.
    bounds : dict, optional
        Further parameters of ``HttpConnections``.
    options : dict
        Further parameters of ``Acceptor``.

    Attributes
    ==========
    acceptor : Acceptor
        None before ``start``.
    """

    __slots__ = (
        "_address",
        "_bounds",
        "_connections",
        "_limits",
        "_name",
        "_options",
        "_runner",
        "acceptor",
    )

    def __init__(
        self, name, runner, address, limits=default_limits, bounds=None, **options
    ):
        self._name = name
        self._runner = runner
        self._address = address
        self._limits = limits
        self._bounds = bounds or {}
        self._connections = None
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
        """The server's sides of the open connections."""
        return self._runner.server.connections

    @property
    def is_quiet(self):
        """Whether no request is being answered, has begun or is about to come."""
        return not self.acceptor.pending_count and self._connections.is_quiet

    async def start(self):
        """Start to serve."""
        await self._runner.setup()
        connections = HttpConnections(
            self._name, self._runner.server, self._limits, **self._bounds
        )
        self._connections = connections
        await connections.start()
        options = {"room": connections.may_accept, **self._options}
        self.acceptor = Acceptor(
            self._name, connections.new_connection, self._address, **options
        )
        await self.acceptor.start()

    async def stop_listening(self):
        """Accept no new connections; open ones are served further."""
        await self.acceptor.stop()

    async def close(self):
        """Stop listening, and close all connections."""
        if self.acceptor is not None:
            await self.acceptor.close()
        if self._connections is not None:
            await self._connections.close()
        await self._runner.cleanup()
