"""Attribution of a fault to a single upstream or to the version."""

import math

# A fault can be attributed to one upstream only if another one has answered as well.
MIN_UPSTREAMS = 2
# The other upstreams are cleared if none of their answers is bad, or if their answers
# are likelier by 9 to 1 under the old version's rate than under the bad upstream's
# rate. A wrong attribution costs only a few more bad answers, as the test continues
# with the other upstreams.
_CLEAR_LIMIT = math.log(9)
_MAX_RATE = 0.98


def single_bad_upstream(recent, measure, base_rate):
    """Return the one upstream that accounts for the bad answers, or None.

    Parameters
    ==========
    recent : iterable of tuple
        Latest answers of the new version: upstream id, measure, whether bad.
    measure : Measure
    base_rate : float
        Rate of bad answers of the old version.

    Returns
    =======
    str or None
        None if the answers of the other upstreams do not clear the version.
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
    return worst if ratio <= -_CLEAR_LIMIT else None


def _tally(recent, measure):
    tallies = {}
    for upstream_id, seen, is_bad in recent:
        if seen is measure:
            tally = tallies.setdefault(upstream_id, [0, 0])
            tally[0] += 1
            tally[1] += is_bad
    return tallies
