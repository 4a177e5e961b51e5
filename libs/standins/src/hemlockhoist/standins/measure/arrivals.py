"""The recorded side of a load: which requests arrive when."""

import itertools
import math

import msgspec

BLOCK_TOKENS = 64


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request as its caller sends it.

    Parameters
    ==========
    at_ms : int
    customer : str
    tier_rank : int
    prompt_tokens : int
    output_tokens : int
        That the engine will generate.
    expected_tokens : int
        That the decision is told.
    prefix_hashes : tuple of int
    failure_domain : str
        Of the entry host it comes to.
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
    """How long requests of one sort are, and what they share.

    Parameters
    ==========
    share : float
        Of all requests.
    prompt_tokens, output_tokens : int
        Medians; lengths are log-normal.
    log_sigma : float
        Sigma of the logarithm.
    tier_shares : tuple of float
        Shares of the tiers, highest first.
    shared_tokens : int
        Leading prompt tokens that requests of one document have in common.
    prefix_count : int
        How many shared beginnings there are; the n-th is used in proportion 1/n.
    """

    share: float = 1.0
    prompt_tokens: int = 600
    output_tokens: int = 160
    log_sigma: float = 0.5
    tier_shares: tuple[float, ...] = (0.2, 0.4, 0.4)
    shared_tokens: int = 256
    prefix_count: int = 10


class ArrivalGenerator:
    """Draws arrivals from shapes with a seeded generator.

    Parameters
    ==========
    random : random.Random
    profiles : sequence of Shape
    customers : dict of str to float
        Shares of the customers.
    failure_domains : sequence of str
    """

    __slots__ = ("_customers", "_domains", "_random", "_shapes", "_unique")

    def __init__(self, random, profiles, customers, failure_domains):
        self._random = random
        self._shapes = profiles
        self._customers = customers
        self._domains = failure_domains
        self._unique = itertools.count(1 << 40)

    def poisson_arrivals(self, start_ms, end_ms, rate_per_s):
        """Return the Poisson arrivals of a span of time."""
        arrivals = []
        at_ms = start_ms + self._gap_ms(rate_per_s)
        while at_ms < end_ms:
            arrivals.append(self._draw(int(at_ms)))
            at_ms += self._gap_ms(rate_per_s)
        return arrivals

    def _gap_ms(self, rate_per_s):
        return self._random.expovariate(rate_per_s) * 1_000

    def _draw(self, at_ms):
        draw = self._random
        profile = draw.choices(self._shapes, [item.share for item in self._shapes])[0]
        names, shares = zip(*self._customers.items(), strict=True)
        output = self._length(profile.output_tokens, profile.log_sigma)
        prompt = profile.shared_tokens + self._length(
            max(1, profile.prompt_tokens - profile.shared_tokens), profile.log_sigma
        )
        return Arrival(
            at_ms=at_ms,
            customer=draw.choices(names, shares)[0],
            tier_rank=draw.choices(
                range(len(profile.tier_shares)), profile.tier_shares
            )[0],
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=max(1, int(output * draw.uniform(0.7, 1.6))),
            prefix_hashes=self._hashes(profile, prompt),
            failure_domain=draw.choice(self._domains),
        )

    def _length(self, median, log_sigma):
        drawn = self._random.lognormvariate(math.log(median), log_sigma)
        return max(1, min(int(drawn), 6 * median))

    def _hashes(self, profile, prompt_tokens):
        weights = [1 / (n + 1) for n in range(profile.prefix_count)]
        document = self._random.choices(range(profile.prefix_count), weights)[0]
        shared = profile.shared_tokens // BLOCK_TOKENS
        base = (profile.shared_tokens << 24) + (document << 12)
        own = next(self._unique) << 12
        count = prompt_tokens // BLOCK_TOKENS
        return tuple((base if n < shared else own) + n for n in range(count))


def mean_token_counts(profiles):
    """Return the mean prompt, shared and output tokens of a mix of shapes."""
    total = sum(item.share for item in profiles)
    prompt = shared = output = 0.0
    for item in profiles:
        part = item.share / total
        stretch = math.exp(item.log_sigma**2 / 2)
        own = max(1, item.prompt_tokens - item.shared_tokens)
        prompt += part * (item.shared_tokens + own * stretch)
        shared += part * item.shared_tokens
        output += part * item.output_tokens * stretch
    return prompt, shared, output
