"""Opening of listening sockets, and what the kernel tells of them."""

import resource
import socket

import msgspec

# Covers the callers of a fleet that has just lost half of its hosts, and the peers of a
# whole fleet that starts at the same time. When it is full, the kernel drops the first
# packet of a connection, which its sender repeats after a second.
BACKLOG = 1_024

# Places of two fields of the kernel's ``tcp_info``. For a listening socket they hold the
# connections that wait and the length of their queue.
_WAITING = slice(24, 28)
_LENGTH = slice(28, 32)
_INFO_BYTES = 104


class QueueState(msgspec.Struct, frozen=True):
    """The kernel's queue of connections that have not been accepted.

    Parameters
    ==========
    waiting, length : int
        How many wait, and how many have room.
    """

    waiting: int
    length: int


def open_listener(ip, port):
    """Return a non-blocking socket that listens at an address.

    Raises
    ======
    OSError
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip.strip("[]"), port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def descriptor_limit(configured):
    """Return how many descriptors the process may open: as configured, or its own limit."""
    if configured:
        return configured
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft


def is_listening(listener):
    """Return whether the kernel still queues connections for a socket."""
    try:
        return bool(listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    except OSError:
        return False


def queue_state(listener):
    """Return the ``QueueState`` of a socket; None if the kernel does not tell it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return None
    if len(info) < _LENGTH.stop:
        return None
    waiting, length = (int.from_bytes(info[at], "little") for at in (_WAITING, _LENGTH))
    return QueueState(waiting=waiting, length=length)
