import asyncio
import contextlib
import random
import socket
import struct
import threading
import time
import unittest

import uvloop

from hemlockhoist.base import Clock, DispatchError, InvariantLog
from hemlockhoist.upstreams import (
    DispatchRegister,
    SendGuard,
    UpstreamCall,
    UpstreamClient,
)

HOUR_MS = 3_600_000
BUSY_S = 0.1
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PARTIAL_BODY = b"half of an answ"


class ResettingUpstream:
    """Sends a part of a response without a length, and ends its connection.

    With ``with_data`` the reset reaches the client together with the last bytes, as
    the client's event loop is kept busy meanwhile.
    """

    def __init__(self, loop, resets, with_data):
        self._loop = loop
        self._resets = resets
        self._with_data = with_data
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)

    def start(self):
        self._thread.start()

    def close(self):
        self._thread.join()
        self._listener.close()

    def _serve(self):
        connection, _ = self._listener.accept()
        while b"\r\n\r\n" not in connection.recv(65_536):
            continue
        if self._with_data:
            self._loop.call_soon_threadsafe(time.sleep, BUSY_S)
        connection.sendall(HEAD + PARTIAL_BODY)
        if not self._with_data:
            time.sleep(BUSY_S)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


async def read_response(resets, with_data):
    loop = asyncio.get_running_loop()
    upstream = ResettingUpstream(loop, resets, with_data)
    upstream.start()
    client = UpstreamClient()
    await client.start()
    try:
        clock = Clock.from_running_loop()
        register = DispatchRegister(InvariantLog(fatal=True))
        guard = SendGuard(clock, clock.now_ms() + HOUR_MS, register, "r1")
        call = UpstreamCall(address=upstream.address, method="GET", path="/")
        async with client.dispatch(call, guard) as response:
            return await response.read(1_000)
    finally:
        await client.close()
        await asyncio.to_thread(upstream.close)


class ResponseWithoutLengthTests(unittest.TestCase):
    """Guards against a truncated response that looks complete to the caller.

    The upstream's response has no length and ends with its connection. The upstream
    crashes while sending, and the connection is reset. The HTTP library treats the
    reset as the end, and so does the event loop if it arrives together with data.
    """

    def run_loop(self, resets, with_data):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(read_response(resets, with_data))

    def test_orderly_end_completes_the_response(self):
        self.assertEqual(self.run_loop(resets=False, with_data=False), PARTIAL_BODY)
        self.assertEqual(self.run_loop(resets=False, with_data=True), PARTIAL_BODY)

    def test_reset_after_the_data_is_an_error(self):
        with self.assertRaises(DispatchError):
            self.run_loop(resets=True, with_data=False)

    def test_reset_together_with_the_data_is_an_error(self):
        with self.assertRaises(DispatchError):
            self.run_loop(resets=True, with_data=True)


async def serve_fixed_response(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
    writer.close()


class CancelledConnectTests(unittest.TestCase):
    """Guards against a host that fails all requests, or crashes, after disconnects.

    A caller disconnected at the moment when the connection to the upstream was made and
    its socket was handed to the event loop. The loop kept the descriptor of a socket
    that had been closed, and each later connection was given that descriptor.
    """

    ROUNDS = 500
    CONCURRENT = 8

    def test_connections_succeed_after_many_were_cancelled(self):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.cancel_and_request())

    async def cancel_and_request(self):
        server = await asyncio.start_server(serve_fixed_response, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient()
        await client.start()
        clock = Clock.from_running_loop()
        register = DispatchRegister(InvariantLog(fatal=True))
        rng = random.Random(1)

        async def request(name):
            guard = SendGuard(clock, clock.now_ms() + HOUR_MS, register, name)
            call = UpstreamCall(address=f"127.0.0.1:{port}", method="GET", path="/")
            async with client.dispatch(call, guard) as response:
                return await response.read(100)

        async def cancel_request(name):
            task = asyncio.create_task(request(name))
            for _ in range(rng.randrange(40)):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        for number in range(self.ROUNDS):
            names = [f"cancelled-{number}-{at}" for at in range(self.CONCURRENT)]
            await asyncio.gather(*(cancel_request(name) for name in names))
            self.assertEqual(await request(f"completed-{number}"), b"ok")
        await client.close()
        server.close()
