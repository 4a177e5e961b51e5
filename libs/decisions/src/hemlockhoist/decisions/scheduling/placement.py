"""Placement score: the expected time of a request at an upstream."""

# A one-way trip to another failure domain takes about 1.5 ms more, and a request makes
# several.
CROSS_DOMAIN_COST_MS = 6.0
# Added per consecutive failure. An upstream that refuses connections has nothing in
# flight and would otherwise score best while the ejection bound keeps it in use.
FAILURE_COST_MS = 2_000.0
# Initial values, until the first answers of a hardware generation.
INITIAL_TOKEN_MS = 20.0
INITIAL_PROMPT_TOKEN_MS = 0.1
# Relative slowdown of decoding in a full batch, against an empty one.
FULL_BATCH_SLOWDOWN = 0.6
# Prefill delays every answer in progress on the engine, not only its own, so its time
# counts this many times. Under prefix-heavy load a weight of 1 wastes twice as many
# prompt tokens, and a weight above 4 sends requests to engines that are full.
PROMPT_WEIGHT = 4.0
_EWMA_WEIGHT = 0.1
_SLOWER_SAMPLE_FACTOR = 0.15
# Fraction by which an upstream's speed moves towards its generation's each second. A
# slow upstream is not chosen, so without this its recovery would never be observed.
DRIFT_FRACTION = 0.02


class Speed:
    """Time per output token and per prompt token, as exponentially weighted means."""

    __slots__ = ("prompt_token_ms", "token_ms")

    def __init__(self, token_ms=INITIAL_TOKEN_MS, prompt_ms=INITIAL_PROMPT_TOKEN_MS):
        self.token_ms = token_ms
        self.prompt_token_ms = prompt_ms

    def observe_outcome(self, outcome):
        """Update the time per output token from an answer."""
        if outcome.first_token_ms < 0 or outcome.total_ms < 0:
            return
        if outcome.output_tokens > 1:
            decode_ms = outcome.total_ms - outcome.first_token_ms
            sample = decode_ms / (outcome.output_tokens - 1)
            self.token_ms += _EWMA_WEIGHT * (sample - self.token_ms)

    def observe_prompt(self, computed_tokens, prompt_ms):
        """Update the time per prompt token from the prefill time of a prompt."""
        if computed_tokens <= 0:
            return
        sample = max(0.0, prompt_ms - self.token_ms) / computed_tokens
        # Short prompts say little about the cost of a token. Slow samples count much
        # less than fast ones, as their time may include waiting.
        weight = _EWMA_WEIGHT * min(1.0, computed_tokens / 1_000)
        if sample > self.prompt_token_ms:
            weight *= _SLOWER_SAMPLE_FACTOR
        self.prompt_token_ms += weight * (sample - self.prompt_token_ms)

    def drift(self, generation):
        """Move the speed towards that of the hardware generation."""
        self.token_ms += DRIFT_FRACTION * (generation.token_ms - self.token_ms)
        difference_ms = generation.prompt_token_ms - self.prompt_token_ms
        self.prompt_token_ms += DRIFT_FRACTION * difference_ms

    def reset(self, generation):
        """Set the speed to that of the hardware generation."""
        self.token_ms = generation.token_ms
        self.prompt_token_ms = generation.prompt_token_ms


def score(request, tracked, in_flight, slots, now_ms):
    """Return the expected time of a request at an upstream; the lowest is best.

    Works with stale load reports and mixed hardware generations. It uses this home's
    own counts and the latencies that its entry hosts observed, never a load report: a
    report that is seconds old sends all requests to the same upstream. A cached prefix
    is credited with the time it saves and no more, so a popular prefix spreads to a
    second upstream as soon as prompts queue up at the first.

    Parameters
    ==========
    request : hemlockhoist.decisions.WorkRequest
    tracked : hemlockhoist.decisions.scheduling.adaptive_tracker.AdaptiveUpstream
    in_flight, slots : int
        Grants that the upstream holds, and the most that it may hold.
    now_ms : int

    Returns
    =======
    float
        Milliseconds from now.
    """
    computed = request.prompt_tokens - tracked.cached_tokens(request)
    used = in_flight / max(1, slots)
    decode_ms = request.output_tokens * tracked.speed.token_ms
    score_ms = max(0.0, tracked.prompts_done_ms - now_ms)
    score_ms += PROMPT_WEIGHT * computed * tracked.speed.prompt_token_ms
    # A request that is not idempotent could not be sent again after a failed test.
    if not (request.idempotent and tracked.health.is_test_due(in_flight, now_ms)):
        score_ms += FAILURE_COST_MS * tracked.health.recent_failures(now_ms)
    score_ms += decode_ms * (1.0 + FULL_BATCH_SLOWDOWN * used)
    if request.failure_domain != tracked.failure_domain:
        score_ms += CROSS_DOMAIN_COST_MS
    return score_ms
