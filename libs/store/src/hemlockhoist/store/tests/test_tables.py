import asyncio
import contextlib
import unittest
import unittest.mock

import aiohttp
import msgspec

from hemlockhoist.base import (
    PlatformError,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.standins.platform import PlatformFaults, PlatformStandin
from hemlockhoist.standins.serving import serving
from hemlockhoist.store import (
    ABSENT,
    HostListClient,
    MemberKind,
    MemberState,
    PlatformConfig,
    PlatformTransport,
    RowPut,
    TableClient,
)


class Hall(msgspec.Struct, frozen=True):
    name: str
    seats: int


@contextlib.asynccontextmanager
async def _platform(**settings):
    """Serve a platform stand-in; yield it with a transport and a table client."""
    async with serving(PlatformStandin.from_config()) as standin:
        limits = {"timeout_ms": 200, "backoff_base_ms": 1, **settings}
        config = PlatformConfig(url=standin.server.url, **limits)
        transport = PlatformTransport.from_config(config)
        await transport.start()
        try:
            yield standin, transport, TableClient.from_config(transport)
        finally:
            await transport.close()


class TableClientTests(unittest.IsolatedAsyncioTestCase):
    async def test_rows_are_read_as_written(self):
        """Rows are returned typed and with their version; an absent row is None."""
        async with _platform() as (_, _, tables):
            hall = Hall("A/1 €", 90)
            first = await tables.put("halls", "a/1 €", hall, ABSENT)
            await tables.put("halls", "a/1 €", Hall("A", 91), first.version)
            row = await tables.read("halls", "a/1 €", Hall)
            self.assertEqual((row.value, row.version), (Hall("A", 91), 2))
            self.assertEqual(await tables.list("halls", Hall), (row,))
            self.assertIsNone(await tables.read("halls", "b", Hall))

    async def test_conflict(self):
        """A write with an outdated version changes nothing."""
        async with _platform() as (_, _, tables):
            await tables.put("halls", "a", Hall("A", 1), ABSENT)
            with self.assertRaises(StoreConflict):
                await tables.put("halls", "a", Hall("A", 2), ABSENT)
            row = await tables.read("halls", "a", Hall)
            self.assertEqual(row.value.seats, 1)

    async def test_transaction_is_all_or_nothing(self):
        """If one condition fails, no row of the transaction is written."""
        async with _platform() as (_, _, tables):
            await tables.put("halls", "a", Hall("A", 1), ABSENT)
            puts = [
                RowPut(table="halls", key=key, value=Hall(key, 2), if_version=ABSENT)
                for key in ("b", "a")
            ]
            with self.assertRaises(StoreConflict):
                await tables.transact(puts)
            self.assertIsNone(await tables.read("halls", "b", Hall))

    async def test_row_of_another_type(self):
        """A row that is not of the requested type raises PlatformError."""
        async with _platform() as (_, _, tables):
            await tables.put("halls", "a", "text", ABSENT)
            with self.assertRaises(PlatformError):
                await tables.read("halls", "a", Hall)

    async def test_lost_answer_is_resolved_by_reading(self):
        """Guards against a conflict of a write with itself.

        The store applies an operator's change, and the connection breaks before the
        answer. A client that sent the write again would report that another operator
        had made the change.
        """
        async with _platform() as (standin, _, tables):
            standin.faults = PlatformFaults(lose_answers=1)
            row = await tables.put("halls", "a", Hall("A", 1), ABSENT)
            self.assertEqual(row.version, 1)
            self.assertEqual(standin.tables.writes, 1)

    async def test_slow_answers_are_waited_for(self):
        """Guards against reads and writes that never succeed on a slow store."""
        async with _platform() as (standin, _, tables):
            standin.faults = PlatformFaults(delay_ms=350)
            await tables.put("halls", "a", Hall("A", 1), ABSENT)
            self.assertEqual((await tables.read("halls", "a", Hall)).version, 1)
            self.assertEqual(standin.tables.writes, 1)

    async def test_delayed_copy_of_a_write(self):
        """Guards against a delayed copy of a write that is applied as well.

        The store is slow: an attempt times out, the client reads the row without its
        change and sends the write again. The first copy arrives after that. It must
        not overwrite anything, nor apply the change twice.
        """
        async with _platform() as (standin, _, tables):
            # Longer than a write is waited for.
            standin.faults = PlatformFaults(delay_ms=800)
            put = asyncio.create_task(tables.put("halls", "a", Hall("A", 1), ABSENT))
            await asyncio.sleep(0.1)
            standin.faults = PlatformFaults()
            first = await put
            await tables.put("halls", "a", Hall("A", 2), first.version)
            await asyncio.sleep(0.8)
            row = await tables.read("halls", "a", Hall)
            self.assertEqual((row.value.seats, row.version), (2, 2))
            self.assertEqual(standin.tables.writes, 2)

    async def test_lost_answer_after_another_write_is_a_conflict(self):
        """Guards against reporting a conflict as an unknown outcome.

        Two operators write concurrently. The store applies the other change first and
        drops this client's connection without an answer. Reading the row shows the
        other change id, so this write is known not to have been applied.
        """
        async with _platform() as (standin, _, tables):
            await tables.put("halls", "a", Hall("A", 1), ABSENT)
            standin.faults = PlatformFaults(unreachable=True)

            original = TableClient.read

            async def read(client, *args):
                standin.faults = PlatformFaults()
                return await original(client, *args)

            with (
                unittest.mock.patch.object(TableClient, "read", read),
                self.assertRaises(StoreConflict),
            ):
                await tables.put("halls", "a", Hall("A", 2), ABSENT)

    async def test_lost_answer_in_a_lasting_outage(self):
        """Guards against reporting a write of unknown outcome as failed.

        The answer is lost and the store stays down, so that it cannot be known whether
        the write was applied. The error states exactly that.
        """
        async with _platform(max_attempts=2) as (standin, _, tables):
            standin.faults = PlatformFaults(unreachable=True)
            with self.assertRaises(StoreAnswerLost):
                await tables.put("halls", "a", Hall("A", 1), ABSENT)

    async def test_refused_write_is_reported_as_not_applied(self):
        """A refusal by the store is retried, and not reported as a lost answer."""
        async with _platform(max_attempts=3) as (standin, _, tables):
            standin.faults = PlatformFaults(outage=True)
            with self.assertRaises(PlatformError) as caught:
                await tables.put("halls", "a", Hall("A", 1), ABSENT)
            self.assertNotIsInstance(caught.exception, StoreAnswerLost)
            self.assertEqual(standin.tables.writes, 0)

    async def test_aiohttp_does_not_resend_writes(self):
        """Guards against a write that the HTTP library sends a second time.

        A kept-alive connection breaks during a write. ``aiohttp`` resends a PUT on its
        own in that case, and the write would be applied twice. The client writes by
        POST, which reaches the store once for each attempt of the client.
        """
        async with _platform() as (standin, transport, _):
            calls = []
            apply_puts = standin.tables.put_all
            standin.faults = PlatformFaults(lose_answers=9)
            body = msgspec.json.encode(
                {"puts": [{"table": "t", "key": "k", "value": 1}]}
            )
            with unittest.mock.patch.object(
                type(standin.tables),
                "put_all",
                lambda _self, puts: calls.append(1) or apply_puts(puts),
            ):
                with self.assertRaises(StoreAnswerLost):
                    await transport.write("/tables/transact", body)
                self.assertEqual(len(calls), 1)
                async with aiohttp.ClientSession() as session:
                    with self.assertRaises(aiohttp.ClientError):
                        url = standin.server.url + "/tables/t/k"
                        await session.put(url, json={"value": 1})
                self.assertEqual(len(calls), 3, "aiohttp no longer repeats a PUT")


class HostListTests(unittest.IsolatedAsyncioTestCase):
    async def test_members_are_typed(self):
        """Members are decoded by kind; an invalid entry is skipped."""
        members = [
            {"id": "h1", "kind": "entry", "address": "127.0.0.1:1", "more": 1},
            {"id": "e1", "kind": "upstream", "address": "127.0.0.1:2", "pool": "chat"},
            {"id": "bad", "kind": "teapot", "address": ""},
        ]
        members[1]["state"] = "leaving"
        async with _platform() as (standin, transport, _):
            async with aiohttp.ClientSession() as session:
                await session.put(
                    standin.server.url + "/-/hosts", json={"members": members}
                )
            first, second = await HostListClient.from_config(transport).read()
            self.assertIs(first.kind, MemberKind.ENTRY)
            self.assertIs(second.state, MemberState.LEAVING)
            self.assertEqual(second.pool, "chat")

    async def test_unchanged_list_is_not_sent_again(self):
        """A list is transferred only after a change, and returned by every read."""
        async with _platform() as (standin, transport, _):
            client = HostListClient.from_config(transport)
            async with aiohttp.ClientSession(standin.server.url) as session:
                for members in ([], [{"id": "h", "kind": "entry", "address": "a"}]):
                    await session.put("/-/hosts", json={"members": members})
                    for _ in range(3):
                        self.assertEqual(len(await client.read()), len(members))
            self.assertEqual(standin.host_lists_sent, 2)
