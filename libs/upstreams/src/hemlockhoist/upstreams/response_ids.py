"""Detection of events that belong to another answer, by their response id."""

import collections

# At design size, a host uses every engine of its pools, some thousands. A dropped
# address is learned again from its next response.
MAX_ADDRESSES = 16_384


class ResponseIdTracker:
    """Addresses of the upstreams whose response ids contain the request id.

    Engines form such ids in different ways (``chatcmpl-ID``), or not at all. Which
    ones do is learned from their responses, so that the others are not affected.
    """

    __slots__ = ("_addresses",)

    def __init__(self):
        self._addresses = collections.OrderedDict()

    def __contains__(self, address):
        return address in self._addresses

    def add(self, address):
        """Record that the upstream's response ids contain the request id."""
        self._addresses[address] = None
        if len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)

    def checker_for(self, address, request_id):
        """Return a checker of the response ids in one answer."""
        return ResponseIdChecker(self, address, request_id)


class ResponseIdChecker:
    """Checks that all events of one answer, on all its connections, have one id.

    Parameters
    ==========
    tracker : ResponseIdTracker
    address, request_id : str
    """

    __slots__ = ("_address", "_expected_id", "_request_id", "_tracker")

    def __init__(self, tracker, address, request_id):
        self._tracker = tracker
        self._address = address
        self._request_id = request_id
        self._expected_id = None

    def accepts(self, response_id):
        """Return whether an event with this response id belongs to the answer.

        Parameters
        ==========
        response_id : str
            Empty for an event without one.
        """
        if self._expected_id is not None:
            return response_id == self._expected_id
        if self._request_id and self._request_id in response_id:
            self._tracker.add(self._address)
        elif self._address in self._tracker:
            return False
        self._expected_id = response_id
        return True
