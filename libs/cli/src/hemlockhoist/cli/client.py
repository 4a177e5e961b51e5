"""A client of the operators' HTTP interface of hosts."""

import functools
import ssl
import urllib.parse

import aiohttp
import msgspec

from hemlockhoist.base import DECODE_ERRORS, MS_PER_S, ResultCode
from hemlockhoist.cli.errors import HostUnreachable, RemoteError
from hemlockhoist.host.operator_messages import (
    DECLARATIONS_PATH,
    DRAIN_PATH,
    HISTORY_PATH,
    MOVES_PATH,
    PARTS_PATH,
    STATUS_PATH,
    ChangeResult,
    DeclarationsView,
    HistoryView,
    MovesView,
    MoveView,
    PartsView,
)
from hemlockhoist.host.where_messages import WHERE_PATH, PlacementView
from hemlockhoist.upstreams import BoundedHandler

CONNECT_TIMEOUT_MS = 2_000
CALL_TIMEOUT_MS = 15_000
# A host takes declarations of up to 4 MB; a history of them, or the status of the
# largest fleet, has less than this.
MAX_BODY_BYTES = 67_108_864


class _ErrorObject(msgspec.Struct):
    message: str = ""
    code: int = int(ResultCode.PROPERTY_VIOLATED)
    remedy: str = "See the host's log."


class _ErrorBody(msgspec.Struct):
    error: _ErrorObject


class _BoundedConnector(aiohttp.TCPConnector):
    """Bounds what a host sends beside the body of its answer."""

    def __init__(self, **options):
        super().__init__(**options)
        # The library has no public interface to set the protocol class.
        self._factory = functools.partial(BoundedHandler, loop=self._loop)


class OperatorClient:
    """Sends each call to several hosts in order, until one answers.

    Every change has a unique id, so that sending it to the next host after a broken
    connection cannot apply it twice.

    Parameters
    ==========
    hosts : sequence of str
        ``IP:port``.
    operator_key : str
    ca_file : str, optional
        Certificates (PEM) for the verification of hosts; without it, plain HTTP is
        used.
    """

    __slots__ = ("_ca_file", "_hosts", "_key", "_session")

    def __init__(self, hosts, operator_key, ca_file=None):
        self._hosts = tuple(hosts)
        self._key = operator_key
        self._ca_file = ca_file
        self._session = None

    @property
    def host_count(self):
        """The number of hosts that the client may call."""
        return len(self._hosts)

    async def start(self):
        """Open the session; each call makes a connection of its own.

        On one that carried another call, a second answer to that would be taken for the
        own answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_MS / MS_PER_S, sock_connect=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        context = None
        if self._ca_file:
            context = ssl.create_default_context(cafile=self._ca_file)
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=_BoundedConnector(ssl=context or True, force_close=True),
            headers={"Authorization": f"Bearer {self._key}"},
        )

    async def close(self):
        """Close the connections."""
        await self._session.close()

    async def status(self):
        """Return the status of the fleet as reported by a host, as plain data."""
        return await self._call("GET", STATUS_PATH, dict)

    async def drain(self):
        """Request a graceful stop of a host; return its response as plain data."""
        return await self._call("POST", DRAIN_PATH, dict)

    async def declarations(self):
        """Return the ``DeclarationsView`` of the fleet."""
        return await self._call("GET", DECLARATIONS_PATH, DeclarationsView)

    async def history(self):
        """Return the ``HistoryView`` of the declarations."""
        return await self._call("GET", HISTORY_PATH, HistoryView)

    async def change_declarations(self, change):
        """Send a ``DeclarationChange``; return the ``ChangeResult``."""
        return await self._call("PUT", DECLARATIONS_PATH, ChangeResult, change)

    async def moves(self):
        """Return the ``MovesView`` of the fleet."""
        return await self._call("GET", MOVES_PATH, MovesView)

    async def start_move(self, order):
        """Send a ``MoveRequest``; return the ``MoveView``."""
        return await self._call("POST", MOVES_PATH, MoveView, order)

    async def cancel_move(self, move_id, reason, author):
        """Cancel a move; return its ``MoveView``."""
        query = urllib.parse.urlencode({"reason": reason, "author": author})
        path = f"{MOVES_PATH}/{urllib.parse.quote(move_id, safe='')}?{query}"
        return await self._call("DELETE", path, MoveView)

    async def parts(self):
        """Return the ``PartsView`` of a host."""
        return await self._call("GET", PARTS_PATH, PartsView)

    async def lift_part(self, part, reason, author):
        """Withdraw the evidence against a part; return the ``PartsView``."""
        query = urllib.parse.urlencode({"reason": reason, "author": author})
        path = f"{PARTS_PATH}/{urllib.parse.quote(part, safe='')}?{query}"
        return await self._call("DELETE", path, PartsView)

    async def where(self, body):
        """Ask to which upstream a request would be assigned.

        Returns the ``PlacementView``.
        """
        return await self._call(
            "POST", WHERE_PATH, PlacementView, body, is_change=False
        )

    async def _call(self, method, path, result_type, body=None, is_change=True):
        data = None if body is None else msgspec.json.encode(body)
        failures, sent = [], False
        for host in self._hosts:
            try:
                return await self._call_host(host, method, path, result_type, data)
            except aiohttp.ClientConnectorError as error:
                failures.append(f"{host}: {error.strerror or error}")
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                failures.append(f"{host}: {error or type(error).__name__}")
                sent = sent or (is_change and method != "GET")
        raise HostUnreachable("no host answered: " + "; ".join(failures), sent)

    async def _call_host(self, host, method, path, result_type, data):
        scheme = "https" if self._ca_file else "http"
        url = f"{scheme}://{host}{path}"
        headers = {} if data is None else {"Content-Type": "application/json"}
        async with self._session.request(
            method, url, data=data, headers=headers
        ) as response:
            body = await _read_body(response)
        if response.status >= 400:
            raise _remote_error(response.status, body)
        try:
            return msgspec.json.decode(body, type=result_type)
        except DECODE_ERRORS as error:
            raise RemoteError(
                f"{host} answered {method} {path} with an unexpected body: {error}",
                ResultCode.PEER_VERSION,
                "Use the command line of the same release as the hosts.",
            ) from error


def _remote_error(status, body):
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
        code = ResultCode(error.code)
    except DECODE_ERRORS:
        text = body[:200].decode(errors="replace")
        message = f"HTTP status {status}: {text}"
        remedy = "Check that --host names a host's address for callers and operators."
        return RemoteError(message, ResultCode.PROPERTY_VIOLATED, remedy)
    return RemoteError(error.message, code, error.remedy)


async def _read_body(response):
    """Return the body of an answer.

    Raises
    ======
    aiohttp.ClientPayloadError
        It is longer than any that is asked for.
    """
    chunks, byte_count = [], 0
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        byte_count += len(chunk)
        if byte_count > MAX_BODY_BYTES:
            response.close()
            text = f"the host sent an answer of more than {MAX_BODY_BYTES} bytes"
            raise aiohttp.ClientPayloadError(text)
    return b"".join(chunks)
