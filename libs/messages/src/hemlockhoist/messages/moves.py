"""Messages about version moves."""

import msgspec

from hemlockhoist.messages.codes import code_of


class VersionHalted(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """A version was seen to be bad: no host grants or dispatches to it any more.

    Grow-only: nothing takes it back but a new move with another ``move_id``.
    """

    pool: str
    move_id: str
    version: str
    reason: str


class MoveAnnounced(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The home's present view of a pool's move, for whoever is home next.

    ``row`` is the encoded move record, as it stands in the table service.
    """

    pool: str
    row: bytes


class StreamTaken(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """A caller resumed a stream at the sender: its former host must not cancel it."""

    request_id: str
