"""The side of a relayed request that lost its own link to the upstream."""

import asyncio

import aiohttp
from multidict import CIMultiDict

from hemlockhoist.base import MS_PER_S, DispatchError, PeerError, ResultCode, io_timeout
from hemlockhoist.decisions.entry import RelayCause
from hemlockhoist.messages import (
    RelayedHead,
    RelayFailure,
    RelayReady,
    RelayRefusal,
    RelaySend,
)
from hemlockhoist.relays.heads import head_fields
from hemlockhoist.upstreams import (
    BoundedHandler,
    DirectConnector,
    UpstreamResponse,
    check_head,
)

RELAY_PATH = "/relay"
# Hosts reach one another within a few milliseconds.
CONNECT_TIMEOUT_MS = 150
# The relaying host connects to the upstream within this time, or says that it can't.
READY_TIMEOUT_MS = 450
READ_BUFFER_BYTES = 65_536


class RelayRefused(Exception):  # noqa: N818
    """A host does not relay a request; nothing was sent to the upstream.

    Parameters
    ==========
    cause : RelayCause
    reason : str
    host_id : str
        The host; empty if there is none to ask.
    """

    def __init__(self, cause, reason="", host_id=""):
        self.cause = cause
        self.host_id = host_id
        self.reason = reason or cause.value
        if host_id:
            self.reason = f"{host_id}: {self.reason}"
        super().__init__(self.reason)


class RelayClient:
    """Sends requests to upstreams through other hosts.

    A request is relayed in two steps. The other host connects to the upstream and says
    that it has; only then this host checks the grant for the last time and permits the
    sending. So "not sent" is known for certain until the permission leaves, however
    long the other host was suspended.

    Parameters
    ==========
    frames : RelayFrames
    request_id_header : str
        Header in which upstreams echo a request's id.
    """

    __slots__ = ("_frames", "_request_id_header", "_session")

    def __init__(self, frames, request_id_header):
        self._frames = frames
        self._request_id_header = request_id_header
        self._session = None

    async def start(self):
        """Open the session."""
        connector = DirectConnector(BoundedHandler, tcp_keepalive=True, limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self):
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def open(self, candidate, offer):
        """Offer a request to a host; return once it has reached the upstream.

        Parameters
        ==========
        candidate : RelayCandidate
        offer : RelayOffer

        Returns
        =======
        RelayedRequest
            To be closed by the caller.

        Raises
        ======
        RelayRefused
        """
        relayed = RelayedRequest(self._frames, candidate, self._request_id_header)
        host_id = candidate.host_id
        try:
            message = await self._exchange_offer(relayed, offer)
            if isinstance(message, RelayRefusal):
                cause = RelayCause(message.cause)
                raise RelayRefused(cause, message.reason, host_id)
            if not isinstance(message, RelayReady):
                text = f"it sent {type(message).__name__}"
                raise RelayRefused(RelayCause.SILENT, text, host_id)
        except BaseException:
            relayed.close()
            raise
        relayed.nonce = message.nonce
        return relayed

    async def _exchange_offer(self, relayed, offer):
        """Send the offer and return the first message of the answer."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / MS_PER_S,
            sock_read=offer.remaining_ms / MS_PER_S,
        )
        url = f"http://{relayed.candidate.address}{RELAY_PATH}"
        try:
            async with io_timeout(READY_TIMEOUT_MS):
                relayed.response = await self._session.post(
                    url, data=relayed.body(offer), timeout=timeout
                )
                message, _ = await self._frames.read(relayed.response.content)
        except (PeerError, aiohttp.ClientError, OSError) as error:
            host_id = relayed.candidate.host_id
            raise RelayRefused(RelayCause.SILENT, repr(error), host_id) from error
        return message


class RelayedRequest:
    """A request that another host is ready to send to its upstream.

    Parameters
    ==========
    frames : RelayFrames
    candidate : RelayCandidate
    request_id_header : str

    Attributes
    ==========
    nonce : str
        Ties the permission to send to this request.
    response : aiohttp.ClientResponse or None
        The relaying host's answer.
    """

    __slots__ = (
        "_frames",
        "_permission",
        "_request_id_header",
        "candidate",
        "nonce",
        "response",
    )

    def __init__(self, frames, candidate, request_id_header):
        self._frames = frames
        self._request_id_header = request_id_header
        self._permission = asyncio.get_running_loop().create_future()
        self.candidate = candidate
        self.nonce = ""
        self.response = None

    async def body(self, offer):
        """Yield the offer at once, and the permission to send when it is given."""
        yield self._frames.encode(offer, self.candidate.host_id)
        yield await self._permission

    async def send(self, call, guard):
        """Permit the sending of the request, and return its response.

        Parameters
        ==========
        call : UpstreamCall
        guard : SendGuard

        Raises
        ======
        Refused
            The guard does not permit it; nothing was sent.
        DispatchError
            When the request may have been sent.
        """
        permission = RelaySend(nonce=self.nonce, body=call.body)
        frame = self._frames.encode(permission, self.candidate.host_id)
        guard.begin_dispatch()
        self._permission.set_result(frame)
        head = await self._read_head()
        answer = _RelayedAnswer(head, self.response, call.method)
        return UpstreamResponse(
            answer, self._request_id_header, request_id=call.request_id
        )

    async def _read_head(self):
        try:
            message, _ = await self._frames.read(self.response.content)
        except (PeerError, aiohttp.ClientError, OSError) as error:
            text = f"the relaying host was lost: {error}"
            raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN) from error
        if isinstance(message, RelayFailure):
            raise DispatchError(message.reason, ResultCode(message.code))
        if not isinstance(message, RelayedHead):
            text = f"the relaying host sent {type(message).__name__}"
            raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN)
        # The relaying host may be of another release, and check less.
        check_head(message.status, head_fields(message))
        return message

    def close(self):
        """Close the connection if the exchange has not ended."""
        self._permission.cancel()
        if self.response is not None:
            self.response.close()


class _RelayedAnswer:
    """The upstream's answer, in the form that ``UpstreamResponse`` reads."""

    __slots__ = ("_response", "headers", "method", "status")

    def __init__(self, head, response, method):
        self._response = response
        self.method = method
        self.status = head.status
        self.headers = CIMultiDict(head_fields(head))

    @property
    def connection(self):
        """The connection to the relaying host; None once its answer has ended."""
        return self._response.connection

    @property
    def content(self):
        """The rest of the relaying host's body."""
        return self._response.content

    def close(self):
        """Close the connection to the relaying host."""
        self._response.close()
