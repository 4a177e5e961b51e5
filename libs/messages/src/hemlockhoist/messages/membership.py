"""Messages by which hosts maintain the list of members."""

import enum

import msgspec

from hemlockhoist.messages.codes import code_of


class Health(enum.IntEnum):
    """Health of a host according to probes.

    Of two updates with equal revisions, the one with the higher value applies.
    """

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One incarnation of a host.

    Parameters
    ==========
    address : str
        ``IP:port`` for peers, which identifies the host.
    incarnation : str
        Empty while the host is known from the platform's list only.
    started_unix_ms : int
        Start time, which orders the incarnations at one address.
    caller_address : str
        ``IP:port`` for callers.
    failure_domain : str
    processor_millicores : int
        Processor time available to the host, in thousandths of a core; 0 if unknown.
    relay_address : str
        ``IP:port`` at which it passes other hosts' requests on to upstreams; empty if
        it does not.
    """

    address: str
    incarnation: str = ""
    started_unix_ms: int = 0
    caller_address: str = ""
    failure_domain: str = ""
    processor_millicores: int = 0
    relay_address: str = ""


class MemberUpdate(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """State of one member as known to a host, gossiped with probes.

    Parameters
    ==========
    member : Member
    health : Health
    revision : int
        Increased by the member only, to refute a suspicion.
    leaving : bool
        Never reset within one incarnation.
    successor : str
        Incarnation that has the member's key ledger; empty for none.
    full : bool
        Whether it can't take new callers now.
    """

    member: Member
    health: Health = Health.ALIVE
    revision: int = 0
    leaving: bool = False
    successor: str = ""
    full: bool = False


class Probe(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """Checks whether a host is alive.

    Parameters
    ==========
    number : int
        Echoed by the acknowledgement.
    sender : MemberUpdate
        State of the sender.
    updates : tuple of MemberUpdate
        States of a bounded number of other members.
    """

    number: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class ProbeAck(msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True):
    """Acknowledgement by a probed host, received directly or through a relay."""

    number: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class ProbeRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Requests that a host probe ``target_address`` and relay the acknowledgement."""

    number: int
    sender: MemberUpdate
    target_address: str
    updates: tuple[MemberUpdate, ...] = ()


class MembersRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Requests one page of the members whose addresses follow ``after``."""

    sender: MemberUpdate
    after: str = ""


class MembersPage(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """One page of the members; ``next_after`` is empty on the last page."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    next_after: str = ""
