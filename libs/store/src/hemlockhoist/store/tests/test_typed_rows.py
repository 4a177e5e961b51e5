import unittest

import msgspec

from hemlockhoist.base import PlatformError
from hemlockhoist.store import Reading, StoreRow, TypedRows


class Value(msgspec.Struct):
    count: int


class FixedStore:
    """Returns one reading of a table."""

    def __init__(self, **values):
        self._rows = tuple(
            StoreRow(key=key, value=value, version=1) for key, value in values.items()
        )

    async def read_table(self, table):
        return Reading(rows=self._rows, version=1, store_ms=0, sent_ms=0)


class ListTests(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_row_hides_no_other(self):
        """Guards against a table that is unreadable for one row of another writer."""
        nested = b"[" * 60_000 + b"]" * 60_000
        rows = TypedRows(FixedStore(a=b'{"count": 1}', b=nested, c=b'{"count": "x"}'))
        self.assertEqual([row.key for row in await rows.list("t", Value)], ["a"])
        self.assertEqual((await rows.read("t", "a", Value)).value.count, 1)
        for key in ("b", "c"):
            with self.assertRaises(PlatformError):
                await rows.read("t", key, Value)
        self.assertIsNone(await rows.read("t", "d", Value))
