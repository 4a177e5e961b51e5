"""The platform's list of live and leaving hosts and upstreams, which lags."""

import enum

import msgspec

from hemlockhoist.base import PlatformError, get_logger

_log = get_logger("hemlockhoist.store")


class MemberKind(enum.Enum):
    """What a member of the list is."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class MemberState(enum.Enum):
    """What the list says of a member; a dead one is soon no longer in it."""

    LIVE = "live"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One process in the list.

    Parameters
    ==========
    member_id : str
    kind : MemberKind
    address : str
        ``IP:port`` for callers of the member.
    peer_address : str
        ``IP:port`` for other entry hosts.
    failure_domain : str
    state : MemberState
    pool, version, generation : str
        Of an upstream.
    checks_fencing : bool
        Whether an upstream refuses an order with an old fencing number.
    """

    member_id: str = msgspec.field(name="id")
    kind: MemberKind
    address: str
    peer_address: str = ""
    failure_domain: str = ""
    state: MemberState = MemberState.LIVE
    pool: str = ""
    version: str = ""
    generation: str = ""
    checks_fencing: bool = False


class _ListAnswer(msgspec.Struct, frozen=True):
    members: tuple[Member, ...]


class _RawListAnswer(msgspec.Struct, frozen=True):
    members: list[msgspec.Raw]


class HostListClient:
    """Reads the host list.

    The list of a whole fleet is megabytes, and most readings find it as it was. Each
    names the list that was read last, so that an unchanged one is neither sent nor
    decoded again.

    Parameters
    ==========
    transport : hemlockhoist.store.PlatformTransport
        Started and closed by its owner.
    """

    __slots__ = ("_etag", "_members", "_transport")

    def __init__(self, transport):
        self._transport = transport
        self._etag = ""
        self._members = ()

    @classmethod
    def from_config(cls, transport):
        """Return a client that sends by ``transport``."""
        return cls(transport)

    async def read(self):
        """Read the list.

        An empty list is returned as such: whether to believe it is a decision of the
        membership, not of this client.

        Returns
        =======
        tuple of Member

        Raises
        ======
        PlatformError
        """
        fetched = await self._transport.fetch("/hosts", self._etag)
        if fetched.changed:
            if fetched.body is None:
                raise PlatformError("the platform has no host list")
            self._members = _decode_list(fetched.body)
            self._etag = fetched.etag
        return self._members


def _decode_list(body):
    try:
        return msgspec.json.decode(body, type=_ListAnswer).members
    except msgspec.DecodeError:
        return _decode_one_by_one(body)


def _decode_one_by_one(body):
    try:
        answer = msgspec.json.decode(body, type=_RawListAnswer)
    except msgspec.DecodeError as error:
        raise PlatformError(f"the host list is not valid: {error}") from error
    found = (_decode_member(item) for item in answer.members)
    return tuple(member for member in found if member is not None)


def _decode_member(body):
    """Return the member, or None for one that can not be read.

    One bad entry would otherwise hide the whole fleet from every host at once.
    """
    try:
        return msgspec.json.decode(body, type=Member)
    except msgspec.DecodeError as error:
        _log.warning("member_skipped", reason=str(error))
        return None
