"""Client of the table service: reads, compare-and-set writes, transactions."""

import typing
import urllib.parse
import uuid

import msgspec

from hemlockhoist.base import (
    DECODE_ERRORS,
    PlatformError,
    StoreAnswerLost,
    StoreConflict,
)

ABSENT = 0

_T = typing.TypeVar("_T")


class Row(msgspec.Struct, typing.Generic[_T], frozen=True, kw_only=True):
    """A row that was read or written.

    Parameters
    ==========
    key : str
    value : object
        Of the requested type.
    version : int
        Incremented by one with each write; 1 is the first.
    change_id : str
        Id of the write that made this version.
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
        Anything that ``msgspec`` can encode.
    if_version : int
        Version that the row must have; ``ABSENT`` when it must not exist.
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
    """Client of the platform's table service.

    Each value is stored together with a change id, by which a write whose answer was
    lost is distinguished from another client's.

    Parameters
    ==========
    transport : hemlockhoist.store.PlatformTransport
        Started and closed by the owner.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport):
        self._transport = transport

    @classmethod
    def from_config(cls, transport):
        """Return a client that uses ``transport``."""
        return cls(transport)

    async def read(self, table, key, value_type):
        """Return one row, or None if it does not exist.

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
            When the platform failed, or the value is not of the requested type.
        """
        body = await self._transport.read(_path(table, key))
        if body is None:
            return None
        return _decode_row(key, _decode(body, _RowAnswer), value_type)

    async def list(self, table, value_type):
        """Return all rows of a table, sorted by key.

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
            As in ``transact``.
        """
        put = RowPut(table=table, key=key, value=value, if_version=if_version)
        change_id = change_id or new_change_id()
        (version,) = await self.transact((put,), change_id)
        return Row(key=key, value=value, version=version, change_id=change_id)

    async def transact(self, puts, change_id=None):
        """Write all rows if all conditions hold, or none.

        After a lost answer, the rows are read to find out whether the write was
        applied. It is sent again only while a row still has its old version. As the
        write is conditional, at most one of several copies in transit is applied.

        Parameters
        ==========
        puts : sequence of RowPut
        change_id : str, optional
            A caller that repeats a write passes the same id.

        Returns
        =======
        tuple of int
            The new versions.

        Raises
        ======
        StoreConflict
            When another client changed a row; nothing was written.
        StoreAnswerLost
            When the write may have been applied, or may still be.
        PlatformError
            When the write was not applied.
        """
        change_id = change_id or new_change_id()
        body = _encode_puts(puts, change_id)
        self._transport.on_call()
        lost_answer = None
        attempt = 1
        while True:
            try:
                answer = await self._transport.write("/tables/transact", body)
                return _decode_versions(answer)
            except StoreConflict:
                # After a lost answer, the conflict may be with this same write.
                if lost_answer is None:
                    raise
                if await self._is_applied(puts, change_id, lost_answer):
                    return _next_versions(puts)
            except StoreAnswerLost as error:
                lost_answer = error
                if await self._is_applied(puts, change_id, lost_answer):
                    return _next_versions(puts)
            except PlatformError as error:
                failure = error
            if not await self._transport.wait_before_retry(attempt):
                raise lost_answer or failure
            attempt += 1

    async def _is_applied(self, puts, change_id, lost_answer):
        """Return whether the rows show the write; False if it is not applied so far.

        Raises
        ======
        StoreConflict
            When another write made the version that this one would have made.
        StoreAnswerLost
            When the rows cannot be read, or were written several times since.
        """
        unchanged = False
        for put in puts:
            try:
                row = await self.read(put.table, put.key, msgspec.Raw)
            except PlatformError as error:
                raise lost_answer from error
            version = ABSENT if row is None else row.version
            if version > put.if_version and row.change_id == change_id:
                return True
            if version == put.if_version + 1:
                raise StoreConflict(f"{put.table}/{put.key} is at version {version}")
            unchanged = unchanged or version == put.if_version
        if unchanged:
            return False
        # Each row was written at least twice; the first of these may be this write.
        raise lost_answer


def new_change_id():
    """Return an id for one change, unique across all hosts."""
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
    except DECODE_ERRORS as error:
        raise PlatformError(
            f"invalid response of the table service: {error}"
        ) from error


def _decode_versions(answer):
    try:
        return tuple(_decode(answer, _WriteAnswer).versions)
    except PlatformError as error:
        # The status reported success, so the write was applied.
        raise StoreAnswerLost(error.message) from error


def _decode_row(key, answer, value_type):
    stored = answer.value
    value = stored.data
    if value_type is not msgspec.Raw:
        value = _decode(stored.data, value_type)
    return Row(key=key, value=value, version=answer.version, change_id=stored.change_id)


def _next_versions(puts):
    return tuple(put.if_version + 1 for put in puts)
