import asyncio
import contextlib
import time
import unittest

import uvloop

from hemlockhoist.base import (
    Clock,
    DispatchError,
    InvariantLog,
    PropertyViolation,
    Refused,
    ResultCode,
)
from hemlockhoist.upstreams import (
    DispatchRegister,
    SendGuard,
    UpstreamCall,
    UpstreamClient,
)

HOUR_MS = 3_600_000


class RawUpstream:
    """An upstream that counts request heads and answers with fixed bytes."""

    def __init__(self, answer, read_head=True):
        self.answer = answer
        self.read_head = read_head
        self.heads = []
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
        writer.close()


class RegisterTests(unittest.TestCase):
    def test_two_guards_for_one_request_are_caught(self):
        """A fault of this program that dispatches a request twice is fatal in tests."""
        register = DispatchRegister(InvariantLog(fatal=True))
        register.record("r1")
        with self.assertRaises(PropertyViolation):
            register.record("r1")


class FreezeTests(unittest.TestCase):
    def test_process_stopped_between_grant_and_first_byte_sends_nothing(self):
        """
        The whole process is stopped after it has taken a grant, and goes on when the
        grant has ended. Nothing has told it that time passed: the clock of the event
        loop has to be read afresh at the last check, in the same turn of the loop.
        """

        async def stopped():
            clock = Clock.from_running_loop()
            register = DispatchRegister(InvariantLog(fatal=True))
            guard = SendGuard(clock, clock.now_ms() + 50, register, "r1")
            time.sleep(0.1)
            with self.assertRaises(Refused) as caught:
                guard.begin_dispatch()
            return caught.exception.code

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            self.assertIs(runner.run(stopped()), ResultCode.GRANT_EXPIRED)


class DispatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock.from_running_loop()
        self.client = UpstreamClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    async def _upstream(self, answer):
        upstream = RawUpstream(answer)
        await upstream.start()
        self.addAsyncCleanup(upstream.close)
        return upstream

    def _guard(self, ttl_ms=HOUR_MS):
        expires_ms = self.clock.now_ms() + ttl_ms
        register = DispatchRegister(InvariantLog(fatal=True))
        return SendGuard(self.clock, expires_ms, register, "r1")

    async def _dispatch(self, address, guard, method="GET"):
        call = UpstreamCall(address=address, method=method, path="/x", request_id="r1")
        async with self.client.dispatch(call, guard) as answer:
            return answer.status, await answer.read(1000)

    async def test_a_whole_answer_is_read(self):
        """Status and body come through."""
        upstream = await self._upstream(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        result = await self._dispatch(upstream.address, self._guard())
        self.assertEqual(result, (200, b"ok"))

    async def test_http_library_repeats_a_get_by_itself(self):
        """A lookup is declared with GET; the upstream runs it and then dies.

        aiohttp takes a GET for harmless and sends it a second time over a new
        connection. The upstream must see one, and the caller "outcome unknown".
        """
        upstream = await self._upstream(b"")
        with self.assertRaises(DispatchError) as caught:
            await self._dispatch(upstream.address, self._guard())
        self.assertIs(caught.exception.code, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(len(upstream.heads), 1)

    async def test_an_expired_grant_sends_nothing(self):
        """The grant lapsed while the connection was made: refused, not a byte sent."""
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        with self.assertRaises(Refused) as caught:
            await self._dispatch(upstream.address, self._guard(ttl_ms=0))
        self.assertIs(caught.exception.code, ResultCode.GRANT_EXPIRED)
        await asyncio.sleep(0.05)
        self.assertEqual(upstream.heads, [])

    async def test_a_revoked_grant_sends_nothing(self):
        """The version was halted while the connection was made."""
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        guard = self._guard()
        guard.revoke("version halted")
        with self.assertRaises(Refused):
            await self._dispatch(upstream.address, guard)
        await asyncio.sleep(0.05)
        self.assertEqual(upstream.heads, [])

    async def test_a_refused_connection_is_not_run(self):
        """Nobody listens at the address: nothing was sent and the guard is closed."""
        upstream = await self._upstream(b"")
        address = upstream.address
        await upstream.close()
        guard = self._guard()
        with self.assertRaises(Refused) as caught:
            await self._dispatch(address, guard)
        self.assertIs(caught.exception.code, ResultCode.CONNECT_FAILED)
        self.assertFalse(guard.dispatched)

    async def test_a_body_cut_short_is_not_taken_for_whole(self):
        """The upstream promised ten bytes and died after two."""
        upstream = await self._upstream(
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok"
        )
        with self.assertRaises(DispatchError) as caught:
            await self._dispatch(upstream.address, self._guard(), "POST")
        self.assertIs(caught.exception.code, ResultCode.UPSTREAM_BROKE_OFF)

    async def test_a_redirect_is_not_followed(self):
        """Following a redirect would be a second dispatch."""
        upstream = await self._upstream(
            b"HTTP/1.1 307 T\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"
        )
        status, _ = await self._dispatch(upstream.address, self._guard())
        self.assertEqual((status, len(upstream.heads)), (307, 1))
