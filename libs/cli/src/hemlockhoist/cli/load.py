"""What callers of each rank, and each upstream, met: read from the hosts' logs."""

import collections
import datetime
import math

import msgspec

# A caller that was refused comes back about when it was told to: so much sooner or
# later still counts as the same caller. The homes allow the same.
EARLY_TOLERANCE_S = 0.1
LATE_TOLERANCE_S = 2.0
_MS_PER_S = 1_000


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """A count of durations, and their percentiles in milliseconds; None of none."""

    count: int = 0
    p50_ms: int | None = None
    p90_ms: int | None = None
    p99_ms: int | None = None


class RankRow(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the requests of one rank.

    Parameters
    ==========
    rank : int
    asked, answered, refused, left, cut : int
        ``left``: their callers went away; ``cut``: streams that ended early.
    left_waiting : int
        Of those that left, how many had got no place.
    wait : Spread
        From asking for a place to having it.
    left_after : Spread
        How long the callers had waited that left without a place.
    returned, returned_answered, returned_refused : int
        Callers that came back after a refusal as they were told, and what became of
        them.
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
    """What one upstream did with what it was sent.

    Parameters
    ==========
    upstream : str
    sent : int
    outcomes : dict of str to int
    first : Spread
        From the send to the first part of an answer.
    hold : Spread
        From the send to the end.
    """

    upstream: str
    sent: int
    outcomes: dict[str, int]
    first: Percentiles
    hold: Percentiles


class RefusalRow(msgspec.Struct, frozen=True, kw_only=True):
    """How often requests of a rank were refused with one code; rank -1 is not known."""

    rank: int
    code: int
    count: int
    retry_after: Percentiles


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The tables of ``hemlockhoist load``."""

    ranks: list[RankRow]
    upstreams: list[UpstreamRow]
    refusals: list[RefusalRow]


class _Request:
    """What the lines of one request say."""

    __slots__ = (
        "admitted_s",
        "has_place",
        "is_cut",
        "is_returned",
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
        self.has_place = False
        self.is_cut = False
        self.is_returned = False
        self.left_ms = None
        self.refused_code = None
        self.refused_s = None
        self.retry_after_ms = 0
        self.was_answered = False

    @property
    def is_refused(self):
        """Whether its last word was a refusal."""
        return self.refused_code is not None


def read_load(lines):
    """Return the ``Load`` that the lines of all hosts tell of.

    Parameters
    ==========
    lines : iterable of LogLine
        In any order.

    Examples
    ========
    >>> from hemlockhoist.cli.load import read_load
    >>> read_load([])
    Load(ranks=[], upstreams=[], refusals=[])
    """
    lines = sorted(lines, key=lambda line: line.timestamp)
    requests = collections.defaultdict(_Request)
    attempts = collections.defaultdict(list)
    waits = collections.defaultdict(list)
    for line in lines:
        if line.request:
            _note(requests[line.request], line)
        if line.event == "attempt_ended":
            attempts[line.get("upstream")].append(line)
            waits[line.request].append(line)
    _mark_returned(requests.values())
    return Load(
        ranks=_rank_rows(requests, waits),
        upstreams=[_upstream_row(name, attempts[name]) for name in sorted(attempts)],
        refusals=_refusal_rows(requests.values()),
    )


def _note(request, line):
    note = _NOTES.get(line.event)
    if note is not None:
        note(request, line)


def _note_admitted(request, line):
    request.rank = _number(line, "rank")
    request.admitted_s = _seconds(line)
    names = ("customer", "route", "prompt_tokens", "units")
    request.key = tuple(line.get(name) for name in names)


def _note_place(request, line):
    request.has_place = True


def _note_ended(request, line):
    request.was_answered = not request.is_cut


def _note_refused(request, line):
    request.refused_code = _number(line, "code")
    request.refused_s = _seconds(line)
    request.retry_after_ms = _number(line, "retry_after_ms") or 0


def _note_cut(request, line):
    request.is_cut = True
    request.was_answered = False


def _note_left(request, line):
    request.left_ms = _number(line, "after_ms") or 0


_NOTES = {
    "request_admitted": _note_admitted,
    "place_granted": _note_place,
    "attempt_ended": _note_place,
    "request_ended": _note_ended,
    "request_refused": _note_refused,
    "stream_cut": _note_cut,
    "caller_left": _note_left,
}


def _mark_returned(requests):
    """Mark the requests whose caller was refused before, and came when it was told.

    A request has another id when it comes back; it is known by customer, route and
    size, as a home knows it. One without a size can not be told from others.
    """
    known = [item for item in requests if item.admitted_s is not None]
    due = collections.defaultdict(list)
    for request in sorted(known, key=lambda item: item.admitted_s):
        times = due[request.key]
        for due_s in times:
            if -EARLY_TOLERANCE_S <= request.admitted_s - due_s <= LATE_TOLERANCE_S:
                request.is_returned = True
                times.remove(due_s)
                break
        if request.is_refused and _has_size(request):
            times.append(request.refused_s + request.retry_after_ms / _MS_PER_S)


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
    waiting = [item for item in left if not item.has_place]
    returned = [item for item in items if item.is_returned]
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
    found = collections.defaultdict(list)
    for request in requests:
        if request.is_refused:
            rank = -1 if request.rank is None else request.rank
            found[rank, request.refused_code].append(request.retry_after_ms)
    return [
        RefusalRow(
            rank=rank, code=code, count=len(times), retry_after=percentiles(times)
        )
        for (rank, code), times in sorted(found.items())
    ]


def percentiles(values):
    """Return the ``Percentiles`` of durations in milliseconds.

    Parameters
    ==========
    values : iterable of int or None
        None and values below 0 stand for what never came, and are left out.

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
        known[max(0, math.ceil(part * len(known)) - 1)] for part in (0.5, 0.9, 0.99)
    )
    return Percentiles(count=len(known), p50_ms=p50_ms, p90_ms=p90_ms, p99_ms=p99_ms)


def _number(line, name):
    """Return a field as a whole number, or None where it is missing or none."""
    try:
        return int(line.get(name))
    except ValueError:
        return None


def _seconds(line):
    """Return a line's time in seconds, or 0 where it can not be read."""
    try:
        return datetime.datetime.fromisoformat(line.timestamp).timestamp()
    except ValueError:
        return 0.0
