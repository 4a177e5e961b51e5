"""Messages about version moves."""

import msgspec

from hemlockhoist.messages.codes import code_of


class VersionHalted(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Reports that a version was found bad and no host may grant or dispatch to it.

    Halts are grow-only: only a new move with another ``move_id`` can use the version.
    """

    pool: str
    move_id: str
    version: str
    reason: str


class MoveAnnounced(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Reports the current state of a pool's move to the pool's next home.

    ``row`` is the encoded move record, as kept in the store.
    """

    pool: str
    row: bytes


class StreamTaken(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells the host that began a stream of a reader at the sender.

    Attributes
    ==========
    request_id : str
    reader_id : str
        Id of the caller's request that resumed the stream. It is "unknown" from a host
        of a release that does not report when a reader disconnects.
    left_address : str
        Empty if the reader resumes the stream; the address of the engine if it has
        disconnected before the end.
    """

    request_id: str
    reader_id: str = "unknown"
    left_address: str = ""
