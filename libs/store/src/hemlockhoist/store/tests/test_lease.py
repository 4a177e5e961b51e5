import asyncio
import random

from hemlockhoist.base import (
    LeaseLost,
    PlatformError,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.base.testing import PausedTestCase
from hemlockhoist.standins.platform import TableStore, VersionMismatch
from hemlockhoist.store import Lease, Row


class _Clock:
    """A clock with a configurable rate."""

    def __init__(self, rate=1.0):
        self._rate = rate

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000 * self._rate)


class _Tables:
    """In-memory substitute of the table client, with delays and lost answers."""

    def __init__(self, store, rng=None):
        self._store = store
        self._rng = rng
        self.delay_s = 0.0
        self.lose_answers = 0

    async def read(self, table, key, _value_type):
        await self._delay()
        row = self._store.read(table, key)
        found = row and Row(key=key, value=row[0], version=row[1], change_id="")
        await self._delay()
        return found

    async def put(self, table, key, value, if_version, change_id):
        await self._delay()
        try:
            (version,) = self._store.put_all([(table, key, value, if_version)])
        except VersionMismatch as error:
            raise StoreConflict(str(error)) from error
        await self._delay()
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreAnswerLost("lost")
        return Row(key=key, value=value, version=version, change_id=change_id)

    async def _delay(self):
        if self._rng is not None:
            await asyncio.sleep(self._rng.choice((0.0, 0.01, 0.5, 3.0)))
        elif self.delay_s:
            await asyncio.sleep(self.delay_s)


def _lease(store, holder, rate=1.0, rng=None):
    tables = _Tables(store, rng)
    return Lease.from_config(tables, _Clock(rate), "move", holder, duration_ms=10_000)


class LeaseTests(PausedTestCase):
    async def test_lease_ends_for_its_holder_first(self):
        """The lease ends earlier for its holder than for any other host."""
        store = TableStore()
        one, two = _lease(store, "one"), _lease(store, "two")
        self.assertEqual(await one.acquire(), 1)
        with self.assertRaises(LeaseLost):
            await two.acquire()
        await asyncio.sleep(9.9)
        self.assertFalse(one.held())
        with self.assertRaises(LeaseLost):
            await two.acquire()
        await asyncio.sleep(0.4)
        self.assertEqual(await two.acquire(), 2)
        with self.assertRaises(LeaseLost):
            await one.renew()

    async def test_released_lease_is_free_at_once(self):
        """A released lease can be acquired without waiting for its expiry."""
        store = TableStore()
        one, two = _lease(store, "one"), _lease(store, "two")
        await one.acquire()
        await one.release()
        self.assertFalse(one.held())
        self.assertEqual(await two.acquire(), 2)

    async def test_renewal_with_lost_answer(self):
        """Guards against a holder that loses its lease to its own renewal.

        A renewal is applied and its answer is lost. The next renewal finds a newer
        version of the row, written by this holder: the lease continues with the same
        fencing token.
        """
        store = TableStore()
        one = _lease(store, "one")
        await one.acquire()
        one._tables.lose_answers = 1
        with self.assertRaises(StoreAnswerLost):
            await one.renew()
        await asyncio.sleep(5)
        await one.renew()
        self.assertEqual(one.fencing, 1)
        self.assertGreater(one.remaining_ms(), 9_000)

    async def test_suspended_holder(self):
        """Guards against orders of a holder that was suspended beyond its lease.

        The holder's process is suspended for a minute, and another host acquires the
        lease meanwhile. When the first host resumes, its own clock shows that the lease
        has ended, before it sends any order.
        """
        store = TableStore()
        one, two = _lease(store, "one"), _lease(store, "two")
        await one.acquire()
        await _acquire_when_free(two)
        self.assertFalse(one.held())
        self.assertGreater(two.fencing, one.fencing)

    async def test_never_two_holders(self):
        """No two hosts ever hold the lease at the same time.

        Four hosts whose clock rates differ by up to 1 % acquire, renew, release and
        wait at random, with slow and lost answers. The fencing token never decreases.
        """
        for seed in range(40):
            await self._race(random.Random(seed))

    async def _race(self, rng):
        store = TableStore()
        leases = [
            _lease(store, f"host {i}", rng.uniform(0.995, 1.005), rng) for i in range(4)
        ]
        tasks = [asyncio.create_task(_use(lease, rng)) for lease in leases]
        highest, handovers = 0, 0
        while not all(task.done() for task in tasks):
            holders = [lease for lease in leases if lease.held()]
            self.assertLessEqual(len(holders), 1)
            for lease in holders:
                self.assertGreaterEqual(lease.fencing, highest)
                handovers += lease.fencing > highest
                highest = lease.fencing
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        self.assertGreater(handovers, 1)


async def _acquire_when_free(lease):
    while not lease.held():
        try:
            await lease.acquire()
        except LeaseLost:
            await asyncio.sleep(1)


async def _use(lease, rng):
    for _ in range(25):
        lease._tables.lose_answers = rng.random() < 0.2
        action = rng.choice((lease.renew, lease.renew, lease.release))
        try:
            await (action() if lease.held() else lease.acquire())
        except PlatformError:
            pass
        await asyncio.sleep(rng.choice((0.2, 1, 4, 12)))


class RemovedRowTests(PausedTestCase):
    async def test_renewal_without_its_row_loses_the_lease(self):
        """Guards against a holder that ends with an internal error.

        Its row was removed while it renewed, by an operator or with the table.
        """
        store = TableStore()
        one = _lease(store, "one")
        await one.acquire()
        store._tables.clear()
        with self.assertRaises(LeaseLost):
            await one.renew()
        self.assertFalse(one.held())


class SlowStoreTests(PausedTestCase):
    async def asyncSetUp(self):
        self.store = TableStore()

    def lease(self, holder, delay_s):
        lease = Lease.from_config(_Tables(self.store), _Clock(), "move", holder, 2_000)
        lease._tables.delay_s = delay_s
        return lease

    async def test_lease_is_held_though_writes_take_longer_than_it_lasts(self):
        """Guards against a move that stands still for as long as the store is slow."""
        one = self.lease("one", delay_s=1.2)
        for _ in range(2):
            if not one.held():
                await one.acquire()
        self.assertTrue(one.held())
        for _ in range(100):
            await asyncio.sleep(0.2)
            if one.needs_renewal:
                await one.renew()
            self.assertTrue(one.held())

    async def test_long_lease_ends_for_its_holder_first(self):
        """Guards against two holders, as one of them counts with the usual duration."""
        one, two = self.lease("one", delay_s=1.2), self.lease("two", delay_s=0.0)
        for _ in range(2):
            await one.acquire()
        while one.held():
            with self.assertRaises(LeaseLost):
                await two.acquire()
            await asyncio.sleep(0.1)
        await asyncio.sleep(8)
        self.assertGreater(await two.acquire(), one.fencing)

    async def test_lease_is_short_again_once_writes_are_quick(self):
        one = self.lease("one", delay_s=1.2)
        await one.acquire()
        one._tables.delay_s = 0.0
        for _ in range(6):
            await one.acquire()
        self.assertLessEqual(one.remaining_ms(), 2_000)
