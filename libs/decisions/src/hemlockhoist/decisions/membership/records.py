"""Records that membership exchanges with the platform and the host."""

import msgspec

from hemlockhoist.messages.membership import Member


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host in the platform's list, which may lag behind.

    Parameters
    ==========
    address : str
        ``IP:port`` for peers.
    caller_address : str
    failure_domain : str
    leaving : bool
    processor_millicores : int
        0 if unknown.
    """

    address: str
    caller_address: str = ""
    failure_domain: str = ""
    leaving: bool = False
    processor_millicores: int = 0


class Outgoing(msgspec.Struct, frozen=True):
    """A message to be sent to a peer; its loss is tolerated."""

    address: str
    message: object


class MemberJoined(msgspec.Struct, frozen=True):
    """An incarnation was seen for the first time."""

    member: Member


class MemberLeaving(msgspec.Struct, frozen=True):
    """An incarnation no longer accepts new work."""

    member: Member


class MemberGone(msgspec.Struct, frozen=True):
    """An incarnation no longer answers, or another one runs at its address."""

    member: Member


class SuccessorNamed(msgspec.Struct, frozen=True):
    """A leaving incarnation handed its key ledger to ``successor``."""

    incarnation: str
    successor: str


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a caller that requests the addresses of the hosts to use.

    Parameters
    ==========
    addresses : tuple of str
        Caller addresses, in the order in which to try them.
    ttl_ms : int
        Time for which a caller may cache the answer. A leaving host serves callers for
        at least this time.
    """

    addresses: tuple[str, ...]
    ttl_ms: int
