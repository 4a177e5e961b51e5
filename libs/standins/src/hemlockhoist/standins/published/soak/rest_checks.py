"""Checks that hosts keep to what single replicas asked of them."""

import collections

import msgspec

from hemlockhoist.standins.published.soak.limit_checks import sender_of

# A host is bound this long after a replica has asked it for rest.
REACHED_AFTER_S = 0.5
MAX_REQUESTS = 2


class Rest(msgspec.Struct, frozen=True):
    """A rest that a replica asked a host for.

    Parameters
    ==========
    replica : Replica
    host : str
    from_s, until_s : float
    """

    replica: object
    host: str
    from_s: float
    until_s: float


def find_rests(replicas, host_of):
    """Return each ``Rest`` that the replicas asked for.

    Parameters
    ==========
    replicas : iterable of Replica
    host_of : dict of str to str
        The host that got each attempt from its caller.
    """
    return [
        Rest(replica, sender_of(item, host_of), item.started_s, item.started_s + rest_s)
        for replica in replicas
        for item, rest_s in replica.rests
    ]


def find_rest_violations(rests, host_of, outages):
    """Return the violations of rests.

    Parameters
    ==========
    rests : iterable of Rest
    host_of : dict of str to str
    outages : list of (str, float, float)
        Host, begin and end of each time in which it was killed, stopped or suspended.
    """
    violations = []
    arrivals = _arrivals_by_host(rests, host_of)
    for rest in rests:
        begin_s = rest.from_s + REACHED_AFTER_S
        times_s = arrivals[rest.replica.replica_id, rest.host]
        count = sum(begin_s <= item < rest.until_s for item in times_s)
        if count > MAX_REQUESTS and not _is_excused(rest, outages):
            violations.append(
                f"rest disturbed: {rest.replica.replica_id} got {count} requests from "
                f"{rest.host} after it had asked for rest"
            )
    return violations


def find_leaving_violations(replicas, host_of, outages, drain_s):
    """Return the violations of announced ends, and the number of checked requests.

    Parameters
    ==========
    replicas : iterable of Replica
    host_of : dict of str to str
    outages : list of (str, float, float)
    drain_s : float
        Time after which a host must send nothing new.

    Returns
    =======
    (list of str, int)
    """
    violations, checked = [], 0
    for replica in replicas:
        if replica.leaving_s is None:
            continue
        told_s = {}
        for item in sorted(replica.ran, key=lambda item: item.started_s):
            host = sender_of(item, host_of)
            if item.started_s < replica.leaving_s:
                continue
            checked += 1
            rest = Rest(replica, host, told_s.get(host, item.started_s), item.started_s)
            late = item.started_s > rest.from_s + drain_s
            if late and not _is_excused(rest, outages):
                violations.append(f"leaving {replica.replica_id} got work from {host}")
            told_s.setdefault(host, item.started_s)
    return violations, checked


def _arrivals_by_host(rests, host_of):
    arrivals = collections.defaultdict(list)
    for replica in {rest.replica.replica_id: rest.replica for rest in rests}.values():
        for item in (*replica.ran, *replica.rejected):
            key = replica.replica_id, sender_of(item, host_of)
            arrivals[key].append(item.started_s)
    return arrivals


def _is_excused(rest, outages):
    return any(
        name == rest.host and begin_s < rest.until_s and end_s > rest.from_s
        for name, begin_s, end_s in outages
    )
