"""Generated responses, retained for some time so that clients can resume them."""

import asyncio


class Stream:
    """One response that its readers follow while the engine generates it.

    Parameters
    ==========
    request_id, model, version : str
    pieces : tuple of str
        The complete response; readers may read the first ``produced`` pieces.
    prompt_tokens : int
    """

    __slots__ = (
        "_changed",
        "cached_tokens",
        "cancelled",
        "ended_ms",
        "model",
        "pieces",
        "produced",
        "prompt_tokens",
        "request_id",
        "sequence_id",
        "version",
    )

    def __init__(self, request_id, model, version, pieces, prompt_tokens):
        self.request_id = request_id
        # Id in the cost model. It differs from the request id, as a request that is
        # sent twice runs twice.
        self.sequence_id = request_id
        self.model = model
        self.version = version
        self.pieces = pieces
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = 0
        self.produced = 0
        self.cancelled = False
        self.ended_ms = None
        self._changed = asyncio.Event()

    @property
    def finished(self):
        """Whether all pieces have been produced."""
        return self.produced == len(self.pieces)

    def publish(self, produced, cached_tokens):
        """Make the first ``produced`` pieces available to the readers."""
        self.produced = max(self.produced, produced)
        self.cached_tokens = cached_tokens
        self._notify()

    def cancel(self):
        """Mark the stream as cancelled and wake all readers."""
        self.cancelled = True
        self._notify()

    async def wait_for_more(self, count):
        """Wait until more than ``count`` pieces are available or the stream ends."""
        while self.produced <= count and not self.finished and not self.cancelled:
            await self._changed.wait()

    def _notify(self):
        # A new event for each change wakes every reader exactly once.
        self._changed.set()
        self._changed = asyncio.Event()


class StreamStore:
    """Streams by request id, retained for a limited time after their end.

    Parameters
    ==========
    retention_ms : int
    """

    __slots__ = ("_retention_ms", "_streams")

    def __init__(self, retention_ms):
        self._retention_ms = retention_ms
        self._streams = {}

    def add(self, stream):
        """Add a stream, replacing an earlier one with the same request id."""
        self._streams[stream.request_id] = stream

    def get(self, request_id):
        """Return the stream of a request, or None."""
        return self._streams.get(request_id)

    def unfinished(self):
        """Return the streams that are still generated."""
        return [item for item in self._streams.values() if item.ended_ms is None]

    def newest_except(self, request_id):
        """Return the newest stream of any other request, or None."""
        for stream in reversed(self._streams.values()):
            if stream.request_id != request_id:
                return stream
        return None

    def evict_expired(self, now_ms):
        """Remove the streams that ended longer ago than the retention time."""
        expired = [
            request_id
            for request_id, stream in self._streams.items()
            if stream.ended_ms is not None
            and now_ms - stream.ended_ms > self._retention_ms
        ]
        for request_id in expired:
            del self._streams[request_id]
