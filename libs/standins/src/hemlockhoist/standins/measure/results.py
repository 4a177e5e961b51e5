"""The measures of one run."""

import bisect
import collections

import msgspec

INVERSION_WINDOW_MS = 1_000


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one policy under one load and one seed.

    Parameters
    ==========
    offered_per_s : tuple of float
        By tier: requests that arrived.
    goodput_per_s : tuple of float
        By tier: whole answers within deadline and first token target.
    refused_permille : tuple of int
        By tier, of the requests that arrived.
    priority_inversions : int
        Refusals after which a lower tier was dispatched within a second.
    wasted_permille : int
        Prompt tokens computed for nobody or again, of all that arrived.
    first_token_p95_ms, top_first_token_p95_ms : int
        From arrival, of all whole answers and of the highest tier's.
    inter_token_p95_ms : float
        Mean time between tokens of an answer, 95th percentile over answers.
    fairness : float
        Least over tiers of the index of Jain on answers received over the max-min
        fair share; 1 is fair.
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
        """Goodput of all tiers."""
        return sum(self.goodput_per_s)


def summarise(load, answers):
    """Return the measures of a run's answers."""
    span_s = load.span_ms / 1_000
    by_tier = collections.defaultdict(list)
    for answer in answers:
        by_tier[answer.request.tier_rank].append(answer)
    ranks = range(len(load.tiers))
    whole = [item for item in answers if item.is_whole]
    top = [item for item in whole if item.request.tier_rank == 0]
    prompts = sum(item.request.prompt_tokens for item in answers)
    wasted = sum(item.wasted_tokens for item in answers)
    return RunResult(
        offered_per_s=tuple(len(by_tier[rank]) / span_s for rank in ranks),
        goodput_per_s=tuple(_good(by_tier[rank]) / span_s for rank in ranks),
        refused_permille=tuple(_refused_permille(by_tier[rank]) for rank in ranks),
        priority_inversions=_out_of_order(answers),
        wasted_permille=1_000 * wasted // max(1, prompts),
        first_token_p95_ms=_p95([_first_token_ms(item) for item in whole]),
        top_first_token_p95_ms=_p95([_first_token_ms(item) for item in top]),
        inter_token_p95_ms=_p95([_between_ms(item) for item in whole]),
        fairness=min(_fairness(by_tier[rank]) for rank in ranks),
    )


def _good(answers):
    return sum(1 for item in answers if item.counts_as_goodput)


def _refused_permille(answers):
    refused = sum(1 for item in answers if item.code is not None)
    return 1_000 * refused // max(1, len(answers))


def _out_of_order(answers):
    """Count refusals that another second of waiting would have turned into a place."""
    dispatched = sorted(
        (item.dispatched_ms, item.request.tier_rank)
        for item in answers
        if item.dispatched_ms is not None
    )
    times = [at_ms for at_ms, _ in dispatched]
    count = 0
    for answer in answers:
        if answer.code is None:
            continue
        first = bisect.bisect_right(times, answer.ended_ms)
        last = bisect.bisect_left(times, answer.ended_ms + INVERSION_WINDOW_MS)
        rank = answer.request.tier_rank
        count += any(other > rank for _, other in dispatched[first:last])
    return count


def _first_token_ms(answer):
    return answer.first_token_ms - answer.arrival.at_ms


def _between_ms(answer):
    tokens = max(1, answer.arrival.output_tokens - 1)
    return round((answer.ended_ms - answer.first_token_ms) / tokens, 1)


def _p95(values):
    if not values:
        return 0
    return sorted(values)[min(len(values) - 1, int(0.95 * len(values)))]


def _fairness(answers):
    offered, good = collections.Counter(), collections.Counter()
    for answer in answers:
        offered[answer.request.customer] += 1
        good[answer.request.customer] += answer.counts_as_goodput
    if not sum(good.values()):
        return 1.0
    shares = max_min_shares(offered, sum(good.values()))
    parts = [min(1.0, good[name] / share) for name, share in shares.items()]
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 1.0


def max_min_shares(offered, total):
    """Return each customer's max-min fair share of ``total`` answers.

    Examples
    ========
    >>> from hemlockhoist.standins.measure.results import max_min_shares
    >>> max_min_shares({"a": 100, "b": 10}, 60)
    {'b': 10, 'a': 50.0}
    """
    shares, left = {}, total
    for count, name in sorted((count, name) for name, count in offered.items()):
        shares[name] = min(count, left / (len(offered) - len(shares)))
        left -= shares[name]
    return shares
