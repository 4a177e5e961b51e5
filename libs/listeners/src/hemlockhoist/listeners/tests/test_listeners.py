import asyncio
import collections
import contextlib
import errno
import socket
import unittest

import uvloop
from aiohttp import web

from hemlockhoist.listeners import BACKLOG, HttpListener

REQUEST = b"GET / HTTP/1.1\r\nHost: halls\r\n\r\n"
WAIT_S = 3.0
NETWORK_ERRORS = (
    "ECONNABORTED",
    "EHOSTDOWN",
    "EHOSTUNREACH",
    "ENETDOWN",
    "ENETUNREACH",
    "EPERM",
    "EPROTO",
    "ETIMEDOUT",
)
NO_ROOM_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")


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
        ip, port = self.address
        self.http = HttpListener.from_server(
            "callers", server, f"{ip}:{port}", listener=self.listener
        )
        await self.http.start()
        self.addAsyncCleanup(self.http.close)

    async def _answer(self, request):
        return web.Response(text="ok")

    async def test_listener_that_is_lost_is_opened_again(self):
        """Guards against hosts that say ready and refuse each new connection."""
        self.assertTrue(await answered(self.address))
        with socket.socket(fileno=socket.dup(self.listener.fileno())) as other:
            other.shutdown(socket.SHUT_RD)
        await asyncio.sleep(0.2)
        self.assertTrue(await answered(self.address))

    async def test_address_in_use_is_tried_until_it_is_free(self):
        """Guards against a listener that is given up as it can't be opened at once."""
        with socket.socket(fileno=socket.dup(self.listener.fileno())) as other:
            other.shutdown(socket.SHUT_RD)
            with socket.create_server(self.address, reuse_port=False):
                await asyncio.sleep(1.2)
                self.assertFalse(await answered(self.address))
                self.assertFalse(self.http.acceptor.is_accepting)
        await asyncio.sleep(1.2)
        self.assertTrue(await answered(self.address))
        self.assertTrue(self.http.acceptor.is_accepting)

    async def test_host_stops_without_a_listener(self):
        """Guards against a planned stop that fails as no listener could be opened."""
        with socket.socket(fileno=socket.dup(self.listener.fileno())) as other:
            other.shutdown(socket.SHUT_RD)
            with socket.create_server(self.address, reuse_port=False):
                await asyncio.sleep(1.2)
                await self.http.stop_listening()
        self.assertFalse(self.http.acceptor.is_accepting)

    async def test_all_callers_that_wait_are_served_as_it_stops_listening(self):
        """Guards against connections that are reset in the queue by a planned stop."""
        callers = [socket.create_connection(self.address) for _ in range(300)]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await self.http.stop_listening()
        for caller in callers:
            caller.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=caller)
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()

    async def test_queue_for_new_connections_keeps_its_length(self):
        """Guards against callers whose first packet is dropped, and repeated late."""
        state = self.listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
        # For a listening socket, the field of unacknowledged segments that were
        # selectively acknowledged holds the length of its queue.
        queue_length = int.from_bytes(state[28:32], "little")
        self.assertEqual(queue_length, BACKLOG)


class FailingListener(socket.socket):
    """A listening socket whose ``accept`` fails some times."""

    errors = ()

    def accept(self):
        if self.errors:
            number, *rest = self.errors
            self.errors = tuple(rest)
            raise OSError(number, "injected")
        return super().accept()


class AcceptErrorTests(UvloopTestCase):
    async def start(self, **options):
        self.listener = FailingListener(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        ip, port = self.address
        server = web.Server(self._answer, access_log=None)
        self.counts = collections.Counter()
        self.http = HttpListener.from_server(
            "callers",
            server,
            f"{ip}:{port}",
            listener=self.listener,
            on_error=lambda name: self.counts.update([name]),
            **options,
        )
        await self.http.start()
        self.addAsyncCleanup(self.http.close)

    async def _answer(self, request):
        return web.Response(text="ok")

    async def test_no_error_of_accept_ends_the_listener(self):
        """Guards against hosts that refuse all callers after one failed connection."""
        await self.start()
        for name in NETWORK_ERRORS + NO_ROOM_ERRORS + ("EINVAL",):
            with self.subTest(name=name):
                self.listener.errors = (getattr(errno, name),)
                for _ in range(3):
                    self.assertTrue(await answered(self.address))
                self.assertEqual(self.counts[name], 1)
        self.assertTrue(self.http.acceptor.is_accepting)

    async def test_connections_wait_while_there_is_no_room(self):
        """Guards against a loop that spins on an error that lasts."""
        await self.start()
        self.listener.errors = (errno.EMFILE,) * 5
        task = asyncio.create_task(answered(self.address))
        await asyncio.sleep(0.02)
        self.assertFalse(self.http.acceptor.is_accepting)
        self.assertEqual(self.http.acceptor.waiting_count, 1)
        self.assertTrue(await task)
        self.assertEqual(self.counts["EMFILE"], 5)

    async def test_connections_that_wait_are_accepted_as_listening_stops(self):
        """Guards against callers whose connection is reset as a host stops."""
        rooms = iter([False])
        await self.start(room=lambda pending: next(rooms, True))
        task = asyncio.create_task(answered(self.address))
        await asyncio.sleep(0.02)
        await self.http.stop_listening()
        self.assertTrue(await task)
        self.assertFalse(await answered(self.address))
