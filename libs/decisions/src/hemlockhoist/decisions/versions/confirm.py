"""Confirm or clear a suspicion with both versions' answers of the same time.

A failing dependency strikes both versions at once, and the new one's answers may
tell of it first; a rate that is worked out from the old version's past then accuses
a good version. So a suspicion opens a fresh comparison: only answers that come from
now on count, of both versions, and the question is how much likelier the new ones
are under a rate of their own than under the old version's. What is not known of the
old version's rate is part of the answer, as a distribution instead of a number.
"""

import math

# The old version's past counts like this many answers.
_PRIOR_ANSWERS = 10
# How likely it is, before any answer, that a trouble common to both has just begun.
_COMMON_FAULT_PRIOR = 0.2
# Half of the alternative is the effect that raised the suspicion, half any rate.
_COMPONENT_WEIGHT = 0.5
_GRID_SIZE = 8
_MAX_RATE = 0.98


def log_bayes_factor(new, old, reference, effect, least_effect):
    """Return the logarithm of how much likelier the answers are for a bad version.

    Parameters
    ==========
    new, old : tuple of int
        Answers and bad answers of either version since the suspicion.
    reference : float
        Rate of the old version before it.
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
    # Worse means above the old version's rate by the least effect that matters: a
    # version that is better than the old one in its trouble is as unlike it.
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
    """Return the log weight and the beta distribution of each reading of the past.

    Either the old version goes on as before, or a trouble common to both has just
    begun; the weight of each is how well it foretold the old version's answers.
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
    """Return excesses from least to most, evenly spaced by ratio."""
    ratio = max(1.0, most / least) ** (1 / (_GRID_SIZE - 1))
    return [least * ratio**i for i in range(_GRID_SIZE)]


def _log_likelihood(bad, good, rate):
    rate = min(_MAX_RATE, rate)
    return bad * math.log(rate) + good * math.log(1 - rate)


def _log_marginal(beta, bad, good):
    """Return the log probability of answers under a beta-distributed rate."""
    a, b = beta
    return _log_beta(a + bad, b + good) - _log_beta(a, b)


def _log_beta(a, b):
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)


def _log_sum(items):
    high = max(items)
    return high + math.log(sum(math.exp(item - high) for item in items))
