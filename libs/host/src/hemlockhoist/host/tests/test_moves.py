import asyncio
import types

import msgspec

from hemlockhoist.base import (
    Clock,
    InvariantLog,
    MoveError,
    PlatformError,
    StoreConflict,
)
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.decisions import Outcome, OutcomeKind, WorkRequest
from hemlockhoist.decisions.versions import MoveRequest, MoveState
from hemlockhoist.declarations import Declarations, Pool, PoolKind
from hemlockhoist.host.moves import MoveService
from hemlockhoist.messages import MoveAnnounced, VersionHalted
from hemlockhoist.store import Row

POOL = Pool(name="chat", kind=PoolKind.MODEL, stable_version="v1")
GOOD = Outcome(kind=OutcomeKind.SUCCESS, first_token_ms=50, total_ms=200)
BAD = Outcome(kind=OutcomeKind.FAILED, total_ms=10)
MOVE_MS = 60_000


class FakeTables:
    """A store in memory that can be made unavailable."""

    def __init__(self):
        self.rows = {}
        self.unavailable = False
        self.answer_s = 0.002
        self.failed_reads = 0

    async def read(self, table, key, value_type):
        await asyncio.sleep(self.answer_s)
        if self.unavailable:
            self.failed_reads += 1
            raise PlatformError("unavailable")
        return self.rows.get((table, key))

    async def list(self, table, value_type):
        return tuple(row for (name, _), row in self.rows.items() if name == table)

    async def put(self, table, key, value, if_version, change_id=None):
        await asyncio.sleep(self.answer_s)
        if self.unavailable:
            raise PlatformError("unavailable")
        row = self.rows.get((table, key))
        if (row.version if row else 0) != if_version:
            raise StoreConflict("changed")
        written = Row(key=key, value=value, version=if_version + 1, change_id="c")
        self.rows[(table, key)] = written
        return written


class MoveServiceTests(PausedTestCase):
    async def asyncSetUp(self):
        self.tables = FakeTables()
        self.sent, self.halted_s = [], []
        self.service = self._service("h1")
        self.policy = self.service.open_pool(POOL)
        await self.service.start()
        self.addAsyncCleanup(self.service.close)

    def _service(self, name):
        context = types.SimpleNamespace(
            clock=Clock(asyncio.get_running_loop(), 1_700_000_000_000),
            invariants=InvariantLog(fatal=True),
            identity=types.SimpleNamespace(host_id=name, incarnation=name),
            declarations=Declarations(version=1, pools=(POOL,)),
            metrics=Metrics(None),
            fleet=types.SimpleNamespace(
                live_hosts=lambda: ("h1", "h2"), homes=lambda pool, shard: ("h1", "h2")
            ),
            configuration=types.SimpleNamespace(
                halt=lambda *args: None, is_halted=lambda *args: False
            ),
        )
        return MoveService(context, self.tables, self._send)

    def _send(self, host, message):
        self.sent.append((host, message))
        if isinstance(message, VersionHalted):
            self.halted_s.append(asyncio.get_running_loop().time())

    async def _order(self, moved_by_ms=MOVE_MS, move_id="m1"):
        unix_ms = self.service._context.clock.unix_ms()
        request = MoveRequest(
            move_id=move_id,
            pool="chat",
            from_version="v1",
            to_version="v2",
            moved_by_unix_ms=unix_ms + moved_by_ms,
            reason="new release",
            author="ana",
        )
        return await self.service.order(request)

    async def _traffic(self, duration_ms, outcome_of):
        """Send 20 requests per second and return how many went to v2."""
        clock, count = self.service._context.clock, 0
        for number in range(duration_ms // 50):
            now_ms = clock.now_ms()
            request = WorkRequest(
                request_id=f"r{now_ms}-{number}",
                route="r",
                customer="c",
                tier_rank=0,
                deadline_ms=now_ms + 60_000,
                first_token_by_ms=now_ms + 60_000,
            )
            chosen = self.policy.candidates(request, ("v1", "v2"), now_ms)[0]
            self.policy.on_grant(request, chosen, now_ms, "u-" + chosen)
            await asyncio.sleep(0.05)
            outcome = outcome_of(chosen)
            self.policy.on_outcome(
                request, chosen, outcome, clock.now_ms(), "u-" + chosen
            )
            count += chosen == "v2"
        return count

    def _row(self):
        return self.tables.rows[("moves", "chat")].value

    async def test_move_of_a_good_version_finishes(
        self,
    ):
        """Guards against a good version that stays at its first share.

        The controller plans one step per second. The service requested the planned row
        twice, before and after it read the stored row, and the second call always
        returned None.
        """
        await self._order()
        await self._traffic(2 * MOVE_MS, lambda version: GOOD)
        self.assertIs(self._row().state, MoveState.FINISHED)

    async def test_bad_version_is_halted_while_the_store_is_slow(self):
        """Guards against a halt that waits for the store's answer to a write."""
        await self._order()
        await self._traffic(MOVE_MS // 2, lambda version: GOOD)
        self.tables.answer_s = 3.0
        begun_s = asyncio.get_running_loop().time()
        await self._traffic(10_000, {"v1": GOOD, "v2": BAD}.get)
        self.assertLess(self.halted_s[0] - begun_s, self.tables.answer_s)

    async def test_bad_version_is_rolled_back_while_the_store_is_unavailable(self):
        """A new version fails every answer while the store is unavailable.

        No host may send it any more requests. The row is written when the store is
        available again.
        """
        await self._order()
        await asyncio.sleep(2)
        self.tables.unavailable = True
        outcome_of = {"v1": GOOD, "v2": BAD}.get
        await self._traffic(60_000, outcome_of)
        self.assertEqual(await self._traffic(10_000, outcome_of), 0)
        halts = [(h, m) for h, m in self.sent if isinstance(m, VersionHalted)]
        self.assertEqual({host for host, _ in halts}, {"h1", "h2"})
        self.tables.unavailable = False
        await asyncio.sleep(5)
        self.assertIs(self._row().state, MoveState.ROLLED_BACK)

    async def test_store_outage_causes_no_storm_of_requests(self):
        """A version is halted while the store is unavailable.

        Guards against every pool's home trying to write the row five times per second
        in addition to its reads.
        """
        await self._order()
        self.tables.unavailable = True
        self.policy.halt("v2", "failing", self.service._context.clock.now_ms())
        await asyncio.sleep(60)
        self.assertLess(self.tables.failed_reads, 100)

    async def test_next_home_continues_from_the_announcement(self):
        """The home dies while the store is unavailable.

        The next home knows the move only from its announcement, and grants the new
        version no more than the announced share.
        """
        await self._order()
        await self._traffic(10_000, lambda version: GOOD)
        await asyncio.sleep(2.5)
        announced = [
            m for h, m in self.sent if isinstance(m, MoveAnnounced) and h == "h2"
        ]
        self.tables.unavailable = True
        next_service = self._service("h2")
        next_service.on_announced(announced[-1])
        controller = next_service.open_pool(POOL)
        self.assertEqual(controller.row, self._row())

    async def test_second_order_is_refused_with_the_first_author(self):
        """The second order is refused, and its error names the first one's author."""
        await self._order()
        with self.assertRaises(MoveError) as caught:
            await self._order(move_id="m2")
        self.assertIn("ana", caught.exception.message)

    async def test_cancelled_move_gets_no_more_traffic(self):
        """After a cancellation no more requests go to the new version."""
        await self._order()
        await self._traffic(5_000, lambda version: GOOD)
        row = await self.service.cancel("m1", "wrong week", "luis")
        self.assertIs(row.state, MoveState.CANCELLED)
        self.assertEqual(await self._traffic(5_000, lambda version: GOOD), 0)

    async def test_row_removed_during_an_order_is_written_anew(self):
        """Guards against an order that ends with an internal error.

        The row of an earlier move is removed between the read and the write.
        """
        await self._order()
        await self.service.cancel("m1", "wrong week", "luis")
        put, tables = self.tables.put, self.tables

        async def put_beside_removal(*args, **fields):
            tables.rows.clear()
            tables.put = put
            return await put(*args, **fields)

        tables.put = put_beside_removal
        row = await self._order(move_id="m2")
        self.assertEqual((row.move_id, row.state), ("m2", MoveState.RUNNING))

    async def test_repeated_order_returns_the_same_move(self):
        """An order that is sent again after its reply was lost starts no new move."""
        first = await self._order()
        again = await self.service.order(
            MoveRequest(
                **{
                    name: getattr(first, name)
                    for name in msgspec.structs.asdict(first)
                    if name in MoveRequest.__struct_fields__
                }
            )
        )
        self.assertEqual(first, again)
