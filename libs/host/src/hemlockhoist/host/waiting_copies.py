"""Copies of requests that wait for the outcome of others at upstreams."""

import msgspec

from hemlockhoist.decisions import WorkRequest
from hemlockhoist.messages import RequestBrief

# A call that is answered, or ends its upstream, mostly does so within this time. A
# caller that waits for less than that is better off than one that has to come back.
MAX_WAIT_MS = 2_000
MAX_COPIES = 1_024


class WaitingCopy(msgspec.Struct, frozen=True):
    """A request that is not submitted yet.

    Parameters
    ==========
    brief : RequestBrief
    request : WorkRequest
    since_ms : int
        When it came.
    """

    brief: RequestBrief
    request: WorkRequest
    since_ms: int


class WaitingCopies:
    """Holds copies of requests beside others of which the outcome is not known.

    Load: many callers send the same sound request at the same time, which has not been
    answered before, or which a new home does not know.
    """

    __slots__ = ("_by_id",)

    def __init__(self):
        self._by_id = {}

    def __contains__(self, request_id):
        return request_id in self._by_id

    def __len__(self):
        return len(self._by_id)

    def __iter__(self):
        return iter(tuple(self._by_id.values()))

    def add(self, brief, request, now_ms):
        """Add a request; return whether there was room for it."""
        if len(self) >= MAX_COPIES:
            return False
        self._by_id[request.request_id] = WaitingCopy(brief, request, now_ms)
        return True

    def remove(self, request_id):
        """Remove a request, if it is there."""
        self._by_id.pop(request_id, None)

    def forget_host(self, host_id):
        """Remove the requests of an entry host that is gone."""
        for item in self:
            if item.request.entry_host == host_id:
                self.remove(item.request.request_id)

    def clear(self):
        """Remove all requests; return them."""
        removed = tuple(self)
        self._by_id.clear()
        return removed
