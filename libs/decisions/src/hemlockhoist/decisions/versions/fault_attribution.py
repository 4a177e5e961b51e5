"""Tell one bad upstream from a bad version."""

import math

# An upstream can be told apart only where another one has answered beside it.
MIN_UPSTREAMS = 2
# The others are cleared while none of their answers is bad, and else when their answers are this much likelier under the old
# version's rate than under the bad upstream's rate: 9 to 1. A wrong reading costs a
# handful of bad answers more, as the test goes on with the other upstreams.
_CLEARED = math.log(9)
_MAX_RATE = 0.98


def single_bad_upstream(recent, measure, base_rate):
    """Return the one upstream that accounts for the bad answers, or None.

    Parameters
    ==========
    recent : iterable of tuple
        Latest answers of the new version: upstream id, measure, whether bad.
    measure : Measure
    base_rate : float
        The old version's rate.

    Returns
    =======
    str or None
        None where the answers of the other upstreams do not clear the version.
    """
    tallies = _tally(recent, measure)
    if len(tallies) < MIN_UPSTREAMS:
        return None
    worst = max(tallies, key=lambda upstream_id: tallies[upstream_id][1])
    worst_count, worst_bad = tallies.pop(worst)
    rate = min(_MAX_RATE, (worst_bad + 1) / (worst_count + 2))
    base = min(max(base_rate, 0.001), _MAX_RATE)
    if rate <= base:
        return None
    count = sum(tally[0] for tally in tallies.values())
    bad = sum(tally[1] for tally in tallies.values())
    if not bad:
        return worst
    ratio = bad * math.log(rate / base)
    ratio += (count - bad) * math.log((1 - rate) / (1 - base))
    return worst if ratio <= -_CLEARED else None


def _tally(recent, measure):
    tallies = {}
    for upstream_id, seen, is_bad in recent:
        if seen is measure:
            tally = tallies.setdefault(upstream_id, [0, 0])
            tally[0] += 1
            tally[1] += is_bad
    return tallies
