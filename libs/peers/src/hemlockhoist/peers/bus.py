"""Exchange of messages with all peers of a host."""

import asyncio

from hemlockhoist.base import HemlockhoistError, PeerError, get_logger
from hemlockhoist.messages import Codec
from hemlockhoist.peers.inbox import Inbox
from hemlockhoist.peers.link import PeerLink
from hemlockhoist.peers.listener import PeerListener

_log = get_logger("peers.bus")


class PeerBus:
    """Sends typed messages to hosts by address, and passes received ones to a handler.

    Peers identify a host by its advertised address.

    Parameters
    ==========
    incarnation : str
    listen : str
        ``IP:port``; with port 0 a free port is chosen, see ``address`` after ``start``.
    advertise : str or None
        Address that peers use, if it differs from the listening address.
    peer_key : bytes
    clock : Clock
    handler : callable
        ``handler(sender, message, late_ms)``; must not block. ``late_ms`` is the delay
        measured by ``Inbox``.
    on_connection_lost : callable, optional
        ``on_connection_lost(address)`` is called when the connection to a peer ends.
    news : callable, optional
        Returns the ``StoreNews`` of this host, or None; sent with messages.
    on_news : callable, optional
        ``on_news(sender, news)`` is called when a peer tells what it knows.
    max_descriptors : int, optional
        What the process may open; 0 for its own limit.
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
        "_news",
        "_on_connection_lost",
        "_on_news",
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
        news=lambda: None,
        on_news=lambda sender, news: None,
        max_descriptors=0,
    ):
        self._on_connection_lost = on_connection_lost
        self._news = news
        self._on_news = on_news
        self._incarnation = incarnation
        self._listener = PeerListener(
            listen, self._on_frame, self._reject, max_descriptors
        )
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
        """Start listening for peers."""
        # Frames that arrive before this host knows its address are dropped.
        await self._listener.start()
        self.address = self._advertise or self._listener.address
        self._inbox = Inbox(self.address)

    async def close(self):
        """Close all connections."""
        await self._listener.close()
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()

    async def disconnect(self, address):
        """Close the link to a peer that has left, and drop its state."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.close()
        self._inbox.forget(address)

    async def flush(self, timeout_ms):
        """Wait until queued messages are sent, at most ``timeout_ms``."""
        links = list(self._links.values())
        await asyncio.gather(*(link.flush(timeout_ms) for link in links))

    def peers(self):
        """Return the addresses of the hosts to which there is a link."""
        return tuple(self._links)

    def send(self, address, message):
        """Queue a message to a host.

        The link to a peer is created with the first message. A message to this host
        itself is handled in the next iteration of the event loop.
        """
        if address == self.address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, address, message, 0)
            return
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = self._connect(address)
        link.send(message)

    def silent_ms(self, address):
        """Return the time since the last message of a peer, or None without any."""
        last_ms = self._inbox.last_received_ms(address)
        return None if last_ms is None else self._clock.now_ms() - last_ms

    def received_within(self, address, within_ms):
        """Return whether a message of a peer arrived in the last ``within_ms``."""
        silent_ms = self.silent_ms(address)
        return silent_ms is not None and silent_ms <= within_ms

    def reconnect(self, address):
        """Replace the connection to a peer that seems not to receive messages."""
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
            self._news,
        )
        link.start()
        return link

    def bytes_sent(self):
        """Return the bytes sent on all current links."""
        return sum(link.bytes_sent for link in self._links.values())

    def _on_frame(self, frame):
        """Handle a frame; drop it if it fails verification; return whether it passed."""
        self.bytes_received += len(frame)
        if self._inbox is None:
            return False
        try:
            envelope = self._codec.decode(frame, self.address)
            late_ms = self._inbox.accept(envelope, self._clock.now_ms())
        except PeerError as error:
            self._reject(error)
            return False
        if self._inbox.is_new_incarnation(envelope.sender):
            # The connection leads to the previous incarnation and may hang.
            self.reconnect(envelope.sender)
        if envelope.news is not None:
            self._on_news(envelope.sender, envelope.news)
        for message in envelope.messages:
            self._deliver(envelope.sender, message, late_ms)
        return True

    def _reject(self, error):
        self.rejected_count += 1
        _log.warning("peer_rejected", code=int(error.code), reason=error.message)

    def _deliver(self, sender, message, late_ms):
        # An exception in a handler must not end the task that receives the messages,
        # or the host would look alive but answer no peer.
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
