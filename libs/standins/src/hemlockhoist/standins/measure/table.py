"""Table of the figures of each load and policy, with the spread over seeds."""

import statistics

from hemlockhoist.standins.measure.runs import PRODUCT_POLICY

_HEADER = (
    "load",
    "policy",
    "top tier /s",
    "total /s",
    "by tier /s",
    "first token p95 ms (top, all)",
    "between tokens p95 ms",
    "wasted prefill ‰",
    "fairness",
    "refused ‰ by tier",
    "out of tier order",
    "against baselines",
)
# Goodput differences, in answers a second, that count as level: less than one answer
# in the shortest load.
_LEVEL_MARGIN_PER_S = 0.015


def render(groups):
    """Return the lines of the Markdown table.

    Parameters
    ==========
    groups : dict of (str, str) to dict of str to list of RunResult
        Results by load and deployment, then by policy, with one result for each seed.
    """
    lines = [_row(_HEADER), _row("---" for _ in _HEADER)]
    for (load, deployment), by_policy in groups.items():
        for policy, results in by_policy.items():
            verdict = _verdict(by_policy) if policy == PRODUCT_POLICY else ""
            name = f"{load}, {deployment}"
            lines.append(_row((name, policy, *_cells(results), verdict)))
    return lines


def shortfalls(groups):
    """Return one line for each load in which the scheduler is behind a baseline."""
    lines = []
    for (load, deployment), by_policy in groups.items():
        verdict = _verdict(by_policy)
        if "behind" in verdict:
            lines.append(f"{load}, {deployment}: {verdict}")
    return lines


def _row(cells):
    return "| " + " | ".join(cells) + " |"


def _cells(results):
    goodput = zip(*(item.goodput_per_s for item in results), strict=True)
    refused = zip(*(item.refused_permille for item in results), strict=True)
    top_ms = statistics.mean(item.top_first_token_p95_ms for item in results)
    all_ms = statistics.mean(item.first_token_p95_ms for item in results)
    inter_token_ms = statistics.mean(item.inter_token_p95_ms for item in results)
    wasted = statistics.mean(item.wasted_permille for item in results)
    fairness = statistics.mean(item.fairness for item in results)
    return (
        _spread([item.goodput_per_s[0] for item in results]),
        _spread([item.total_per_s for item in results]),
        " ".join(f"{statistics.mean(values):.1f}" for values in goodput),
        f"{top_ms:.0f}, {all_ms:.0f}",
        f"{inter_token_ms:.0f}",
        f"{wasted:.0f}",
        f"{fairness:.2f}",
        " ".join(f"{statistics.mean(values):.0f}" for values in refused),
        f"{statistics.mean(item.priority_inversions for item in results):.0f}",
    )


def _spread(values):
    """Return the mean and half the range of the values as text."""
    half = (max(values) - min(values)) / 2
    return f"{statistics.mean(values):.2f} ± {half:.2f}"


def _verdict(by_policy):
    """Compare the scheduler with the baselines seed by seed, on the same arrivals."""
    own = by_policy[PRODUCT_POLICY]
    top, total = [], []
    for policy, results in by_policy.items():
        if policy.startswith(PRODUCT_POLICY):
            continue
        pairs = list(zip(own, results, strict=True))
        top.append([a.goodput_per_s[0] - b.goodput_per_s[0] for a, b in pairs])
        total.append([a.total_per_s - b.total_per_s for a, b in pairs])
    offered = statistics.mean(item.offered_per_s[0] for item in own)
    reached = statistics.mean(item.goodput_per_s[0] for item in own)
    percent_of_offered = 100 * reached / offered
    worst_top = min(statistics.mean(values) for values in top)
    worst_total = min(total, key=statistics.mean)
    clauses = [f"top {_comparison(worst_top)} ({percent_of_offered:.1f} % of offered)"]
    half = (max(worst_total) - min(worst_total)) / 2
    margin = statistics.mean(worst_total)
    comparison = (
        "within spread"
        if -half <= margin < -_LEVEL_MARGIN_PER_S
        else _comparison(margin)
    )
    clauses.append(f"total {comparison} ({margin:+.2f} ± {half:.2f})")
    return "; ".join(clauses)


def _comparison(difference):
    if difference > _LEVEL_MARGIN_PER_S:
        return "ahead"
    if difference < -_LEVEL_MARGIN_PER_S:
        return "behind"
    return "level"
