"""How hosts took callers' connections, computed from their logs."""

import collections
import datetime

import msgspec

_MS_PER_S = 1_000


class AcceptingRow(msgspec.Struct, frozen=True, kw_only=True):
    """What kept a host from taking new connections.

    Parameters
    ==========
    host : str
    full : int
        How often it had no room for a caller.
    full_ms : int
        For how long; not counted if the logs end before it had room again.
    errors : dict of str to int
        By their kind, how often accepting began to fail.
    lost : int
        How often it had to open a listening socket again.
    """

    host: str
    full: int = 0
    full_ms: int = 0
    errors: dict[str, int] = {}
    lost: int = 0


def read_accepting(lines):
    """Return the rows of the hosts whose logs tell of such events, by host.

    Parameters
    ==========
    lines : iterable of LogLine
        In the order of their times.

    Examples
    ========
    >>> from hemlockhoist.cli.accepting import read_accepting
    >>> read_accepting([])
    []
    """
    by_host = collections.defaultdict(list)
    for line in lines:
        if line.event in _EVENTS:
            by_host[line.host].append(line)
    return [_row(host, by_host[host]) for host in sorted(by_host)]


_EVENTS = frozenset(
    {"accept_failed", "connections_full", "connections_have_room", "listener_lost"}
)


def _row(host, lines):
    counts = collections.Counter(line.event for line in lines)
    errors = collections.Counter(
        line.get("reason") for line in lines if line.event == "accept_failed"
    )
    return AcceptingRow(
        host=host,
        full=counts["connections_full"],
        full_ms=_full_ms(lines),
        errors=dict(errors),
        lost=counts["listener_lost"],
    )


def _full_ms(lines):
    total_s, since_s = 0.0, None
    for line in lines:
        if line.event == "connections_full":
            since_s = _seconds(line)
        elif line.event == "connections_have_room" and since_s is not None:
            total_s += _seconds(line) - since_s
            since_s = None
    return round(total_s * _MS_PER_S)


def _seconds(line):
    """Return the time of a line as Unix time in seconds, or 0 if it is malformed."""
    try:
        return datetime.datetime.fromisoformat(line.timestamp).timestamp()
    except ValueError:
        return 0.0
