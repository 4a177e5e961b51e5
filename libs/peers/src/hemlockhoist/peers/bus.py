"""All of a host's links to its peers, and where it listens for them."""

import asyncio

from hemlockhoist.base import HemlockhoistError, PeerError, get_logger
from hemlockhoist.messages import Codec
from hemlockhoist.peers.inbox import Inbox
from hemlockhoist.peers.link import PeerLink
from hemlockhoist.peers.listener import PeerListener

_log = get_logger("peers.bus")


class PeerBus:
    """Sends typed messages to hosts by address, hands received ones to a handler.

    A host is known to its peers by the address that it listens on for them.

    Parameters
    ==========
    incarnation : str
    listen : str
        ``IP:port``; port 0 takes a free one, see ``address`` after ``start``.
    advertise : str or None
        The address that peers use, where it is another.
    peer_key : bytes
    clock : Clock
    handler : callable
        ``handler(sender, message, late_ms)``; must not block.
    on_connection_lost : callable, optional
        ``on_connection_lost(address)`` is called when the connection to a peer ends.
    """

    __slots__ = (
        "_advertise",
        "_clock",
        "_codec",
        "_handler",
        "_inbox",
        "_incarnation",
        "_links",
        "_listener",
        "_on_connection_lost",
        "address",
        "bytes_received",
        "rejected_count",
    )

    def __init__(
        self,
        incarnation,
        listen,
        advertise,
        peer_key,
        clock,
        handler,
        on_connection_lost=lambda address: None,
    ):
        self._on_connection_lost = on_connection_lost
        self._incarnation = incarnation
        self._listener = PeerListener(listen, self._take, self._reject)
        self._advertise = advertise
        self._codec = Codec(peer_key)
        self._clock = clock
        self._handler = handler
        self._inbox = None
        self._links = {}
        self.address = ""
        self.bytes_received = 0
        self.rejected_count = 0

    async def start(self):
        """Listen for peers."""
        # What arrives before this host knows its address is dropped, as if lost.
        await self._listener.start()
        self.address = self._advertise or self._listener.address
        self._inbox = Inbox(self.address)

    async def close(self):
        """Close all connections."""
        await self._listener.close()
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()

    async def disconnect(self, address):
        """Drop the link to a peer that has left."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.close()
        self._inbox.forget(address)

    async def flush(self, timeout_ms):
        """Wait until queued messages have left, at most ``timeout_ms``."""
        links = list(self._links.values())
        await asyncio.gather(*(link.flush(timeout_ms) for link in links))

    def peers(self):
        """Return the addresses of the hosts that have a link."""
        return tuple(self._links)

    def send(self, address, message):
        """Queue a message; one to this host itself is handled in the next turn.

        The link is made with the first message to a peer.
        """
        if address == self.address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, address, message, 0)
            return
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = self._connect(address)
        link.send(message)

    def received_within(self, address, within_ms):
        """Return whether a peer was heard from within a time."""
        heard_ms = self._inbox.last_received_ms(address)
        return heard_ms is not None and self._clock.now_ms() - heard_ms <= within_ms

    def reconnect(self, address):
        """Take a new connection to a peer that seems not to hear this host."""
        link = self._links.get(address)
        if link is not None:
            link.reconnect()

    def _connect(self, address):
        link = PeerLink(
            self._codec,
            self._clock,
            self.address,
            self._incarnation,
            address,
            self._on_connection_lost,
        )
        link.start()
        return link

    def bytes_sent(self):
        """Return the bytes sent on all present links."""
        return sum(link.bytes_sent for link in self._links.values())

    def _take(self, frame):
        """Take a frame of a peer; one that can not be trusted is dropped alone."""
        self.bytes_received += len(frame)
        if self._inbox is None:
            return
        try:
            envelope = self._codec.decode(frame, self.address)
            late_ms = self._inbox.accept(envelope, self._clock.now_ms())
        except PeerError as error:
            self._reject(error)
            return
        if self._inbox.is_new_incarnation(envelope.sender):
            # The connection was to the run before, and may hang.
            self.reconnect(envelope.sender)
        for message in envelope.messages:
            self._deliver(envelope.sender, message, late_ms)

    def _reject(self, error):
        self.rejected_count += 1
        _log.warning("peer_rejected", code=int(error.code), reason=error.message)

    def _deliver(self, sender, message, late_ms):
        # One message that a handler fails on must not end the task that all peers'
        # messages come through: the host would look alive and answer nobody.
        try:
            self._handler(sender, message, late_ms)
        except HemlockhoistError as error:
            _log.error(
                "peer_message_failed",
                kind=type(message).__name__,
                code=int(error.code),
                reason=error.message,
            )
        except Exception as error:
            _log.error(
                "peer_message_failed",
                kind=type(message).__name__,
                reason=repr(error),
                exc_info=True,
            )
