"""Checks that declared routes are in force in time, and that none comes back."""

import collections

# Declared time from the confirmation of a version until it is in force.
IN_FORCE_S = 3.0
# A host is excused for so long after it, or all ways to the store, were disturbed.
CONTACT_S = 4.0
# Tolerance between the times of callers and of hosts.
REGRESS_SLACK_S = 0.25
NOT_FOUND = 404


class DeclaredVersion:
    """A version of the declarations, and the route that only it has.

    Parameters
    ==========
    path : str
        Path of its route, without slashes.
    begun_s, confirmed_s : float
        When its write began, and when the store had confirmed it; 0 if it had not.
    """

    __slots__ = ("begun_s", "confirmed_s", "path")

    def __init__(self, path, begun_s, confirmed_s=0.0):
        self.path = path
        self.begun_s = begun_s
        self.confirmed_s = confirmed_s


def find_declaration_violations(calls, declared, store_spans, outages, hosts):
    """Return violations, and the number of calls by which routes were checked.

    The store that rejects one host is no excuse: the other hosts have the rows.

    Parameters
    ==========
    calls : list of Call
    declared : list of DeclaredVersion
        In the order of their writes.
    store_spans, outages : list of (str, float, float)
        Host, begin and end of the times in which the store did not serve it, and in
        which it did not run normally.
    hosts : list of str

    Returns
    =======
    (list of str, int)
    """
    index_of = {version.path: index for index, version in enumerate(declared)}
    blind = _times_without_store(store_spans, outages, hosts)
    found, checked = [], 0
    newest_seen = collections.defaultdict(list)
    for call in sorted(calls, key=lambda item: item.sent_s):
        index = index_of.get(call.kind.path)
        if index is None or call.status not in (200, NOT_FOUND) or call.disconnects:
            continue
        checked += 1
        excuses = [*blind, *((a, b) for host, a, b in outages if host == call.host)]
        if not _is_excused(call, excuses):
            found += _find_late(call, declared, index)
        found += _find_regress(call, index, newest_seen[call.host], outages)
        if call.status == 200:
            newest_seen[call.host].append((call.ended_s, index))
    return found, checked


def _times_without_store(store_spans, outages, hosts):
    """Return the times in which no running host was served by the store."""
    edges = sorted({edge for _, a, b in (*store_spans, *outages) for edge in (a, b)})
    blind = []
    for begin_s, end_s in zip(edges, edges[1:], strict=False):
        middle_s = (begin_s + end_s) / 2
        away = {host for host, a, b in (*store_spans, *outages) if a <= middle_s <= b}
        if away.issuperset(hosts):
            blind.append((begin_s, end_s))
    return blind


def _is_excused(call, spans):
    return any(a < call.ended_s and call.sent_s - CONTACT_S < b for a, b in spans)


def _find_late(call, declared, index):
    """Find an answer that only an older version allows, too long after a newer one."""
    version = declared[index]
    following = declared[index + 1] if index + 1 < len(declared) else None
    if call.status == 200:
        is_late = (
            following is not None
            and following.confirmed_s
            and call.sent_s > following.confirmed_s + IN_FORCE_S
        )
        text = "served, though a later version dropped it"
    else:
        is_current = following is None or call.ended_s < following.begun_s
        is_late = (
            is_current
            and version.confirmed_s
            and call.sent_s > version.confirmed_s + IN_FORCE_S
        )
        text = "not found, though it was declared"
    if not is_late:
        return []
    return [
        f"{version.path} {text}: {call.attempt_id} at {call.host}, {call.sent_s:.3f} s"
    ]


def _find_regress(call, index, seen, outages):
    """Find a route that is served after a version without it was seen in force."""
    if call.status != 200:
        return []
    for seen_s, newer in seen:
        is_since = seen_s + REGRESS_SLACK_S < call.sent_s
        has_restarted = any(
            host == call.host and a < call.ended_s and seen_s < b
            for host, a, b in outages
        )
        if newer > index and is_since and not has_restarted:
            return [f"{call.kind.path} came back: {call.attempt_id} at {call.host}"]
    return []
