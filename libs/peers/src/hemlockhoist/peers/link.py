"""Sending to a peer: one task and one connection for each peer, messages in batches."""

import asyncio
import collections

from hemlockhoist.base import MS_PER_S, get_logger, io_timeout
from hemlockhoist.messages import UNBATCHED_TYPES, Envelope
from hemlockhoist.peers.connection import Connection

_log = get_logger("peers.link")

# Limits the time for which one envelope can delay the messages queued behind it.
MAX_BATCH = 256
# A peer that accepts nothing for this long is dead or partitioned. Messages queued for
# it are stale by then, and every sender repeats its requests.
MAX_QUEUED_MS = 1_000
# Limits the memory used for an unreachable peer; the oldest messages are dropped first.
MAX_QUEUED = 4_096
# Wait after a refused connection, doubled after each consecutive refusal.
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
# Timeout of an attempt to connect, doubled for each further attempt. It is many round
# trips, but much less than the second after which the kernel retransmits the first
# packet of a connection.
INITIAL_CONNECT_TIMEOUT_MS = 150
MAX_CONNECT_TIMEOUT_MS = 1_000
# A new connection is established within a few round trips, and a sender without a reply
# requests a reconnection with each repeated request.
MIN_RECONNECT_INTERVAL_MS = 400
FLUSH_POLL_INTERVAL_MS = 5
# Interval at which a peer is told again what this host knows of the store, with
# messages that are sent anyway.
NEWS_INTERVAL_MS = 1_000


class PeerLink:
    """Sends envelopes to one peer; messages may be lost but are never duplicated.

    Parameters
    ==========
    codec : Codec
    clock : Clock
    sender, incarnation : str
        Address and incarnation of this host.
    address : str
        ``IP:port`` of the peer.
    on_connection_lost : callable
        ``on_connection_lost(address)`` is called when an open connection has ended.
    news : callable
        Returns the ``StoreNews`` of this host, or None.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_codec",
        "_connection",
        "_incarnation",
        "_news",
        "_news_sent_ms",
        "_news_version",
        "_on_connection_lost",
        "_queue",
        "_reachable",
        "_reconnected_ms",
        "_sender",
        "_sequence",
        "_task",
        "_wake",
        "address",
        "bytes_sent",
        "dropped_count",
    )

    def __init__(
        self, codec, clock, sender, incarnation, address, on_connection_lost, news
    ):
        self._on_connection_lost = on_connection_lost
        self._news = news
        self._news_version = 0
        self._news_sent_ms = 0
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
        self._reconnected_ms = None
        self._connection = None
        self._task = None
        self.bytes_sent = 0
        self.dropped_count = 0

    def start(self):
        """Start the sending task, which connects to the peer with the first message."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop sending and drop the queued messages."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._connection is not None:
            self._connection.close()

    async def flush(self, timeout_ms):
        """Wait until all queued messages are sent, at most ``timeout_ms``."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._is_sending and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_MS / MS_PER_S)

    @property
    def _is_sending(self):
        connection = self._connection
        return bool(self._queue or (connection and connection.unsent_bytes))

    def send(self, message):
        """Queue a message for the next envelope."""
        if len(self._queue) == MAX_QUEUED:
            self.dropped_count += 1
        self._queue.append((self._clock.now_ms(), message))
        self._wake.set()

    def reconnect(self):
        """Replace the connection if it may no longer deliver anything.

        Failure prevented: a peer's machine lost power, or the connection stopped
        delivering. What is sent on it is lost without an error for as long as the
        kernel retransmits, while the peer's own messages still arrive, so that it looks
        healthy. A sender that misses replies calls this method. Queued messages go over
        the new connection with continued sequence numbers, so the receiver accepts no
        envelope twice.
        """
        now_ms = self._clock.now_ms()
        if (
            self._reconnected_ms is not None
            and now_ms - self._reconnected_ms < MIN_RECONNECT_INTERVAL_MS
        ):
            return
        self._reconnected_ms = now_ms
        previous, self._connection = self._connection, None
        if previous is not None:
            previous.close()

    async def _run(self):
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                connection = await self._get_connection()
                await connection.wait_writable()
                self._send_queued(connection)

    async def _get_connection(self):
        """Return the current connection, or connect to the peer if there is none.

        A closing connection is treated as lost even before ``connection_lost`` is
        called, because nothing can be sent on it.
        """
        if self._connection is not None and self._connection.is_closing:
            self._on_lost(self._connection)
        if self._connection is None:
            self._connection = await self._connect()
        return self._connection

    async def _connect(self):
        """Return a new connection, retrying until one is established.

        Failure prevented: hosts start one after the other, and the first connects to
        one that has no power yet. The packet is lost, and the kernel retransmits it
        only after a second. In that second the two do not learn of each other, and each
        makes itself home. A new attempt is therefore made after a short timeout.
        """
        timeout_ms, backoff_ms = INITIAL_CONNECT_TIMEOUT_MS, INITIAL_BACKOFF_MS
        while True:
            try:
                return await self._connect_once(timeout_ms)
            except TimeoutError:
                self._set_reachable(reachable=False, reason="connection timed out")
                timeout_ms = min(MAX_CONNECT_TIMEOUT_MS, 2 * timeout_ms)
            except OSError as error:
                self._set_reachable(reachable=False, reason=str(error))
                await asyncio.sleep(backoff_ms / MS_PER_S)
                backoff_ms = min(MAX_BACKOFF_MS, 2 * backoff_ms)
            self._drop_stale()

    async def _connect_once(self, timeout_ms):
        ip, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with io_timeout(timeout_ms):
            _, connection = await loop.create_connection(
                lambda: Connection(self._on_lost), ip.strip("[]"), int(port)
            )
        self._set_reachable(reachable=True)
        return connection

    def _on_lost(self, connection):
        """Drop a connection that has ended, and report it if it was in use."""
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
            # It ended or was replaced while this task was waiting.
            return
        self._drop_stale()
        batch = self._next_batch()
        frame = self._encode(batch) if batch else None
        if frame is not None:
            connection.write(frame)
            self.bytes_sent += len(frame)

    def _next_batch(self):
        """Remove and return the queued messages for the next envelope, in order.

        Failure prevented: a peer of the release before rejects a frame with a message
        of an unknown type, and with it the requests and releases in the same frame.
        """
        batch, queue = [], self._queue
        while queue and len(batch) < MAX_BATCH:
            is_unbatched = type(queue[0][1]) in UNBATCHED_TYPES
            if is_unbatched and batch:
                break
            batch.append(queue.popleft()[1])
            if is_unbatched:
                break
        return batch

    def _encode(self, batch):
        self._sequence += 1
        is_unbatched = type(batch[0]) in UNBATCHED_TYPES
        envelope = Envelope(
            sender=self._sender,
            incarnation=self._incarnation,
            receiver=self.address,
            sequence=self._sequence,
            sent_ms=self._clock.now_ms(),
            messages=batch,
            news=None if is_unbatched else self._due_news(),
        )
        # A message that cannot be encoded is an error of this program and must not end
        # the task: the peer would receive nothing more from a host that looks alive to
        # all others.
        try:
            return self._codec.encode(envelope)
        except (TypeError, ValueError, OverflowError) as error:
            self.dropped_count += len(envelope.messages)
            kinds = ",".join(type(item).__name__ for item in envelope.messages)
            _log.error("peer_encode_failed", kinds=kinds, reason=str(error))
            return None

    def _due_news(self):
        """Return what this host knows of the store, or None if the peer was just told.

        A new change is told at once, with the next message.
        """
        news, now_ms = self._news(), self._clock.now_ms()
        if news is None:
            return None
        is_new = news.changed_version > self._news_version
        if not is_new and now_ms - self._news_sent_ms < NEWS_INTERVAL_MS:
            return None
        self._news_version, self._news_sent_ms = news.changed_version, now_ms
        return news

    def _set_reachable(self, reachable, reason=""):
        """Record whether the peer is reachable, and log only changes."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = "peer_reachable" if reachable else "peer_unreachable"
        _log.info(event, peer=self.address, reason=reason)
