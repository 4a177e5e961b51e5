"""Check that prompts which crash replicas reach few of them, and that no other does."""

import msgspec

from hemlockhoist.decisions.quarantine import part_hashes
from hemlockhoist.messages import PartRecord, PartState
from hemlockhoist.standins.published.soak.limit_checks import is_excused, sender_of

# Crashes after which the part is known to all hosts, after a time.
KNOWN_AFTER_CRASHES = 5
BINDING_AFTER_S = 3.0
ALLOWED_LATER = 3


class CrashSpan(msgspec.Struct, frozen=True):
    """A time in which replicas crashed on a part of prompts.

    Parameters
    ==========
    part : str
    from_s, until_s : float
    """

    part: str
    from_s: float
    until_s: float


def shared_parts(received):
    """Return the names of the parts of a received prompt, without the last one."""
    *shared, _ = received.headers.get("prefix-hash", "").split(",")
    return [part.partition(":")[0] for part in shared]


def find_crash_violations(spans, replicas, host_of, outages):
    """Return the spans in which too many prompts with the part reached replicas.

    Parameters
    ==========
    spans : iterable of CrashSpan
    replicas : iterable of Replica
        All replicas of the run, also those that ended.
    host_of : dict of str to str
        The host that got each attempt from its caller.
    outages : list of (str, float, float)
        Host, begin and end of each time in which it did not run normally.

    Returns
    =======
    (list of str, int)
        The violations, and the number of spans that were checked.
    """
    violations, checked = [], 0
    for span in spans:
        crashes_s = sorted(
            at_s
            for replica in replicas
            for at_s, part in replica.crashes
            if part == span.part
        )
        if len(crashes_s) < KNOWN_AFTER_CRASHES:
            continue
        checked += 1
        binding_s = crashes_s[KNOWN_AFTER_CRASHES - 1] + BINDING_AFTER_S
        late = [
            received
            for replica in replicas
            for received in (*replica.ran, *replica.rejected)
            if received.started_s >= binding_s and span.part in shared_parts(received)
        ]
        count = sum(
            not is_excused(sender_of(item, host_of), item.started_s, outages)
            for item in late
        )
        if count > ALLOWED_LATER:
            violations.append(
                f"{count} prompts with {span.part}, on which {len(crashes_s)} replicas "
                f"crashed, reached replicas after {binding_s:.3f} s"
            )
    return violations, checked


def find_blocked_innocents(spans, rows):
    """Return the parts that the hosts block although no replica crashed on them.

    Parameters
    ==========
    spans : iterable of CrashSpan
    rows : iterable of list
        The records of parts in the store.

    Returns
    =======
    list of str
    """
    guilty = set(part_hashes([span.part for span in spans]))
    records = [msgspec.convert(row, PartRecord) for row in rows]
    return [
        f"part {record.part:016x} is blocked, on which no replica crashed"
        for record in records
        if record.state == PartState.BLOCKED
        and not record.is_request
        and record.part not in guilty
    ]
