"""Check that requests which are sent again end few replicas, and no other is blocked."""

import msgspec

from hemlockhoist.decisions.quarantine import RequestFingerprints
from hemlockhoist.messages import PartRecord, PartState
from hemlockhoist.standins.published.site import HOST_NAME

# Replicas that may end under one request.
ALLOWED_ENDS = 3


class RepeatedRequest(msgspec.Struct, frozen=True):
    """A request that ends each replica that runs it, and is sent again and again.

    Parameters
    ==========
    path, method : str
        Path of its route, and its method.
    name : str
        The rest of its target.
    customer, key : str
    body : bytes
    parts : str
        The parts of its prompt and their tokens; empty for none.
    from_s : float
    """

    path: str
    method: str
    name: str
    customer: str
    key: str
    body: bytes
    parts: str
    from_s: float

    @property
    def target(self):
        """Its path."""
        return f"/{self.path}/{self.name}"

    def fingerprint(self, peer_key):
        """Return the fingerprint by which hosts with a key recognise it."""
        names = [part.partition(":")[0] for part in self.parts.split(",") if part]
        return RequestFingerprints(peer_key).of(
            self.customer, self.method, HOST_NAME + self.target, self.body, names
        )


def find_repeat_violations(requests, replicas, outages):
    """Return the requests under which too many replicas ended.

    Each time in which a host did not run normally while they were sent allows one more:
    what only that host knew is lost with it.

    Parameters
    ==========
    requests : iterable of RepeatedRequest
    replicas : iterable of Replica
        All replicas of the run, also those that ended.
    outages : list of (str, float, float)
        Host, begin and end of each time in which it did not run normally.

    Returns
    =======
    list of str
    """
    violations = []
    for request in requests:
        ends_s = sorted(
            at_s
            for replica in replicas
            for at_s, cause in replica.crashes
            if cause == request.target
        )
        if not ends_s:
            continue
        excused = sum(
            begin_s <= ends_s[-1] and end_s >= request.from_s
            for _, begin_s, end_s in outages
        )
        if len(ends_s) > ALLOWED_ENDS + excused:
            violations.append(
                f"{len(ends_s)} replicas ended under {request.target}, with {excused} "
                "outages beside it"
            )
    return violations


def find_blocked_others(requests, rows, peer_key):
    """Return the requests that the hosts block although no replica ended on them.

    Parameters
    ==========
    requests : iterable of RepeatedRequest
    rows : iterable of list
        The records in the store.
    peer_key : bytes

    Returns
    =======
    list of str
    """
    harmful = {request.fingerprint(peer_key) for request in requests}
    records = [msgspec.convert(row, PartRecord) for row in rows]
    return [
        f"request {record.part:016x} is blocked, on which no replica ended"
        for record in records
        if record.is_request
        and record.state == PartState.BLOCKED
        and record.part not in harmful
    ]
