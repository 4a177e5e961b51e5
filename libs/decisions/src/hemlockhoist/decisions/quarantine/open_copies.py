"""A quick count of the copies of each request that wait or are at an upstream."""

import collections

# Above the requests that are open at a home at a time.
MAX_REQUESTS = 32_768


class OpenCopies:
    """Counts the copies of requests, without looking at all that is open.

    The count may be too high, as a copy whose end was not told is still in it, but not
    too low for the copies that were added last.
    """

    __slots__ = ("_ids",)

    def __init__(self):
        self._ids = collections.OrderedDict()

    def add(self, fingerprint, request_id):
        """Add a copy."""
        self._ids.setdefault(fingerprint, set()).add(request_id)
        if len(self._ids) > MAX_REQUESTS:
            self._ids.popitem(last=False)

    def discard(self, fingerprint, request_id):
        """Remove a copy that has ended."""
        ids = self._ids.get(fingerprint)
        if ids is None:
            return
        ids.discard(request_id)
        if not ids:
            del self._ids[fingerprint]

    def count(self, fingerprint):
        """Return how many copies there are at most."""
        return len(self._ids.get(fingerprint, ()))

    def set(self, fingerprint, request_ids):
        """Set the copies as they were found by looking at all that is open."""
        if request_ids:
            self._ids[fingerprint] = set(request_ids)
        else:
            self._ids.pop(fingerprint, None)
