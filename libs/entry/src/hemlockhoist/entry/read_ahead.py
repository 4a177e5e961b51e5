"""Reading of a stream's continuation up to its first event that the caller lacks."""

# Events that the caller has are kept until then, in case that the continuation is used.
# One that repeats more of them is used at once.
MAX_READ_AHEAD_BYTES = 131_072


class ReadAhead:
    """Reads a continuation ahead, and yields all of it afterwards.

    Parameters
    ==========
    response : UpstreamResponse
    reader : EventReader
        Knows the last event that the caller has; not used otherwise.
    """

    __slots__ = ("_chunks", "_read", "_reader")

    def __init__(self, response, reader):
        self._chunks = response.chunks()
        self._reader = reader
        self._read = []

    async def find_event(self, on_data):
        """Return whether an event that the caller lacks has come before the end.

        Parameters
        ==========
        on_data : callable
            Called without arguments as data arrives.

        Raises
        ======
        DispatchError
            If the continuation breaks off before, or is no stream of events.
        """
        byte_count = 0
        async for chunk in self._chunks:
            on_data()
            self._read.append(chunk)
            byte_count += len(chunk)
            if self._reader.feed(chunk) or byte_count > MAX_READ_AHEAD_BYTES:
                return True
            if self._reader.error is not None:
                raise self._reader.error
        return False

    @property
    def has_reached_caller(self):
        """Whether it ended in order after the last event that the caller has."""
        return self._reader.is_between_events and not self._reader.is_behind

    async def chunks(self):
        """Yield the body in chunks, as ``UpstreamResponse.chunks`` does."""
        self._read.reverse()
        while self._read:
            yield self._read.pop()
        async for chunk in self._chunks:
            yield chunk
