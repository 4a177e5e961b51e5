"""Which host's readings this host uses, and when it reads the store itself."""

from hemlockhoist.decisions.entry import MAX_DIRECT_READERS, ReaderTable

# How long a failed reader is skipped; the next reader or the store is read instead.
READER_BACKOFF_MS = 4_000


class ReaderChoice:
    """Chooses among the hosts that read the store and relay their readings.

    Parameters
    ==========
    context : EntryContext
        Its fleet may be set later.
    """

    __slots__ = ("_context", "_members", "_readers", "_skipped")

    def __init__(self, context):
        self._context = context
        # Until when a reader is skipped, by address.
        self._skipped = {}
        # The members for which the table of readers was made.
        self._members = None
        self._readers = None

    def _table(self):
        own, members = self._context.fleet.stable_members()
        if members is not self._members:
            self._members, self._readers = members, ReaderTable(members, own)
        return self._readers

    @property
    def is_reader(self):
        """Whether this host reads the store itself."""
        return self._table().is_reader

    def has_reader(self, avoids_own):
        """Return whether another host that reads the store has not recently failed.

        Parameters
        ==========
        avoids_own : bool
            As of ``choose``.
        """
        return self._table().reader(self._avoided(avoids_own)) is not None

    def _avoided(self, avoids_own):
        avoided = set(self._skipped_now())
        if avoids_own:
            avoided.add(self._context.fleet.stable_members()[0].address)
        return avoided

    def choose(self, passed=(), avoids_own=False):
        """Return the host to query, or None to read the store.

        Failure prevented: the store rejects a reader and serves the other hosts, and
        the reader keeps old routes for as long as that lasts.

        Parameters
        ==========
        passed : collection of str, optional
            Addresses of readers that have just been queried in vain.
        avoids_own : bool, optional
            Whether to query another host though this one is a reader.
        """
        table, avoid = self._table(), self._avoided(avoids_own)
        if table.reader(avoid) is not None:
            return table.reader({*avoid, *passed})
        return None if table.is_reader else table.deputy({*avoid, *passed})

    def skip(self, address):
        """Skip a reader for a while."""
        self._skipped[address] = self._context.clock.now_ms() + READER_BACKOFF_MS

    def takeover_rank(self):
        """Return how many hosts are to read all rows before this one."""
        return self._table().takeover_rank(self._skipped_now())

    @property
    def has_skipped(self):
        """Whether readers are skipped now."""
        return bool(self._skipped_now())

    def forgive(self):
        """Skip no reader any longer."""
        self._skipped.clear()

    def may_have_reader(self):
        """Return whether a reader that is not known yet may serve this host."""
        fleet = self._context.fleet
        is_small = len(fleet.live_hosts()) <= MAX_DIRECT_READERS
        return not is_small and not fleet.is_high_capacity and not self.choose()

    def _skipped_now(self):
        now_ms = self._context.clock.now_ms()
        self._skipped = {
            address: until_ms
            for address, until_ms in self._skipped.items()
            if until_ms > now_ms
        }
        return self._skipped
