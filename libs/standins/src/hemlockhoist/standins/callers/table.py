"""Table of request outcomes by tier."""

from hemlockhoist.standins.callers.records import CallOutcome

_COLUMNS = (
    "tier",
    "requests",
    "whole",
    "in time",
    "refused",
    "unknown",
    "failed",
    "cut",
    "wrong",
    "resumed",
    "moved",
    "resent",
    "first p50 ms",
    "first p95 ms",
    "total p95 ms",
)


def percentile(values, share):
    """Return the quantile of the values at ``share``; -1 without values.

    Parameters
    ==========
    values : iterable of int
    share : float
        0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return -1
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def tier_row(tier, records):
    """Return the cells of a tier's row in the order of the columns."""
    counts = {
        outcome: sum(item.outcome is outcome for item in records)
        for outcome in CallOutcome
    }
    first_output_times = [
        item.first_output_ms for item in records if item.first_output_ms >= 0
    ]
    total_times = [
        item.total_ms for item in records if item.outcome is CallOutcome.WHOLE
    ]
    return (
        tier,
        len(records),
        counts[CallOutcome.WHOLE],
        sum(item.in_time for item in records),
        counts[CallOutcome.REFUSED],
        counts[CallOutcome.UNKNOWN],
        counts[CallOutcome.FAILED],
        counts[CallOutcome.CUT],
        counts[CallOutcome.WRONG],
        sum(item.resumes > 0 for item in records),
        sum(item.moves > 0 for item in records),
        sum(item.resends > 0 for item in records),
        percentile(first_output_times, 0.5),
        percentile(first_output_times, 0.95),
        percentile(total_times, 0.95),
    )


def tier_table(records):
    """Return the table as text, with one line for each tier.

    Parameters
    ==========
    records : sequence of CallRecord
    """
    tiers = sorted({item.tier for item in records})
    rows = [_COLUMNS]
    for tier in tiers:
        rows.append(tier_row(tier, [item for item in records if item.tier == tier]))
    texts = [[str(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in texts) for i in range(len(_COLUMNS))]
    lines = [
        "  ".join(
            value.rjust(width) for value, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
    return "\n".join(lines)
