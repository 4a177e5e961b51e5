"""Statistics by rank and by upstream, computed from the hosts' logs."""

import collections
import datetime
import math

import msgspec

from hemlockhoist.cli.accepting import AcceptingRow, read_accepting

# A refused caller retries at about the time given by Retry-After. A request this much
# earlier or later still counts as its retry. The homes use the same tolerances.
EARLY_TOLERANCE_S = 0.1
LATE_TOLERANCE_S = 2.0
_MS_PER_S = 1_000


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """The count and percentiles of durations; the latter are None without durations."""

    count: int = 0
    p50_ms: int | None = None
    p90_ms: int | None = None
    p99_ms: int | None = None


class RankRow(msgspec.Struct, frozen=True, kw_only=True):
    """The results of the requests of one rank.

    Parameters
    ==========
    rank : int
    asked, answered, refused, left, cut : int
        Numbers of requests. ``left`` are those whose callers disconnected, and ``cut``
        those whose streams ended early.
    left_waiting : int
        The number of those in ``left`` that had not been assigned a slot.
    wait : Percentiles
        The time from the request for a slot to its assignment.
    left_after : Percentiles
        The time after which callers without a slot disconnected.
    returned, returned_answered, returned_refused : int
        The number of retries by refused callers at the time given by Retry-After, and
        of those among them that were answered and refused.
    """

    rank: int
    asked: int
    answered: int
    refused: int
    cut: int
    left: int
    left_waiting: int
    wait: Percentiles
    left_after: Percentiles
    returned: int
    returned_answered: int
    returned_refused: int


class UpstreamRow(msgspec.Struct, frozen=True, kw_only=True):
    """The results of the requests sent to one upstream.

    Parameters
    ==========
    upstream : str
    sent : int
    outcomes : dict of str to int
    first : Percentiles
        The time from sending a request to the first part of its answer.
    hold : Percentiles
        The time from sending a request to the end of its answer.
    """

    upstream: str
    sent: int
    outcomes: dict[str, int]
    first: Percentiles
    hold: Percentiles


class RefusalRow(msgspec.Struct, frozen=True, kw_only=True):
    """The refusals of a rank with one code; rank -1 means that the rank is unknown."""

    rank: int
    code: int
    count: int
    retry_after: Percentiles


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The tables printed by ``hemlockhoist load``."""

    ranks: list[RankRow]
    upstreams: list[UpstreamRow]
    refusals: list[RefusalRow]
    accepting: list[AcceptingRow]


class _Request:
    """The state of one request, collected from its log lines."""

    __slots__ = (
        "admitted_s",
        "has_slot",
        "is_cut",
        "is_retry",
        "key",
        "left_ms",
        "rank",
        "refused_code",
        "refused_s",
        "retry_after_ms",
        "was_answered",
    )

    def __init__(self):
        self.rank = None
        self.key = None
        self.admitted_s = None
        self.has_slot = False
        self.is_cut = False
        self.is_retry = False
        self.left_ms = None
        self.refused_code = None
        self.refused_s = None
        self.retry_after_ms = 0
        self.was_answered = False

    @property
    def is_refused(self):
        """Whether the request was refused."""
        return self.refused_code is not None


def read_load(lines):
    """Return the ``Load`` computed from the log lines of all hosts.

    Parameters
    ==========
    lines : iterable of LogLine
        The lines, in any order.

    Examples
    ========
    >>> from hemlockhoist.cli.load import read_load
    >>> read_load([])
    Load(ranks=[], upstreams=[], refusals=[], accepting=[])
    """
    lines = sorted(lines, key=lambda line: line.timestamp)
    requests = collections.defaultdict(_Request)
    attempts = collections.defaultdict(list)
    waits = collections.defaultdict(list)
    for line in lines:
        if line.request:
            _record(requests[line.request], line)
        if line.event == "attempt_ended":
            attempts[line.get("upstream")].append(line)
            waits[line.request].append(line)
    _mark_retries(requests.values())
    return Load(
        ranks=_rank_rows(requests, waits),
        upstreams=[_upstream_row(name, attempts[name]) for name in sorted(attempts)],
        refusals=_refusal_rows(requests.values()),
        accepting=read_accepting(lines),
    )


def _record(request, line):
    record = _RECORDERS.get(line.event)
    if record is not None:
        record(request, line)


def _record_admitted(request, line):
    request.rank = _number(line, "rank")
    request.admitted_s = _seconds(line)
    names = ("customer", "route", "prompt_tokens", "units")
    request.key = tuple(line.get(name) for name in names)


def _record_slot(request, line):
    request.has_slot = True


def _record_ended(request, line):
    request.was_answered = not request.is_cut


def _record_refused(request, line):
    request.refused_code = _number(line, "code")
    request.refused_s = _seconds(line)
    request.retry_after_ms = _number(line, "retry_after_ms") or 0


def _record_cut(request, line):
    request.is_cut = True
    request.was_answered = False


def _record_left(request, line):
    request.left_ms = _number(line, "after_ms") or 0


_RECORDERS = {
    "request_admitted": _record_admitted,
    "place_granted": _record_slot,
    "attempt_ended": _record_slot,
    "request_ended": _record_ended,
    "request_refused": _record_refused,
    "stream_cut": _record_cut,
    "caller_left": _record_left,
}


def _mark_retries(requests):
    """Mark the requests that retry a refused one at the time given by Retry-After.

    A retry has a new request id. It is matched by customer, route and size, as in the
    homes. Requests without a size cannot be distinguished, and are not matched.
    """
    known = [item for item in requests if item.admitted_s is not None]
    retry_times = collections.defaultdict(list)
    for request in sorted(known, key=lambda item: item.admitted_s):
        expected_s = retry_times[request.key]
        for retry_s in expected_s:
            if -EARLY_TOLERANCE_S <= request.admitted_s - retry_s <= LATE_TOLERANCE_S:
                request.is_retry = True
                expected_s.remove(retry_s)
                break
        if request.is_refused and _has_size(request):
            expected_s.append(request.refused_s + request.retry_after_ms / _MS_PER_S)


def _has_size(request):
    return request.key[2] not in ("", "0")


def _rank_rows(requests, waits):
    by_rank = collections.defaultdict(dict)
    for request_id, request in requests.items():
        if request.rank is not None:
            by_rank[request.rank][request_id] = request
    return [_rank_row(rank, by_rank[rank], waits) for rank in sorted(by_rank)]


def _rank_row(rank, requests, waits):
    items = requests.values()
    left = [item for item in items if item.left_ms is not None]
    waiting = [item for item in left if not item.has_slot]
    returned = [item for item in items if item.is_retry]
    waited = [
        _number(line, "waited_ms") for name in requests for line in waits.get(name, ())
    ]
    return RankRow(
        rank=rank,
        asked=len(items),
        answered=sum(item.was_answered for item in items),
        refused=sum(item.is_refused for item in items),
        cut=sum(item.is_cut for item in items),
        left=len(left),
        left_waiting=len(waiting),
        wait=percentiles(waited),
        left_after=percentiles(item.left_ms for item in waiting),
        returned=len(returned),
        returned_answered=sum(item.was_answered for item in returned),
        returned_refused=sum(item.is_refused for item in returned),
    )


def _upstream_row(name, lines):
    sent = [line for line in lines if line.get("sent") == "true"]
    return UpstreamRow(
        upstream=name,
        sent=len(sent),
        outcomes=dict(collections.Counter(line.get("outcome") for line in lines)),
        first=percentiles(_number(line, "first_ms") for line in sent),
        hold=percentiles(_number(line, "total_ms") for line in sent),
    )


def _refusal_rows(requests):
    delays_by_code = collections.defaultdict(list)
    for request in requests:
        if request.is_refused:
            rank = -1 if request.rank is None else request.rank
            delays_by_code[rank, request.refused_code].append(request.retry_after_ms)
    return [
        RefusalRow(
            rank=rank,
            code=code,
            count=len(delays),
            retry_after=percentiles(delays),
        )
        for (rank, code), delays in sorted(delays_by_code.items())
    ]


def percentiles(values):
    """Return the ``Percentiles`` of durations in milliseconds.

    Parameters
    ==========
    values : iterable of int or None
        Durations; None and values below 0 mean a missing value, and are ignored.

    Examples
    ========
    >>> from hemlockhoist.cli.load import percentiles
    >>> found = percentiles([10, 20, 30, None, -1])
    >>> found.count, found.p50_ms, found.p99_ms
    (3, 20, 30)
    """
    known = sorted(value for value in values if value is not None and value >= 0)
    if not known:
        return Percentiles()
    p50_ms, p90_ms, p99_ms = (
        known[max(0, math.ceil(fraction * len(known)) - 1)]
        for fraction in (0.5, 0.9, 0.99)
    )
    return Percentiles(count=len(known), p50_ms=p50_ms, p90_ms=p90_ms, p99_ms=p99_ms)


def _number(line, name):
    """Return a field as an integer, or None if it is missing or not an integer."""
    try:
        return int(line.get(name))
    except ValueError:
        return None


def _seconds(line):
    """Return the time of a line as Unix time in seconds, or 0 if it is malformed."""
    try:
        return datetime.datetime.fromisoformat(line.timestamp).timestamp()
    except ValueError:
        return 0.0
