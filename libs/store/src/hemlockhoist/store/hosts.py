"""Client of the platform's host list, which lags behind the actual members."""

import enum

import msgspec

from hemlockhoist.base import DECODE_ERRORS, PlatformError, get_logger

_log = get_logger("hemlockhoist.store")


class MemberKind(enum.Enum):
    """Kind of a member of the host list."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class MemberState(enum.Enum):
    """State of a member in the host list, from which dead members are soon removed."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedMember(msgspec.Struct, frozen=True, kw_only=True):
    """One process in the host list.

    Parameters
    ==========
    member_id : str
    kind : MemberKind
    address : str
        ``IP:port`` that callers connect to.
    peer_address : str
        ``IP:port`` that other entry hosts connect to.
    failure_domain : str
    state : MemberState
    pool, version, generation : str
        Set for upstreams only.
    checks_fencing : bool
        Whether an upstream refuses orders with an outdated fencing token.
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
    members: tuple[ListedMember, ...]


class _RawListAnswer(msgspec.Struct, frozen=True):
    members: list[msgspec.Raw]


class HostListClient:
    """Reads the host list by conditional requests.

    The list of a whole fleet takes megabytes, and most reads find it unchanged. Each
    read sends the ETag of the previous one, so that an unchanged list is neither
    transferred nor decoded again.

    Parameters
    ==========
    transport : hemlockhoist.store.PlatformTransport
        Started and closed by the owner.
    """

    __slots__ = ("_etag", "_members", "_transport")

    def __init__(self, transport):
        self._transport = transport
        self._etag = ""
        self._members = ()

    @classmethod
    def from_config(cls, transport):
        """Return a client that uses ``transport``."""
        return cls(transport)

    async def read(self):
        """Return the members in the host list.

        An empty list is returned unchanged: whether it is plausible is decided by the
        membership, not by this client.

        Returns
        =======
        tuple of ListedMember

        Raises
        ======
        PlatformError
        """
        fetched = await self._transport.fetch("/hosts", self._etag)
        if fetched.changed:
            if fetched.body is None:
                raise PlatformError("host list not found on the platform (GET /hosts)")
            self._members = _decode_list(fetched.body)
            self._etag = fetched.etag
        return self._members


def _decode_list(body):
    try:
        return msgspec.json.decode(body, type=_ListAnswer).members
    except DECODE_ERRORS:
        return _decode_individually(body)


def _decode_individually(body):
    try:
        answer = msgspec.json.decode(body, type=_RawListAnswer)
    except DECODE_ERRORS as error:
        raise PlatformError(f"invalid host list: {error}") from error
    found = (_decode_member(item) for item in answer.members)
    return tuple(member for member in found if member is not None)


def _decode_member(body):
    """Return the decoded member, or None for an invalid entry.

    Invalid entries are skipped one by one: rejecting the list because of one of them
    would hide the whole fleet from every host at once.
    """
    try:
        return msgspec.json.decode(body, type=ListedMember)
    except DECODE_ERRORS as error:
        _log.warning("member_skipped", reason=str(error))
        return None
