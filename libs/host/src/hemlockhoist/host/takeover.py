"""Queries of a new home for the grants that entry hosts hold."""

from hemlockhoist.messages import HomeTakeover

# A running entry host answers a new home within milliseconds; after this time the
# query is assumed to be lost and is sent again.
RESEND_MS = 300


class HolderQueries:
    """Asks the entry hosts what they hold of a pool, until all have answered.

    Parameters
    ==========
    pool : str
    home_incarnation : str
    clock : Clock
    send : callable
        ``send(host_id, message)``.

    Attributes
    ==========
    queried : set of str
        The hosts that were asked and are not gone.
    """

    __slots__ = ("_clock", "_message", "_pending", "_resend_ms", "_send", "queried")

    def __init__(self, pool, home_incarnation, clock, send):
        self._clock = clock
        self._send = send
        self._message = HomeTakeover(pool=pool, home_incarnation=home_incarnation)
        self._pending = set()
        self._resend_ms = 0
        self.queried = set()

    @property
    def pending_count(self):
        """Number of hosts that have not answered."""
        return len(self._pending)

    def start(self, hosts):
        """Set the hosts to ask."""
        self.queried = set(hosts)
        self._pending = set(hosts)

    def send(self):
        """Ask the hosts that have not answered."""
        self._resend_ms = self._clock.now_ms() + RESEND_MS
        for host in self._pending:
            self._send(host, self._message)

    def resend_if_due(self):
        """Ask again if some host has not answered in time."""
        if self._pending and self._clock.now_ms() >= self._resend_ms:
            self.send()

    def add(self, host):
        """Ask a host that was not known before.

        Failure prevented: a home that has just started knows only half of the fleet.
        The grants that the other half holds, and its customers' usage, would never be
        counted.
        """
        if host not in self.queried:
            self.queried.add(host)
            self._pending.add(host)
            self.send()

    def restart(self):
        """Ask all hosts once more."""
        self._pending = set(self.queried)
        self.send()

    def is_pending(self, host):
        """Return whether a host has not answered."""
        return host in self._pending

    def discard(self, host):
        """Stop waiting for a host; return whether it was the last one pending."""
        if host not in self._pending:
            return False
        self._pending.discard(host)
        return not self._pending

    def forget(self, host):
        """Forget a host that is gone; return whether it was the last one pending."""
        self.queried.discard(host)
        return self.discard(host)
