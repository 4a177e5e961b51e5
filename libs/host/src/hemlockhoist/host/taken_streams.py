"""Streams of this host's callers that another host has resumed."""

import collections

# A caller resumes within seconds; this is more streams than a host serves in that time.
MAX_STREAMS = 4_096


class TakenStreams:
    """Request ids of resumed streams, which must not be cancelled at their engines.

    Only a stream whose caller was seen to disconnect is asked for. The oldest of the
    others are dropped.
    """

    __slots__ = ("_ids",)

    def __init__(self):
        self._ids = collections.OrderedDict()

    def __len__(self):
        return len(self._ids)

    def add(self, request_id):
        """Record that a stream was resumed at another host."""
        self._ids[request_id] = None
        self._ids.move_to_end(request_id)
        if len(self._ids) > MAX_STREAMS:
            self._ids.popitem(last=False)

    def take(self, request_id):
        """Return whether a stream was resumed, and forget it."""
        return self._ids.pop(request_id, self) is None
