"""What membership takes from the platform and hands to the host."""

import msgspec

from hemlockhoist.messages.membership import Member


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the platform's lagging list.

    Parameters
    ==========
    address : str
        ``IP:port`` for peers.
    caller_address : str
    failure_domain : str
    leaving : bool
    processor_millicores : int
        0 where it is not told.
    """

    address: str
    caller_address: str = ""
    failure_domain: str = ""
    leaving: bool = False
    processor_millicores: int = 0


class Outgoing(msgspec.Struct, frozen=True):
    """A message that the host has to send to a peer; losing it does no harm."""

    address: str
    message: object


class MemberJoined(msgspec.Struct, frozen=True):
    """An incarnation was seen for the first time."""

    member: Member


class MemberLeaving(msgspec.Struct, frozen=True):
    """An incarnation takes no new work."""

    member: Member


class MemberGone(msgspec.Struct, frozen=True):
    """An incarnation does not answer any more, or another runs at its address."""

    member: Member


class SuccessorNamed(msgspec.Struct, frozen=True):
    """A leaving incarnation handed its key ledger to ``successor``."""

    incarnation: str
    successor: str


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to "which hosts shall I use".

    Parameters
    ==========
    addresses : tuple of str
        For callers, in the order to try them.
    ttl_ms : int
        How long a caller may keep the answer. A leaving host serves callers for at
        least this long.
    """

    addresses: tuple[str, ...]
    ttl_ms: int
