"""Rows of the table service: read, compare-and-set, transactions."""

import typing
import urllib.parse
import uuid

import msgspec

from hemlockhoist.base import PlatformError, StoreAnswerLost, StoreConflict

ABSENT = 0

_T = typing.TypeVar("_T")


class Row(msgspec.Struct, typing.Generic[_T], frozen=True, kw_only=True):
    """A row as it was read or written.

    Parameters
    ==========
    key : str
    value : object
        Of the type that was asked for.
    version : int
        Counts up by one with each write; 1 is the first.
    change_id : str
        Of the write that made this version.
    """

    key: str
    value: _T
    version: int
    change_id: str


class RowPut(msgspec.Struct, frozen=True, kw_only=True):
    """One conditional write.

    Parameters
    ==========
    table, key : str
    value : object
        Anything that ``msgspec`` encodes.
    if_version : int
        The version that the row must have; ``ABSENT`` when there must be none.
    """

    table: str
    key: str
    value: typing.Any
    if_version: int


class _Stored(msgspec.Struct, frozen=True):
    change_id: str
    data: msgspec.Raw


class _RowAnswer(msgspec.Struct, frozen=True):
    value: _Stored
    version: int
    key: str = ""


class _ListAnswer(msgspec.Struct, frozen=True):
    rows: list[_RowAnswer]


class _WriteAnswer(msgspec.Struct, frozen=True):
    versions: list[int]


class TableClient:
    """The platform's table service.

    A value is stored together with a change id, by which a write whose answer was
    lost can be told from someone else's.

    Parameters
    ==========
    transport : hemlockhoist.store.PlatformTransport
        Started and closed by its owner.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport):
        self._transport = transport

    @classmethod
    def from_config(cls, transport):
        """Return a client that sends by ``transport``."""
        return cls(transport)

    async def read(self, table, key, value_type):
        """Read one row.

        Parameters
        ==========
        table, key : str
        value_type : type

        Returns
        =======
        Row or None

        Raises
        ======
        PlatformError
            When the platform failed, or the row is of another type.
        """
        body = await self._transport.read(_path(table, key))
        if body is None:
            return None
        return _decode_row(key, _decode(body, _RowAnswer), value_type)

    async def list(self, table, value_type):
        """Read all rows of a table, sorted by key.

        Returns
        =======
        tuple of Row

        Raises
        ======
        PlatformError
        """
        body = await self._transport.read(_path(table))
        if body is None:
            return ()
        rows = _decode(body, _ListAnswer).rows
        return tuple(_decode_row(row.key, row, value_type) for row in rows)

    async def put(self, table, key, value, if_version, change_id=None):
        """Write one row if its version is still ``if_version``.

        Returns
        =======
        Row

        Raises
        ======
        StoreConflict, StoreAnswerLost, PlatformError
            As for ``transact``.
        """
        put = RowPut(table=table, key=key, value=value, if_version=if_version)
        change_id = change_id or new_change_id()
        (version,) = await self.transact((put,), change_id)
        return Row(key=key, value=value, version=version, change_id=change_id)

    async def transact(self, puts, change_id=None):
        """Write all rows if all conditions hold, or none.

        A lost answer is settled by reading back. The same write is sent again only
        while a row still has its old version: it is conditional, so that of several
        copies on their way one takes effect.

        Parameters
        ==========
        puts : sequence of RowPut
        change_id : str, optional
            The same for a write that a caller repeats.

        Returns
        =======
        tuple of int
            The new versions.

        Raises
        ======
        StoreConflict
            When someone else changed a row; nothing was written.
        StoreAnswerLost
            When the write may have taken effect, or may still.
        PlatformError
            When the write was not taken.
        """
        change_id = change_id or new_change_id()
        body = _encode_puts(puts, change_id)
        self._transport.on_call()
        lost = None
        attempt = 1
        while True:
            try:
                answer = await self._transport.write("/tables/transact", body)
                return _decode_versions(answer)
            except StoreConflict:
                # After a lost answer, the conflict may be with this very write.
                if lost is None:
                    raise
                if await self._took_effect(puts, change_id, lost):
                    return _next_versions(puts)
            except StoreAnswerLost as error:
                lost = error
                if await self._took_effect(puts, change_id, lost):
                    return _next_versions(puts)
            except PlatformError as error:
                failure = error
            if not await self._transport.wait_before_retry(attempt):
                raise lost or failure
            attempt += 1

    async def _took_effect(self, puts, change_id, lost):
        """Return whether the write is seen in the rows; False: not yet.

        Raises
        ======
        StoreConflict
            When another write holds the place that this one wanted.
        StoreAnswerLost
            When the rows can not be read, or were written several times since.
        """
        unchanged = False
        for put in puts:
            try:
                row = await self.read(put.table, put.key, msgspec.Raw)
            except PlatformError as error:
                raise lost from error
            version = ABSENT if row is None else row.version
            if version > put.if_version and row.change_id == change_id:
                return True
            if version == put.if_version + 1:
                raise StoreConflict(f"{put.table}/{put.key} is at version {version}")
            unchanged = unchanged or version == put.if_version
        if unchanged:
            return False
        # Each row was written twice or more: the first of them may have been ours.
        raise lost


def new_change_id():
    """Return an id for one change, unique over all hosts."""
    return uuid.uuid4().hex


def _path(*parts):
    return "/tables/" + "/".join(urllib.parse.quote(part, safe="") for part in parts)


def _encode_puts(puts, change_id):
    rows = [
        {
            "table": put.table,
            "key": put.key,
            "if_version": put.if_version,
            "value": {"change_id": change_id, "data": put.value},
        }
        for put in puts
    ]
    return msgspec.json.encode({"puts": rows})


def _decode(body, answer_type):
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"the table service's answer is not valid: {error}"
        ) from error


def _decode_versions(answer):
    try:
        return tuple(_decode(answer, _WriteAnswer).versions)
    except PlatformError as error:
        # The status said that the write was taken.
        raise StoreAnswerLost(error.message) from error


def _decode_row(key, answer, value_type):
    stored = answer.value
    value = stored.data
    if value_type is not msgspec.Raw:
        value = _decode(stored.data, value_type)
    return Row(key=key, value=value, version=answer.version, change_id=stored.change_id)


def _next_versions(puts):
    return tuple(put.if_version + 1 for put in puts)
