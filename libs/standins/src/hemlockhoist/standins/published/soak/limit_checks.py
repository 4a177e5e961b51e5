"""Check that replicas which name a request limit get no more than they tolerate."""

import msgspec

WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# From then on the hosts are bound by a limit, also those that heard of it last.
BINDING_AFTER_S = 3.0
# A host that was killed, stopped or suspended is excused for this long afterwards.
EXCUSED_S = 3.0


class LimitSpan(msgspec.Struct, frozen=True):
    """A time in which a replica named a limit in all its answers.

    Parameters
    ==========
    replica : Replica
    limit_per_s : float
    from_s, until_s : float
    """

    replica: object
    limit_per_s: float
    from_s: float
    until_s: float


def find_limit_violations(spans, host_of, outages):
    """Return the violations of limits, and the number of windows that were checked.

    Parameters
    ==========
    spans : iterable of LimitSpan
    host_of : dict of str to str
        The host that got each attempt from its caller.
    outages : list of (str, float, float)
        Host, begin and end of each time in which it was killed, stopped or suspended.

    Returns
    =======
    (list of str, int)
    """
    violations, checked = [], 0
    for span in spans:
        times_s = _arrivals_s(span, host_of, outages)
        allowed = LIMIT_FACTOR * span.limit_per_s * WINDOW_S + LIMIT_SLACK
        for start_s in times_s:
            if start_s + WINDOW_S > span.until_s:
                break
            checked += 1
            count = sum(start_s <= item < start_s + WINDOW_S for item in times_s)
            if count > allowed:
                violations.append(
                    f"limit of {span.limit_per_s}/s exceeded: "
                    f"{span.replica.replica_id} got {count} requests in {WINDOW_S} s"
                )
                break
    return violations, checked


def _arrivals_s(span, host_of, outages):
    """Return when requests of hosts that are not excused arrived, sorted."""
    received = (*span.replica.ran, *span.replica.rejected)
    return sorted(
        item.started_s
        for item in received
        if span.from_s + BINDING_AFTER_S <= item.started_s < span.until_s
        and not is_excused(sender_of(item, host_of), item.started_s, outages)
    )


def sender_of(item, host_of):
    """Return the host that sent a request to a replica, or an empty text.

    Parameters
    ==========
    item : ReceivedRequest
    host_of : dict of str to str
        The host that got each attempt from its caller; it sent the request, unless the
        replica knows that another host relayed it.
    """
    return item.sender or host_of.get(item.headers.get("attempt-id"), "")


def is_excused(host, at_s, outages):
    """Return whether a host was not running normally at a time, or shortly before."""
    return any(
        name == host and begin_s <= at_s < end_s + EXCUSED_S
        for name, begin_s, end_s in outages
    )
