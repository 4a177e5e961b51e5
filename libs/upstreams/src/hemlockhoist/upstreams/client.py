"""HTTP client of upstreams that knows whether a request may have been sent."""

import asyncio
import contextlib
import functools

import aiohttp
import msgspec
import yarl

from hemlockhoist.base import (
    MS_PER_S,
    BadRequest,
    DispatchError,
    Refused,
    ResultCode,
    io_timeout,
    is_address,
)
from hemlockhoist.upstreams.answer_head import InvalidAnswerHead
from hemlockhoist.upstreams.bounds import BoundedHandler
from hemlockhoist.upstreams.connections import (
    DirectConnector,
    ResetDetectingConnector,
    dispatch_guard,
)
from hemlockhoist.upstreams.guard import RepeatedDispatch
from hemlockhoist.upstreams.keep_alive import MAX_BODY_BYTES, ResponseExtent
from hemlockhoist.upstreams.kept_connector import (
    ConnectionUse,
    KeepingConnector,
    connection_use,
)
from hemlockhoist.upstreams.kept_response import KeptResponse
from hemlockhoist.upstreams.response import (
    REQUEST_ID_HEADER,
    UpstreamResponse,
    describe_error,
    dispatch_errors,
)
from hemlockhoist.upstreams.response_ids import ResponseIdTracker
from hemlockhoist.upstreams.silence import SilenceCheck

# Three times the round trip to the farthest region, and less than the lifetime of a
# grant. An upstream that takes longer to connect is treated as dead.
CONNECT_TIMEOUT_MS = 1_000
# Half of what is read ahead of a slow reader, to which the last read adds up to 256 KB.
# It is not accounted before an answer's memory is reserved, so it is small.
READ_BUFFER_BYTES = 16_384


class UpstreamCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an upstream.

    Parameters
    ==========
    address : str
        ``IP:port``.
    method, path : str
        ``path`` includes the query.
    headers : tuple of (str, str)
    body : bytes or asynchronous iterable of bytes
        An iterable needs a ``Content-Length`` among the headers.
    request_id : str
    idle_timeout_ms : int
        Longest time without data from the upstream.
    pool, upstream_id, version : str
        The upstream; empty where only its address is known.
    is_cold : bool
        Whether the grant was given for a cold upstream.
    is_repeatable : bool
        Whether the request may be sent again without an answer to this one.
    may_keep_connection : bool
        Whether the connection may be kept for another request.
    regions : tuple of str
        Regions that the body may be sent to; empty for any.
    """

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | object = b""
    request_id: str = ""
    idle_timeout_ms: int = 30_000
    pool: str = ""
    upstream_id: str = ""
    version: str = ""
    is_cold: bool = False
    is_repeatable: bool = False
    may_keep_connection: bool = False
    regions: tuple[str, ...] = ()


class UpstreamClient:
    """Sends requests to upstreams, each over a connection of its own by default.

    A connection is made before the grant is checked. On a kept-alive connection that the
    upstream has just closed, a request that never ran would end as "outcome unknown". So
    only requests that may be repeated use one. The cost of a new connection is one round
    trip, about 3 ms, and its processor time on both sides.

    Parameters
    ==========
    request_id_header : str, optional
        Header in which a request carries its id, and its response echoes it.
    connect_timeout_ms : int, optional
    kept : KeptConnections, optional
        Idle connections; by default none is kept.
    count : callable, optional
        ``count(metric, label)``.

    Attributes
    ==========
    response_ids : ResponseIdTracker
    """

    __slots__ = (
        "_connect_timeout_ms",
        "_count",
        "_fetch_session",
        "_kept",
        "_request_id_header",
        "_session",
        "response_ids",
    )

    def __init__(
        self,
        request_id_header=REQUEST_ID_HEADER,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        kept=None,
        count=lambda metric, label: None,
    ):
        self._kept = kept
        self._count = count
        self._request_id_header = request_id_header
        self._connect_timeout_ms = connect_timeout_ms
        self._session = None
        self._fetch_session = None
        self.response_ids = ResponseIdTracker()

    async def start(self):
        """Open the sessions."""
        if self._kept is None:
            connector = ResetDetectingConnector(force_close=True, limit=0)
        else:
            connector = KeepingConnector(self._kept, self._count)
        self._session = _open_session(connector)
        # Load reports repeat nothing of their call. On a connection that carried another
        # one, a late second answer to that would count as the present load. They change
        # nothing, so the library may resend them.
        connector = DirectConnector(
            BoundedHandler, limit=0, limit_per_host=1, force_close=True
        )
        self._fetch_session = _open_session(connector)

    @property
    def connector(self):
        """The ``DirectConnector`` of dispatches, once the client has been started."""
        return self._session.connector

    async def close(self):
        """Close the sessions."""
        for session in (self._session, self._fetch_session):
            if session is not None:
                await session.close()

    @contextlib.asynccontextmanager
    async def dispatch(self, call, guard):
        """Connect, check the guard, send the request and yield its response.

        Parameters
        ==========
        call : UpstreamCall
        guard : SendGuard

        Raises
        ======
        Refused
            ``CONNECT_FAILED`` or ``GRANT_EXPIRED``: nothing was sent.
        DispatchError
            When the request may have been sent.
        """
        use = None
        if self._kept is None or not call.upstream_id:
            response = await self._send(call, guard)
        else:
            use, response = await self._send_over_kept(call, guard)
        if use is not None and use.is_reused:
            opened = KeptResponse(response, self._request_id_header, use)
        else:
            opened = UpstreamResponse(
                response, self._request_id_header, request_id=call.request_id
            )
        if use is not None and (reason := _doubt(opened, call.request_id)):
            self.connector.suspend(call.upstream_id, call.address, reason)
        try:
            yield opened
        finally:
            opened.close()

    def connected(self, pool):
        """Return the upstreams of a pool to which an idle connection is kept."""
        if self._kept is None or self._session is None:
            return ()
        return self._kept.connected(pool, self.connector.now_ms())

    def set_usable(self, addresses):
        """Close kept connections to other upstreams than these.

        Parameters
        ==========
        addresses : mapping of str to str
            Address of each upstream that may be assigned work, by id.
        """
        if self._kept is not None:
            self._kept.set_usable(addresses)

    async def _send_over_kept(self, call, guard):
        """Send a request, over a kept connection if it may use one.

        Returns
        =======
        (ConnectionUse, aiohttp.ClientResponse)
        """
        is_short = isinstance(call.body, bytes) and len(call.body) <= MAX_BODY_BYTES
        check = SilenceCheck(functools.partial(self.probe, call.address))
        use = ConnectionUse(
            pool=call.pool,
            upstream_id=call.upstream_id,
            address=call.address,
            request_id=call.request_id,
            may_reuse=call.is_repeatable,
            may_keep=is_short and call.may_keep_connection and call.method != "HEAD",
            extent=ResponseExtent(call.request_id, self._request_id_header),
            on_reused=check.begin,
        )
        token = connection_use.set(use)
        try:
            async with check:
                return use, await self._send(call, guard)
        except (DispatchError, TimeoutError) as error:
            if use.is_reused and not use.extent.has_begun:
                self.connector.count_lost_request(use, call.request_id, str(error))
            if not isinstance(error, TimeoutError):
                raise
            text = "the upstream of a kept connection can't be reached any more"
            raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN) from error
        finally:
            connection_use.reset(token)

    async def _send(self, call, guard, session=None):
        _check_address(call.address)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_timeout_ms / MS_PER_S,
            sock_read=call.idle_timeout_ms / MS_PER_S,
        )
        token = dispatch_guard.set(guard)
        try:
            return await (session or self._session).request(
                call.method,
                _url(call.address, call.path),
                headers=[*call.headers, (self._request_id_header, call.request_id)],
                data=call.body or None,
                allow_redirects=False,
                timeout=timeout,
            )
        except InvalidAnswerHead:
            raise
        except aiohttp.ClientResponseError as error:
            # Its parser stops within the head, which may be before its line has ended.
            raise InvalidAnswerHead("not readable", error.message) from error
        except RepeatedDispatch as error:
            text = "the connection was lost before a response arrived"
            raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN) from error
        except TimeoutError as error:
            raise _classify(guard, error, ResultCode.UPSTREAM_TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _classify(guard, error, ResultCode.OUTCOME_UNKNOWN) from error
        except ValueError as error:
            # The library rejects a header or the path.
            if guard.dispatched:
                raise _classify(guard, error, ResultCode.OUTCOME_UNKNOWN) from error
            raise BadRequest(str(error)) from error
        finally:
            dispatch_guard.reset(token)

    async def probe(self, address):
        """Return whether a connection to an address can be made; close it again."""
        ip, _, port = address.rpartition(":")
        try:
            async with io_timeout(self._connect_timeout_ms):
                transport, _ = await self.connector.open(
                    asyncio.Protocol, ip, int(port)
                )
        except OSError:
            return False
        transport.close()
        return True

    async def fetch(self, call):
        """Send a request that runs no work (load report, cancel); read its response.

        Returns
        =======
        (int, bytes)
            Status and body.

        Raises
        ======
        DispatchError
            When no complete response arrived.
        """
        with dispatch_errors():
            response = await self._send(call, _NoGuard(), self._fetch_session)
        async with response:
            upstream_response = UpstreamResponse(response)
            return upstream_response.status, await upstream_response.read(
                MAX_FETCH_BYTES
            )

    @contextlib.asynccontextmanager
    async def attach(self, call):
        """Resume a stream, which is not a dispatch; yield the response."""
        with dispatch_errors():
            response = await self._send(call, _NoGuard())
        try:
            yield UpstreamResponse(response)
        finally:
            response.close()


def _doubt(response, request_id):
    """Return why a connection to the upstream should carry one request only; or ""."""
    if not response.body_end.is_certain:
        return "an answer with neither a length nor chunks"
    if response.is_reused and not response.matches_request(request_id):
        return "an answer without the request's id"
    return ""


def _open_session(connector):
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


MAX_FETCH_BYTES = 1_048_576


def _url(address, path):
    """Return the URL whose request line has exactly this path and query.

    The library drops an empty query if it reads the path and the query apart.
    """
    return yarl.URL.build(scheme="http", authority=address, path=path, encoded=True)


class _NoGuard:
    """Guard for requests that are not dispatches, which permits all of them."""

    __slots__ = ()
    dispatched = True

    async def prepare(self):
        """Do nothing."""

    def begin_dispatch(self):
        """Do nothing."""


def _check_address(address):
    """Refuse to send to an address that none can connect to.

    Failure prevented: the library rejects the address with an error of the same type as
    for a caller's malformed header, and the caller is told that its request is invalid.

    Raises
    ======
    Refused
    """
    if not is_address(address):
        text = f"upstream address {address[:60]!r} is invalid"
        raise Refused(text, ResultCode.CONNECT_FAILED)


def _classify(guard, error, code):
    """Return the error to raise: ``Refused`` as long as nothing was sent."""
    if guard.dispatched:
        return DispatchError(describe_error(error), code)
    text = f"connection failed: {describe_error(error)}"
    return Refused(text, ResultCode.CONNECT_FAILED)


async def cancel_stream(client, address, request_id):
    """Cancel an abandoned stream at its engine; if that fails, it times out there."""
    call = UpstreamCall(
        address=address,
        method="DELETE",
        path=f"/v1/streams/{request_id}",
        request_id=request_id,
        idle_timeout_ms=CONNECT_TIMEOUT_MS,
    )
    with contextlib.suppress(DispatchError, Refused, asyncio.TimeoutError):
        await client.fetch(call)
