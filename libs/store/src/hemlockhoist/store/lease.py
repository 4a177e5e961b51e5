"""A lease with a fencing token, stored in one row of the table service."""

import msgspec

from hemlockhoist.base import LeaseLost, StoreConflict
from hemlockhoist.store.tables import ABSENT, new_change_id

_PERMILLE = 1_000
# Tolerated difference between the clock rates of two hosts during a lease.
_DRIFT_PERMILLE = 20
_NO_HOLDER = ""
# A lease lasts for at least so many writes: one to take it, one to renew it, and time in
# which it is of use. Upper bound, as other hosts wait for the end of a lost host's lease.
MIN_WRITES = 3
MAX_DURATION_MS = 15_000


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a lease's row.

    Parameters
    ==========
    holder : str
        Incarnation of the host that holds the lease; empty after a release.
    fencing : int
        Fencing token, incremented by one for each new holder.
    duration_ms : int
    """

    holder: str
    fencing: int
    duration_ms: int


class Lease:
    """A lease as seen by one host, its holder or a candidate.

    Clocks of different hosts are never compared. The holder measures the duration from
    before it sends the write, less a margin for clock drift. Other hosts measure it
    from their first read of the row's version, plus that margin. As that read follows
    the sending of the write, the lease always ends first for its holder, whatever the
    network delay and however long a process was suspended in between.

    Parameters
    ==========
    tables : hemlockhoist.store.TableClient
    clock : hemlockhoist.base.Clock
    key : str
        Key of the row in the table ``leases``.
    holder : str
        Identifier of this incarnation of the host.
    duration_ms : int
        The lease lasts longer while writes take a large part of this.
    """

    TABLE = "leases"

    __slots__ = (
        "_clock",
        "_duration_ms",
        "_ends_ms",
        "_first_seen_ms",
        "_holder",
        "_key",
        "_seen_version",
        "_tables",
        "_version",
        "_write_ms",
        "_written_duration_ms",
        "fencing",
    )

    def __init__(self, tables, clock, key, holder, duration_ms):
        self._tables = tables
        self._clock = clock
        self._key = key
        self._holder = holder
        self._duration_ms = duration_ms
        self._ends_ms = None
        self._first_seen_ms = None
        self._seen_version = None
        self._version = ABSENT
        # How long writes have recently taken, and the duration in the row.
        self._write_ms = 0
        self._written_duration_ms = duration_ms
        self.fencing = 0

    @classmethod
    def from_config(cls, tables, clock, key, holder, duration_ms=10_000):
        """Return a lease that is not held."""
        return cls(tables, clock, key, holder, duration_ms)

    def held(self):
        """Return whether the lease is held now, by this host's clock.

        It has to be checked again after each await, as the process may have been
        suspended meanwhile.
        """
        return self.remaining_ms() > 0

    def remaining_ms(self):
        """Return the remaining time of the lease, 0 when it is not held."""
        if self._ends_ms is None:
            return 0
        return max(0, self._ends_ms - self._clock.now_ms())

    @property
    def needs_renewal(self):
        """Whether less than half of the lease is left."""
        return self.remaining_ms() < self._written_duration_ms // 2

    async def acquire(self):
        """Acquire the lease if it is free.

        Returns
        =======
        int
            The fencing token.

        Raises
        ======
        LeaseLost
            When another host holds it, or acquired it at the same time.
        StoreAnswerLost, PlatformError
            When the platform failed; the call may be repeated.
        """
        row = await self._tables.read(self.TABLE, self._key, LeaseRow)
        if row is not None and not self._is_free(row):
            raise LeaseLost(f"{self._key}: lease is held by {row.value.holder}")
        fencing = 1 if row is None else row.value.fencing + 1
        version = ABSENT if row is None else row.version
        await self._write(self._holder, fencing, version)
        self.fencing = fencing
        return fencing

    async def renew(self):
        """Extend the lease by its duration from now.

        Raises
        ======
        LeaseLost
            When it had expired by this host's clock, or has another holder.
        StoreAnswerLost, PlatformError
            When the platform failed; the lease is held until its present end.
        """
        if not self.held():
            self._ends_ms = None
            raise LeaseLost(f"{self._key}: lease has expired")
        try:
            await self._write(self._holder, self.fencing, self._version)
        except LeaseLost:
            # An earlier renewal whose answer was lost may have been applied: the row's
            # version is then one that this holder wrote.
            if not await self._refresh_own_version():
                raise
            await self._write(self._holder, self.fencing, self._version)

    async def release(self):
        """Release the lease, so that other hosts need not wait for its expiry.

        Raises
        ======
        LeaseLost
            When it was not held.
        StoreAnswerLost, PlatformError
            When the platform failed; the lease then expires by itself.
        """
        if not self.held():
            raise LeaseLost(f"{self._key}: lease has expired")
        # From here on this host must not act under the lease, whether or not the write
        # succeeds.
        self._ends_ms = None
        await self._write(_NO_HOLDER, self.fencing, self._version)

    def _is_free(self, row):
        """Return whether the lease in the row has certainly ended for its holder."""
        lease = row.value
        now_ms = self._clock.now_ms()
        if lease.holder in (_NO_HOLDER, self._holder):
            return True
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._first_seen_ms = now_ms
        return now_ms - self._first_seen_ms >= lease.duration_ms + _drift_ms(lease)

    async def _refresh_own_version(self):
        """Adopt the row's version if this holder wrote it; return whether it did."""
        row = await self._tables.read(self.TABLE, self._key, LeaseRow)
        if row is None:
            return False
        lease = row.value
        if lease.holder != self._holder or lease.fencing != self.fencing:
            return False
        self._version = row.version
        return True

    async def _write(self, holder, fencing, version):
        row = LeaseRow(
            holder=holder, fencing=fencing, duration_ms=self._next_duration()
        )
        sent_ms = self._clock.now_ms()
        try:
            written = await self._tables.put(
                self.TABLE, self._key, row, version, new_change_id()
            )
        except StoreConflict as error:
            self._ends_ms = None
            raise LeaseLost(f"{self._key}: lease acquired by another host") from error
        finally:
            elapsed_ms = self._clock.now_ms() - sent_ms
            self._write_ms = max(elapsed_ms, self._write_ms // 2)
        self._version = written.version
        if holder != _NO_HOLDER:
            self._written_duration_ms = row.duration_ms
            self._ends_ms = sent_ms + row.duration_ms - _drift_ms(row)

    def _next_duration(self):
        """Return the duration of the lease that is written next, in milliseconds.

        Failure prevented: writes take longer than the lease lasts, so that no host ever
        holds it, and what needs it stands still.
        """
        wanted_ms = min(MIN_WRITES * self._write_ms, MAX_DURATION_MS)
        return max(self._duration_ms, wanted_ms)


def _drift_ms(row):
    return row.duration_ms * _DRIFT_PERMILLE // _PERMILLE
