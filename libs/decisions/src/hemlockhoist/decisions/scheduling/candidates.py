"""Cost of a request at each candidate upstream, and selection of the cheapest one."""

import math

# One way to another failure domain takes about 1.5 ms longer, and a request makes a few
# such trips.
CROSS_DOMAIN_COST_MS = 6.0
# A failed answer costs its caller about this much: the time until the request is tried
# elsewhere. Weighted with the upstream's failure rate in excess of the others'.
FAILED_ANSWER_COST_MS = 1_500.0
STALL_COST_MS = 1_000.0
# Fraction of an answer's decoding time that counts when upstreams are compared.
# Decoding does not delay the first token, but occupies a slot that others will need.
DECODE_FRACTION = 0.25
# Prompts are computed between the tokens of the answers in progress. A prompt that
# would make an inter-token gap longer than declared costs this much for each of them.
LONG_GAP_COST_MS = 400.0
# Prompt tokens that an engine has cached delay none of the answers in progress there:
# besides the shorter time to first token, their computing time counts this many times.
CACHE_SAVING_FACTOR = 2.0
# Cost of each recent answer: of similar upstreams the less used one is selected, so
# that the measurements of each stay recent.
RECENT_ANSWER_COST_MS = 0.1
# An upstream to which the entry host keeps a connection costs this much less: choices that
# differ by less are nearly equal. Below the cost of a way to another failure domain, as
# the host's own goes first.
KEPT_CONNECTION_SAVING_MS = 5.0
# Fraction of the time left to its target that a request may lose to stay in its own
# failure domain: traffic between domains is charged, and only the target matters.
LOCALITY_FRACTION = 0.1
# A request leaves its domain for one with an expected failure cost lower by this much.
LOCALITY_RISK_MS = 60.0
# A request also leaves its domain if the upstream there reports that it is this many
# times slower than the best one: the time to the first event covers only a part of what
# a slow upstream costs.
LOCALITY_SLOWDOWN = 1.2


class PlacementCandidate:
    """The expected cost of a request at one upstream.

    Parameters
    ==========
    upstream : hemlockhoist.decisions.Upstream
    first_ms : float
        Time to first token.
    cost_ms : float
        Total cost by which upstreams are compared, as time of the caller.
    risk_ms : float
        The part of it that covers failures, stalls and long gaps.
    is_local : bool
        Whether the upstream is in the failure domain of the request's entry host.
    slowdown : float, optional
        Its reported processing time as a multiple of the usual one.
    connection_ms : float, optional
        What a kept connection saves, which the cost takes into account and the time to
        first token does not.
    """

    __slots__ = (
        "connection_ms",
        "cost_ms",
        "first_ms",
        "is_local",
        "risk_ms",
        "slowdown",
        "upstream",
    )

    def __init__(
        self,
        upstream,
        first_ms,
        cost_ms,
        risk_ms,
        is_local,
        slowdown=1.0,
        connection_ms=0.0,
    ):
        self.upstream = upstream
        self.first_ms = first_ms
        self.cost_ms = cost_ms
        self.risk_ms = risk_ms
        self.is_local = is_local
        self.slowdown = slowdown
        self.connection_ms = connection_ms

    @property
    def unconnected_cost_ms(self):
        """The cost without a kept connection."""
        return self.cost_ms + self.connection_ms


class CandidateSelector:
    """Keeps the best candidate overall and the best in the request's failure domain.

    Of the latter also the best without regard to kept connections: a connection must
    not make a request leave its domain, as the connected candidate is a little slower
    than one that would keep it there.

    Under hundreds of long prompts a second over four failure domains, with mostly idle
    engines, always selecting an upstream that is a few milliseconds faster sends three
    of four request bodies to another domain, and that traffic is charged by the byte.
    """

    __slots__ = ("_best", "_local", "_unconnected_local")

    def __init__(self):
        self._best = None
        self._local = None
        self._unconnected_local = None

    def is_dominated(self, lower_bound_ms, is_local, connection_ms=0.0):
        """Return whether a candidate of at least this cost cannot be selected.

        Parameters
        ==========
        lower_bound_ms : float
        is_local : bool
        connection_ms : float, optional
            What a kept connection saves, which the bound takes into account.
        """
        if not is_local:
            return self._best is not None and lower_bound_ms >= self._best.cost_ms
        if self._local is None or lower_bound_ms < self._local.cost_ms:
            return False
        unconnected_ms = lower_bound_ms + connection_ms
        return unconnected_ms >= self._unconnected_local.unconnected_cost_ms

    def add(self, candidate):
        """Add a candidate."""
        if self._best is None or candidate.cost_ms < self._best.cost_ms:
            self._best = candidate
        if not candidate.is_local:
            return
        if self._local is None or candidate.cost_ms < self._local.cost_ms:
            self._local = candidate
        current, cost_ms = self._unconnected_local, candidate.unconnected_cost_ms
        if current is None or cost_ms < current.unconnected_cost_ms:
            self._unconnected_local = candidate

    def select(self, left_ms):
        """Return the upstream of the selected candidate, or None without candidates.

        Parameters
        ==========
        left_ms : float
            Time left to the first token target.
        """
        best = self._best
        if best is None:
            return None
        for local in (self._local, self._unconnected_local):
            if local is not None and _prefers_local(local, best, left_ms):
                return local.upstream
        return best.upstream


class CandidateCollector:
    """Keeps all candidates, to show what a choice compares.

    Attributes
    ==========
    candidates : list of PlacementCandidate
    """

    __slots__ = ("candidates",)

    def __init__(self):
        self.candidates = []

    def is_dominated(self, lower_bound_ms, is_local, connection_ms=0.0):
        """Return False: those that cannot be selected are shown too."""
        return False

    def add(self, candidate):
        """Add a candidate."""
        self.candidates.append(candidate)


def _prefers_local(local, best, left_ms):
    """Return whether the local candidate is selected though another is better."""
    if local is best:
        return True
    if local.risk_ms - best.risk_ms > LOCALITY_RISK_MS or local.first_ms > left_ms:
        return False
    if local.slowdown > LOCALITY_SLOWDOWN * best.slowdown:
        return False
    lost_ms = local.first_ms - local.connection_ms - best.first_ms
    return lost_ms <= LOCALITY_FRACTION * max(0.0, left_ms)


def cost_ms(work, tracked, first_ms, held, now_ms):
    """Return the cost of a request at an upstream, as time of its caller.

    Engines differ in speed by a factor of several: a slow one is as good as any for a
    short prompt, and unsuitable for a long one.
    """
    token_ms = tracked.pace.token_ms
    batch_tokens = held * work.base_cost / max(1, tracked.limit.slots)
    total_ms = first_ms + token_ms * (
        DECODE_FRACTION * work.output_tokens + batch_tokens
    )
    if not tracked.meets_deadline(work, first_ms, now_ms):
        total_ms += FAILED_ANSWER_COST_MS
    if work.failure_domain != tracked.failure_domain:
        total_ms += CROSS_DOMAIN_COST_MS
    return total_ms + RECENT_ANSWER_COST_MS * tracked.failures.counts(now_ms)[1]


def risk_ms(work, tracked, held, counts, max_prompt_ms, now_ms):
    """Return the expected cost of an upstream's failures, stalls and long gaps.

    Parameters
    ==========
    work : Work
    tracked : DeclaredSlotsUpstream
    held : int
        Requests in flight at the upstream.
    counts : tuple of float
        The recent failures and answers of all upstreams.
    max_prompt_ms : float
        How long an upstream may compute prompts before a gap becomes too long.
    now_ms : int
    """
    total_ms = STALL_COST_MS * tracked.stalled
    total_ms += FAILED_ANSWER_COST_MS * tracked.failures.excess(counts, now_ms)
    if tracked.prompts_ms(work) > max_prompt_ms:
        total_ms += LONG_GAP_COST_MS * max(1, held)
    return total_ms


def cache_saving_ms(tracked, cached_tokens):
    """Return the time that cached prompt tokens save the answers at an upstream."""
    return (
        CACHE_SAVING_FACTOR * tracked.pace.prompt_ms(cached_tokens)
        if cached_tokens
        else 0.0
    )


def connection_saving_ms(request, upstream_id):
    """Return what a kept connection to an upstream saves a request."""
    return KEPT_CONNECTION_SAVING_MS if upstream_id in request.connected else 0.0


NO_GAP_BOUND_MS = math.inf
# Fraction of a declared maximum gap that prefill may take; the rest is for decoding.
PROMPT_GAP_FRACTION = 0.8


def longest_prefill_ms(work, upstreams, max_gaps_ms, now_ms):
    """Return how long prefill may keep an upstream busy, for its token gaps.

    The bound follows from the shortest maximum gap that a route of the pool declares;
    without one there is no bound. There is none either for a prompt that no upstream
    computes within it: engines compute such prompts in chunks, and the bound would send
    it to an idle slow engine, where it is late.

    Parameters
    ==========
    work : RequestWork
    upstreams : iterable of DeclaredSlotsUpstream
        Those that may be assigned work.
    max_gaps_ms : iterable of int
        By route.
    now_ms : int
    """
    gap_ms = min(max_gaps_ms, default=None)
    if gap_ms is None:
        return NO_GAP_BOUND_MS
    limit_ms = PROMPT_GAP_FRACTION * gap_ms
    for tracked in upstreams:
        if tracked.prompts_ms(work) <= limit_ms and tracked.allows_request(now_ms):
            return limit_ms
    return NO_GAP_BOUND_MS
