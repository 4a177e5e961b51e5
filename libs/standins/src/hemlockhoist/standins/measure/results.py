"""Figures of one benchmark run."""

import bisect
import collections

import msgspec

INVERSION_WINDOW_MS = 1_000


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a policy under one load and seed.

    Parameters
    ==========
    offered_per_s : tuple of float
        Arrived requests by tier.
    goodput_per_s : tuple of float
        Whole answers within deadline and first token target, by tier.
    refused_permille : tuple of int
        Refused requests by tier, in permille of the arrived ones.
    priority_inversions : int
        Refused requests after which one of a lower tier was dispatched within a second.
    wasted_permille : int
        Prompt tokens computed for unused answers, or although a cache held them, in
        permille of all that arrived.
    first_token_p95_ms, top_first_token_p95_ms : int
        Time from arrival to the first token, of all whole answers and of those of the
        highest tier.
    inter_token_p95_ms : float
        95th percentile over answers of their mean inter-token time.
    fairness : float
        Minimum over tiers of Jain's fairness index of the ratio of answers to the
        max-min fair share; 1 is fair.
    """

    offered_per_s: tuple[float, ...]
    goodput_per_s: tuple[float, ...]
    refused_permille: tuple[int, ...]
    priority_inversions: int
    wasted_permille: int
    first_token_p95_ms: int
    top_first_token_p95_ms: int
    inter_token_p95_ms: float
    fairness: float

    @property
    def total_per_s(self):
        """Goodput over all tiers."""
        return sum(self.goodput_per_s)


def summarise(load, records):
    """Return the figures of a run."""
    span_s = load.span_ms / 1_000
    by_tier = collections.defaultdict(list)
    for record in records:
        by_tier[record.request.tier_rank].append(record)
    ranks = range(len(load.tiers))
    whole = [item for item in records if item.is_whole]
    top = [item for item in whole if item.request.tier_rank == 0]
    prompts = sum(item.request.prompt_tokens for item in records)
    wasted = sum(item.wasted_tokens for item in records)
    return RunResult(
        offered_per_s=tuple(len(by_tier[rank]) / span_s for rank in ranks),
        goodput_per_s=tuple(_goodput_count(by_tier[rank]) / span_s for rank in ranks),
        refused_permille=tuple(_refused_permille(by_tier[rank]) for rank in ranks),
        priority_inversions=_priority_inversions(records),
        wasted_permille=1_000 * wasted // max(1, prompts),
        first_token_p95_ms=_p95([_first_token_ms(item) for item in whole]),
        top_first_token_p95_ms=_p95([_first_token_ms(item) for item in top]),
        inter_token_p95_ms=_p95([_inter_token_ms(item) for item in whole]),
        fairness=min(_fairness(by_tier[rank]) for rank in ranks),
    )


def _goodput_count(records):
    return sum(1 for item in records if item.counts_as_goodput)


def _refused_permille(records):
    refused = sum(1 for item in records if item.code is not None)
    return 1_000 * refused // max(1, len(records))


def _priority_inversions(records):
    """Count refused requests that would have got a slot within another second."""
    dispatched = sorted(
        (item.dispatched_ms, item.request.tier_rank)
        for item in records
        if item.dispatched_ms is not None
    )
    times = [at_ms for at_ms, _ in dispatched]
    count = 0
    for record in records:
        if record.code is None:
            continue
        first = bisect.bisect_right(times, record.ended_ms)
        last = bisect.bisect_left(times, record.ended_ms + INVERSION_WINDOW_MS)
        rank = record.request.tier_rank
        count += any(other > rank for _, other in dispatched[first:last])
    return count


def _first_token_ms(record):
    return record.first_token_ms - record.arrival.at_ms


def _inter_token_ms(record):
    tokens = max(1, record.arrival.output_tokens - 1)
    return round((record.ended_ms - record.first_token_ms) / tokens, 1)


def _p95(values):
    if not values:
        return 0
    return sorted(values)[min(len(values) - 1, int(0.95 * len(values)))]


def _fairness(records):
    offered, good = collections.Counter(), collections.Counter()
    for record in records:
        offered[record.request.customer] += 1
        good[record.request.customer] += record.counts_as_goodput
    if not sum(good.values()):
        return 1.0
    shares = max_min_shares(offered, sum(good.values()))
    ratios = [min(1.0, good[name] / share) for name, share in shares.items()]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 1.0


def max_min_shares(offered, total):
    """Return each customer's max-min fair share of ``total`` records.

    Examples
    ========
    >>> from hemlockhoist.standins.measure.results import max_min_shares
    >>> max_min_shares({"a": 100, "b": 10}, 60)
    {'b': 10, 'a': 50.0}
    """
    shares, remaining = {}, total
    for count, name in sorted((count, name) for name, count in offered.items()):
        shares[name] = min(count, remaining / (len(offered) - len(shares)))
        remaining -= shares[name]
    return shares
