"""Penalty of an upstream that goes down and comes back, and its suppression."""

import math

# What a loss adds to the penalty of an upstream.
LOSS_PENALTY = 1.0
# An upstream is suppressed above this penalty: by a second loss within one half-life, or
# by one within a half-life after its suppression. A single crash suppresses nothing.
SUPPRESS_ABOVE = 1.5
# Suppression ends below this penalty.
REUSE_BELOW = 0.75
HALF_LIFE_MS = 4_000
# For this long after its suppression an upstream gets one request at a time, until it has
# served one. The first is a repeatable one if any arrived within as long before.
TRIAL_MS = 1_000


class FlapPenalty:
    """Penalty, suppression and trial of the upstream at one address.

    Attributes
    ==========
    since_ms, until_ms : int or None
        Start and end of the suppression; None if there is neither one nor a trial.
    trial_granted_ms : int or None
        When the request of the trial under way was granted.
    """

    __slots__ = ("_penalty", "_updated_ms", "since_ms", "trial_granted_ms", "until_ms")

    def __init__(self):
        self._penalty = 0.0
        self._updated_ms = 0
        self.since_ms = None
        self.until_ms = None
        self.trial_granted_ms = None

    def penalty(self, now_ms):
        """Return the decayed penalty."""
        half_lives = max(0, now_ms - self._updated_ms) / HALF_LIFE_MS
        return self._penalty * math.pow(0.5, half_lives)

    def add(self, amount, now_ms):
        """Change the penalty by an amount."""
        self._penalty = max(0.0, self.penalty(now_ms) + amount)
        self._updated_ms = now_ms

    def suppress(self, max_ms, now_ms):
        """Suppress until the penalty has decayed, for at most ``max_ms``."""
        if self.since_ms is None or now_ms >= self.until_ms:
            self.since_ms = now_ms
        half_lives = math.log2(self.penalty(now_ms) / REUSE_BELOW)
        wait_ms = math.ceil(HALF_LIFE_MS * half_lives)
        self.until_ms = min(now_ms + wait_ms, self.since_ms + max_ms)
        self.trial_granted_ms = None

    def end(self):
        """End the suppression and the trial."""
        self.since_ms = self.until_ms = self.trial_granted_ms = None

    def is_suppressed(self, now_ms):
        """Return whether the suppression has not ended."""
        return self.until_ms is not None and now_ms < self.until_ms

    def is_trial_pending(self, now_ms):
        """Return whether a trial was granted lately, and has not been answered."""
        return (
            self.trial_granted_ms is not None
            and now_ms - self.trial_granted_ms < TRIAL_MS
        )

    def is_trial_over(self, now_ms):
        """Return whether the upstream may be used like any other."""
        return self.until_ms is None or now_ms >= self.until_ms + TRIAL_MS
