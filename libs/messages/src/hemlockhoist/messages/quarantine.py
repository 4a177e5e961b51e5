"""Messages between hosts about parts of prompts and requests that crash upstreams."""

import enum

import msgspec

from hemlockhoist.messages.codes import code_of


class PartState(enum.IntEnum):
    """What hosts do with a request, or with those that hold a part of a prompt."""

    CLEAR = 0
    # Sent to one upstream at a time, and not a second time.
    SUSPECTED = 1
    # Not sent.
    BLOCKED = 2


class PartRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The evidence against one part of prompts, or against one request.

    Records of one part are merged: the higher epoch counts, and within an epoch all
    crashes, the higher state and the higher number of tries.

    Parameters
    ==========
    part : int
        Hash of the part's name, or the fingerprint of the request.
    epoch : int
        Incremented whenever evidence is withdrawn.
    crashes : tuple of int
        Ids of the crashes of upstreams that it is held responsible for, sorted.
    state : int
        A ``PartState``.
    tries : int
        Single requests that were sent since it was blocked.
    is_request : bool
        Whether it is about a whole request.
    """

    part: int
    epoch: int = 0
    crashes: tuple[int, ...] = ()
    state: int = PartState.CLEAR
    tries: int = 0
    is_request: bool = False


class PartRecords(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells another host of changed evidence against parts of prompts and requests."""

    records: tuple[PartRecord, ...]
