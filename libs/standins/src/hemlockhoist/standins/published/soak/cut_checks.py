"""Check that hosts without links to replicas serve about as well as the others."""

import msgspec

# From then on a host without links should serve like the others.
BINDING_AFTER_S = 3.0
MIN_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
# Calls are left out if any host was killed, stopped or suspended so shortly before.
EXCUSED_S = 3.0
# Answers to revoked keys.
KEY_STATUSES = frozenset({401, 403})


class CutSpan(msgspec.Struct, frozen=True):
    """A time in which some hosts were cut from all replicas of some services.

    Parameters
    ==========
    hosts : frozenset of str
        Their addresses.
    services : tuple of str
    from_s, until_s : float
    """

    hosts: frozenset[str]
    services: tuple[str, ...]
    from_s: float
    until_s: float


class Tally:
    """Counts requests and those of them that were served."""

    __slots__ = ("count", "served")

    def __init__(self):
        self.count = 0
        self.served = 0

    def add(self, call):
        """Count one call."""
        self.count += 1
        self.served += call.status == 200 and call.is_complete

    @property
    def share(self):
        """The share of the requests that were served."""
        return self.served / self.count if self.count else 0.0


def find_cut_violations(calls, spans, outages):
    """Return the cuts that callers felt, and the number of calls that were compared.

    Parameters
    ==========
    calls : list of Call
    spans : iterable of CutSpan
    outages : list of (str, float, float)
        Host, begin and end of each time in which it was killed, stopped or suspended.

    Returns
    =======
    (list of str, int)
    """
    violations, checked = [], 0
    for span in spans:
        cut, others = Tally(), Tally()
        for call in calls:
            if _counts(call, span, outages):
                (cut if call.host in span.hosts else others).add(call)
        checked += cut.count
        failed = cut.count - cut.served
        if (
            others.count
            and cut.share < MIN_SHARE * others.share
            and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * cut.count
        ):
            violations.append(
                f"hosts cut from {' and '.join(span.services)} served {cut.served} of "
                f"{cut.count} requests, the others {others.served} of {others.count}, "
                f"from {span.from_s + BINDING_AFTER_S:.3f} to {span.until_s:.3f} s"
            )
    return violations, checked


def _counts(call, span, outages):
    begin_s = span.from_s + BINDING_AFTER_S
    if not (begin_s <= call.sent_s and 0 < call.ended_s <= span.until_s):
        return False
    if call.kind.service not in span.services or call.disconnects:
        return False
    if call.status in KEY_STATUSES:
        return False
    return not any(
        begin_s < call.ended_s and call.sent_s < end_s + EXCUSED_S
        for _, begin_s, end_s in outages
    )
