import asyncio
import contextlib
import socket
import unittest

import uvloop
from aiohttp import web

from hemlockhoist.entry.listeners import listen
from hemlockhoist.platform.early_listener import BACKLOG

REQUEST = b"GET / HTTP/1.1\r\nHost: halls\r\n\r\n"
WAIT_S = 3.0


class UvloopTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs on the event loop of the program, which treats sockets in its own way."""

    def _setupAsyncioRunner(self):  # noqa: N802 (the name is unittest's)
        self._asyncioRunner = asyncio.Runner(loop_factory=uvloop.new_event_loop)


async def answered(address):
    """Return whether a new connection to an address gets an answer."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            line = await reader.readline()
            writer.close()
            return line.startswith(b"HTTP/1.1 200")
    return False


class ListenerTests(UvloopTestCase):
    async def asyncSetUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        server = web.Server(self._answer, access_log=None)
        runner = await listen(server, "", self.listener)
        self.addAsyncCleanup(runner.cleanup)

    async def _answer(self, request):
        return web.Response(text="ok")

    async def test_listener_that_is_lost_is_opened_again(self):
        """Guards against hosts that say ready and refuse each new connection."""
        self.assertTrue(await answered(self.address))
        with socket.socket(fileno=socket.dup(self.listener.fileno())) as other:
            other.shutdown(socket.SHUT_RD)
        await asyncio.sleep(0.2)
        self.assertTrue(await answered(self.address))

    async def test_queue_for_new_connections_keeps_its_length(self):
        """Guards against callers whose first packet is dropped, and repeated late."""
        state = self.listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
        # For a listening socket, the field of unacknowledged segments that were
        # selectively acknowledged holds the length of its queue.
        queue_length = int.from_bytes(state[28:32], "little")
        self.assertEqual(queue_length, BACKLOG)
