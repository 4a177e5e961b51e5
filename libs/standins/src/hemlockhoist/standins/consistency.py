"""Checks outcomes recorded by callers against requests run by the upstreams."""

import collections

import msgspec

from hemlockhoist.standins.callers import CallOutcome, RequestKind

_NEVER_ALLOWED = (CallOutcome.WRONG, CallOutcome.CUT, CallOutcome.FAILED)


class Finding(msgspec.Struct, frozen=True):
    """One violation that was found."""

    problem: str
    detail: str

    def __str__(self):
        return f"{self.problem}: {self.detail}"


class RunCounts:
    """Counts the runs at all upstreams by request id or idempotency key.

    Parameters
    ==========
    reports : iterable of dict
        As returned by ``GET /-/runs``.
    """

    __slots__ = ("begun", "finished", "late_ms", "lost")

    def __init__(self, reports):
        self.begun = collections.Counter()
        self.finished = collections.Counter()
        self.late_ms = []
        # Ids of the requests whose answers an engine lost as it crashed.
        self.lost = set()
        for report in reports:
            self.begun.update(report["runs"])
            self.finished.update(report["finished"])
            self.late_ms += report["begun_after_leaving_ms"]
            self.lost.update(report.get("lost", ()))

    def repeated_ids(self):
        """Return the ids of requests that were begun more than once."""
        return sorted(key for key, count in self.begun.items() if count > 1)


def check_consistency(records, counts, max_late_ms, unknown_allowed):
    """Compare records and run counts; return all violations found.

    Parameters
    ==========
    records : sequence of CallRecord
    counts : RunCounts
    max_late_ms : int
        Longest time after an upstream announced that it leaves at which it may still
        receive work.
    unknown_allowed : bool
        Whether bookings may end with an unknown outcome, as when a host is killed.

    Returns
    =======
    list of Finding
    """
    findings = [Finding("run twice", key) for key in counts.repeated_ids()]
    for record in records:
        if not _is_lost_by_engine(record, counts):
            findings += _check_end(record, unknown_allowed)
        findings += _check_refusals(record, counts)
        if record.kind is RequestKind.BOOKING:
            findings += _check_booking(record, counts)
    late = [late_ms for late_ms in counts.late_ms if late_ms > max_late_ms]
    findings += [Finding("work after leaving", f"{late_ms} ms") for late_ms in late]
    return findings


def _is_lost_by_engine(record, counts):
    """Return whether an engine crashed under a chat: no host has the rest of it."""
    if record.kind is not RequestKind.CHAT or record.outcome is CallOutcome.WRONG:
        return False
    ids = (*record.request_ids, *(refusal.request_id for refusal in record.refusals))
    return any(request_id in counts.lost for request_id in ids)


def _check_end(record, unknown_allowed):
    if record.outcome in _NEVER_ALLOWED:
        return [
            Finding(f"{record.kind.value} {record.outcome.value}", _describe(record))
        ]
    if record.outcome is not CallOutcome.UNKNOWN:
        return []
    # A chat can be sent again, so its caller always learns the outcome.
    if record.kind is RequestKind.BOOKING and unknown_allowed:
        return []
    return [Finding(f"{record.kind.value} lost", _describe(record))]


def _check_refusals(record, counts):
    """Return refusals reported as "not run" whose attempt ran."""
    return [
        Finding("refused as not run, and ran", _describe(record))
        for refusal in record.refusals
        if refusal.not_run and counts.begun[refusal.request_id]
    ]


def _check_booking(record, counts):
    """Return bookings whose number of runs contradicts the reported outcome."""
    if not record.key:
        return []
    runs = counts.begun[record.key]
    if record.outcome is CallOutcome.WHOLE and runs != 1:
        return [Finding(f"confirmed, and run {runs} times", _describe(record))]
    if record.outcome is CallOutcome.REFUSED and runs:
        return [Finding("refused as not run, and ran", _describe(record))]
    return []


def _describe(record):
    ids = ", ".join(record.request_ids) or record.key
    refused = ", ".join(refusal.request_id for refusal in record.refusals)
    last = record.refusals[-1] if record.refusals else ""
    who = f"{record.customer} {record.tier} [{ids}] refused [{refused}]"
    when = (
        f"at {record.started_ms} ms, {record.total_ms} ms, {record.attempts} attempts"
    )
    return f"{who} {when} {last}".rstrip()
