"""Which upstream a request goes to, by the time it is expected to need there."""

# One way to another failure domain takes about 1.5 ms more, and a request makes a
# few of them.
CROSS_DOMAIN_COST_MS = 6.0
# Added for each failure in a row. Made for upstreams that refuse connections while no
# more may be ejected: with nothing in flight they would look the emptiest of all.
FAILURE_COST_MS = 2_000.0
# Start values until a generation's first answers.
INITIAL_TOKEN_MS = 20.0
INITIAL_PROMPT_TOKEN_MS = 0.1
# A full batch is about this much slower than an empty one.
FULL_BATCH_SLOWDOWN = 0.6
# A prompt that is computed delays every answer under way at its engine, not only its
# own: its time counts this many times. Weighed with prefix-heavy load: 1 wastes twice
# the prompt tokens, and more than 4 sends requests to engines that are full.
PROMPT_WEIGHT = 4.0
_WEIGHT = 0.1
_SLOWER_WEIGHT = 0.15
# Each second, an upstream's speed moves by this part towards its generation's: one
# that was slow and so is not chosen would never be found to have recovered.
DRIFT_FRACTION = 0.02


class Speed:
    """Time per output token and per prompt token, as decaying means."""

    __slots__ = ("prompt_token_ms", "token_ms")

    def __init__(self, token_ms=INITIAL_TOKEN_MS, prompt_ms=INITIAL_PROMPT_TOKEN_MS):
        self.token_ms = token_ms
        self.prompt_token_ms = prompt_ms

    def observe_outcome(self, outcome):
        """Take the time between an answer's tokens."""
        if outcome.first_token_ms < 0 or outcome.total_ms < 0:
            return
        if outcome.output_tokens > 1:
            decode_ms = outcome.total_ms - outcome.first_token_ms
            sample = decode_ms / (outcome.output_tokens - 1)
            self.token_ms += _WEIGHT * (sample - self.token_ms)

    def observe_prompt(self, computed_tokens, prompt_ms):
        """Take the time from a prompt's turn to its first token."""
        if computed_tokens <= 0:
            return
        sample = max(0.0, prompt_ms - self.token_ms) / computed_tokens
        # Short prompts say little about the cost of a token, and a long time much
        # less than a short one: it may have been spent waiting.
        weight = _WEIGHT * min(1.0, computed_tokens / 1_000)
        if sample > self.prompt_token_ms:
            weight *= _SLOWER_WEIGHT
        self.prompt_token_ms += weight * (sample - self.prompt_token_ms)

    def drift(self, generation):
        """Move towards the speed of the generation."""
        self.token_ms += DRIFT_FRACTION * (generation.token_ms - self.token_ms)
        part_ms = generation.prompt_token_ms - self.prompt_token_ms
        self.prompt_token_ms += DRIFT_FRACTION * part_ms

    def reset(self, generation):
        """Take the speed of the generation."""
        self.token_ms = generation.token_ms
        self.prompt_token_ms = generation.prompt_token_ms


def score(request, tracked, in_flight, slots, now_ms):
    """Return the expected time of the request at an upstream; the least is best.

    Made for stale load reports and unlike generations. It uses this home's counts
    and the latencies its hosts saw, never a report: a report that is seconds old
    sends everyone to the same upstream. A held prefix is worth the time it saves and
    no more, so a popular prefix spreads to a second upstream as soon as the first
    one's prompts queue up.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    tracked : hemlockhoist.decisions.scheduling.adaptive_tracker.UpstreamTrack
    in_flight, slots : int
        Grants that the upstream holds, and may hold.
    now_ms : int

    Returns
    =======
    float
        Milliseconds, from now.
    """
    computed = request.prompt_tokens - tracked.cached_tokens(request)
    used = in_flight / max(1, slots)
    decode_ms = request.output_tokens * tracked.speed.token_ms
    score_ms = max(0.0, tracked.prompts_done_ms - now_ms)
    score_ms += PROMPT_WEIGHT * computed * tracked.speed.prompt_token_ms
    score_ms += FAILURE_COST_MS * tracked.health.recent_failures(now_ms)
    score_ms += decode_ms * (1.0 + FULL_BATCH_SLOWDOWN * used)
    if request.failure_domain != tracked.failure_domain:
        score_ms += CROSS_DOMAIN_COST_MS
    return score_ms
