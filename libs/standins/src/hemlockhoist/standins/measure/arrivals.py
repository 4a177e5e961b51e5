"""Synthetic arrivals of a load, drawn from request profiles."""

import itertools
import math

import msgspec

BLOCK_TOKENS = 64


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """Arrival of one request.

    Parameters
    ==========
    at_ms : int
    customer : str
    tier_rank : int
    prompt_tokens : int
    output_tokens : int
        Tokens that the engine generates.
    expected_tokens : int
        Estimate of ``output_tokens`` that the policy gets.
    prefix_hashes : tuple of int
    failure_domain : str
        Failure domain of the entry host that receives the request.
    """

    at_ms: int
    customer: str
    tier_rank: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    failure_domain: str = ""


class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of prompt lengths, output lengths and shared prefixes.

    Parameters
    ==========
    share : float
        Weight of the profile among all requests.
    prompt_tokens, output_tokens : int
        Medians of the log-normal lengths.
    log_sigma : float
        Standard deviation of the logarithm of the lengths.
    tier_shares : tuple of float
        Shares of the tiers, highest first.
    shared_tokens : int
        Length of the shared prefix, which is part of the prompt.
    prefix_count : int
        Number of distinct shared prefixes; the n-th has a weight of 1/n.
    """

    share: float = 1.0
    prompt_tokens: int = 600
    output_tokens: int = 160
    log_sigma: float = 0.5
    tier_shares: tuple[float, ...] = (0.2, 0.4, 0.4)
    shared_tokens: int = 256
    prefix_count: int = 10


class ArrivalGenerator:
    """Draws arrivals from request profiles with a seeded random generator.

    Parameters
    ==========
    rng : random.Random
    profiles : sequence of RequestProfile
    customers : dict of str to float
        Weight of each customer.
    failure_domains : sequence of str
    """

    __slots__ = (
        "_customers",
        "_domains",
        "_own_prefix_numbers",
        "_profiles",
        "_rng",
    )

    def __init__(self, rng, profiles, customers, failure_domains):
        self._rng = rng
        self._profiles = profiles
        self._customers = customers
        self._domains = failure_domains
        self._own_prefix_numbers = itertools.count(1 << 40)

    def poisson_arrivals(self, start_ms, end_ms, rate_per_s):
        """Return the arrivals of a Poisson process between two times."""
        arrivals = []
        at_ms = start_ms + self._interarrival_ms(rate_per_s)
        while at_ms < end_ms:
            arrivals.append(self._draw(int(at_ms)))
            at_ms += self._interarrival_ms(rate_per_s)
        return arrivals

    def _interarrival_ms(self, rate_per_s):
        return self._rng.expovariate(rate_per_s) * 1_000

    def _draw(self, at_ms):
        source = self._rng
        profile = source.choices(self._profiles, [p.share for p in self._profiles])[0]
        names, shares = zip(*self._customers.items(), strict=True)
        output = self._length(profile.output_tokens, profile.log_sigma)
        prompt = profile.shared_tokens + self._length(
            max(1, profile.prompt_tokens - profile.shared_tokens), profile.log_sigma
        )
        return Arrival(
            at_ms=at_ms,
            customer=source.choices(names, shares)[0],
            tier_rank=source.choices(
                range(len(profile.tier_shares)), profile.tier_shares
            )[0],
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=max(1, int(output * source.uniform(0.7, 1.6))),
            prefix_hashes=self._hashes(profile, prompt),
            failure_domain=source.choice(self._domains),
        )

    def _length(self, median, log_sigma):
        drawn = self._rng.lognormvariate(math.log(median), log_sigma)
        return max(1, min(int(drawn), 6 * median))

    def _hashes(self, profile, prompt_tokens):
        weights = [1 / (n + 1) for n in range(profile.prefix_count)]
        prefix = self._rng.choices(range(profile.prefix_count), weights)[0]
        shared = profile.shared_tokens // BLOCK_TOKENS
        base = (profile.shared_tokens << 24) + (prefix << 12)
        own = next(self._own_prefix_numbers) << 12
        count = prompt_tokens // BLOCK_TOKENS
        return tuple((base if n < shared else own) + n for n in range(count))


def mean_token_counts(profiles):
    """Return the mean prompt, shared and output tokens of a mix of profiles."""
    total = sum(item.share for item in profiles)
    prompt = shared = output = 0.0
    for item in profiles:
        weight = item.share / total
        mean_over_median = math.exp(item.log_sigma**2 / 2)
        own = max(1, item.prompt_tokens - item.shared_tokens)
        prompt += weight * (item.shared_tokens + own * mean_over_median)
        shared += weight * item.shared_tokens
        output += weight * item.output_tokens * mean_over_median
    return prompt, shared, output
