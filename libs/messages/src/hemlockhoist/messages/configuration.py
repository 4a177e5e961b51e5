"""Messages between hosts about the configuration in force."""

import msgspec

from hemlockhoist.declarations.model import Declarations
from hemlockhoist.messages.codes import code_of


class HaltedVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A version that was rolled back: no host grants it work under this move again."""

    pool: str
    move_id: str
    version: str


class ConfigurationDigest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States which declarations and halted versions the sender has.

    Parameters
    ==========
    address : str
        Address of the sender.
    version : int
        Version of the declarations; 0 for none.
    number, reply_to : int
        Number of this digest, and of the digest to which it replies; 0 for none.
    halted_hash : int
        Hash of the set of halted versions.
    wants_reply : bool
        Whether the receiver must reply with its own digest.
    is_current : bool
        False for a host that was suspended and has not yet caught up.
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
    """Requests declarations newer than ``have_version``."""

    address: str
    have_version: int


class ConfigurationContent(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Declarations in full or as changes to an earlier version.

    Parameters
    ==========
    address : str
    version : int
    declarations : Declarations or None
        The full declarations.
    base_version : int
        Version to which ``changes`` apply.
    changes : bytes
        Encoded changes of the sections that differ, if both hosts support them.
    """

    address: str
    version: int
    declarations: Declarations | None = None
    base_version: int = 0
    changes: bytes = b""


class HaltedVersions(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """All halted versions known to the sender."""

    address: str
    halted: tuple[HaltedVersion, ...] = ()


class ConfigurationAck(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """States that the sender has ``version`` in force, and never again an older one."""

    address: str
    incarnation: str
    version: int


class ConfigurationSummaryRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Requests the summary of a collector of acknowledgements."""

    address: str


class ConfigurationSummary(
    msgspec.Struct, frozen=True, kw_only=True, tag=code_of, array_like=True
):
    """Summary that one collector gives of the hosts that acknowledge to it.

    Parameters
    ==========
    address : str
        Address of the collector.
    version : int
        Version that the summary is about.
    confirmed : int
        Number of hosts that have this or a later version in force.
    lagging : tuple of str
        Addresses of the first few hosts that do not.
    lagging_count : int
        Number of all hosts that do not.
    """

    address: str
    version: int
    confirmed: int
    lagging: tuple[str, ...] = ()
    lagging_count: int = 0
