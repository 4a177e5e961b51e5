"""How often requests were answered whole lately, which speaks for them."""

import collections

from hemlockhoist.base import MS_PER_S

# A sound request soon has so many between two crashes that it was beside by chance, one
# that ends most of its runs hardly ever.
WHOLE_RUNS_PER_CRASH = 8
# More whole runs than that do not count: a request may begin to crash upstreams.
MAX_WHOLE_RUNS = 2 * WHOLE_RUNS_PER_CRASH
# Whole runs count for a request for this long after the last one.
RECENT_MS = 2 * MS_PER_S
# Upstreams of a failure domain that end together end for one reason.
SAME_MOMENT_MS = 500
# A request that has been answered whole within this time is known to bear being sent to
# several upstreams at once.
PROVEN_MS = 60 * MS_PER_S
MAX_REQUESTS = 8_192


class _Runs:
    """The whole runs of one request."""

    __slots__ = ("count", "excused_ms", "last_ms")

    def __init__(self):
        self.count = 0
        self.last_ms = 0
        self.excused_ms = None


class WholeRuns:
    """Counts whole runs of requests, and weighs them against crashes.

    Load: a request that many callers send is at any upstream that ends, for whatever
    reason, and whole in nearly all its runs. One that crashes its upstreams may be
    whole now and then.

    Examples
    ========
    >>> from hemlockhoist.decisions.quarantine.whole_runs import WholeRuns
    >>> runs = WholeRuns()
    >>> for number in range(8):
    ...     runs.add(1, now_ms=number)
    >>> runs.take(1, now_ms=10), runs.take(1, now_ms=20)
    (True, False)
    """

    __slots__ = ("_by_fingerprint",)

    def __init__(self):
        # The latest whole run last.
        self._by_fingerprint = collections.OrderedDict()

    def add(self, fingerprint, now_ms):
        """Count a whole run."""
        runs = self._by_fingerprint.get(fingerprint)
        if runs is None:
            runs = self._by_fingerprint[fingerprint] = _Runs()
            if len(self._by_fingerprint) > MAX_REQUESTS:
                self._by_fingerprint.popitem(last=False)
        elif now_ms - runs.last_ms > RECENT_MS:
            runs.count = 0
        runs.count = min(MAX_WHOLE_RUNS, runs.count + 1)
        runs.last_ms = now_ms
        self._by_fingerprint.move_to_end(fingerprint)

    def is_proven(self, fingerprint, now_ms):
        """Return whether a request was answered whole within the last minute."""
        runs = self._by_fingerprint.get(fingerprint)
        return runs is not None and now_ms - runs.last_ms <= PROVEN_MS

    def take(self, fingerprint, now_ms):
        """Use up the whole runs that outweigh a crash; return whether there were enough."""
        runs = self._by_fingerprint.get(fingerprint)
        if runs is None or now_ms - runs.last_ms > RECENT_MS:
            return False
        if runs.count < WHOLE_RUNS_PER_CRASH:
            return False
        runs.count -= WHOLE_RUNS_PER_CRASH
        return True

    def excuse(self, fingerprint, now_ms):
        """Return whether a request is not to blame for a crash, as it is mostly whole."""
        runs = self._by_fingerprint.get(fingerprint)
        if runs is None:
            return False
        if runs.excused_ms is not None and now_ms - runs.excused_ms <= SAME_MOMENT_MS:
            return True
        if not self.take(fingerprint, now_ms):
            return False
        runs.excused_ms = now_ms
        return True
