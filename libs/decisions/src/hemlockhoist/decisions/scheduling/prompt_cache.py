"""Which upstreams probably keep which parts of prompts in their memory."""

import collections

# Parts that all requests share are kept everywhere: what a few tokens would save is
# less than the choice of an upstream should hang on.
MIN_CACHED_TOKENS = 256
# Bound for engines that do not declare how much they keep.
DEFAULT_CAPACITY_TOKENS = 100_000


class PromptCache:
    """The parts of prompts that each upstream was given lately.

    An engine drops the least recently used parts when its memory is full, and does not
    compute one anew that it keeps. It does not say which: what is kept here follows
    from what it was granted.

    Parameters
    ==========
    capacity_tokens : int
        That one upstream keeps; 0 where it does not say.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.prompt_cache import PromptCache
    >>> cache = PromptCache(capacity_tokens=1_000)
    >>> cache.record("u1", (11, 12), (300, 400))
    >>> cache.cached_tokens((11, 12), (300, 400)), cache.cached_tokens((11, 13), (300, 500))
    ({'u1': 700}, {'u1': 300})
    >>> cache.record("u1", (21,), (600,))
    >>> cache.cached_tokens((11, 12), (300, 400))
    {'u1': 300}
    """

    __slots__ = ("_capacity", "_holders", "_parts", "_tokens")

    def __init__(self, capacity_tokens):
        self._capacity = capacity_tokens or DEFAULT_CAPACITY_TOKENS
        # By upstream, its parts with their tokens, the least recently used first.
        self._parts = {}
        self._tokens = collections.Counter()
        # By part, the upstreams that keep it.
        self._holders = {}

    def record(self, upstream_id, hashes, tokens):
        """Take notice that an upstream is given a prompt.

        Parameters
        ==========
        upstream_id : str
        hashes : sequence of int
            Of the prompt's leading parts, each chained to those before it.
        tokens : sequence of int
            Of each of these parts.
        """
        parts = self._parts.setdefault(upstream_id, collections.OrderedDict())
        # A part is of no use without those before it, so that it is dropped first.
        for part, count in zip(reversed(hashes), reversed(tokens), strict=True):
            if part not in parts:
                self._tokens[upstream_id] += count
                self._holders.setdefault(part, set()).add(upstream_id)
                parts[part] = count
            parts.move_to_end(part)
        while self._tokens[upstream_id] > self._capacity and parts:
            self._drop(upstream_id, next(iter(parts)))

    def cached_tokens(self, hashes, tokens):
        """Return how many leading tokens of a prompt each upstream keeps.

        Returns
        =======
        dict of str to int
            Without the upstreams that keep nothing worth a choice.
        """
        kept = {}
        total = sum(tokens)
        for part, count in zip(reversed(hashes), reversed(tokens), strict=True):
            if total < MIN_CACHED_TOKENS:
                break
            for upstream_id in self._holders.get(part, ()):
                kept.setdefault(upstream_id, total)
            total -= count
        return kept

    def forget(self, upstream_id):
        """Drop what is known of an upstream that has gone or begun anew."""
        for part in list(self._parts.get(upstream_id, ())):
            self._drop(upstream_id, part)
        self._parts.pop(upstream_id, None)
        self._tokens.pop(upstream_id, None)

    def _drop(self, upstream_id, part):
        self._tokens[upstream_id] -= self._parts[upstream_id].pop(part)
        holders = self._holders[part]
        holders.discard(upstream_id)
        if not holders:
            del self._holders[part]
