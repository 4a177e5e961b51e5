"""Failure detection: one host is probed per period, directly and then through others.

A host sends one probe per period and receives one on average, at any fleet size. A host
that does not answer is probed through a few others, so that one broken link does not
make it suspect; a suspect host has some periods to refute the suspicion.
"""

import math

from hemlockhoist.messages.membership import Health

PERIOD_MS = 1_000
ACK_TIMEOUT_MS = 300
INDIRECT_PROBES = 3
MAX_RELAYS = 64
# A suspect host is declared gone after 4 s with 8 hosts, and after 10 s with 1,300
# hosts, where the suspicion and its refutation take longer to spread.
_MIN_SUSPICION_PERIODS = 4
_SUSPICION_PERIODS_PER_DECADE = 3
# A host whose probes all fail is probably cut off itself. It waits longer before it
# declares others gone, but not forever, as all of its peers may really be gone.
_MAX_FAILURES = 3


class PendingProbe:
    """A probe that has not been answered yet.

    Parameters
    ==========
    address : str
    sent_ms : int
    """

    __slots__ = ("address", "indirect", "sent_ms")

    def __init__(self, address, sent_ms):
        self.address = address
        self.sent_ms = sent_ms
        self.indirect = False


class Prober:
    """Chooses the hosts to probe and detects failed probes.

    Parameters
    ==========
    rng : random.Random
    """

    __slots__ = (
        "_due_ms",
        "_failures",
        "_last_ms",
        "_number",
        "_order",
        "_pending",
        "_rng",
        "relays",
    )

    def __init__(self, rng):
        self._rng = rng
        self._order = []
        self._pending = {}
        self._number = 0
        self._due_ms = None
        self._last_ms = None
        self._failures = 0
        self.relays = {}

    def record_time(self, now_ms):
        """Record the time; return how long this process was suspended, in milliseconds.

        After a process was suspended for a minute, every pending probe and suspicion
        looks overdue, and it would declare live hosts gone, although their answers may
        wait unread. Pending probes are therefore dropped, and the time during which the
        process did not run must not be counted against any host.
        """
        last_ms = now_ms if self._last_ms is None else self._last_ms
        self._last_ms = max(now_ms, last_ms)
        suspended_ms = max(0, now_ms - last_ms - PERIOD_MS)
        if suspended_ms:
            self._pending.clear()
            self.relays.clear()
        return suspended_ms

    def is_due(self, now_ms):
        """Return whether a period has passed, and start the next one if so."""
        if self._due_ms is None:
            # Random phase, so that hosts that start together do not probe together.
            self._due_ms = now_ms + self._rng.randrange(PERIOD_MS)
        if now_ms < self._due_ms:
            return False
        self._due_ms = max(self._due_ms + PERIOD_MS, now_ms)
        return True

    def next_due_ms(self, now_ms):
        """Return the time to the next period, or 0 while a probe is pending."""
        if self._pending or self._due_ms is None:
            return 0
        return max(0, self._due_ms - now_ms)

    def next_target(self, addresses, is_known):
        """Return the next address to probe, or None if there is none.

        All addresses are probed once before any is probed again, in a new random order
        each time, so that some host probes a dead one within a few periods.
        """
        while self._order:
            address = self._order.pop()
            if is_known(address):
                return address
        self._order = sorted(addresses)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def probe(self, address, now_ms):
        """Start a probe of ``address`` and return its number."""
        self._number += 1
        self._pending[self._number] = PendingProbe(address, now_ms)
        return self._number

    def relay(self, address, requester, number):
        """Start a probe on behalf of another host and return its number."""
        self._number += 1
        self.relays[self._number] = (address, requester, number)
        while len(self.relays) > MAX_RELAYS:
            del self.relays[next(iter(self.relays))]
        return self._number

    def acknowledged(self, number, address):
        """Record an acknowledgement; return whether its probe was pending.

        The address is compared, as numbers restart with each incarnation of this host:
        an acknowledgement to the previous incarnation would otherwise count for another
        host.
        """
        pending = self._pending.get(number)
        if pending is None or pending.address != address:
            return False
        del self._pending[number]
        self._failures = max(0, self._failures - 1)
        return True

    def due_indirect(self, now_ms):
        """Return ``(number, address)`` of the probes to repeat indirectly."""
        due = []
        for number, pending in self._pending.items():
            if not pending.indirect and now_ms - pending.sent_ms >= ACK_TIMEOUT_MS:
                pending.indirect = True
                due.append((number, pending.address))
        return due

    def due_failed(self, now_ms):
        """Return the addresses whose direct and indirect probes failed.

        The failed probes are removed.
        """
        failed = []
        for number, pending in list(self._pending.items()):
            if now_ms - pending.sent_ms >= PERIOD_MS:
                del self._pending[number]
                failed.append(pending.address)
        self._failures = min(_MAX_FAILURES, self._failures + len(failed))
        return failed

    def suspicion_ms(self, member_count):
        """Return the time that a suspect member has to refute the suspicion."""
        decades = math.log10(max(2, member_count))
        periods = max(_MIN_SUSPICION_PERIODS, _SUSPICION_PERIODS_PER_DECADE * decades)
        return int(periods * PERIOD_MS) * max(1, self._failures)

    def choose_relays(self, addresses, target):
        """Return a few random hosts through which to probe ``target``."""
        others = [item for item in addresses if item != target]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))


def is_overdue(entry, suspicion_ms, now_ms):
    """Return whether a member is suspect and its time to refute has passed."""
    if entry.update.health is not Health.SUSPECT:
        return False
    return now_ms - entry.changed_ms >= suspicion_ms
