"""Messages between an entry host and the home of a pool.

Times are remaining durations in milliseconds and never points in time, because hosts
have no common clock. The receiver subtracts the delay of the envelope.
"""

import math

import msgspec

from hemlockhoist.messages.codes import code_of
from hemlockhoist.messages.quarantine import PartRecord
from hemlockhoist.messages.retries import RetryRecord

# Request rate limit of an upstream that advertises none.
NO_LIMIT = math.inf
# Processing times that upstreams may report, in percent of the usual one.
SLOWDOWN_PERCENTS = range(10, 10_001)


class RequestBrief(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Description of a request for the home that grants it.

    Parameters
    ==========
    request_id, route, customer : str
    tier_rank, weight, max_in_flight : int
    idempotent : bool
    prompt_tokens, output_tokens : int
    prefix_hashes : tuple of int
        Chained hashes of the prompt's leading blocks, shortest prefix first.
    deadline_in_ms, first_token_in_ms : int
        Time left at sending until the deadlines of the answer and of its first token.
    failure_domain : str
        Failure domain of the entry host.
    trace : str
        Trace context of the caller's request, in the format of a ``traceparent``
        header.
    run_number : int
        1 until an upstream may have run the request; one more for each that may have.
    units : int
        Units that the request consumes of its customer's quota; 0 if an earlier grant
        has already consumed them.
    is_new : bool
        Whether no home has received this request before.
    avoid : tuple of str
        Upstreams on which an earlier attempt failed.
    max_wait_ms : int or None
        Time left at sending until the caller abandons the request if no part of the
        answer has arrived; None if it waits until the deadline.
    max_gap_ms : int
        Longest gap between events of an answer that still counts as in time; 0 if no
        limit is declared.
    prefix_tokens : tuple of int
        Tokens in each block of ``prefix_hashes``; empty if all blocks have the same
        size.
    regions : tuple of str
        Regions in which the upstream must be; empty for any region.
    parts : tuple of int
        Hashes of the parts of its prompt that other requests may share, by which those
        that crash upstreams are recognised.
    is_hedge : bool
        Whether an earlier attempt is still in progress. The home answers with a grant
        or a refusal at once.
    connected : tuple of str
        Upstreams to which the entry host keeps an idle connection, at most 8.
    is_stream : bool
        Whether the answer is sent in parts; otherwise nothing of it arrives before the
        whole.
    fingerprint : int
        Identifies the request if its caller sends it again, by which those that crash
        upstreams are recognised; 0 if it is not known.
    arrival_number : int
        1 until the request may have reached an upstream; one more for each that it may
        have reached, also if that turned it away.
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
    run_number: int = 1
    units: int = 0
    avoid: tuple[str, ...] = ()
    is_new: bool = True
    max_wait_ms: int | None = None
    max_gap_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    regions: tuple[str, ...] = ()
    parts: tuple[int, ...] = ()
    is_hedge: bool = False
    connected: tuple[str, ...] = ()
    is_stream: bool = False
    fingerprint: int = 0
    arrival_number: int = 1


class GrantRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """An entry host's request to a pool's home for permission to dispatch.

    Idempotent by request id: it is sent again if no reply arrives. With ``is_alone``,
    the entry host sends it to itself because no home replies.
    """

    pool: str
    brief: RequestBrief
    is_alone: bool = False


class GrantReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The home's permission for one dispatch to one upstream, for a limited time.

    ``is_cold`` states whether the home knows the upstream to be cold, ``is_limited``
    whether it knows that the upstream advertises a limit, or that it is brittle.
    ``retry_records`` comes with a retry: what homes have counted against its limit.
    """

    pool: str
    request_id: str
    grant_id: str
    upstream_id: str
    address: str
    version: str
    expires_in_ms: int
    is_cold: bool = False
    is_limited: bool = False
    retry_records: tuple[RetryRecord, ...] = ()


class GrantRefusal(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The home's refusal; no byte of the request was sent to an upstream.

    ``reason`` gives the figures behind the refusal, for the entry host's log.
    ``reserved_ms`` is the slot time that is reserved for the retry, 0 if none is.
    """

    pool: str
    request_id: str
    code: int
    retry_after_ms: int
    reason: str = ""
    reserved_ms: int = 0


class NotHome(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """States that the receiver of a grant request is not or no longer the pool's home.

    ``home_host`` is the host that it assumes to be the home; empty if it knows none.
    """

    pool: str
    request_id: str
    home_host: str


class GrantQueued(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the request is queued, so the entry host contacts no other home."""

    pool: str
    request_id: str


class GrantCancel(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Withdraws a grant request; the entry host no longer needs a slot for it."""

    pool: str
    request_id: str
    is_alone: bool = False


class UpstreamSignals(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an upstream said about itself in the head of an answer.

    Parameters
    ==========
    limit_per_s : float or None
        Requests per second that it takes from all hosts together: infinite if it no
        longer advertises a limit, None if there is no news.
    back_off_ms : int
        Time for which it wants no requests from the host that got the answer.
    leaving_started_unix_ms : int or None
        Start time of its process if it announced that it is about to stop, so that the
        next process with its id is not taken for it.
    rejections_per_s : float or None
        How many requests a second it bears to turn away for want of room: infinite if
        it is no longer brittle, None if there is no news.
    is_rejection : bool
        Whether a brittle upstream turned the request away for want of room.
    slowdown_percent : int or None
        Its processing time in percent of the usual one, in ``SLOWDOWN_PERCENTS``; None
        if it does not report it.
    slowdown_age_ms : int
        Time from the arrival of the head to the sending of the message.
    """

    limit_per_s: float | None = None
    back_off_ms: int = 0
    leaving_started_unix_ms: int | None = None
    rejections_per_s: float | None = None
    is_rejection: bool = False
    slowdown_percent: int | None = None
    slowdown_age_ms: int = 0


class GrantRelease(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Releases a grant and reports the outcome of its request.

    ``outcome`` is the value of an ``OutcomeKind`` of the decisions library.
    ``signals`` is what the upstream's answer said about the upstream, or None if that
    is no news. ``relay`` is the host through which the upstream was reached, or that
    could not reach it either; empty if the entry host used its own link.
    ``is_crash_suspect`` states whether the upstream ended before it had begun to answer
    the request, ``is_answered`` whether it began an answer and went on with it.
    ``is_overtaken`` states whether it was cancelled as a hedge answered first.
    ``is_upstream_lost`` states whether the upstream ended at any place of the answer,
    ``is_continued`` whether it was asked for the rest of an answer only.
    ``is_misdirected`` states whether another upstream answered at the address,
    ``is_not_run`` whether the upstream turned the request away without running it.
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
    signals: UpstreamSignals | None = None
    relay: str = ""
    is_crash_suspect: bool = False
    is_answered: bool = False
    is_overtaken: bool = False
    is_upstream_lost: bool = False
    is_continued: bool = False
    is_misdirected: bool = False
    is_not_run: bool = False


class UpstreamLost(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Reports that an upstream ended shortly after a run of it had been given up.

    ``fingerprint`` identifies the request, ``parts`` are those of its prompt if none of
    its answer had come.
    """

    pool: str
    grant_id: str
    upstream_id: str
    fingerprint: int
    parts: tuple[int, ...] = ()
    is_alone: bool = False


class FirstToken(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Reports the first token of an answer, which may end many seconds later.

    ``first_token_ms`` is the time since dispatch, ``signals`` and ``relay`` are as in
    ``GrantRelease``.
    """

    pool: str
    grant_id: str
    first_token_ms: int
    is_alone: bool = False
    signals: UpstreamSignals | None = None
    relay: str = ""


class HeldGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A grant held by an entry host, and the request to which it belongs."""

    brief: RequestBrief
    grant_id: str
    upstream_id: str
    address: str
    version: str


class HeardLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A limit that an upstream advertised to an entry host.

    ``per_s`` is infinite if the latest answer advertised none. ``age_ms`` is the time
    since that answer.
    """

    upstream_id: str
    per_s: float
    age_ms: int


class BackedOffUpstream(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream that wants no requests from the sender for the remaining time."""

    upstream_id: str
    remaining_ms: int


class AnnouncedRetry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A time to retry that was announced to a caller, with capacity reserved for it.

    Parameters
    ==========
    customer, route : str
    tier_rank, weight : int
    prompt_tokens, output_tokens : int
    reserved_ms : int
        Slot time that is reserved.
    remaining_ms : int
        Time left at sending until the caller is to retry.
    """

    customer: str
    route: str
    tier_rank: int
    prompt_tokens: int
    output_tokens: int
    reserved_ms: int
    remaining_ms: int
    weight: int = 1


class HomeTakeover(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that a host has become the home of a pool and requests the held grants."""

    pool: str
    home_incarnation: str


class HomeClosed(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Notifies the new home of a pool that its predecessor issues no more grants.

    ``retry_records`` is what homes counted against the limit on retries until then.
    """

    pool: str
    retry_records: tuple[RetryRecord, ...] = ()


class HeldGrants(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Reply to ``HomeTakeover`` with all grants of the pool held by the sender.

    ``usage`` is the recent usage of each customer at the sender: ages in milliseconds,
    with the units. ``incarnation`` is that of the sender. ``up_ms`` is how long it has
    run, which limits how far back its usage reaches. ``limits`` are those that the
    pool's upstreams advertised to the sender, ``back_offs`` the upstreams that want no
    requests from it, ``brittle`` the rejections that brittle upstreams bear,
    ``part_records`` the evidence against what crashes upstreams, and
    ``announced_retries`` the times to retry that the sender announced to its callers,
    ``retry_records`` what homes counted against the limit on retries.
    """

    pool: str
    home_incarnation: str
    grants: tuple[HeldGrant, ...]
    usage: tuple[tuple[str, tuple[tuple[int, int], ...]], ...] = ()
    up_ms: int = 0
    incarnation: str = ""
    limits: tuple[HeardLimit, ...] = ()
    back_offs: tuple[BackedOffUpstream, ...] = ()
    brittle: tuple[HeardLimit, ...] = ()
    part_records: tuple[PartRecord, ...] = ()
    announced_retries: tuple[AnnouncedRetry, ...] = ()
    retry_records: tuple[RetryRecord, ...] = ()


class HeldGrantIds(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Periodic report of the grants of a pool that an entry host holds.

    A grant whose reply was lost is missing from the report, so the home frees its
    slot. Only ids are sent, to keep the report small with hundreds of open streams.
    """

    pool: str
    grant_ids: tuple[str, ...]
