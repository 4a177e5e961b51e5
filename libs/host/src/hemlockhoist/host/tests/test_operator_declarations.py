import asyncio
import unittest

import msgspec

from hemlockhoist.base import (
    DeclarationError,
    PlatformError,
    ResultCode,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.declarations import DeclarationFaults
from hemlockhoist.declarations.stored import MAX_HISTORY, VERSION_KEY
from hemlockhoist.declarations.tests.samples import example
from hemlockhoist.host.declarations_row import DeclarationsRow
from hemlockhoist.host.operator_declarations import OperatorDeclarations
from hemlockhoist.host.operator_messages import (
    DeclarationChange,
    DeclarationsView,
    HostVersion,
)


class FakeRow:
    def __init__(self, value, version):
        self.value = value
        self.version = version


class FakeTables:
    """A store whose next write can be made to fail."""

    def __init__(self):
        self.rows = {}
        self.reads = []
        self.before_write = None
        self.lose_answer = False
        self.drop_write = False
        self.down = False

    async def read(self, table, key, value_type):
        if self.down:
            raise PlatformError("down")
        self.reads.append(key)
        row = self.rows.get((table, key))
        if row is None:
            return None
        return FakeRow(msgspec.json.decode(row.value, type=value_type), row.version)

    async def transact(self, puts, change_id):
        hook, self.before_write = self.before_write, None
        if hook is not None:
            await hook()
        for put in puts:
            row = self.rows.get((put.table, put.key))
            if put.if_version != (row.version if row else 0):
                raise StoreConflict()
        if not self.drop_write:
            for put in puts:
                row = FakeRow(msgspec.json.encode(put.value), put.if_version + 1)
                self.rows[put.table, put.key] = row
        if self.lose_answer or self.drop_write:
            self.lose_answer = self.drop_write = False
            raise StoreAnswerLost()


class FakeClock:
    def unix_ms(self):
        return 1_700_000_000_000


def change(read_version, change_id="change-of-one", author="one", stable="v1"):
    declarations = example()
    pools = tuple(
        msgspec.structs.replace(pool, stable_version=stable)
        for pool in declarations.pools
    )
    return DeclarationChange(
        declarations=msgspec.structs.replace(declarations, pools=pools),
        read_version=read_version,
        change_id=change_id,
        author=author,
    )


class ApplyTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.tables = FakeTables()
        self.operator = OperatorDeclarations.from_config(self.tables, FakeClock())

    async def accepted_version(self):
        return (await self.operator.current()).declarations.version

    async def test_change_increments_version(self):
        """Each accepted change creates one version and one history entry."""
        await self.operator.apply(change(0))
        result = await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        self.assertEqual(result.version, 2)
        newest, oldest = await self.operator.history()
        self.assertEqual((newest.author, newest.version), ("two", 2))
        self.assertIn("~ pool assistant stable_version: v1 -> v2", newest.changes)
        self.assertEqual(oldest.version, 1)
        self.assertIn("more", oldest.changes[-1])

    async def test_concurrent_change_is_rejected(self):
        """Guards against silently reverting another operator's change.

        Two operators read version 1 and each apply a change. If the second were
        accepted, it would silently revert the first. It fails with an error that names
        the author and the change, and nothing is written.
        """
        await self.operator.apply(change(0))
        await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        with self.assertRaises(DeclarationError) as caught:
            await self.operator.apply(change(1, "change-of-three", "three", "v3"))
        self.assertEqual(caught.exception.code, ResultCode.DECLARATION_CONFLICT)
        self.assertIn("changed by two", str(caught.exception))
        self.assertIn("v1 -> v2", str(caught.exception))
        self.assertEqual(await self.accepted_version(), 2)

    async def test_concurrent_change_between_read_and_write_is_rejected(self):
        """Guards against overwriting a change that was accepted after the read.

        Another operator's change is accepted between this one's read and write of the
        row. The compare-and-set fails, and the error still names the other author.
        """
        await self.operator.apply(change(0))

        async def apply_other_change():
            await self.operator.apply(change(1, "change-of-two", "two", "v2"))

        self.tables.before_write = apply_other_change
        with self.assertRaises(DeclarationError) as caught:
            await self.operator.apply(change(1, "change-of-three", "three", "v3"))
        self.assertIn("changed by two", str(caught.exception))

    async def test_write_with_lost_answer_is_accepted(self):
        """Guards against reporting a failure for a write that took effect.

        The write takes effect and its answer is lost. If a failure were reported, the
        operator would apply the change again and conflict with it. The row's history
        has the change's id, so the change is reported as accepted.
        """
        self.tables.lose_answer = True
        result = await self.operator.apply(change(0))
        self.assertEqual((result.version, result.repeated), (1, True))

    async def test_repeat_after_other_changes_is_accepted(self):
        """Guards against applying a change twice when its client repeats it.

        A client that lost the answer repeats its change after a later one was accepted.
        The result has the version that the change created, and the later change stays
        in place.
        """
        await self.operator.apply(change(0))
        await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        await self.operator.apply(change(2, "change-of-three", "three", "v3"))
        result = await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        self.assertEqual((result.version, result.repeated), (2, True))
        self.assertEqual(await self.accepted_version(), 3)

    async def test_undecided_write_is_reported_as_unknown(self):
        """Guards against reporting "not accepted" while the write may arrive.

        The answer is lost and the row is unchanged: the write may have been dropped or
        still arrive, so that "not accepted" could turn out to be false. The outcome is
        reported as unknown, and the same change may be sent again.
        """
        self.tables.drop_write = True
        with self.assertRaises(StoreAnswerLost):
            await self.operator.apply(change(0))
        result = await self.operator.apply(change(0))
        self.assertEqual((result.version, result.repeated), (1, False))

    async def test_one_of_many_concurrent_changes_is_accepted(self):
        """Of ten changes to the same version, exactly one is accepted."""
        await self.operator.apply(change(0))
        calls = [
            self.operator.apply(change(1, f"change-of-{n}", str(n), f"v{n + 2}"))
            for n in range(10)
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        errors = [item for item in results if isinstance(item, DeclarationError)]
        self.assertEqual(len(errors), 9)
        self.assertEqual(await self.accepted_version(), 2)

    async def test_faults_and_outages_leave_rows_unchanged(self):
        """Invalid declarations, change ids or authors and an outage write no row."""
        valid = change(0)
        replace = msgspec.structs.replace
        empty = replace(valid.declarations, tiers=())
        with self.assertRaises(DeclarationFaults):
            await self.operator.apply(replace(valid, declarations=empty))
        for name, value in (("change_id", "x"), ("author", " "), ("author", "a\nb")):
            with self.assertRaises(DeclarationError):
                await self.operator.apply(replace(valid, **{name: value}))
        with self.assertRaises(DeclarationError):
            await self.operator.apply(change(7))
        self.tables.down = True
        with self.assertRaises(PlatformError):
            await self.operator.apply(valid)
        self.assertEqual(self.tables.rows, {})

    async def test_history_is_bounded(self):
        """The row keeps only the newest changes."""
        stored = await self.operator.current()
        for number in range(MAX_HISTORY + 5):
            stored = stored.with_change(example(), f"change-{number}", "one", 0)
        self.assertEqual(len(stored.history), MAX_HISTORY)
        self.assertEqual(stored.declarations.version, MAX_HISTORY + 5)


class RowTests(unittest.IsolatedAsyncioTestCase):
    async def test_content_row_is_read_only_for_newer_version(self):
        """A polling host reads only the version row until the version increases."""
        tables = FakeTables()
        row = DeclarationsRow(tables)
        self.assertIsNone(await row.read_newer(0))
        operator = OperatorDeclarations.from_config(tables, FakeClock())
        await operator.apply(change(0))
        self.assertEqual((await row.read_newer(0)).version, 1)
        tables.reads.clear()
        for _ in range(3):
            self.assertIsNone(await row.read_newer(1))
        self.assertEqual(tables.reads, [VERSION_KEY] * 3)


class ViewTests(unittest.TestCase):
    def test_lagging_hosts_are_listed(self):
        """A host is lagging if its version is lower or it does not answer."""
        view = DeclarationsView(
            version=3,
            declarations=example(),
            hosts=(
                HostVersion(host_id="a", version=3),
                HostVersion(host_id="b", version=2),
                HostVersion(host_id="c", version=-1),
            ),
        )
        self.assertEqual(view.lagging(3), ("b", "c"))
