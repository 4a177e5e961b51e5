"""Cancels the streams whose callers disconnect and do not resume them."""

import asyncio
import collections

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.messages import StreamTaken
from hemlockhoist.upstreams import cancel_stream

_log = get_logger("host.stream_readers")

# Time that a disconnected caller has to resume its stream, at any host, before the
# stream is cancelled at the engine.
RESUME_GRACE_MS = 3_000
# A caller resumes within seconds; this is more streams than a host serves in that time.
MAX_STREAMS = 4_096
FIRST_READER = ""


class StreamReaders:
    """Knows the latest reader of each stream that this host began.

    A caller may resume its stream at any host. The host that began the stream is told
    of each reader that resumes it or disconnects, and alone cancels it: when its
    latest reader has disconnected and no other follows within ``RESUME_GRACE_MS``. If
    that host has stopped, the engine generates the stream to its end.

    Parameters
    ==========
    context : HostContext
    """

    __slots__ = ("_context", "_latest", "_waits")

    def __init__(self, context):
        self._context = context
        # Ids of the latest readers of resumed streams, by request id.
        self._latest = collections.OrderedDict()
        self._waits = set()

    def __len__(self):
        return len(self._latest)

    async def close(self):
        """Cancel the pending waits for readers."""
        for task in self._waits:
            task.cancel()
        await asyncio.gather(*self._waits, return_exceptions=True)

    def on_message(self, message):
        """Record that a reader resumed a stream of this host or disconnected.

        Parameters
        ==========
        message : StreamTaken
        """
        if message.left_address:
            self.on_left(message.request_id, message.reader_id, message.left_address)
            return
        self._latest[message.request_id] = message.reader_id
        self._latest.move_to_end(message.request_id)
        if len(self._latest) > MAX_STREAMS:
            self._latest.popitem(last=False)

    def on_left(self, request_id, reader_id, address):
        """Start to wait for another reader, if it was the latest that disconnected.

        Parameters
        ==========
        request_id, reader_id : str
        address : str
            Address of the engine.
        """
        if self._latest.get(request_id, FIRST_READER) != reader_id:
            return
        wait = self._cancel_unless_resumed(request_id, reader_id, address)
        task = asyncio.create_task(wait)
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)

    async def _cancel_unless_resumed(self, request_id, reader_id, address):
        await asyncio.sleep(RESUME_GRACE_MS / MS_PER_S)
        if self._latest.get(request_id, FIRST_READER) != reader_id:
            return
        self._latest.pop(request_id, None)
        _log.info("stream_cancelled", request=request_id, upstream=address)
        await cancel_stream(self._context.upstreams, address, request_id)

    def report_resumed(self, ticket, reader_id):
        """Tell the host that began a stream that a reader resumes it here.

        Parameters
        ==========
        ticket : StreamTicket
        reader_id : str
        """
        message = StreamTaken(request_id=ticket.request_id, reader_id=reader_id)
        self._context.bus.send(ticket.owner, message)

    def report_left(self, ticket, reader_id):
        """Tell the host that began a stream that a reader here has disconnected."""
        message = StreamTaken(
            request_id=ticket.request_id,
            reader_id=reader_id,
            left_address=ticket.address,
        )
        self._context.bus.send(ticket.owner, message)
