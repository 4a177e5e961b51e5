"""Adds samples of answers to the usual pace of their upstreams."""

import math

# Times below the resolution of the measurements.
MIN_SAMPLE_MS = 0.001
US_PER_MS = 1_000


def sample_factor(sample_ms, usual_ms, factors):
    """Return the factor by which a sample of an answer was slower than usual.

    A slowdown may begin and end within an answer, and reports say only how slow the
    upstream was at single moments of it. Of these the one counts that explains the
    sample best.

    Parameters
    ==========
    sample_ms : float
    usual_ms : float
        Expected at the usual speed.
    factors : sequence of float
        The possible factors at moments of the answer; empty without reports.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.pace_samples import sample_factor
    >>> sample_factor(10.2, 4.0, (2.5, 1.0)), sample_factor(4.1, 4.0, (2.5, 1.0))
    (2.5, 1.0)
    """
    if not factors:
        return 1.0
    ratio = max(sample_ms, MIN_SAMPLE_MS) / max(usual_ms, MIN_SAMPLE_MS)
    return min(factors, key=lambda factor: abs(math.log(ratio / factor)))


def add_first_token_sample(tracked, held, first_token_ms, may_jump):
    """Add the time to a first token without queueing.

    Parameters
    ==========
    tracked : DeclaredSlotsUpstream
    held : InFlightGrant
    first_token_ms : int
    may_jump : bool
        As of ``EnginePace.observe_first_token``.
    """
    pace, prompt_tokens = tracked.usual_pace, held.request.prompt_tokens
    usual_ms = pace.prompt_ms(prompt_tokens) + pace.base_ms()
    slowdown = sample_factor(first_token_ms, usual_ms, held.slowdowns)
    pace.observe_first_token(prompt_tokens, first_token_ms / slowdown, may_jump)


def add_answer_sample(tracked, held, outcome):
    """Add a complete answer; return the factor by which it was slower than usual.

    Parameters
    ==========
    tracked : DeclaredSlotsUpstream
    held : InFlightGrant
    outcome : hemlockhoist.decisions.Outcome
    """
    pace, factors = tracked.usual_pace, held.slowdowns
    if not outcome.output_tokens:
        slowdown = sample_factor(outcome.total_ms, pace.token_ms, factors)
        pace.observe_service_call(outcome.total_ms / slowdown)
        return slowdown
    if outcome.token_us <= 0:
        return tracked.slowdown
    token_ms = outcome.token_us / US_PER_MS
    slowdown = sample_factor(token_ms, pace.token_ms, factors)
    pace.observe_token(token_ms / slowdown)
    return slowdown
