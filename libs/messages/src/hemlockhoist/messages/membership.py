"""What hosts tell one another of which hosts there are."""

import enum

import msgspec

from hemlockhoist.messages.codes import code_of


class Health(enum.IntEnum):
    """What probes say of a host; of equal revisions the higher value counts."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One run of a host process.

    Parameters
    ==========
    address : str
        ``IP:port`` for peers; what hosts are told apart by.
    incarnation : str
        Empty as long as only the platform's list has named the host.
    started_unix_ms : int
        Orders the runs at one address.
    caller_address : str
        ``IP:port`` for callers.
    failure_domain : str
    processor_millicores : int
        What the host may use, in thousandths of a core; 0 where it is not told.
    """

    address: str
    incarnation: str = ""
    started_unix_ms: int = 0
    caller_address: str = ""
    failure_domain: str = ""
    processor_millicores: int = 0


class MemberUpdate(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """What a host knows of one member, passed on with probes.

    Parameters
    ==========
    member : Member
    health : Health
    revision : int
        Raised by the member alone, to refute a suspicion.
    leaving : bool
        Never taken back for one incarnation.
    successor : str
        Incarnation that has the member's key ledger; empty for none.
    """

    member: Member
    health: Health = Health.ALIVE
    revision: int = 0
    leaving: bool = False
    successor: str = ""


class Probe(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """Asks a host for a sign of life.

    Parameters
    ==========
    number : int
        Echoed by the acknowledgement.
    sender : MemberUpdate
        The sender on itself.
    updates : tuple of MemberUpdate
        On others; a bounded number.
    """

    number: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class ProbeAck(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """A probed host's sign of life, given directly or passed on for it."""

    number: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class ProbeRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a host to probe ``target_address`` and to pass its answer on."""

    number: int
    sender: MemberUpdate
    target_address: str
    updates: tuple[MemberUpdate, ...] = ()


class MembersRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks for one page of the members with an address after ``after``."""

    sender: MemberUpdate
    after: str = ""


class MembersPage(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """One page of members; ``next_after`` is empty on the last page."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    next_after: str = ""
