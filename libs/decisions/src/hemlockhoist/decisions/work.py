"""The records that decisions are made on: requests, upstreams, grants, outcomes."""

import enum

import msgspec

from hemlockhoist.base import ResultCode


class WorkRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a home needs to know about a request to admit, queue and place it.

    Parameters
    ==========
    request_id : str
        Unique over all entry hosts.
    route : str
        What version evidence is kept apart by: the customer-visible path and method.
    customer : str
    tier_rank : int
        0 is the highest.
    weight : int
        The customer's weight inside its tier.
    max_in_flight : int
        The customer's limit in this pool.
    idempotent : bool
    prompt_tokens : int
        Counted or estimated by the entry host; 0 for plain services.
    output_tokens : int
        Expected.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's leading blocks, shortest prefix first.
    prefix_tokens : tuple of int
        Of each of these blocks; empty where all are of one size.
    deadline_ms, first_token_by_ms : int
        On the home's clock.
    waits_until_ms : int or None
        On the home's clock: when its caller leaves if nothing of the answer has come;
        None where it waits to the deadline.
    max_gap_ms : int
        The longest pause between events of an answer that is in time; 0 where none is
        declared.
    entry_host : str
        Host id of the owner of the request.
    failure_domain : str
        Of the entry host.
    attempt : int
        1 for the first send of the request.
    units : int
        What the request counts as against its customer's allowance; 0 where that was
        taken with an earlier grant.
    is_new : bool
        Whether this is the first that any home hears of the request.
    avoid : tuple of str
        Upstreams that failed the request before.
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
    deadline_ms: int
    first_token_by_ms: int
    entry_host: str = ""
    failure_domain: str = ""
    attempt: int = 1
    units: int = 0
    avoid: tuple[str, ...] = ()
    is_new: bool = True
    waits_until_ms: int | None = None
    max_gap_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    regions: tuple[str, ...] = ()


class UpstreamState(enum.Enum):
    """What the platform's list, the upstream itself, or an operator says of it.

    ``EVACUATED``: it is well, and its failure domain is to get no work.
    """

    LIVE = "live"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine or plain service process.

    Parameters
    ==========
    upstream_id, pool, version : str
    address : str
        ``IP:port``.
    failure_domain, region : str
    generation : str
        Hardware generation.
    state : UpstreamState
    slots : int
        Requests that it says it works on at once; 0 where it does not say.
    started_unix_ms : int
        Tells its runs under one id apart; 0 where it does not say.
    listed_version : int
        Of its entry in the platform's list; a newer one says more.
    cold_until_ms : int
        On this host's clock: until when it warms up; 0 where it is warm.
    """

    upstream_id: str
    pool: str
    version: str
    address: str
    failure_domain: str = ""
    generation: str = ""
    state: UpstreamState = UpstreamState.LIVE
    slots: int = 0
    started_unix_ms: int = 0
    listed_version: int = 0
    cold_until_ms: int = 0
    region: str = ""


def evacuated_upstream(upstream):
    """Return a live upstream as one that gets no work; a leaving one as it is."""
    if upstream.state is not UpstreamState.LIVE:
        return upstream
    return msgspec.structs.replace(upstream, state=UpstreamState.EVACUATED)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's own, late account of its load.

    ``age_ms`` says how old it was when it was read.
    """

    upstream_id: str
    in_flight: int
    queued: int
    age_ms: int = 0
    state: UpstreamState = UpstreamState.LIVE


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to dispatch one request once to one upstream.

    Parameters
    ==========
    grant_id : str
        Unique over all homes and their incarnations.
    expires_ms : int
        On the clock of the home that gave it; messages carry the remainder.
    is_cold : bool
        Whether it was given as one of the few that a cold upstream may get.
    """

    grant_id: str
    request_id: str
    upstream_id: str
    address: str
    version: str
    expires_ms: int
    is_cold: bool = False


def new_grant_id(incarnation, pool, number):
    """Return a grant's id, unique over all homes and their runs."""
    return f"{incarnation}:{pool}:{number}"


def granting_incarnation(grant_id):
    """Return the incarnation of the home that gave a grant."""
    return grant_id.partition(":")[0]


class OutcomeKind(enum.Enum):
    """How a dispatched (or granted and never dispatched) request ended."""

    SUCCESS = "success"
    FAILED = "failed"
    BROKE_OFF = "broke_off"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"
    CANCELLED = "cancelled"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry host reports when it gives a grant back.

    Parameters
    ==========
    kind : OutcomeKind
    first_token_ms, total_ms : int
        From dispatch; -1 where it never came.
    output_tokens, cached_tokens : int
        As the engine reported.
    token_us : int
        The usual time of one output token, in microseconds; -1 where it is not known.
    """

    kind: OutcomeKind
    first_token_ms: int = -1
    total_ms: int = -1
    output_tokens: int = 0
    cached_tokens: int = 0
    token_us: int = -1


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: the request may be dispatched under the grant."""

    request: WorkRequest
    grant: Grant


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: the request is refused; not a byte of it was sent.

    ``retry_after_ms`` is worked out from the queue, never a held-back answer.
    """

    request: WorkRequest
    code: ResultCode
    retry_after_ms: int
