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
PART = b"half of an answ"


class ResettingUpstream:
    """Sends a part of an answer without a length, and ends its connection.

    With ``with_data`` the reset reaches the client together with the last bytes, as
    its event loop is kept busy meanwhile.
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
        connection.sendall(HEAD + PART)
        if not self._with_data:
            time.sleep(BUSY_S)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


async def read_answer(resets, with_data):
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
        async with client.dispatch(call, guard) as answer:
            return await answer.read(1_000)
    finally:
        await client.close()
        await asyncio.to_thread(upstream.close)


class AnswerWithoutLengthTests(unittest.TestCase):
    """A caller gets half of an answer that looks whole.

    The upstream's answer has no length and ends with its connection. The upstream
    crashes in the middle, and the connection is reset; the HTTP library takes the
    reset for the end, and where it comes together with data the event loop does.
    """

    def run_loop(self, resets, with_data):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(read_answer(resets, with_data))

    def test_orderly_end_is_the_end_of_the_answer(self):
        self.assertEqual(self.run_loop(resets=False, with_data=False), PART)
        self.assertEqual(self.run_loop(resets=False, with_data=True), PART)

    def test_reset_after_the_data_breaks_the_answer(self):
        with self.assertRaises(DispatchError):
            self.run_loop(resets=True, with_data=False)

    def test_reset_together_with_the_data_breaks_the_answer(self):
        with self.assertRaises(DispatchError):
            self.run_loop(resets=True, with_data=True)


async def answer_shortly(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
    writer.close()


class CancelledConnectTests(unittest.TestCase):
    """A host answers nobody any more, or its process ends, after callers have left.

    A caller left in the moment in which the connection to the upstream had been made
    and its socket was handed to the event loop. The loop went on to own the number of a
    socket that was closed, and each later connection was given that number.
    """

    ROUNDS = 500
    AT_ONCE = 8

    def test_connections_are_made_after_many_were_cancelled(self):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self.leave_and_ask())

    async def leave_and_ask(self):
        server = await asyncio.start_server(answer_shortly, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient()
        await client.start()
        clock = Clock.from_running_loop()
        register = DispatchRegister(InvariantLog(fatal=True))
        rng = random.Random(1)

        async def ask(name):
            guard = SendGuard(clock, clock.now_ms() + HOUR_MS, register, name)
            call = UpstreamCall(address=f"127.0.0.1:{port}", method="GET", path="/")
            async with client.dispatch(call, guard) as answer:
                return await answer.read(100)

        async def leave(name):
            task = asyncio.create_task(ask(name))
            for _ in range(rng.randrange(40)):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        for number in range(self.ROUNDS):
            names = [f"left-{number}-{at}" for at in range(self.AT_ONCE)]
            await asyncio.gather(*(leave(name) for name in names))
            self.assertEqual(await ask(f"asked-{number}"), b"ok")
        await client.close()
        server.close()
