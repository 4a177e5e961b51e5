import asyncio
import contextlib
import unittest

from hemlockhoist.cli.client import OperatorClient
from hemlockhoist.cli.errors import HostUnreachable, RemoteError

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
FIRST = b'{"n": 0}'
SECOND_ANSWERS = {
    "length": LENGTH + FIRST,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n"
    + FIRST
    + b"\r\n0\r\n\r\n",
    "refusal": LENGTH.replace(b"200 OK", b"409 Conflict") + FIRST,
    "plain": FIRST,
}
MOMENTS = ("at once", "idle", "with the next answer")
PAUSE_S = 0.005


class SecondAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.second, self.moment, self.call_count = b"", "", 0
        # What is sent in place of all answers, if it is set.
        self.sent = b""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        is_used = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.sent:
                await reader.readuntil(b"\r\n\r\n")
                self.call_count += 1
                own = LENGTH + b'{"n": %d}' % self.call_count
                self.send(own, is_used, writer)
                is_used = True
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.sent)
            await writer.drain()
        writer.close()

    def send(self, own, is_used, writer):
        if is_used and self.moment == "with the next answer":
            own = self.second + own
        elif not is_used and self.moment == "at once":
            own += self.second
        elif not is_used and self.moment == "idle":
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_S, writer.write, self.second)
        writer.write(own)

    async def client(self):
        client = OperatorClient([self.address], "key")
        await client.start()
        self.addAsyncCleanup(client.close)
        return client

    async def test_answer_is_none_of_an_earlier_call(self):
        """Guards against a change that counts as made by the answer to another one."""
        for self.moment in MOMENTS:
            for name, self.second in SECOND_ANSWERS.items():
                with self.subTest(moment=self.moment, name=name):
                    client, self.call_count = await self.client(), 0
                    found = []
                    for _ in range(3):
                        found.append(await client.drain())
                        await asyncio.sleep(2 * PAUSE_S * (self.moment == "idle"))
                    self.assertEqual(found, [{"n": 1}, {"n": 2}, {"n": 3}])

    async def test_mixed_answers_are_none(self):
        """Guards against a value from a second answer within the first one."""
        for second in SECOND_ANSWERS.values():
            for self.sent in (
                UNFRAMED + FIRST + second,
                UNFRAMED + second + FIRST,
                UNFRAMED + FIRST[:3] + second + FIRST[3:],
                b"HTTP/1.1 200 OK\r\n" + LENGTH + FIRST,
                UNFRAMED + LENGTH + FIRST,
            ):
                with self.subTest(sent=self.sent):
                    client = await self.client()
                    with self.assertRaises((HostUnreachable, RemoteError)):
                        await client.drain()
