"""Runs that were given up before it was known whether their upstreams ended."""

import collections

from hemlockhoist.base import MS_PER_S

# The entry host looks at the upstream twice by then; until then a run counts as a copy
# that is on its way.
UNKNOWN_MS = 1_200
# A run that nobody waits for may go on at its upstream: an end within ``UNKNOWN_MS`` is
# held against it. That an upstream is no longer listed shows later than its end.
MAX_AGE_MS = 3 * MS_PER_S
MAX_RUNS = 4_096


class AbandonedRun:
    """A run at an upstream whose outcome nobody waits for.

    Parameters
    ==========
    request : WorkRequest
    upstream_id : str
    is_begun : bool
        Whether any of its answer had come.
    ended_ms : int
        When it was given up.
    """

    __slots__ = ("ended_ms", "is_begun", "request", "upstream_id")

    def __init__(self, request, upstream_id, is_begun, ended_ms):
        self.request = request
        self.upstream_id = upstream_id
        self.is_begun = is_begun
        self.ended_ms = ended_ms

    @property
    def suspect_parts(self):
        """The parts of its prompt, if the upstream may have ended on reading them."""
        return () if self.is_begun else self.request.parts


class AbandonedRuns:
    """The latest runs that were given up, by the grants under which they were sent.

    Load: callers leave before their answers come, time limits pass, hedges overtake,
    hosts die. The upstreams may go on with what they were sent, and end on it.
    """

    __slots__ = ("_runs",)

    def __init__(self):
        self._runs = collections.OrderedDict()

    def __len__(self):
        return len(self._runs)

    def add(self, grant_id, request, upstream_id, is_begun, now_ms):
        """Add a run that was just given up."""
        self._runs[grant_id] = AbandonedRun(request, upstream_id, is_begun, now_ms)
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def unknown(self, now_ms):
        """Return the requests of which it is not known whether an upstream ended."""
        return [
            run.request
            for run in self._runs.values()
            if now_ms - run.ended_ms <= UNKNOWN_MS
        ]

    def take(self, grant_id):
        """Remove and return the ``AbandonedRun`` of a grant, or None."""
        return self._runs.pop(grant_id, None)

    def take_at(self, upstream_id, now_ms, within_ms):
        """Remove and return the runs at an upstream that were just given up.

        Parameters
        ==========
        upstream_id : str
            It has ended.
        now_ms, within_ms : int
            Runs that were given up longer ago are not to blame for it.
        """
        found = [
            grant_id
            for grant_id, run in self._runs.items()
            if run.upstream_id == upstream_id and now_ms - run.ended_ms <= within_ms
        ]
        return [self._runs.pop(grant_id) for grant_id in found]

    def expire(self, now_ms):
        """Remove and return the runs that are not to blame for what ends from now on."""
        expired = []
        while self._runs:
            grant_id, run = next(iter(self._runs.items()))
            if now_ms - run.ended_ms <= MAX_AGE_MS:
                break
            expired.append(self._runs.pop(grant_id))
        return expired
