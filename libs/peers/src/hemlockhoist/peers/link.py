"""The sending side: one task and one connection for each peer, messages in batches."""

import asyncio
import collections

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.messages import Envelope
from hemlockhoist.peers.connection import Connection

_log = get_logger("peers.link")

# Bounds what one envelope may hold up behind it.
MAX_BATCH = 256
# A peer that takes nothing for this long is dead or cut off: what is queued for it
# is stale by then, and every exchange between hosts is repeated by its sender.
MAX_QUEUED_MS = 1_000
# Bounds the memory that an unreachable peer can cost; the oldest go first.
MAX_QUEUED = 4_096
# Pause after a connection that was refused, twice as long after each in a row.
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
# A peer is dialled again after this while no connection is there, and twice as long
# each further time. Many round trips, and much less than the second after which the
# kernel repeats the first packet of a connection.
INITIAL_CONNECT_TIMEOUT_MS = 150
MAX_CONNECT_TIMEOUT_MS = 1_000
# Between two renewals of a connection: a new one is there within a few round trips,
# and whoever has no answer asks for a renewal with each question.
MIN_RECONNECT_INTERVAL_MS = 400
FLUSH_POLL_INTERVAL_MS = 5


class PeerLink:
    """Sends envelopes to one peer; messages may be lost, never doubled.

    Parameters
    ==========
    codec : Codec
    clock : Clock
    sender, incarnation : str
        Of this host.
    address : str
        ``IP:port`` of the peer.
    on_connection_lost : callable
        ``on_connection_lost(address)`` is called when an open connection has ended.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_codec",
        "_connection",
        "_incarnation",
        "_on_connection_lost",
        "_queue",
        "_reachable",
        "_renewed_ms",
        "_sender",
        "_sequence",
        "_task",
        "_wake",
        "address",
        "bytes_sent",
        "dropped_count",
    )

    def __init__(self, codec, clock, sender, incarnation, address, on_connection_lost):
        self._on_connection_lost = on_connection_lost
        self._codec = codec
        self._clock = clock
        self._sender = sender
        self._incarnation = incarnation
        self.address = address
        self._queue = collections.deque(maxlen=MAX_QUEUED)
        self._wake = asyncio.Event()
        self._sequence = 0
        self._reachable = True
        self._closed = False
        self._renewed_ms = None
        self._connection = None
        self._task = None
        self.bytes_sent = 0
        self.dropped_count = 0

    def start(self):
        """Begin to send; the peer is dialled with the first message."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop sending; what is still queued is dropped."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._connection is not None:
            self._connection.close()

    async def flush(self, timeout_ms):
        """Wait until all that was queued has left, at most ``timeout_ms``."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._is_sending and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_MS / MS_PER_S)

    @property
    def _is_sending(self):
        connection = self._connection
        return bool(self._queue or (connection and connection.unsent_bytes))

    def send(self, message):
        """Queue a message; it leaves with the next envelope."""
        if len(self._queue) == MAX_QUEUED:
            self.dropped_count += 1
        self._queue.append((self._clock.now_ms(), message))
        self._wake.set()

    def reconnect(self):
        """Take a new connection in the place of one that may carry nothing.

        Failure: a peer's machine lost its power, or a connection has gone silent; what
        is sent on it is lost, without an error, for as long as the kernel tries. The
        peer's own messages still arrive, so that it looks well. Whoever misses answers
        asks for this. What is still queued goes by the new connection, under numbers
        that go on: the receiver takes no envelope twice.
        """
        now_ms = self._clock.now_ms()
        if (
            self._renewed_ms is not None
            and now_ms - self._renewed_ms < MIN_RECONNECT_INTERVAL_MS
        ):
            return
        self._renewed_ms = now_ms
        former, self._connection = self._connection, None
        if former is not None:
            former.close()

    async def _run(self):
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                connection = await self._connected()
                await connection.wait_writable()
                self._send_queued(connection)

    async def _connected(self):
        """Return the present connection; dial the peer where there is none.

        A connection that is closing counts as none, though its end was not told yet:
        nothing can be sent on it.
        """
        if self._connection is not None and self._connection.is_closing:
            self._note_lost(self._connection)
        if self._connection is None:
            self._connection = await self._dial()
        return self._connection

    async def _dial(self):
        """Return a new connection.

        Failure: hosts come up one after the other, and the first dials one that has no
        power yet. Its packet is lost, and the kernel sends it again only after a
        second, in which the two do not hear each other and each makes itself home. So
        it is dialled anew where the connection is not there soon.
        """
        limit_ms, rest_ms = INITIAL_CONNECT_TIMEOUT_MS, INITIAL_BACKOFF_MS
        while True:
            try:
                return await self._dial_once(limit_ms)
            except TimeoutError:
                self._note_state(reachable=False, reason="no connection in time")
                limit_ms = min(MAX_CONNECT_TIMEOUT_MS, 2 * limit_ms)
            except OSError as error:
                self._note_state(reachable=False, reason=str(error))
                await asyncio.sleep(rest_ms / MS_PER_S)
                rest_ms = min(MAX_BACKOFF_MS, 2 * rest_ms)
            self._drop_stale()

    async def _dial_once(self, limit_ms):
        ip, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limit_ms / MS_PER_S):
            _, connection = await loop.create_connection(
                lambda: Connection(self._note_lost), ip.strip("[]"), int(port)
            )
        self._note_state(reachable=True)
        return connection

    def _note_lost(self, connection):
        """Forget a connection that has ended, and tell it where it was in use."""
        if connection is self._connection:
            self._connection = None
            if not self._closed:
                self._on_connection_lost(self.address)

    def _drop_stale(self):
        before_ms = self._clock.now_ms() - MAX_QUEUED_MS
        while self._queue and self._queue[0][0] < before_ms:
            self._queue.popleft()
            self.dropped_count += 1

    def _send_queued(self, connection):
        if connection is not self._connection or connection.is_closing:
            # It ended, or was renewed, while this waited.
            return
        self._drop_stale()
        count = min(MAX_BATCH, len(self._queue))
        batch = [self._queue.popleft()[1] for _ in range(count)]
        frame = self._encode(batch) if batch else None
        if frame is not None:
            connection.write(frame)
            self.bytes_sent += len(frame)

    def _encode(self, batch):
        self._sequence += 1
        envelope = Envelope(
            sender=self._sender,
            incarnation=self._incarnation,
            receiver=self.address,
            sequence=self._sequence,
            sent_ms=self._clock.now_ms(),
            messages=batch,
        )
        # A message that can not be encoded is a fault of this program, and must not
        # end this task: the peer would hear nothing more from a host that looks
        # alive to all others.
        try:
            return self._codec.encode(envelope)
        except (TypeError, ValueError, OverflowError) as error:
            self.dropped_count += len(envelope.messages)
            kinds = ",".join(type(item).__name__ for item in envelope.messages)
            _log.error("peer_encode_failed", kinds=kinds, reason=str(error))
            return None

    def _note_state(self, reachable, reason=""):
        """Log the first failure and the first success after it, not each one."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = "peer_reachable" if reachable else "peer_unreachable"
        _log.info(event, peer=self.address, reason=reason)
