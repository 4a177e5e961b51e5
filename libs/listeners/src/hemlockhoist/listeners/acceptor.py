"""Accepting of connections on one listening socket, through all errors."""

import asyncio
import errno

from hemlockhoist.base import MS_PER_S, PeriodicTask, get_logger
from hemlockhoist.listeners.listening import (
    BACKLOG,
    is_listening,
    open_listener,
    queue_state,
)

_log = get_logger("listeners.acceptor")

# Connections accepted before other work of the event loop gets its turn.
MAX_AT_ONCE = 64
# There is no descriptor or memory for one more connection: those that wait stay in the
# kernel's queue meanwhile.
PAUSE_MS = 50
# A handshake takes a few round trips. Where there is no room, one that takes longer than
# this makes some.
MIN_HANDSHAKE_MS = 500
# Also finds a socket that no longer listens, and connections that were not announced.
CHECK_INTERVAL_MS = 1_000
# A queue that is fuller than this share is not emptied in time.
LONG_QUEUE_SHARE = 0.5
_NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_NONE_WAITS = (BlockingIOError, InterruptedError)


class Acceptor:
    """Accepts the connections of one listening socket until it is closed.

    The event loop closes a listening socket for good, without a log line, on most
    errors of ``accept``. On Linux these include errors of the network that the new
    connection has met. Here each of them costs one connection, or a pause where there
    is no room, and a socket that no longer listens is opened again.

    Parameters
    ==========
    name : str
        What the connections are for, in log lines.
    make_protocol : callable
        Returns the ``asyncio.Protocol`` of a new connection.
    address : str
        ``IP:port``; with port 0 the kernel chooses one.
    listener : socket.socket, optional
        Already listens at the address.
    ssl_context : ssl.SSLContext, optional
    room : callable, optional
        ``room(pending)`` returns whether one more connection may be accepted, beside
        those that have been accepted and are being set up.
    on_accepted : callable, optional
        ``on_accepted(transport)`` is called with each new connection.
    on_error : callable, optional
        ``on_error(name)`` is called with the name of each error of ``accept``.

    Attributes
    ==========
    accepted_count : int
    """

    __slots__ = (
        "_address",
        "_checks",
        "_connecting",
        "_error",
        "_is_long",
        "_is_stopped",
        "_listener",
        "_loop",
        "_make_protocol",
        "_name",
        "_on_accepted",
        "_on_error",
        "_resume",
        "_room",
        "_ssl_context",
        "accepted_count",
    )

    def __init__(
        self,
        name,
        make_protocol,
        address,
        listener=None,
        ssl_context=None,
        room=lambda pending: True,
        on_accepted=lambda transport: None,
        on_error=lambda name: None,
    ):
        self._name = name
        self._make_protocol = make_protocol
        self._address = address
        self._listener = listener
        self._ssl_context = ssl_context
        self._room = room
        self._on_accepted = on_accepted
        self._on_error = on_error
        self._loop = None
        # When each connection that is being set up was accepted, the oldest first.
        self._connecting = {}
        self._checks = PeriodicTask(CHECK_INTERVAL_MS, self._check)
        self._resume = None
        self._error = ""
        self._is_long = False
        self._is_stopped = False
        self.accepted_count = 0

    @property
    def address(self):
        """``IP:port`` that it listens at."""
        return self._address

    @property
    def is_accepting(self):
        """Whether new connections are accepted as they come."""
        if not self._is_open or self._is_stopped:
            return False
        return self._resume is None and not self._is_long

    @property
    def _is_open(self):
        """Whether there is a socket, which there is not if none could be opened."""
        return self._listener is not None and self._listener.fileno() >= 0

    @property
    def pending_count(self):
        """Number of connections that were accepted and are being set up."""
        return len(self._connecting)

    @property
    def waiting_count(self):
        """Number of connections in the kernel's queue."""
        state = queue_state(self._listener) if self._listener is not None else None
        return 0 if state is None else state.waiting

    async def start(self):
        """Listen, and accept connections from now on.

        Raises
        ======
        OSError
            The address can't be used.
        """
        self._loop = asyncio.get_running_loop()
        ip, _, port = self._address.rpartition(":")
        if self._listener is None:
            self._listener = open_listener(ip, int(port))
        self._listener.listen(BACKLOG)
        ip, port = self._listener.getsockname()[:2]
        self._address = f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
        self._loop.add_reader(self._listener, self._accept_ready)
        await self._checks.start()

    async def stop(self):
        """Accept what waits, and stop listening; open connections go on."""
        if self._listener is None or self._is_stopped:
            return
        await self._checks.close()
        # The kernel resets the connections in its queue as the socket is closed.
        while self._is_open and self._accept_ready():
            pass
        self._is_stopped = True
        self._pause_reading()
        if self._resume is not None:
            self._resume.cancel()
        self._listener.close()

    async def close(self):
        """Stop listening, and give up connections that are being set up."""
        await self.stop()
        for task in tuple(self._connecting):
            task.cancel()
        await asyncio.gather(*self._connecting, return_exceptions=True)

    def _pause_reading(self):
        if self._is_open:
            self._loop.remove_reader(self._listener)

    def _accept_ready(self):
        """Accept some connections; return whether more may wait."""
        for _ in range(MAX_AT_ONCE):
            if not self._room(len(self._connecting)):
                self._give_up_oldest()
                self._pause("no room")
                return False
            try:
                connection, _ = self._listener.accept()
            except _NONE_WAITS:
                return False
            except OSError as error:
                if not self._go_on_after(error):
                    return False
                continue
            self._accept(connection)
        return True

    def _accept(self, connection):
        self.accepted_count += 1
        if self._error:
            _log.info("accept_recovered", listener=self._name, reason=self._error)
            self._error = ""
        connection.setblocking(False)
        task = self._loop.create_task(self._connect(connection))
        self._connecting[task] = self._loop.time()
        task.add_done_callback(self._connecting.pop)

    def _give_up_oldest(self):
        """Close the connection whose handshake has been waited for longest."""
        task = next(iter(self._connecting), None)
        if task is None:
            return
        waited_ms = MS_PER_S * (self._loop.time() - self._connecting[task])
        if waited_ms >= MIN_HANDSHAKE_MS:
            _log.info(
                "handshake_given_up", listener=self._name, waited_ms=int(waited_ms)
            )
            task.cancel()

    async def _connect(self, connection):
        try:
            transport, _ = await self._loop.connect_accepted_socket(
                self._make_protocol, connection, ssl=self._ssl_context
            )
        except OSError as error:
            # The caller has left, or its handshake failed.
            connection.close()
            _log.info("connection_lost_early", listener=self._name, reason=str(error))
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        self._on_accepted(transport)

    def _go_on_after(self, error):
        """Record an error of ``accept``; return whether to try the next connection."""
        name = errno.errorcode.get(error.errno, type(error).__name__)
        self._on_error(name)
        if not is_listening(self._listener):
            self._open_again(name)
            return False
        if error.errno in _NO_ROOM:
            self._pause(name)
            return False
        self._log_error(name)
        return True

    def _log_error(self, reason):
        if reason != self._error:
            self._error = reason
            _log.warning("accept_failed", listener=self._name, reason=reason)

    def _pause(self, reason):
        """Leave connections in the kernel's queue for a moment."""
        self._log_error(reason)
        if self._resume is None:
            self._pause_reading()
            self._resume = self._loop.call_later(PAUSE_MS / MS_PER_S, self._go_on)

    def _go_on(self):
        self._resume = None
        if self._is_open:
            self._loop.add_reader(self._listener, self._accept_ready)
            self._accept_ready()

    def _open_again(self, reason):
        """Replace a socket that no longer listens, which may be closed already."""
        if self._is_open:
            _log.error("listener_lost", listener=self._name, reason=reason)
            self._pause_reading()
            self._listener.close()
        ip, _, port = self._address.rpartition(":")
        try:
            self._listener = open_listener(ip, int(port))
        except OSError as error:
            # Tried again by the next check.
            _log.error("listener_not_opened", listener=self._name, reason=str(error))
            return
        self._loop.add_reader(self._listener, self._accept_ready)
        _log.info("listener_opened", listener=self._name, address=self._address)

    def _check(self):
        if not is_listening(self._listener):
            self._open_again("no longer listening")
            return
        state = queue_state(self._listener)
        is_long = state is not None and state.waiting > LONG_QUEUE_SHARE * state.length
        if is_long != self._is_long:
            self._is_long = is_long
            waiting = state.waiting if state is not None else 0
            _log.warning(
                "accept_queue", listener=self._name, waiting=waiting, long=is_long
            )
        if self._resume is None:
            # A connection that was not announced would wait for the next one.
            self._accept_ready()
