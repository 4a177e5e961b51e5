"""A lease with a fencing number, kept in one row of the table service."""

import msgspec

from hemlockhoist.base import LeaseLost, StoreConflict
from hemlockhoist.store.tables import ABSENT, new_change_id

_PERMILLE = 1_000
# Clocks of two hosts may run at rates that differ by so much while a lease lasts.
_DRIFT_PERMILLE = 20
_NO_HOLDER = ""


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """What the lease's row says.

    Parameters
    ==========
    holder : str
        Incarnation of the host that holds it; empty when it was released.
    fencing : int
        Counts up by one with each new holder.
    duration_ms : int
    """

    holder: str
    fencing: int
    duration_ms: int


class Lease:
    """One holder's view of a lease.

    No clock is compared with another host's. The holder counts the duration from
    before it sent the write, less a margin for drift. Everyone else counts it from
    the first reading of the row's version, plus that margin. As the reading comes
    after the write was sent, the holder's time always ends first, whatever the delay
    and however long a process was paused in between.

    Parameters
    ==========
    tables : hemlockhoist.store.TableClient
    clock : hemlockhoist.base.Clock
    key : str
        Row of the table ``leases``.
    holder : str
        Unique to this incarnation of the host.
    duration_ms : int
    """

    TABLE = "leases"

    __slots__ = (
        "_clock",
        "_duration_ms",
        "_ends_ms",
        "_holder",
        "_key",
        "_seen_ms",
        "_seen_version",
        "_tables",
        "_version",
        "fencing",
    )

    def __init__(self, tables, clock, key, holder, duration_ms):
        self._tables = tables
        self._clock = clock
        self._key = key
        self._holder = holder
        self._duration_ms = duration_ms
        self._ends_ms = None
        self._seen_ms = None
        self._seen_version = None
        self._version = ABSENT
        self.fencing = 0

    @classmethod
    def from_config(cls, tables, clock, key, holder, duration_ms=10_000):
        """Return a lease that is not held."""
        return cls(tables, clock, key, holder, duration_ms)

    def held(self):
        """Return whether the lease is held at this moment, by this host's clock.

        Ask again after each wait: the process may have been paused.
        """
        return self.remaining_ms() > 0

    def remaining_ms(self):
        """Return the time left, 0 when it is not held."""
        if self._ends_ms is None:
            return 0
        return max(0, self._ends_ms - self._clock.now_ms())

    async def acquire(self):
        """Take the lease if it is free.

        Returns
        =======
        int
            The fencing number.

        Raises
        ======
        LeaseLost
            When another holder has it, or took it at the same time.
        StoreAnswerLost, PlatformError
            When the platform failed; call again.
        """
        row = await self._tables.read(self.TABLE, self._key, LeaseRow)
        if row is not None and not self._is_free(row):
            raise LeaseLost(f"{self._key} is held by {row.value.holder}")
        fencing = 1 if row is None else row.value.fencing + 1
        version = ABSENT if row is None else row.version
        await self._write(self._holder, fencing, version)
        self.fencing = fencing
        return fencing

    async def renew(self):
        """Hold on to the lease for another duration.

        Raises
        ======
        LeaseLost
            When it had lapsed by this host's clock, or has another holder.
        StoreAnswerLost, PlatformError
            When the platform failed; the lease is held till its present end.
        """
        if not self.held():
            self._ends_ms = None
            raise LeaseLost(f"{self._key} has lapsed")
        try:
            await self._write(self._holder, self.fencing, self._version)
        except LeaseLost:
            # A renewal before this one may have taken effect after all, with its
            # answer lost: the row's version is then this holder's own.
            if not await self._adopt_own_version():
                raise
            await self._write(self._holder, self.fencing, self._version)

    async def release(self):
        """Give the lease back, so that another host need not wait for its end.

        Raises
        ======
        LeaseLost
            When it was not held.
        StoreAnswerLost, PlatformError
            When the platform failed; the lease then ends by itself.
        """
        if not self.held():
            raise LeaseLost(f"{self._key} has lapsed")
        # From here on this host must not act under the lease, whatever the answer.
        self._ends_ms = None
        await self._write(_NO_HOLDER, self.fencing, self._version)

    def _is_free(self, row):
        """Return whether the lease that the row tells of has surely ended."""
        lease = row.value
        now_ms = self._clock.now_ms()
        if lease.holder in (_NO_HOLDER, self._holder):
            return True
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_ms = now_ms
        return now_ms - self._seen_ms >= lease.duration_ms + _drift_ms(lease)

    async def _adopt_own_version(self):
        """Learn the row's version if it is this holder's own; return whether so."""
        row = await self._tables.read(self.TABLE, self._key, LeaseRow)
        lease = row.value
        if lease.holder != self._holder or lease.fencing != self.fencing:
            return False
        self._version = row.version
        return True

    async def _write(self, holder, fencing, version):
        row = LeaseRow(holder=holder, fencing=fencing, duration_ms=self._duration_ms)
        sent_ms = self._clock.now_ms()
        try:
            written = await self._tables.put(
                self.TABLE, self._key, row, version, new_change_id()
            )
        except StoreConflict as error:
            self._ends_ms = None
            raise LeaseLost(f"{self._key} was taken by another host") from error
        self._version = written.version
        if holder != _NO_HOLDER:
            self._ends_ms = sent_ms + row.duration_ms - _drift_ms(row)


def _drift_ms(row):
    return row.duration_ms * _DRIFT_PERMILLE // _PERMILLE
