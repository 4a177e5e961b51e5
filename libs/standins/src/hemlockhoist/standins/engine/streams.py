"""The answers that an engine generates, kept for a while so they can be resumed."""

import asyncio


class Stream:
    """One answer, growing as the engine generates it.

    Parameters
    ==========
    request_id, model, version : str
    pieces : tuple of str
        The whole answer; the first ``produced`` of them may be read.
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
        # In the cost model, where a request id that is sent twice runs twice.
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
        """Whether the whole answer is there."""
        return self.produced == len(self.pieces)

    def publish(self, produced, cached_tokens):
        """Release the pieces up to ``produced`` to the readers."""
        self.produced = max(self.produced, produced)
        self.cached_tokens = cached_tokens
        self._notify()

    def cancel(self):
        """End the stream for all readers."""
        self.cancelled = True
        self._notify()

    async def wait_for_more(self, count):
        """Wait till there are more than ``count`` pieces, or no more will come."""
        while self.produced <= count and not self.finished and not self.cancelled:
            await self._changed.wait()

    def _notify(self):
        # Each change has an event of its own: every reader wakes exactly once.
        self._changed.set()
        self._changed = asyncio.Event()


class StreamStore:
    """Streams by request id, each kept for a time after its end.

    Parameters
    ==========
    keep_ms : int
    """

    __slots__ = ("_keep_ms", "_streams")

    def __init__(self, keep_ms):
        self._keep_ms = keep_ms
        self._streams = {}

    def add(self, stream):
        """Keep a stream; one of the same request id is replaced."""
        self._streams[stream.request_id] = stream

    def get(self, request_id):
        """Return the stream, or None."""
        return self._streams.get(request_id)

    def newest_except(self, request_id):
        """Return some stream of another request, the newest, or None."""
        for stream in reversed(self._streams.values()):
            if stream.request_id != request_id:
                return stream
        return None

    def evict_expired(self, now_ms):
        """Drop the streams that ended long ago."""
        old = [
            request_id
            for request_id, stream in self._streams.items()
            if stream.ended_ms is not None and now_ms - stream.ended_ms > self._keep_ms
        ]
        for request_id in old:
            del self._streams[request_id]
