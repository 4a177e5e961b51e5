"""The records that decisions work on: requests, upstreams, grants and outcomes."""

import enum

import msgspec

from hemlockhoist.base import ResultCode


class WorkRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its home sees it: what is needed to admit, queue and place it.

    Parameters
    ==========
    request_id : str
        Unique over all entry hosts.
    route : str
        The path and method that the customer sees. Evidence on versions is kept
        separately for each route.
    customer : str
    tier_rank : int
        0 is the highest tier.
    weight : int
        The customer's weight within its tier.
    max_in_flight : int
        The customer's limit of requests in flight in this pool.
    idempotent : bool
    prompt_tokens : int
        Length of the prompt, counted or estimated by the entry host; 0 for plain
        services.
    output_tokens : int
        Expected length of the answer.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's leading blocks, shortest prefix first.
    prefix_tokens : tuple of int
        Tokens in each of these blocks; empty if all blocks have the same size.
    deadline_ms, first_token_by_ms : int
        Deadlines of the whole answer and of its first token, on the home's clock.
    waits_until_ms : int or None
        Time on the home's clock at which the caller abandons the request if no part of
        the answer has arrived; None if it waits until the deadline.
    max_gap_ms : int
        Longest gap between events of an answer that still counts as in time; 0 if no
        limit is declared.
    entry_host : str
        Id of the host that owns the request.
    failure_domain : str
        Failure domain of the entry host.
    run_number : int
        1 until an upstream may have run the request; one more for each that may have.
    arrival_number : int
        1 until the request may have reached an upstream; one more for each that it may
        have reached, also if that turned it away.
    units : int
        Units that the request consumes of its customer's quota; 0 if an earlier grant
        has already consumed them.
    is_new : bool
        Whether no home has received this request before.
    avoid : tuple of str
        Upstreams on which an earlier attempt failed.
    regions : tuple of str
        Regions in which the upstream must be; empty for any region.
    parts : tuple of int
        Hashes of the parts of its prompt that other requests may share.
    fingerprint : int
        Identifies the request if its caller sends it again; 0 if it is not known.
    is_hedge : bool
        Whether an earlier attempt is still in progress: it is granted at once or
        refused, never queued.
    connected : tuple of str
        Upstreams to which the entry host keeps an idle connection.
    is_stream : bool
        Whether the answer is sent in parts; otherwise nothing of it arrives before the
        whole.
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
    run_number: int = 1
    arrival_number: int = 1
    units: int = 0
    avoid: tuple[str, ...] = ()
    is_new: bool = True
    waits_until_ms: int | None = None
    max_gap_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    regions: tuple[str, ...] = ()
    parts: tuple[int, ...] = ()
    fingerprint: int = 0
    is_hedge: bool = False
    connected: tuple[str, ...] = ()
    is_stream: bool = False

    @property
    def is_retry(self):
        """Whether an upstream may get the request that is not the first one.

        Hosts of the previous release state only the number of runs.
        """
        return self.arrival_number > 1 or self.run_number > 1

    def allows_region(self, region):
        """Return whether an upstream in a region may get the request."""
        return not self.regions or region in self.regions


class UpstreamState(enum.Enum):
    """State of an upstream according to the platform's list, itself or an operator.

    ``EVACUATED`` means that the upstream is healthy but its failure domain must not
    receive work.
    """

    LIVE = "live"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A process that serves requests: a model engine or a plain service.

    Parameters
    ==========
    upstream_id, pool, version : str
    address : str
        ``IP:port``.
    failure_domain, region : str
    generation : str
        Hardware generation.
    state : UpstreamState
    slot_count : int
        Number of requests that it declares to process concurrently; 0 if undeclared.
    started_unix_ms : int
        Start time, which distinguishes its runs under one id; 0 if unknown.
    listed_version : int
        Version of its row in the platform's list; a higher version supersedes a lower.
    cold_until_ms : int
        Time on this host's clock at which its warm-up ends; 0 if it is warm.
    """

    upstream_id: str
    pool: str
    version: str
    address: str
    failure_domain: str = ""
    generation: str = ""
    state: UpstreamState = UpstreamState.LIVE
    slot_count: int = 0
    started_unix_ms: int = 0
    listed_version: int = 0
    cold_until_ms: int = 0
    region: str = ""


def evacuated_upstream(upstream):
    """Return ``upstream`` marked as evacuated if it is live, otherwise unchanged."""
    if upstream.state is not UpstreamState.LIVE:
        return upstream
    return msgspec.structs.replace(upstream, state=UpstreamState.EVACUATED)


def leaving_upstream(upstream):
    """Return ``upstream`` marked as leaving."""
    return msgspec.structs.replace(upstream, state=UpstreamState.LEAVING)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load that an upstream reports about itself, with a delay.

    ``age_ms`` is the age of the report when it was read.
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
        Expiry on the clock of the issuing home; messages carry the remaining time.
    is_cold : bool
        Whether the grant counts towards the limit of a cold upstream.
    is_limited : bool
        Whether the upstream advertised a limit, or that it is brittle.
    """

    grant_id: str
    request_id: str
    upstream_id: str
    address: str
    version: str
    expires_ms: int
    is_cold: bool = False
    is_limited: bool = False


def new_grant_id(incarnation, pool, number):
    """Return the id of a grant, unique over all homes and their incarnations."""
    return f"{incarnation}:{pool}:{number}"


def granting_incarnation(grant_id):
    """Return the incarnation of the home that issued a grant."""
    return grant_id.partition(":")[0]


class OutcomeKind(enum.Enum):
    """How a granted request ended, whether or not it was dispatched."""

    SUCCESS = "success"
    FAILED = "failed"
    BROKE_OFF = "broke_off"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    # No connection could be made through the fault of the host's own links, which says
    # nothing about the upstream.
    LINK_FAILED = "link_failed"
    # The answer was lost through the fault of a host's links, or of a host that relayed
    # the request: this says nothing about the upstream either.
    LINK_LOST = "link_lost"
    NOT_SENT = "not_sent"
    CANCELLED = "cancelled"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result that an entry host reports when it releases a grant.

    Parameters
    ==========
    kind : OutcomeKind
    first_token_ms, total_ms : int
        Time from dispatch to the first token and to the end of the answer; -1 if it
        was never reached.
    output_tokens, cached_tokens : int
        Counts that the engine reported.
    token_us : int
        Typical time per output token in microseconds; -1 if unknown.
    relay : str
        Host through which the upstream was reached, or that could not reach it either;
        empty if the entry host used its own link.
    is_crash_suspect : bool
        Whether the upstream ended before it had begun to answer the request.
    is_upstream_lost : bool
        Whether the upstream ended before it had answered the request whole.
    is_answered : bool
        Whether the upstream began an answer and went on with it.
    is_overtaken : bool
        Whether it was cancelled without any data because a hedge answered first.
    is_continued : bool
        Whether the upstream was asked for the rest of an answer only.
    is_misdirected : bool
        Whether another upstream answered at the address.
    is_not_run : bool
        Whether the upstream turned the request away without running it, and did not
        ask for rest.
    """

    kind: OutcomeKind
    first_token_ms: int = -1
    total_ms: int = -1
    output_tokens: int = 0
    cached_tokens: int = 0
    token_us: int = -1
    relay: str = ""
    is_crash_suspect: bool = False
    is_upstream_lost: bool = False
    is_answered: bool = False
    is_overtaken: bool = False
    is_continued: bool = False
    is_misdirected: bool = False
    is_not_run: bool = False

    def for_home(self):
        """Return the outcome in the kinds that homes of earlier releases know.

        Faults of links say nothing about an upstream, and neither does a request that
        was not sent, or cancelled without a duration.
        """
        if self.kind is OutcomeKind.LINK_FAILED:
            return Outcome(kind=OutcomeKind.NOT_SENT)
        if self.kind is OutcomeKind.LINK_LOST:
            return Outcome(
                kind=OutcomeKind.CANCELLED,
                is_crash_suspect=self.is_crash_suspect,
                is_upstream_lost=self.is_upstream_lost,
            )
        return self


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """Decision that the request may be dispatched under the grant."""

    request: WorkRequest
    grant: Grant


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """Decision that the request is refused; no byte of it was sent to an upstream.

    ``retry_after_ms`` is computed from the state of the queue. The refusal is sent at
    once; it is never delayed instead. ``reserved_ms`` is the slot time that is reserved
    for the retry, 0 if none is.
    """

    request: WorkRequest
    code: ResultCode
    retry_after_ms: int
    reserved_ms: float = 0.0
