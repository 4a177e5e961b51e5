"""The links between hosts: one list of messages on their way."""

import random

# Longer than a key is kept: a late message meets a host that has forgotten.
DELAYS_MS = (0, 0, 50, 300, 1_500, 6_000, 14_000)
_DROPPED = 0.1
_DOUBLED = 0.15


class Link:
    """Carries messages in order and at once, or out of order, late, twice or never.

    Parameters
    ==========
    tally : Tally
    """

    __slots__ = ("_count", "_rng", "_tally", "cuts", "messages")

    def __init__(self, tally):
        self.messages = []
        self.cuts = set()
        self._rng = None
        self._tally = tally
        self._count = 0

    def impair(self, seed):
        """Delay, double and lose messages from now on, in an order set by ``seed``."""
        self._rng = random.Random(seed)

    def restore(self):
        """Carry new messages at once again; those on their way stay late."""
        self._rng = None

    def send(self, sender, address, message, now_ms):
        """Put a message on its way; a cut loses it, in this direction only."""
        if (sender, address) in self.cuts:
            self._tally.fault("message cut")
            return
        for delay_ms in self._delays():
            self._count += 1
            self.messages.append((now_ms + delay_ms, self._count, address, message))

    def take_due(self, now_ms):
        """Return the messages that arrive by now, and forget them."""
        due = sorted(
            (item for item in self.messages if item[0] <= now_ms),
            key=lambda item: item[:2],
        )
        self.messages = [item for item in self.messages if item[0] > now_ms]
        return due

    def _delays(self):
        if self._rng is None:
            return (0,)
        if self._rng.random() < _DROPPED:
            self._tally.fault("message lost")
            return ()
        delays = [self._rng.choice(DELAYS_MS)]
        if self._rng.random() < _DOUBLED:
            self._tally.fault("message doubled")
            delays.append(self._rng.choice(DELAYS_MS))
        if any(delays):
            self._tally.fault("message late")
        return delays
