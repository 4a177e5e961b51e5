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
    """An upstream that records request heads and responds with fixed bytes."""

    def __init__(self, response, read_head=True):
        self.response = response
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
            writer.write(self.response)
        writer.close()


class RegisterTests(unittest.TestCase):
    def test_second_dispatch_of_a_request_is_detected(self):
        """A second dispatch of the same request id raises an error in tests."""
        register = DispatchRegister(InvariantLog(fatal=True))
        register.record("r1")
        with self.assertRaises(PropertyViolation):
            register.record("r1")


class SuspensionTests(unittest.TestCase):
    def test_process_suspended_between_grant_and_first_byte_sends_nothing(self):
        """Guards against sending under an expired grant.

        The whole process is suspended after it received a grant, and resumes after the
        expiry. The event loop does not notice the time that passed, so the last check
        has to read the clock in the same iteration of the loop.
        """

        async def suspended():
            clock = Clock.from_running_loop()
            register = DispatchRegister(InvariantLog(fatal=True))
            guard = SendGuard(clock, clock.now_ms() + 50, register, "r1")
            time.sleep(0.1)
            with self.assertRaises(Refused) as caught:
                guard.begin_dispatch()
            return caught.exception.code

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            self.assertIs(runner.run(suspended()), ResultCode.GRANT_EXPIRED)


class DispatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock.from_running_loop()
        self.client = UpstreamClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    async def _upstream(self, response):
        upstream = RawUpstream(response)
        await upstream.start()
        self.addAsyncCleanup(upstream.close)
        return upstream

    def _guard(self, ttl_ms=HOUR_MS):
        expires_ms = self.clock.now_ms() + ttl_ms
        register = DispatchRegister(InvariantLog(fatal=True))
        return SendGuard(self.clock, expires_ms, register, "r1")

    async def _dispatch(self, address, guard, method="GET"):
        call = UpstreamCall(address=address, method=method, path="/x", request_id="r1")
        async with self.client.dispatch(call, guard) as response:
            return response.status, await response.read(1000)

    async def test_complete_response_is_read(self):
        """The status and the complete body of a response are returned."""
        upstream = await self._upstream(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        result = await self._dispatch(upstream.address, self._guard())
        self.assertEqual(result, (200, b"ok"))

    async def test_get_resent_by_the_http_library_is_stopped(self):
        """Guards against a GET that the HTTP library sends a second time.

        The upstream runs the request and then crashes. aiohttp treats a GET as
        idempotent and resends it over a new connection. The upstream must receive one
        request, and the caller "outcome unknown".
        """
        upstream = await self._upstream(b"")
        with self.assertRaises(DispatchError) as caught:
            await self._dispatch(upstream.address, self._guard())
        self.assertIs(caught.exception.code, ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(len(upstream.heads), 1)

    async def test_address_that_none_can_connect_to_is_its_upstream_s_fault(self):
        """Guards against callers that are told that their requests are invalid."""
        for address in ("127.0.0.1:99999", "127.0.0.1:84x", "127.0.0.1", ":80", ""):
            with self.subTest(address), self.assertRaises(Refused) as caught:
                await self._dispatch(address, self._guard())
            self.assertIs(caught.exception.code, ResultCode.CONNECT_FAILED)

    async def test_an_expired_grant_sends_nothing(self):
        """A grant that expires while connecting is refused, and no byte is sent."""
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        with self.assertRaises(Refused) as caught:
            await self._dispatch(upstream.address, self._guard(ttl_ms=0))
        self.assertIs(caught.exception.code, ResultCode.GRANT_EXPIRED)
        await asyncio.sleep(0.05)
        self.assertEqual(upstream.heads, [])

    async def test_a_revoked_grant_sends_nothing(self):
        """A grant revoked while connecting, as its version is halted, sends nothing."""
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        guard = self._guard()
        guard.revoke("version halted")
        with self.assertRaises(Refused):
            await self._dispatch(upstream.address, guard)
        await asyncio.sleep(0.05)
        self.assertEqual(upstream.heads, [])

    async def test_a_refused_connection_is_not_run(self):
        """A refused connection ends as not run and leaves the guard unused."""
        upstream = await self._upstream(b"")
        address = upstream.address
        await upstream.close()
        guard = self._guard()
        with self.assertRaises(Refused) as caught:
            await self._dispatch(address, guard)
        self.assertIs(caught.exception.code, ResultCode.CONNECT_FAILED)
        self.assertFalse(guard.dispatched)

    async def test_a_truncated_body_is_an_error(self):
        """A body that ends after two of its ten announced bytes is an error."""
        upstream = await self._upstream(
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok"
        )
        with self.assertRaises(DispatchError) as caught:
            await self._dispatch(upstream.address, self._guard(), "POST")
        self.assertIs(caught.exception.code, ResultCode.UPSTREAM_BROKE_OFF)

    async def test_an_unframed_body_that_never_begins_is_an_error(self):
        """Guards against a crashed upstream whose empty answer looks complete."""
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        with self.assertRaises(DispatchError) as caught:
            await self._dispatch(upstream.address, self._guard())
        self.assertIs(caught.exception.code, ResultCode.UPSTREAM_BROKE_OFF)

    async def test_an_unframed_body_ends_with_its_connection(self):
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        result = await self._dispatch(upstream.address, self._guard())
        self.assertEqual(result, (200, b"whole"))

    async def test_empty_bodies_that_are_complete_are_read(self):
        """Guards against complete answers without a body that are taken for broken."""
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
        )
        for head in heads:
            upstream = await self._upstream(head)
            _, body = await self._dispatch(upstream.address, self._guard())
            with self.subTest(head=head):
                self.assertEqual(body, b"")

    async def test_head_response_without_a_length_is_complete(self):
        upstream = await self._upstream(b"HTTP/1.1 200 OK\r\n\r\n")
        result = await self._dispatch(upstream.address, self._guard(), "HEAD")
        self.assertEqual(result, (200, b""))

    async def test_a_redirect_is_not_followed(self):
        """Following a redirect would be a second dispatch."""
        upstream = await self._upstream(
            b"HTTP/1.1 307 T\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"
        )
        status, _ = await self._dispatch(upstream.address, self._guard())
        self.assertEqual((status, len(upstream.heads)), (307, 1))


class RefusedDispatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_connection_is_closed_that_the_guard_leaves_unused(self):
        """Guards against idle connections that use up those an upstream accepts."""
        ended = asyncio.Event()

        async def serve(reader, writer):
            await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = Clock.from_running_loop()
        register = DispatchRegister(InvariantLog(fatal=True))
        guard = SendGuard(clock, clock.now_ms() + HOUR_MS, register, "r1")
        guard.revoke("the upstream is leaving")
        client = UpstreamClient()
        await client.start()
        call = UpstreamCall(address=f"{host}:{port}", method="GET", path="/")
        with self.assertRaises(Refused):
            async with client.dispatch(call, guard):
                self.fail("the request was sent")
        async with asyncio.timeout(2):
            await ended.wait()
        await client.close()
        server.close()
