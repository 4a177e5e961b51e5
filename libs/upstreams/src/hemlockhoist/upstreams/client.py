"""Dispatch to upstreams over HTTP, with a known point of no return."""

import asyncio
import contextlib

import aiohttp
import msgspec
import yarl

from hemlockhoist.base import (
    MS_PER_S,
    BadRequest,
    DispatchError,
    Refused,
    ResultCode,
)
from hemlockhoist.upstreams.connections import DirectConnector, ResetDetectingConnector
from hemlockhoist.upstreams.guard import RepeatedDispatch
from hemlockhoist.upstreams.response_ids import ResponseIdTracker

REQUEST_ID_HEADER = "X-Request-Id"
VERSION_HEADER = "X-Upstream-Version"
# Three times the round trip of the farthest region, and under the time in which a
# grant lapses: a connection that takes longer is to a dead upstream.
CONNECT_TIMEOUT_MS = 1_000
# What may be read ahead of a slow caller for one stream.
READ_BUFFER_BYTES = 65_536


class UpstreamCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to an upstream.

    Parameters
    ==========
    address : str
        ``IP:port``.
    method, path : str
        ``path`` with its query.
    headers : tuple of (str, str)
    body : bytes
    request_id : str
    idle_timeout_ms : int
        Longest silence of the upstream.
    """

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    request_id: str = ""
    idle_timeout_ms: int = 30_000


class UpstreamResponse:
    """The answer of an upstream, body still to be read.

    Parameters
    ==========
    response : aiohttp.ClientResponse
    request_id_header : str, optional
        In which upstreams echo the request's id.
    """

    __slots__ = ("_request_id_header", "_response")

    def __init__(self, response, request_id_header=REQUEST_ID_HEADER):
        self._response = response
        self._request_id_header = request_id_header

    @property
    def status(self):
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self):
        """The answer's headers, a multi-valued mapping."""
        return self._response.headers

    @property
    def version(self):
        """The version that the upstream says it runs; empty when it says none."""
        return self._response.headers.get(VERSION_HEADER, "")

    def matches_request(self, request_id):
        """Return whether the answer says it belongs to another request.

        An upstream that echoes no request id is believed: the connection carried
        one request only.
        """
        echoed = self._response.headers.get(self._request_id_header)
        return echoed is None or echoed == request_id

    def close(self):
        """End the connection; a read that waits ends with an error."""
        self._response.close()

    async def chunks(self):
        """Yield the body as it comes.

        Raises
        ======
        DispatchError
            When the body breaks off or pauses too long.
        """
        with _dispatch_errors():
            async for chunk in self._response.content.iter_any():
                yield chunk

    async def read(self, max_bytes):
        """Return the whole body.

        Raises
        ======
        DispatchError
            When it breaks off, or is longer than ``max_bytes``.
        """
        parts = []
        size = 0
        async for chunk in self.chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                text = f"an answer of more than {max_bytes} bytes"
                raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
        return b"".join(parts)


@contextlib.contextmanager
def _dispatch_errors():
    """Turn the HTTP library's errors after dispatch into numbered ones."""
    try:
        yield
    except (TimeoutError, aiohttp.ServerTimeoutError) as error:
        text = "the upstream was silent for too long"
        raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error
    except aiohttp.ClientPayloadError as error:
        text = "the answer broke off before its end"
        raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF) from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise DispatchError(repr(error), ResultCode.UPSTREAM_BROKE_OFF) from error


class UpstreamClient:
    """Sends requests to upstreams, each over a connection of its own.

    A connection is made before the grant is checked, and used for one request. A kept
    connection that the upstream has just closed would turn a request that never ran
    into "outcome unknown"; the price is one round trip, some 3 ms.

    Parameters
    ==========
    request_id_header : str, optional
        In which a request carries its id, and its answer echoes it.
    connect_timeout_ms : int, optional

    Attributes
    ==========
    response_ids : ResponseIdTracker
    """

    __slots__ = (
        "_connect_timeout_ms",
        "_own_session",
        "_request_id_header",
        "_session",
        "response_ids",
    )

    def __init__(
        self,
        request_id_header=REQUEST_ID_HEADER,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
    ):
        self._request_id_header = request_id_header
        self._connect_timeout_ms = connect_timeout_ms
        self._session = None
        self._own_session = None
        self.response_ids = ResponseIdTracker()

    async def start(self):
        """Open the session."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_guard)
        connector = ResetDetectingConnector(force_close=True, limit=0)
        self._session = _open_session(connector, [trace])
        # Load reports change nothing and are asked for all the time: they may use a
        # kept connection, and the library may repeat them.
        connector = DirectConnector(limit=0, limit_per_host=1)
        self._own_session = _open_session(connector, [])

    async def close(self):
        """Close the sessions."""
        for session in (self._session, self._own_session):
            if session is not None:
                await session.close()

    @contextlib.asynccontextmanager
    async def dispatch(self, call, guard):
        """Connect, pass the guard, send, and give the answer's head.

        Parameters
        ==========
        call : UpstreamCall
        guard : SendGuard

        Raises
        ======
        Refused
            ``CONNECT_FAILED`` or ``GRANT_EXPIRED``: nothing was sent.
        DispatchError
            After the guard opened.
        """
        response = await self._send(call, guard)
        try:
            yield UpstreamResponse(response, self._request_id_header)
        finally:
            response.close()

    async def _send(self, call, guard, session=None):
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._connect_timeout_ms / MS_PER_S,
            sock_read=call.idle_timeout_ms / MS_PER_S,
        )
        try:
            return await (session or self._session).request(
                call.method,
                yarl.URL(f"http://{call.address}{call.path}", encoded=True),
                headers=[*call.headers, (self._request_id_header, call.request_id)],
                data=call.body or None,
                allow_redirects=False,
                timeout=timeout,
                trace_request_ctx=guard,
            )
        except RepeatedDispatch as error:
            text = "the connection broke before an answer came"
            raise DispatchError(text, ResultCode.OUTCOME_UNKNOWN) from error
        except TimeoutError as error:
            raise _classify(guard, error, ResultCode.UPSTREAM_TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _classify(guard, error, ResultCode.OUTCOME_UNKNOWN) from error
        except ValueError as error:
            # A header or path that the library will not send.
            if guard.dispatched:
                raise _classify(guard, error, ResultCode.OUTCOME_UNKNOWN) from error
            raise BadRequest(str(error)) from error

    async def fetch(self, call):
        """Make a request of the host's own that changes nothing, and read it whole.

        Returns
        =======
        (int, bytes)
            Status and body.

        Raises
        ======
        DispatchError
            When no whole answer came.
        """
        with _dispatch_errors():
            response = await self._send(call, _NoGuard(), self._own_session)
        async with response:
            answer = UpstreamResponse(response)
            return answer.status, await answer.read(MAX_OWN_ANSWER_BYTES)

    @contextlib.asynccontextmanager
    async def attach(self, call):
        """Make a request that is no dispatch (resume, cancel, load report)."""
        with _dispatch_errors():
            response = await self._send(call, _NoGuard())
        try:
            yield UpstreamResponse(response)
        finally:
            response.close()


def _open_session(connector, traces):
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=traces,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


MAX_OWN_ANSWER_BYTES = 1_048_576


class _NoGuard:
    """A guard for requests that are no dispatch: it lets all through."""

    __slots__ = ()
    dispatched = True

    def begin_dispatch(self):
        """Do nothing."""


def _classify(guard, error, code):
    """Return the error to raise: refused while nothing was sent."""
    if guard.dispatched:
        return DispatchError(repr(error), code)
    return Refused(f"no connection: {error!r}", ResultCode.CONNECT_FAILED)


async def _check_guard(_session, context, _params):
    """Check the grant on the new connection, before the library writes to it.

    aiohttp writes the head in the step that follows without another wait for input
    or output, so nothing can come between the check and the first byte but a stop
    of the whole process.
    """
    context.trace_request_ctx.begin_dispatch()


async def cancel_stream(client, address, request_id):
    """Tell an engine that nobody waits for a stream; failures are left to its timer."""
    call = UpstreamCall(
        address=address,
        method="DELETE",
        path=f"/v1/streams/{request_id}",
        request_id=request_id,
        idle_timeout_ms=CONNECT_TIMEOUT_MS,
    )
    with contextlib.suppress(DispatchError, Refused, asyncio.TimeoutError):
        await client.fetch(call)
