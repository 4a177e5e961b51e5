"""Bayes factor that confirms or clears a suspicion against a new version.

A failing dependency affects both versions at once, but may show first in the answers of
the new one; compared with the old version's past rate, a good version then looks bad.
So a suspicion is decided by the answers of both versions since it was raised. The
factor states how much likelier the new version's answers are under a rate of its own
than under the old version's rate. The uncertainty of that rate is included: it enters
as a distribution, not as a point estimate.
"""

import math

# Weight of the old version's past rate, in answers.
_PRIOR_ANSWERS = 10
# Prior probability that a fault common to both versions has just begun.
_COMMON_FAULT_PRIOR = 0.2
# Weight of each half of the alternative hypothesis: the effect size that raised the
# suspicion, and a grid of any effect sizes.
_COMPONENT_WEIGHT = 0.5
_GRID_SIZE = 8
_MAX_RATE = 0.98


def log_bayes_factor(new, old, reference, effect, least_effect):
    """Return the log Bayes factor of a bad version against a good one.

    Parameters
    ==========
    new, old : tuple of int
        Numbers of answers and of bad answers of each version since the suspicion.
    reference : float
        Rate of the old version before the suspicion.
    effect : float
        Excess of the new version's rate that raised the suspicion.
    least_effect : float
        Smallest excess that makes a version bad.

    Examples
    ========
    >>> round(log_bayes_factor((4, 4), (100, 0), 0.01, 0.3, 0.04)) > 4
    True
    >>> log_bayes_factor((4, 4), (6, 5), 0.01, 0.3, 0.04) < 2
    True
    """
    count, bad = new
    good = count - bad
    old_count, old_bad = old
    hypotheses = _hypotheses(old_bad, old_count - old_bad, reference)
    same = _log_sum(
        [weight + _log_marginal(beta, bad, good) for weight, beta in hypotheses]
    )
    # The alternative only includes rates above the old version's by at least the least
    # effect. A version that is better than the old one during a fault differs from it
    # as well, but is not bad.
    rate = sum(math.exp(weight) * beta[0] / sum(beta) for weight, beta in hypotheses)
    grid_weight = math.log(_COMPONENT_WEIGHT / _GRID_SIZE)
    worse = [
        grid_weight + _log_likelihood(bad, good, rate + excess)
        for excess in _excesses(least_effect, 1 - rate)
    ]
    worse.append(
        math.log(_COMPONENT_WEIGHT) + _log_likelihood(bad, good, rate + effect)
    )
    return _log_sum(worse) - same


def _hypotheses(bad, good, reference):
    """Return the log weight and beta distribution of each hypothesis on the old rate.

    Either the old version's rate is unchanged, or a fault common to both versions has
    just begun. Each is weighted by its marginal likelihood of the old version's
    answers.
    """
    past = (_PRIOR_ANSWERS * reference, _PRIOR_ANSWERS * (1 - reference))
    usual = math.log(1 - _COMMON_FAULT_PRIOR) + _log_marginal(past, bad, good)
    common_fault = math.log(_COMMON_FAULT_PRIOR) + _log_marginal((1, 1), bad, good)
    total = _log_sum([usual, common_fault])
    return (
        (usual - total, (past[0] + bad, past[1] + good)),
        (common_fault - total, (1 + bad, 1 + good)),
    )


def _excesses(least, most):
    """Return geometrically spaced excesses from ``least`` to ``most``."""
    ratio = max(1.0, most / least) ** (1 / (_GRID_SIZE - 1))
    return [least * ratio**i for i in range(_GRID_SIZE)]


def _log_likelihood(bad, good, rate):
    rate = min(_MAX_RATE, rate)
    return bad * math.log(rate) + good * math.log(1 - rate)


def _log_marginal(beta, bad, good):
    """Return the log marginal likelihood of answers under a beta-distributed rate."""
    a, b = beta
    return _log_beta(a + bad, b + good) - _log_beta(a, b)


def _log_beta(a, b):
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)


def _log_sum(items):
    high = max(items)
    return high + math.log(sum(math.exp(item - high) for item in items))
