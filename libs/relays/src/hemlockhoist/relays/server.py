"""The side of a relayed request that has a link to the upstream."""

import asyncio
import contextlib
import secrets

from aiohttp import web

from hemlockhoist.base import (
    MS_PER_S,
    DispatchError,
    PeerError,
    Refused,
    ResultCode,
    get_logger,
)
from hemlockhoist.base.metrics_table import RELAYS_CARRIED
from hemlockhoist.base.traces import Hop, parent_from_text
from hemlockhoist.decisions.entry import RelayCause, relay_limit
from hemlockhoist.listeners import HttpListener, descriptor_limit
from hemlockhoist.messages import (
    RelayedHead,
    RelayFailure,
    RelayOffer,
    RelayReady,
    RelayRefusal,
    RelaySend,
)
from hemlockhoist.relays.heads import relayed_head
from hemlockhoist.upstreams import SendGuard, UpstreamCall

_log = get_logger("relays.server")

# Bound on the requests that a host relays at a time. It is about what it carries of its
# own callers, so that helping others no more than doubles its load.
MAX_RELAYED = 64
# The offer and the permission are sent without waiting for anything.
FRAME_TIMEOUT_MS = 500
_NONCE_BYTES = 8
_BAD_REQUEST = 400


class RelayServer:
    """Passes requests of other hosts on to upstreams, and the answers back.

    Load: some hosts, or all of a failure domain, have lost their links to upstreams and
    go on taking requests of callers. What this host relays is bounded, so that it does
    not become the next one that serves nobody.

    Parameters
    ==========
    address : str
        ``IP:port`` to listen on; with port 0 a free one is chosen.
    frames : RelayFrames
    context : HostContext or EntryContext
        Provides ``clock``, ``metrics`` and ``traces``.
    boot_clock : SuspendAwareClock
    register : DispatchRegister
    max_descriptors : int, optional
        What the process may open; 0 for its own limit.

    Attributes
    ==========
    relayed_count, max_relayed : int
        Number of requests that it relays now, and its bound.
    """

    __slots__ = (
        "_boot_clock",
        "_context",
        "_frames",
        "_http",
        "_max_connections",
        "_register",
        "address",
        "client",
        "links",
        "max_relayed",
        "relayed_count",
        "rules",
    )

    def __init__(
        self, address, frames, context, boot_clock, register, max_descriptors=0
    ):
        self.address = address
        self._max_connections = relay_limit(descriptor_limit(max_descriptors))
        self._frames = frames
        self._context = context
        self._boot_clock = boot_clock
        self._register = register
        self.relayed_count = 0
        self.max_relayed = MAX_RELAYED
        self._http = None
        # Set before the first request arrives, by ``serve``.
        self.client = self.links = self.rules = None

    def serve(self, client, links, rules):
        """Begin to relay; requests that arrive earlier are refused.

        Parameters
        ==========
        client : UpstreamClient
        links : UpstreamLinks
            The links of this host.
        rules : RelayRules
        """
        self.client = client
        self.links = links
        self.rules = rules

    async def start(self):
        """Start listening."""
        server = web.Server(self._handle, handler_cancellation=True)
        bounds = {
            "options": {"access_log": None},
            "max_connections": self._max_connections,
        }
        self._http = HttpListener.from_server(
            "relays", server, self.address, bounds=bounds
        )
        await self._http.start()
        self.address = self._http.address

    async def close(self):
        """Close all connections."""
        if self._http is not None:
            await self._http.close()

    async def _handle(self, request):
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_MS / MS_PER_S):
                offer, sender = await self._frames.read(request.content)
        except (PeerError, TimeoutError) as error:
            _log.warning("relay_offer_rejected", reason=str(error))
            return web.Response(status=_BAD_REQUEST)
        if not isinstance(offer, RelayOffer):
            _log.warning("relay_offer_rejected", reason=type(offer).__name__)
            return web.Response(status=_BAD_REQUEST)
        answer = _RelayAnswer(self._frames, request, sender)
        parent = parent_from_text(offer.trace)
        with self._context.traces.span(Hop.RELAY, parent, upstream=offer.upstream_id):
            await self._answer(offer, answer)
        return answer.response

    async def _answer(self, offer, answer):
        cause = self._refusal(offer)
        if cause is not None:
            await self._refuse(offer, answer, cause)
            return
        started_ms = self._context.clock.now_ms()
        self.relayed_count += 1
        self.rules.on_begin(offer)
        result = "abandoned"
        try:
            async with asyncio.timeout(offer.remaining_ms / MS_PER_S):
                result = await self._relay(offer, answer)
        except TimeoutError:
            result = "deadline"
            answer.abort()
        finally:
            self.relayed_count -= 1
            self.rules.on_end(offer)
            self._context.metrics.count(RELAYS_CARRIED, result)
            _log.info(
                "relay_ended",
                request=offer.request_id,
                upstream=offer.upstream_id,
                entry_host=answer.receiver,
                result=result,
                body_end=answer.body_end.value if answer.body_end else "",
                total_ms=self._context.clock.now_ms() - started_ms,
            )

    def _refusal(self, offer):
        if self.rules is None:
            return RelayCause.BUSY
        if self.links.is_pool_lost(offer.pool):
            return RelayCause.NO_LINKS
        if self.links.is_lost(offer.pool, offer.upstream_id):
            return RelayCause.NO_LINK
        if offer.request_id in self._register:
            return RelayCause.EXPIRED
        if self.relayed_count >= self.max_relayed:
            return RelayCause.BUSY
        return self.rules.refusal(offer)

    async def _refuse(self, offer, answer, cause, reason=""):
        # The other host may have withdrawn its offer meanwhile.
        with contextlib.suppress(_Withdrawn):
            await answer.send(RelayRefusal(cause=cause.value, reason=reason))
            await answer.finish()
        self._context.metrics.count(RELAYS_CARRIED, cause.value)
        _log.info(
            "relay_refused",
            request=offer.request_id,
            upstream=offer.upstream_id,
            entry_host=answer.receiver,
            cause=cause.value,
            reason=reason,
        )

    async def _relay(self, offer, answer):
        """Relay one request; return the result for metrics and logs."""
        begun_ms = self._context.clock.now_ms()
        guard = self._guard(offer, answer)
        try:
            self.rules.check_send(offer)
            async with self.client.dispatch(_call(offer, guard), guard) as response:
                await self._pass_on(offer, answer, response)
            return "answered"
        except Refused as error:
            cause = await self._cause_of(error, offer, begun_ms)
            await self._refuse(offer, answer, cause, error.message)
            return "refused"
        except _Withdrawn:
            return "withdrawn"
        except DispatchError as error:
            await answer.fail(error)
            return "failed"

    async def _cause_of(self, error, offer, begun_ms):
        """Return why a request was not sent, after the attempt to send it."""
        if error.code is ResultCode.LEAVING:
            return RelayCause.LEAVING
        if error.code is not ResultCode.CONNECT_FAILED:
            return RelayCause.NOT_ALLOWED
        if await self._reaches_another(offer, begun_ms):
            return RelayCause.UNREACHABLE
        return RelayCause.NO_LINK

    async def _reaches_another(self, offer, begun_ms):
        """Return whether this host reaches another upstream of a pool now.

        Only then its failure speaks against the upstream, and not against its links.
        """
        if self.links.has_reached_since(offer.pool, begun_ms):
            return True
        address = self.links.other_address(offer.pool, offer.upstream_id)
        return address is not None and await self.client.probe(address)

    def _guard(self, offer, answer):
        clock = self._context.clock
        guard = _RelayGuard(
            clock,
            clock.now_ms() + offer.expires_in_ms,
            self._register,
            offer.request_id,
            lambda: self.rules.check_send(offer),
        )
        guard.answer = answer
        guard.boot_clock = self._boot_clock
        guard.is_check = offer.is_check
        guard.on_connected = lambda: self.links.on_connected(
            offer.pool, offer.upstream_id, offer.address, clock.now_ms()
        )
        return guard

    async def _pass_on(self, offer, answer, response):
        head = relayed_head(response.status, response.headers)
        self.rules.on_head(offer, head)
        answer.body_end = response.body_end
        await answer.send(head)
        async for chunk in response.chunks():
            await answer.write(chunk)
        await answer.finish()


def _call(offer, guard):
    headers = offer.headers
    body = b""
    if offer.body_bytes:
        headers = (*headers, ("Content-Length", str(offer.body_bytes)))
        body = guard.body_chunks()
    return UpstreamCall(
        address=offer.address,
        method=offer.method,
        path=offer.path,
        headers=headers,
        body=body,
        request_id=offer.call_id,
        idle_timeout_ms=offer.remaining_ms,
        pool=offer.pool,
        upstream_id=offer.upstream_id,
    )


class _Withdrawn(Exception):  # noqa: N818
    """The other host ended the exchange before it permitted the sending."""


class _RelayGuard(SendGuard):
    """Waits for the other host's permission once the upstream is connected.

    Failure prevented: this host is suspended while the permission waits in its socket.
    The other host's last checks were made long ago when it resumes, and the request
    would run with a revoked key or after its caller's deadline. So the time since the
    permission could have been given is measured by a clock that counts suspensions.
    """

    __slots__ = ("answer", "body", "boot_clock", "is_check")

    async def prepare(self):
        """Report the connection and wait for the permission to send."""
        await super().prepare()
        ready_ms = self.boot_clock.now_ms()
        nonce = secrets.token_hex(_NONCE_BYTES)
        await self.answer.send(RelayReady(nonce=nonce))
        if self.is_check:
            raise _Withdrawn
        permission = await self.answer.read_permission()
        if permission.nonce != nonce:
            raise _Withdrawn
        if self.boot_clock.now_ms() - ready_ms > FRAME_TIMEOUT_MS:
            text = "the permission to send arrived too late"
            raise Refused(text, ResultCode.GRANT_EXPIRED)
        self.body = permission.body

    async def body_chunks(self):
        """Yield the body, which arrived with the permission."""
        yield self.body


class _RelayAnswer:
    """The answer to the host whose request is relayed.

    Attributes
    ==========
    body_end : BodyEnd or None
        How the end of the upstream's body is known; None before its head.
    """

    __slots__ = (
        "_frames",
        "_has_begun",
        "_request",
        "body_end",
        "receiver",
        "response",
    )

    def __init__(self, frames, request, receiver):
        self.body_end = None
        self._has_begun = False
        self._frames = frames
        self._request = request
        self.receiver = receiver
        self.response = web.StreamResponse()
        self.response.enable_chunked_encoding()

    async def send(self, message):
        """Send a message."""
        self._has_begun = isinstance(message, RelayedHead)
        await self.write(self._frames.encode(message, self.receiver))

    async def write(self, data):
        """Send bytes of the upstream's body.

        Raises
        ======
        _Withdrawn
            If the other host has closed the connection.
        """
        try:
            if not self.response.prepared:
                await self.response.prepare(self._request)
            await self.response.write(data)
        except OSError as error:
            raise _Withdrawn from error

    async def finish(self):
        """Mark the end of the answer."""
        with contextlib.suppress(OSError):
            await self.response.write_eof()

    async def fail(self, error):
        """Report an error after the dispatch; cut an answer that had begun."""
        if self._has_begun:
            self.abort()
            return
        await self.send(RelayFailure(code=int(error.code), reason=error.message))
        await self.finish()

    def abort(self):
        """Close the connection, so that the answer does not look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def read_permission(self):
        """Return the ``RelaySend`` of the other host.

        Raises
        ======
        _Withdrawn
        """
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_MS / MS_PER_S):
                message, _ = await self._frames.read(self._request.content)
        except (PeerError, OSError) as error:
            raise _Withdrawn from error
        if not isinstance(message, RelaySend):
            raise _Withdrawn
        return message
