"""Telling the pieces of one answer from another's by the id that they carry."""

import collections

# At the size to design for a host meets every engine of its pools, some thousands; an
# address that was forgotten is learnt again with its next answer.
MAX_ADDRESSES = 16_384


class ResponseIdTracker:
    """Which upstreams name their answers after the request's id.

    Engines do so in ways of their own (``chatcmpl-ID``), or not at all. It is learnt
    from the answers, so that an engine that does not is no worse off.
    """

    __slots__ = ("_addresses",)

    def __init__(self):
        self._addresses = collections.OrderedDict()

    def __contains__(self, address):
        return address in self._addresses

    def add(self, address):
        """Note that the upstream names an answer after its request."""
        self._addresses[address] = None
        if len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)

    def checker_for(self, address, request_id):
        """Return the name to expect on the pieces of one answer."""
        return ResponseIdChecker(self, address, request_id)


class ResponseIdChecker:
    """The id on the pieces of one answer, over all connections it came by.

    Parameters
    ==========
    names : ResponseIdTracker
    address, request_id : str
    """

    __slots__ = ("_address", "_first", "_names", "_request_id")

    def __init__(self, names, address, request_id):
        self._names = names
        self._address = address
        self._request_id = request_id
        self._first = None

    def accepts(self, response_id):
        """Return whether a piece with this id belongs to the answer.

        Parameters
        ==========
        response_id : str
            Empty where a piece carries none.
        """
        if self._first is not None:
            return response_id == self._first
        if self._request_id and self._request_id in response_id:
            self._names.add(self._address)
        elif self._address in self._names:
            return False
        self._first = response_id
        return True
