import asyncio
import os
import signal
import sys
import unittest

_BODY_BYTES = 8_000_000
_SERVER = """
import asyncio
from aiohttp import web
from hemlockhoist.listeners import HttpListener, UnframedResponse

async def main():
    async def answer(request):
        return UnframedResponse(200, b"x" * {size})

    listener = HttpListener.from_server("test", web.Server(answer), "127.0.0.1:0")
    await listener.start()
    print(listener.address, flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""
_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class UnframedResponseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _SERVER.format(size=_BODY_BYTES),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.end)
        line = await self.process.stdout.readline()
        ip, _, port = line.decode().strip().rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            ip, int(port), limit=1_024
        )
        self.addCleanup(self.writer.close)
        self.writer.write(_REQUEST)

    async def end(self):
        if self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)
        await self.process.wait()

    async def test_body_cut_by_the_end_of_its_process_ends_with_a_reset(self):
        """Guards against a killed process whose closed connection looks like an end."""
        await self.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.2)
        await self.end()
        with self.assertRaises(ConnectionResetError):
            while await self.reader.read(65_536):
                pass

    async def test_whole_body_arrives_before_an_orderly_close(self):
        """Guards against a reset that takes the rest of a whole body with it."""
        await self.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.2)
        size = 0
        while data := await self.reader.read(65_536):
            size += len(data)
        self.assertEqual(size, _BODY_BYTES)
