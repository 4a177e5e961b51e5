"""The links between hosts, modelled as one list of messages in transit."""

import random

# The longest exceeds the retention of keys, so that a late message may reach a host
# that has already dropped the key.
DELAYS_MS = (0, 0, 50, 300, 1_500, 6_000, 14_000)
_DROP_PROBABILITY = 0.1
_DUPLICATE_PROBABILITY = 0.15


class Link:
    """Delivers messages immediately and in order, until ``impair`` is called.

    Parameters
    ==========
    tally : Tally
    """

    __slots__ = ("_rng", "_sent_count", "_tally", "cuts", "messages")

    def __init__(self, tally):
        self.messages = []
        self.cuts = set()
        self._rng = None
        self._tally = tally
        self._sent_count = 0

    def impair(self, seed):
        """Delay, duplicate and drop new messages, as drawn from ``seed``."""
        self._rng = random.Random(seed)

    def restore(self):
        """Deliver new messages immediately; those in transit keep their delay."""
        self._rng = None

    def send(self, sender, address, message, now_ms):
        """Send a message; a cut from sender to address drops it."""
        if (sender, address) in self.cuts:
            self._tally.fault("message dropped by a cut")
            return
        for delay_ms in self._delays():
            self._sent_count += 1
            self.messages.append(
                (now_ms + delay_ms, self._sent_count, address, message)
            )

    def take_due(self, now_ms):
        """Remove the messages that are due, and return them in order of arrival."""
        due = sorted(
            (item for item in self.messages if item[0] <= now_ms),
            key=lambda item: item[:2],
        )
        self.messages = [item for item in self.messages if item[0] > now_ms]
        return due

    def _delays(self):
        if self._rng is None:
            return (0,)
        if self._rng.random() < _DROP_PROBABILITY:
            self._tally.fault("message dropped")
            return ()
        delays = [self._rng.choice(DELAYS_MS)]
        if self._rng.random() < _DUPLICATE_PROBABILITY:
            self._tally.fault("message duplicated")
            delays.append(self._rng.choice(DELAYS_MS))
        if any(delays):
            self._tally.fault("message delayed")
        return delays
