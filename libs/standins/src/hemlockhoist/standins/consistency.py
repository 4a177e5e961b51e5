"""Compares what callers saw with what the upstreams ran."""

import collections

import msgspec

from hemlockhoist.standins.callers import Kind, Seen

_NEVER = (Seen.WRONG, Seen.CUT, Seen.FAILED)


class Finding(msgspec.Struct, frozen=True):
    """One thing that must not have happened."""

    problem: str
    detail: str

    def __str__(self):
        return f"{self.problem}: {self.detail}"


class RunCounts:
    """The runs of all upstreams, by request id or idempotency key.

    Parameters
    ==========
    reports : iterable of dict
        As ``GET /-/runs`` gives them.
    """

    __slots__ = ("begun", "finished", "late_ms")

    def __init__(self, reports):
        self.begun = collections.Counter()
        self.finished = collections.Counter()
        self.late_ms = []
        for report in reports:
            self.begun.update(report["runs"])
            self.finished.update(report["finished"])
            self.late_ms += report["begun_after_leaving_ms"]

    def repeated_ids(self):
        """Return the ids that were begun more than once."""
        return sorted(key for key, count in self.begun.items() if count > 1)


def check_consistency(records, counts, max_late_ms, unknown_allowed):
    """Return all findings.

    Parameters
    ==========
    records : sequence of CallRecord
    counts : RunCounts
    max_late_ms : int
        How long after an upstream said that it leaves it may still get work.
    unknown_allowed : bool
        Whether bookings may end with an unknown outcome: a host was killed.

    Returns
    =======
    list of Finding
    """
    findings = [Finding("run twice", key) for key in counts.repeated_ids()]
    for record in records:
        findings += _judge_end(record, unknown_allowed)
        findings += _judge_refusals(record, counts)
        if record.kind is Kind.BOOKING:
            findings += _judge_booking(record, counts)
    late = [late_ms for late_ms in counts.late_ms if late_ms > max_late_ms]
    findings += [Finding("work after leaving", f"{late_ms} ms") for late_ms in late]
    return findings


def _judge_end(record, unknown_allowed):
    if record.seen in _NEVER:
        return [Finding(f"{record.kind.value} {record.seen.value}", _describe(record))]
    if record.seen is not Seen.UNKNOWN:
        return []
    # A chat can be sent anew, so that its caller always learns how it ends.
    if record.kind is Kind.BOOKING and unknown_allowed:
        return []
    return [Finding(f"{record.kind.value} lost", _describe(record))]


def _judge_refusals(record, counts):
    """Find refusals that said "not run" of an attempt that ran."""
    return [
        Finding("refused as not run, and ran", _describe(record))
        for refusal in record.refusals
        if refusal.not_run and counts.begun[refusal.request_id]
    ]


def _judge_booking(record, counts):
    """Find bookings whose runs are not what their caller was told."""
    if not record.key:
        return []
    runs = counts.begun[record.key]
    if record.seen is Seen.WHOLE and runs != 1:
        return [Finding(f"confirmed, and run {runs} times", _describe(record))]
    if record.seen is Seen.REFUSED and runs:
        return [Finding("refused as not run, and ran", _describe(record))]
    return []


def _describe(record):
    ids = ", ".join(record.request_ids) or record.key
    last = record.refusals[-1] if record.refusals else ""
    who = f"{record.customer} {record.tier} [{ids}]"
    when = (
        f"at {record.started_ms} ms, {record.total_ms} ms, {record.attempts} attempts"
    )
    return f"{who} {when} {last}".rstrip()
