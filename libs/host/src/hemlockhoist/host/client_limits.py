"""The limits on what clients may send, which no setting changes."""

import msgspec

from hemlockhoist.decisions.entry import connection_table
from hemlockhoist.listeners import http_connection, http_connections, request_reader
from hemlockhoist.peers import listener


class ClientLimit(msgspec.Struct, frozen=True):
    """One limit on clients.

    Parameters
    ==========
    subject : str
        What is limited.
    value : str
        With its unit; or the declared limit that it follows.
    effect : str
        What a client meets that goes beyond it.
    """

    subject: str
    value: str
    effect: str


_CLOSED = "closed"
_WAITS = "not read until there is room"

CLIENT_LIMITS = (
    ClientLimit(
        "Head of a request: all bytes since the end of the request before, empty lines "
        "included",
        "`max_header_bytes` in force",
        "431, code 113, then closed",
    ),
    ClientLimit(
        "Fields of a head", f"{request_reader.MAX_FIELDS}", "431, code 113, then closed"
    ),
    ClientLimit(
        "Time of a head from its first byte, on every request of a connection",
        "`header_timeout_ms` in force (`body_timeout_ms` of a host's own interface), "
        f"checked every {http_connections.CHECK_INTERVAL_MS} ms",
        "408, code 115, then closed",
    ),
    ClientLimit("Bytes that are no HTTP request", "none", "400, code 114, then closed"),
    ClientLimit(
        "Memory for heads over "
        f"{http_connection.FREE_BYTES} bytes, {http_connection.HEAD_COPIES} times each",
        "half of the host's memory budget for requests, with the bodies; without "
        f"a memory limit {http_connections.DEFAULT_MEMORY_BYTES} bytes an address",
        "503, code 221, then closed",
    ),
    ClientLimit("Requests of a connection in progress", "1", _WAITS),
    ClientLimit(
        "Bytes received ahead of a connection's request",
        f"{http_connection.READ_BYTES}, {http_connection.SHORT_READ_BYTES} while "
        "memory is waited for",
        _WAITS,
    ),
    ClientLimit(
        "Unread answers of a connection as its next request begins",
        f"{http_connection.MAX_UNREAD_BYTES} bytes beside the kernel's",
        "the next request waits",
    ),
    ClientLimit(
        "Time in which a client takes nothing of its answers",
        f"{http_connection.UNREAD_TIMEOUT_MS} ms",
        "cut off",
    ),
    ClientLimit(
        "Line of a chunk's size and extension; fields after the last chunk",
        "`max_header_bytes` in force, each",
        "the body is malformed: refused as such, then closed",
    ),
    ClientLimit(
        "Chunks of a body taken apart before others get their turn",
        f"{request_reader.MAX_CHUNKS_PER_TURN}",
        "the rest waits for the next turn",
    ),
    ClientLimit(
        "Body that goes on after its answer",
        f"`max_body_bytes` in force, at least {http_connection.LINGER_BYTES} bytes",
        "cut off",
    ),
    ClientLimit(
        "What is read and dropped after a refusal that ends the connection",
        f"{http_connection.LINGER_BYTES} bytes, {http_connection.LINGER_MS} ms",
        _CLOSED,
    ),
    ClientLimit(
        "Connections at each address for readiness, operators, metrics",
        f"{connection_table.STATUS_CONNECTIONS}",
        "an idle one is closed for a new one, which waits until there is one",
    ),
    ClientLimit(
        "Connections at the address of the directory, beside these",
        f"1 in {int(1 / connection_table.DIRECTORY_SHARE)} of the descriptors, "
        f"{connection_table.MIN_DIRECTORY_CONNECTIONS} to "
        f"{connection_table.MAX_DIRECTORY_CONNECTIONS}",
        "as above",
    ),
    ClientLimit(
        "Connections at the address for relayed requests",
        f"1 in {int(1 / connection_table.RELAY_SHARE)} of the descriptors, "
        f"{connection_table.MIN_RELAY_CONNECTIONS} to "
        f"{connection_table.MAX_RELAY_CONNECTIONS}",
        "as above",
    ),
    ClientLimit(
        "Connections at the address for other hosts without a valid frame",
        f"1 in {int(1 / connection_table.UNPROVEN_SHARE)} of the descriptors, at least "
        f"{connection_table.MIN_UNPROVEN_CONNECTIONS}",
        f"the oldest is closed for a new one, after {listener.MIN_UNPROVEN_MS} ms",
    ),
    ClientLimit(
        "Invalid frames on such a connection",
        f"{listener.MAX_REJECTED_FRAMES}",
        _CLOSED,
    ),
    ClientLimit(
        "Incomplete frames on such connections together",
        f"{listener.MAX_UNPROVEN_BYTES} bytes",
        _CLOSED,
    ),
)
