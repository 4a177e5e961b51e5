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
    """A table service whose next write can be made to go wrong."""

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

    async def test_a_change_counts_the_version_up(self):
        """Each accepted change makes one version and one entry of history."""
        await self.operator.apply(change(0))
        result = await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        self.assertEqual(result.version, 2)
        newest, oldest = await self.operator.history()
        self.assertEqual((newest.author, newest.version), ("two", 2))
        self.assertIn("~ pool assistant stable_version: v1 -> v2", newest.changes)
        self.assertEqual(oldest.version, 1)
        self.assertIn("more", oldest.changes[-1])

    async def test_two_operators_race(self):
        """
        Two operators read version 1 and each apply a change. Were the second
        accepted, the first one's change would be gone without anybody having
        decided so. The second is told who changed what, and nothing is written.
        """
        await self.operator.apply(change(0))
        await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        with self.assertRaises(DeclarationError) as caught:
            await self.operator.apply(change(1, "change-of-three", "three", "v3"))
        self.assertEqual(caught.exception.code, ResultCode.DECLARATION_CONFLICT)
        self.assertIn("changed by two", str(caught.exception))
        self.assertIn("v1 -> v2", str(caught.exception))
        self.assertEqual(await self.accepted_version(), 2)

    async def test_two_operators_race_between_read_and_write(self):
        """
        The other operator's change is accepted after this one has read the row and
        before it writes. The compare-and-set fails, and the message names the other
        author all the same.
        """
        await self.operator.apply(change(0))

        async def other():
            await self.operator.apply(change(1, "change-of-two", "two", "v2"))

        self.tables.before_write = other
        with self.assertRaises(DeclarationError) as caught:
            await self.operator.apply(change(1, "change-of-three", "three", "v3"))
        self.assertIn("changed by two", str(caught.exception))

    async def test_a_lost_answer_is_settled(self):
        """
        The write takes effect and its answer is lost. A failure reported here would
        make the operator apply the change again, and get a conflict with itself.
        The row names the change's id: it is accepted, and says so.
        """
        self.tables.lose_answer = True
        result = await self.operator.apply(change(0))
        self.assertEqual((result.version, result.repeated), (1, True))

    async def test_a_repeat_after_others_have_changed(self):
        """
        A client loses the answer, and repeats its change after two more were
        accepted. It is told that its change was accepted, as which version, and the
        later changes stay.
        """
        await self.operator.apply(change(0))
        await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        await self.operator.apply(change(2, "change-of-three", "three", "v3"))
        result = await self.operator.apply(change(1, "change-of-two", "two", "v2"))
        self.assertEqual((result.version, result.repeated), (2, True))
        self.assertEqual(await self.accepted_version(), 3)

    async def test_a_write_that_may_still_arrive(self):
        """
        The answer is lost, and the row is still as it was: the write may have been
        dropped or be on its way. "Not accepted" might turn out false. The outcome
        is reported as unknown, and the same change may be sent again.
        """
        self.tables.drop_write = True
        with self.assertRaises(StoreAnswerLost):
            await self.operator.apply(change(0))
        result = await self.operator.apply(change(0))
        self.assertEqual((result.version, result.repeated), (1, False))

    async def test_many_racing_operators(self):
        """Of ten that read the same version, exactly one is accepted."""
        await self.operator.apply(change(0))
        calls = [
            self.operator.apply(change(1, f"change-of-{n}", str(n), f"v{n + 2}"))
            for n in range(10)
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        errors = [item for item in results if isinstance(item, DeclarationError)]
        self.assertEqual(len(errors), 9)
        self.assertEqual(await self.accepted_version(), 2)

    async def test_faults_and_outages_change_nothing(self):
        """Faulty declarations, a bad id or author, and an outage leave the row."""
        sound = change(0)
        replace = msgspec.structs.replace
        empty = replace(sound.declarations, tiers=())
        with self.assertRaises(DeclarationFaults):
            await self.operator.apply(replace(sound, declarations=empty))
        for name, value in (("change_id", "x"), ("author", " "), ("author", "a\nb")):
            with self.assertRaises(DeclarationError):
                await self.operator.apply(replace(sound, **{name: value}))
        with self.assertRaises(DeclarationError):
            await self.operator.apply(change(7))
        self.tables.down = True
        with self.assertRaises(PlatformError):
            await self.operator.apply(sound)
        self.assertEqual(self.tables.rows, {})

    async def test_history_is_bounded(self):
        """The row keeps the newest changes only."""
        stored = await self.operator.current()
        for number in range(MAX_HISTORY + 5):
            stored = stored.with_change(example(), f"change-{number}", "one", 0)
        self.assertEqual(len(stored.history), MAX_HISTORY)
        self.assertEqual(stored.declarations.version, MAX_HISTORY + 5)


class RowTests(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_newer_version_is_read_in_full(self):
        """A host that looks again and again reads the small row, until it grows."""
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
    def test_lagging_hosts_are_named(self):
        """A host with a lower version, or that does not answer, is lagging."""
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
