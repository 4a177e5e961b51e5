"""Messages between an entry host and the home of a pool.

Times are remainders in milliseconds, never points in time: two hosts share no clock.
The receiver subtracts the age of the envelope that carried them.
"""

import msgspec

from hemlockhoist.messages.codes import code_of


class RequestBrief(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a home needs to know about one request.

    Parameters
    ==========
    request_id, route, customer : str
    tier_rank, weight, max_in_flight : int
    idempotent : bool
    prompt_tokens, output_tokens : int
    prefix_hashes : tuple of int
    deadline_in_ms, first_token_in_ms : int
        Left at the time of sending.
    failure_domain : str
        Of the entry host.
    trace : str
        Trace context of the caller's request, as a ``traceparent`` header has it.
    attempt : int
        1 for the first send of the request.
    units : int
        What the request counts as against its customer's allowance; 0 where that was
        taken with an earlier grant.
    is_new : bool
        Whether this is the first that any home hears of the request.
    avoid : tuple of str
        Upstreams that failed the request before.
    max_wait_ms : int or None
        Until its caller leaves if nothing of the answer has come; None where it waits
        to the deadline.
    max_gap_ms : int
        The longest pause between events of an answer that is in time; 0 where none is
        declared.
    prefix_tokens : tuple of int
        Of each block of ``prefix_hashes``; empty where all are of one size.
    regions : tuple of str
        Where its upstream has to be; empty for anywhere.
    """

    request_id: str
    route: str
    customer: str
    tier_rank: int
    weight: int = 1
    max_in_flight: int = 1_000_000
    idempotent: bool = True
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    deadline_in_ms: int
    first_token_in_ms: int
    failure_domain: str = ""
    trace: str = ""
    attempt: int = 1
    units: int = 0
    avoid: tuple[str, ...] = ()
    is_new: bool = True
    max_wait_ms: int | None = None
    max_gap_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    regions: tuple[str, ...] = ()


class GrantRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """An entry host asks a pool's home for permission to dispatch.

    Idempotent by request id: it is sent again when no reply came. With ``is_alone`` it
    is the entry host's question to itself, where no home answers.
    """

    pool: str
    brief: RequestBrief
    is_alone: bool = False


class GrantReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The home permits one dispatch to one upstream, for a limited time.

    ``is_cold`` says that the home knows the upstream to be cold.
    """

    pool: str
    request_id: str
    grant_id: str
    upstream_id: str
    address: str
    version: str
    expires_in_ms: int
    is_cold: bool = False


class GrantRefusal(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The home refuses; nothing of the request has been sent to an upstream.

    ``reason`` says by which figures, for the entry host's log.
    """

    pool: str
    request_id: str
    code: int
    retry_after_ms: int
    reason: str = ""


class NotHome(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """The receiver of a grant request is not, or no longer, the pool's home.

    ``home_host`` is the host that it takes for the home; empty when it knows none.
    """

    pool: str
    request_id: str
    home_host: str


class GrantQueued(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The request waits in the home's queue; the entry host need not ask elsewhere."""

    pool: str
    request_id: str


class GrantCancel(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The entry host no longer wants a place for a queued request."""

    pool: str
    request_id: str
    is_alone: bool = False


class GrantRelease(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The entry host gives a grant back, with what came of it.

    ``outcome`` is the value of an ``OutcomeKind`` of the decisions library.
    """

    pool: str
    request_id: str
    grant_id: str
    outcome: str
    first_token_ms: int = -1
    total_ms: int = -1
    output_tokens: int = 0
    cached_tokens: int = 0
    token_us: int = -1
    is_alone: bool = False


class FirstToken(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The first token of an answer came; its end may be many seconds off.

    ``first_token_ms`` counts from dispatch.
    """

    pool: str
    grant_id: str
    first_token_ms: int
    is_alone: bool = False


class HeldGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A grant that an entry host holds, with the request it is for."""

    brief: RequestBrief
    grant_id: str
    upstream_id: str
    address: str
    version: str


class HomeTakeover(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """A host has become home of a pool and asks what the entry hosts hold."""

    pool: str
    home_incarnation: str


class HomeClosed(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """A former home of a pool tells the next one that it grants nothing more."""

    pool: str


class HeldGrants(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The answer to ``HomeTakeover``: all grants of the pool held by the sender.

    ``usage`` is the recent usage of each customer at the sender: ages in milliseconds,
    with the units. ``incarnation`` is that of the sender. ``up_ms`` is how long it has
    run, which limits how far back its usage reaches.
    """

    pool: str
    home_incarnation: str
    grants: tuple[HeldGrant, ...]
    usage: tuple[tuple[str, tuple[tuple[int, int], ...]], ...] = ()
    up_ms: int = 0
    incarnation: str = ""


class HeldGrantIds(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The grants that an entry host holds of a pool, told from time to time.

    A grant whose reply was lost on the way is in no such list: the home frees its
    place. Only ids are sent, so that it stays cheap with hundreds of open streams.
    """

    pool: str
    grant_ids: tuple[str, ...]
