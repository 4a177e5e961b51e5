"""What hosts tell one another of the configuration in force."""

import msgspec

from hemlockhoist.declarations.model import Declarations
from hemlockhoist.messages.codes import code_of


class HaltedVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A version that was taken back: no host grants it work under this move again."""

    pool: str
    move_id: str
    version: str


class ConfigurationDigest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Tells which declarations and halted versions the sender has.

    Parameters
    ==========
    address : str
        Of the sender.
    version : int
        0 for none.
    number, reply_to : int
        The sender's own number, and that of the digest it answers; 0 for none.
    halted_hash : int
        Equal for equal sets of halted versions.
    wants_reply : bool
        Whether the receiver answers with its own digest.
    is_current : bool
        False from a host that was frozen and has not yet heard what it missed.
    """

    address: str
    version: int
    number: int = 0
    reply_to: int = 0
    halted_hash: int = 0
    wants_reply: bool = False
    is_current: bool = True


class ConfigurationRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks for declarations newer than ``have_version``."""

    address: str
    have_version: int


class ConfigurationContent(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Declarations, whole or as changes.

    Parameters
    ==========
    address : str
    version : int
    declarations : Declarations or None
        Whole.
    base_version : int
        The version that ``changes`` apply to.
    changes : bytes
        Of the sections that differ, where both hosts can work with them.
    """

    address: str
    version: int
    declarations: Declarations | None = None
    base_version: int = 0
    changes: bytes = b""


class HaltedVersions(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """All halted versions that the sender knows."""

    address: str
    halted: tuple[HaltedVersion, ...] = ()


class ConfigurationAck(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """The sender has ``version`` in force, and never again an older one."""

    address: str
    incarnation: str
    version: int


class ConfigurationSummaryRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Asks a collector of acknowledgements for its summary."""

    address: str


class ConfigurationSummary(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """What one collector of acknowledgements knows of the hosts that report to it.

    Parameters
    ==========
    address : str
        Of the collector.
    version : int
        The one that the summary is about.
    confirmed : int
        How many hosts have it or a later one in force.
    lagging : tuple of str
        Addresses of the first few that do not.
    lagging_count : int
    """

    address: str
    version: int
    confirmed: int
    lagging: tuple[str, ...] = ()
    lagging_count: int = 0
