"""Listening on the addresses of an entry host."""

from aiohttp import web

# The servers close after open requests have been waited for. Failure prevented: waiting
# again here, with a stream still open, makes the process outlast its planned stop.
SHUTDOWN_TIMEOUT_S = 0.05


async def listen(server, address, listener=None):
    """Return the started runner of a server on ``IP:port`` or an open socket."""
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    if listener is not None:
        site = web.SockSite(runner, listener)
    else:
        ip, _, port = address.rpartition(":")
        site = web.TCPSite(runner, ip, int(port), reuse_address=True)
    await site.start()
    return runner
