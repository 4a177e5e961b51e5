"""Which host's readings this host uses, and when it reads the store itself."""

from hemlockhoist.decisions.entry import MAX_DIRECT_READERS, reader_for

# How long a reader that did not answer is skipped; the next reader or the store is read
# instead.
SILENT_READER_BACKOFF_MS = 4_000
# How long a reader that reported a failure is skipped: to ask it again costs a round
# trip, and until then each change is read from the store, whole, by this host too.
FAILED_READER_BACKOFF_MS = 1_000


class ReaderChoice:
    """Chooses among the hosts that read the store and relay their readings.

    Parameters
    ==========
    clock : Clock
    fleet : Fleet
    """

    __slots__ = ("_clock", "_fleet", "_skipped")

    def __init__(self, clock, fleet):
        self._clock = clock
        self._fleet = fleet
        # Until when a reader is skipped, by address.
        self._skipped = {}

    @property
    def is_reader(self):
        """Whether this host reads the store itself."""
        own, members = self._fleet.stable_members()
        return reader_for(members, own) is None

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
        own, members = self._fleet.stable_members()
        avoid = {*self._skipped_now(), *passed}
        if avoids_own:
            avoid.add(own.address)
        return reader_for(members, own, avoid)

    def skip(self, address, is_silent):
        """Skip a reader for a while, longer if it did not answer."""
        backoff_ms = SILENT_READER_BACKOFF_MS if is_silent else FAILED_READER_BACKOFF_MS
        self._skipped[address] = self._clock.now_ms() + backoff_ms

    @property
    def has_skipped(self):
        """Whether readers are skipped now."""
        return bool(self._skipped_now())

    def forgive(self):
        """Skip no reader any longer."""
        self._skipped.clear()

    def may_have_reader(self):
        """Return whether a reader that is not known yet may serve this host."""
        is_small = len(self._fleet.live_hosts()) <= MAX_DIRECT_READERS
        return not is_small and not self._fleet.is_high_capacity and not self.choose()

    def _skipped_now(self):
        now_ms = self._clock.now_ms()
        self._skipped = {
            address: until_ms
            for address, until_ms in self._skipped.items()
            if until_ms > now_ms
        }
        return self._skipped
