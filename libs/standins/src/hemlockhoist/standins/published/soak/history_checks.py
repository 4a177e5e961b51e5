"""Check that lost history is read again by few hosts."""

import msgspec

# A reading that began late in the span is counted for so long after it.
SETTLE_S = 1.0


class HistorySpan(msgspec.Struct, frozen=True):
    """A time in which a slow store had dropped its history.

    Parameters
    ==========
    begin_s, end_s : float
    """

    begin_s: float
    end_s: float


def find_history_violations(spans, whole_reads, disturbances, reader_count):
    """Return violations, and the number of whole readings in the spans.

    Each reader may read a table whole once, and once more for each other disturbance
    of hosts or of the store, by which a reading may be lost or another host take over.

    Parameters
    ==========
    spans : list of HistorySpan
    whole_reads : list of (float, str, str or None)
        As of ``StoreStandin``.
    disturbances : list of (float, float)
        Begin and end of the other disturbances.
    reader_count : int
        Number of hosts that read the store.

    Returns
    =======
    (list of str, int)
    """
    found, count = [], 0
    for span in spans:
        end_s = span.end_s + SETTLE_S
        others = sum(a < end_s and span.begin_s < b for a, b in disturbances)
        allowed = reader_count * (1 + others)
        for table in ("op", "servers"):
            reads = [
                sender
                for at_s, name, sender in whole_reads
                if name == table and span.begin_s <= at_s < end_s
            ]
            count += len(reads)
            if len(reads) > allowed:
                found.append(
                    f"{len(reads)} whole readings of {table} after its history was "
                    f"dropped at {span.begin_s:.3f} s, {allowed} allowed"
                )
    return found, count
