"""Loss of all packets that a socket gets from certain IP addresses.

The kernel runs a small program for each packet of a socket (a classic packet filter, see
``SO_ATTACH_FILTER`` in socket(7)). On a listening socket it makes new connections hang,
on a connected one it makes the connection silent; both go on once it is removed.
"""

import ctypes
import ipaddress
import socket
import struct

# Constants of linux/filter.h and asm-generic/socket.h.
_LOAD_WORD = 0x20
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x06
_SOURCE_ADDRESS_OFFSET = 0xFFF00000 + 12
_KEEP_ALL = 0xFFFFFFFF
_KEEP_NOTHING = 0
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27


def drop_packets(sock, ips):
    """Drop what a socket gets from some addresses, and from no others.

    Parameters
    ==========
    sock : socket.socket
        A TCP socket for IPv4, listening or connected.
    ips : iterable of str
        None of them ends the loss.
    """
    words = sorted(int(ipaddress.IPv4Address(ip)) for ip in ips)
    if not words:
        _detach(sock)
        return
    instructions = [(_LOAD_WORD, 0, 0, _SOURCE_ADDRESS_OFFSET)]
    for index, word in enumerate(words):
        instructions.append((_JUMP_IF_EQUAL, len(words) - index, 0, word))
    instructions.append((_RETURN, 0, 0, _KEEP_ALL))
    instructions.append((_RETURN, 0, 0, _KEEP_NOTHING))
    code = b"".join(struct.pack("HBBI", *item) for item in instructions)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(instructions), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def _detach(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
    except FileNotFoundError:
        # The socket had no filter.
        return
