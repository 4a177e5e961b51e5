"""What a request costs at each upstream that could take it, and which one it takes."""

import math

# One way to another failure domain takes about 1.5 ms more, and a request makes a few
# of them.
CROSS_DOMAIN_COST_MS = 6.0
# An answer that fails costs its caller about this much: the time until it is tried
# elsewhere. Counted by how much more often than others an upstream fails.
FAILED_ANSWER_COST_MS = 1_500.0
STALL_COST_MS = 1_000.0
# The part of an answer's decoding that counts when upstreams are compared. Decoding
# does not delay the first token; it holds a place that others will want.
DECODE_FRACTION = 0.25
# Prompts are computed between the tokens of the answers under way. Where a prompt
# would make their pauses longer than declared, it counts as much for each of them.
LONG_GAP_COST_MS = 400.0
# What an engine need not compute of a prompt delays none of the answers under way
# there: besides its own first token, it counts so much more.
CACHE_SAVING_FACTOR = 2.0
# For each answer that it gave lately: of upstreams that are alike the one that was used
# less is taken, so that what is known of each is fresh.
RECENT_ANSWER_COST_MS = 0.1
# Of the time that is left to its target, what a request gives up to stay in its own
# failure domain: bytes between domains are paid for, and the target is what counts.
LOCALITY_FRACTION = 0.1
# A request leaves its domain for one where less is expected to go wrong by this much.
LOCALITY_RISK_MS = 60.0


class PlacementCandidate:
    """What a request may expect at one upstream.

    Parameters
    ==========
    upstream : hemlockhoist.decisions.Upstream
    first_ms : float
        Until its first token.
    cost_ms : float
        All that counts when upstreams are compared, in its caller's time.
    risk_ms : float
        Of that, what may go wrong there.
    is_local : bool
        Whether it is in the failure domain of the request's entry host.
    """

    __slots__ = ("cost_ms", "first_ms", "is_local", "risk_ms", "upstream")

    def __init__(self, upstream, first_ms, cost_ms, risk_ms, is_local):
        self.upstream = upstream
        self.first_ms = first_ms
        self.cost_ms = cost_ms
        self.risk_ms = risk_ms
        self.is_local = is_local


class CandidateSelector:
    """Keeps the best offer of all upstreams, and the best of the own failure domain.

    Load: hundreds of long prompts a second over four failure domains, at engines that
    are mostly free. Taken wherever it is a few milliseconds faster, three of four bodies
    cross to another domain, and each byte is paid for.
    """

    __slots__ = ("_best", "_near")

    def __init__(self):
        self._best = None
        self._near = None

    def is_dominated(self, least_ms, is_local):
        """Return whether an offer that costs at least so much would not be taken."""
        kept = self._near if is_local else self._best
        return kept is not None and least_ms >= kept.cost_ms

    def add(self, offer):
        """Compare an offer with those before."""
        if self._best is None or offer.cost_ms < self._best.cost_ms:
            self._best = offer
        if not offer.is_local:
            return
        if self._near is None or offer.cost_ms < self._near.cost_ms:
            self._near = offer

    def select(self, left_ms):
        """Return the upstream that the request takes, or None where there is none.

        Parameters
        ==========
        left_ms : float
            To the target of its first token.
        """
        best, near = self._best, self._near
        if best is None:
            return None
        if near is not None and _stays(near, best, left_ms):
            return near.upstream
        return best.upstream


def _stays(near, best, left_ms):
    """Return whether a request stays in its domain though another's is better."""
    if near is best:
        return True
    if near.risk_ms - best.risk_ms > LOCALITY_RISK_MS or near.first_ms > left_ms:
        return False
    return near.first_ms - best.first_ms <= LOCALITY_FRACTION * max(0.0, left_ms)


def cost_ms(work, tracked, first_ms, held, now_ms):
    """Return what a request costs at an upstream, in its caller's time.

    Made for engines that differ several times in speed: a slow one is as good as any
    for a short prompt, and no good for a long one.
    """
    token_ms = tracked.pace.token_ms
    beside = held * work.base_cost / max(1, tracked.limit.slots)
    total_ms = first_ms + token_ms * (DECODE_FRACTION * work.output_tokens + beside)
    if not tracked.meets_deadline(work, first_ms, now_ms):
        total_ms += FAILED_ANSWER_COST_MS
    if work.failure_domain != tracked.failure_domain:
        total_ms += CROSS_DOMAIN_COST_MS
    return total_ms + RECENT_ANSWER_COST_MS * tracked.failures.counts(now_ms)[1]


def risk_ms(work, tracked, held, counts, most_ms, now_ms):
    """Return what an upstream's failures, stalls and pauses may cost, in time.

    Parameters
    ==========
    work : Work
    tracked : DeclaredSlotsUpstream
    held : int
        Requests that the upstream has.
    counts : tuple of float
        The failures and the answers of all upstreams, lately.
    most_ms : float
        For how long prompts may take an upstream before its answers pause.
    now_ms : int
    """
    total_ms = STALL_COST_MS * tracked.stalled
    total_ms += FAILED_ANSWER_COST_MS * tracked.failures.excess(counts, now_ms)
    if tracked.prompts_ms(work) > most_ms:
        total_ms += LONG_GAP_COST_MS * max(1, held)
    return total_ms


def cache_saving_ms(tracked, kept):
    """Return what the kept part of a prompt spares the answers at an upstream."""
    return CACHE_SAVING_FACTOR * tracked.pace.prompt_ms(kept) if kept else 0.0


NO_GAP_BOUND_MS = math.inf
