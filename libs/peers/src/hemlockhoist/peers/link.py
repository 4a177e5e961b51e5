"""The sending side: one task and one socket for each peer, messages in batches."""

import asyncio
import collections

import pynng

from hemlockhoist.base import MS_PER_S, get_logger
from hemlockhoist.messages import Envelope
from hemlockhoist.peers.ending import end_task

_log = get_logger("peers.link")

# A pynng message costs some 200 microseconds of hand-over between threads, whatever
# its size; batching keeps that cost per envelope and not per message.
MAX_BATCH = 256
# A peer that takes nothing for this long is dead or cut off: what is queued for it
# is stale by then, and every exchange between hosts is repeated by its sender.
SEND_TIMEOUT_MS = 1_000
# Bounds the memory that an unreachable peer can cost; the oldest go first.
MAX_QUEUED = 4_096
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
# A peer is dialled again after this while no connection is there, and twice as long
# each further time. Many round trips, and much less than the second after which the
# kernel repeats the first packet of a connection.
REDIAL_MIN_MS = 150
REDIAL_MAX_MS = 1_000
# Between two renewals of a connection: a new one is there within a few round trips,
# and whoever has no answer asks for a renewal with each question.
MIN_RENEWAL_MS = 400


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
    on_broken : callable
        ``on_broken(address)`` is called when an open connection has ended.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_codec",
        "_dialer",
        "_incarnation",
        "_loop",
        "_on_broken",
        "_queue",
        "_reachable",
        "_redial",
        "_renewed_ms",
        "_sender",
        "_sequence",
        "_socket",
        "_task",
        "_wake",
        "address",
        "bytes_sent",
        "dropped",
    )

    def __init__(self, codec, clock, sender, incarnation, address, on_broken):
        self._on_broken = on_broken
        self._loop = asyncio.get_running_loop()
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
        self._socket = None
        self._dialer = None
        self._redial = None
        self._task = None
        self.bytes_sent = 0
        self.dropped = 0

    def start(self):
        """Begin to dial the peer, and go on until ``close``."""
        self._dial()
        self._task = asyncio.create_task(self._run())

    def _dial(self):
        found = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        found.add_post_pipe_remove_cb(lambda pipe: self._pipe_removed(found))
        self._socket = found
        self._dialer = found.dial(f"tcp://{self.address}", block=False)
        self._wait_connected(REDIAL_MIN_MS)

    def _wait_connected(self, wait_ms):
        if self._redial is not None:
            self._redial.cancel()
        self._redial = self._loop.call_later(
            wait_ms / MS_PER_S, self._dial_again, wait_ms
        )

    def _dial_again(self, waited_ms):
        """Dial anew where the connection is not there yet.

        Failure: hosts come up one after the other, and the first dials one that has no
        power yet. Its packet is lost, and the kernel sends it again only after a
        second, in which the two do not hear each other and each makes itself home.
        """
        if self._closed or self._socket.pipes:
            return
        self._dialer.close()
        self._dialer = self._socket.dial(f"tcp://{self.address}", block=False)
        self._wait_connected(min(REDIAL_MAX_MS, 2 * waited_ms))

    def renew(self):
        """Take a new connection in the place of one that may carry nothing.

        Failure: a peer's machine lost its power, or a connection has gone silent; what
        is sent on it is lost, without an error, for as long as the kernel tries. The
        peer's own messages still arrive, so that it looks well. Whoever misses answers
        asks for this. What is still queued goes by the new connection, under numbers
        that go on: the receiver takes no envelope twice.
        """
        now_ms = self._clock.now_ms()
        if self._renewed_ms is not None and now_ms - self._renewed_ms < MIN_RENEWAL_MS:
            return
        self._renewed_ms = now_ms
        former = self._socket
        self._dial()
        if former is not None:
            former.close()

    def _pipe_removed(self, found):
        # Called in a thread of the library.
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._note_broken, found)

    def _note_broken(self, found):
        if not self._closed and found is self._socket:
            self._on_broken(self.address)

    async def close(self):
        """Stop sending; what is still queued is dropped."""
        self._closed = True
        if self._redial is not None:
            self._redial.cancel()
        await end_task(self._task)
        if self._socket is not None:
            self._socket.close()

    async def flush(self, timeout_ms):
        """Wait until all that was queued has left, at most ``timeout_ms``."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._queue and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(0.005)

    def send(self, message):
        """Queue a message; it leaves with the next envelope."""
        if len(self._queue) == MAX_QUEUED:
            self.dropped += 1
        self._queue.append(message)
        self._wake.set()

    async def _run(self):
        while True:
            await self._wake.wait()
            batch = self._take_batch()
            if not batch:
                self._wake.clear()
                continue
            await self._send_batch(batch)

    def _take_batch(self):
        count = min(MAX_BATCH, len(self._queue))
        return [self._queue.popleft() for _ in range(count)]

    async def _send_batch(self, batch):
        self._sequence += 1
        envelope = Envelope(
            sender=self._sender,
            incarnation=self._incarnation,
            receiver=self.address,
            sequence=self._sequence,
            sent_ms=self._clock.now_ms(),
            messages=batch,
        )
        frame = self._encode(envelope)
        if frame is None:
            return
        try:
            await self._socket.asend(frame)
            self.bytes_sent += len(frame)
            self._note_state(reachable=True)
        except pynng.exceptions.NNGException as error:
            self.dropped += len(batch)
            self._note_state(reachable=False, reason=str(error))

    def _encode(self, envelope):
        # A message that can not be encoded is a fault of this program, and must not
        # end this task: the peer would hear nothing more from a host that looks
        # alive to all others.
        try:
            return self._codec.encode(envelope)
        except (TypeError, ValueError, OverflowError) as error:
            self.dropped += len(envelope.messages)
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
