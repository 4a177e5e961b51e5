"""How often parts of prompts were requested, and answered, of late."""

import collections

# Parts that are remembered; those that were not requested for longest are forgotten.
MAX_PARTS_KNOWN = 8_192
# An answer no longer speaks for a part after this time.
ANSWER_TTL_MS = 600_000
# Answers beyond these add nothing: a part that crashes upstreams since today was
# answered thousands of times before.
MAX_ANSWERS = 2


class _Counts:
    __slots__ = ("answered", "answered_ms", "seen")

    def __init__(self):
        self.seen = 0
        self.answered = 0
        self.answered_ms = 0


class PartCounts:
    """Counts requests and answers by part of their prompts, in bounded memory."""

    __slots__ = ("_counts",)

    def __init__(self):
        self._counts = collections.OrderedDict()

    def on_request(self, parts):
        """Count a request."""
        for part in parts:
            self._touch(part).seen += 1

    def on_answer(self, parts, now_ms):
        """Count an answer that has begun and went on."""
        for part in parts:
            counts = self._touch(part)
            counts.answered = min(MAX_ANSWERS, self.answers(part, now_ms) + 1)
            counts.answered_ms = now_ms

    def _touch(self, part):
        counts = self._counts.get(part)
        if counts is None:
            counts = self._counts[part] = _Counts()
            if len(self._counts) > MAX_PARTS_KNOWN:
                self._counts.popitem(last=False)
        else:
            self._counts.move_to_end(part)
        return counts

    def requests(self, part):
        """Return how many requests held a part."""
        counts = self._counts.get(part)
        return 0 if counts is None else counts.seen

    def answers(self, part, now_ms):
        """Return how many answers speak for a part, up to ``MAX_ANSWERS``."""
        counts = self._counts.get(part)
        if counts is None or now_ms - counts.answered_ms > ANSWER_TTL_MS:
            return 0
        return counts.answered
