"""Messages between a host that lost its links to upstreams and one that relays for it.

They are frames in the bodies of one HTTP request and of its answer, since an answer is
a stream of any length, for which the connections between peers are not made.
"""

import msgspec

from hemlockhoist.messages.codes import code_of


class RelayOffer(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a host to connect to an upstream for a request; the body comes later.

    Parameters
    ==========
    request_id : str
        Id of the request for the grant, unique over all hosts.
    call_id : str
        The id that the upstream echoes.
    pool, upstream_id, address, version : str
        The upstream of the grant.
    is_cold : bool
        Whether the grant was given for a cold upstream.
    expires_in_ms, remaining_ms : int
        Time left at sending until the grant expires, and until the answer is no longer
        needed.
    method, path : str
        ``path`` includes the query.
    headers : tuple of (str, str)
        As the upstream is to receive them.
    body_bytes : int
        Length of the body.
    is_check : bool
        Whether only the connection is to be tried, without sending a request.
    trace : str
        Trace context in the format of a ``traceparent`` header.
    """

    request_id: str
    call_id: str
    pool: str
    upstream_id: str
    address: str
    version: str = ""
    is_cold: bool = False
    expires_in_ms: int = 0
    remaining_ms: int = 0
    method: str = ""
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body_bytes: int = 0
    is_check: bool = False
    trace: str = ""


class RelayReady(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the upstream was reached; nothing was sent to it yet.

    ``nonce`` ties the permission that follows to this connection.
    """

    nonce: str


class RelaySend(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Permits the relaying host to send the request, now and once."""

    nonce: str
    body: bytes = b""


class RelayRefusal(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that nothing was sent to the upstream, and nothing will be.

    Parameters
    ==========
    cause : str
        The value of a ``RelayCause`` of the decisions library.
    reason : str
        For logs.
    """

    cause: str
    reason: str = ""


class RelayedHead(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The head of the upstream's answer; its body follows the frame.

    ``raw_values`` has the values of all headers if one is no UTF-8.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    raw_values: tuple[bytes, ...] = ()


class RelayFailure(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the request may have been sent and no answer began.

    ``code`` is a ``ResultCode``.
    """

    code: int
    reason: str = ""


class UpstreamReached(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells a home that another host reaches an upstream which the sender could not."""

    pool: str
    upstream_id: str
