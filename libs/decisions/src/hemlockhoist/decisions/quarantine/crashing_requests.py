"""Which requests crash upstreams, recognised however often they are sent again."""

import msgspec

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.quarantine.limits import (
    BLOCKED_CRASHES,
    SUSPECT_RETRY_AFTER_MS,
    SUSPECTED_CRASHES,
    KeptBack,
)
from hemlockhoist.decisions.quarantine.part_table import MAX_CRASH_IDS, PartTable
from hemlockhoist.decisions.quarantine.try_schedule import TrySchedule
from hemlockhoist.decisions.quarantine.whole_runs import WholeRuns
from hemlockhoist.messages import PartState

# One record for each request that was at an upstream as that ended. Those with one
# crash are dropped first.
MAX_RECORDS = 4_096
MAX_BLOCKED = 256


class CrashingRequests:
    """Counts the crashes of upstreams under each request, by its fingerprint.

    Load: a request that ends each upstream that runs it, at any place of its answer, is
    sent again by its caller, at any host, each time under a new id, and at several hosts
    at once. It may have no prompt. Three upstreams may end under it, over all hosts.

    The crashes that are known and the copies that are on their way together never
    exceed three: after one crash two copies may be on their way, after two one, and
    none after three. A copy that was given up is on its way until it is known whether
    its upstream has ended. So no more than three copies of a request that has not been
    answered whole lately are sent at once.

    Whole runs speak for a request by their number, see ``WholeRuns``: one alone does
    not outweigh a crash.
    """

    __slots__ = ("_table", "_tries", "_whole_runs")

    def __init__(self):
        self._table = PartTable(MAX_RECORDS, MAX_BLOCKED, is_request=True)
        self._tries = TrySchedule()
        self._whole_runs = WholeRuns()

    def records(self):
        """Return the records of all requests with evidence against them."""
        return tuple(self._table)

    def record_of(self, fingerprint):
        """Return the record of a request; an empty one without evidence."""
        return self._table.get(fingerprint)

    def state(self, fingerprint):
        """Return the ``PartState`` of a request."""
        return self._table.state(fingerprint)

    def is_blocked(self, fingerprint):
        """Return whether a request is not sent."""
        return self._table.state(fingerprint) is PartState.BLOCKED

    def crash_count(self, fingerprint):
        """Return the number of crashes that a request is held responsible for."""
        return len(self._table.get(fingerprint).crashes)

    # Requests.

    def kept_back(self, fingerprint, is_repeated, is_alone, count_open, now_ms):
        """Return why a request must not be sent now, or None.

        Parameters
        ==========
        fingerprint : int
        is_repeated : bool
            Whether it is a second attempt, or a hedge.
        is_alone : bool
            Whether a host decides without knowing what the others send.
        count_open : callable
            Returns how many other copies wait, or are at an upstream.
        now_ms : int

        Returns
        =======
        KeptBack or None
        """
        state = self._table.state(fingerprint)
        crashes = self.crash_count(fingerprint)
        if state is PartState.BLOCKED:
            if self._tries.is_due(fingerprint, now_ms) and not count_open():
                return None
            return KeptBack(
                ResultCode.PART_BLOCKED, fingerprint, crashes, is_request=True
            )
        if not crashes and self._whole_runs.is_proven(fingerprint, now_ms):
            return None
        is_suspected = state is PartState.SUSPECTED
        if (
            (is_alone and crashes)
            or (is_suspected and is_repeated)
            or crashes + count_open() >= BLOCKED_CRASHES
        ):
            return KeptBack(
                ResultCode.PART_SUSPECTED,
                fingerprint,
                crashes,
                SUSPECT_RETRY_AFTER_MS,
                is_request=True,
                may_pass=not (is_suspected or is_repeated or is_alone),
            )
        return None

    def on_sent(self, fingerprint, now_ms):
        """Record that a request is sent; return the changed records."""
        record = self._table.get(fingerprint)
        if record.state != PartState.BLOCKED:
            return ()
        tried = msgspec.structs.replace(record, tries=record.tries + 1)
        self._table.put(tried, now_ms)
        self._tries.schedule(tried, now_ms)
        return (tried,)

    # Evidence.

    def trust(self, fingerprint, now_ms):
        """Take a request for one that was answered whole just before."""
        self._whole_runs.add(fingerprint, now_ms)

    def on_answer(self, fingerprint, now_ms):
        """Count a whole run, and withdraw a crash that enough of them outweigh.

        A single try of a blocked request that is whole withdraws one at once.
        """
        self._whole_runs.add(fingerprint, now_ms)
        record = self._table.get(fingerprint)
        if not record.crashes:
            return ()
        if not record.tries and not self._whole_runs.take(fingerprint, now_ms):
            return ()
        self._tries.cancel(fingerprint)
        changed = {}
        left = record.crashes[1:]
        changed[fingerprint] = self._table.withdraw(fingerprint, now_ms, left)
        self._raise_state(fingerprint, changed, now_ms)
        return tuple(changed.values())

    def withdraw(self, fingerprint, now_ms):
        """Withdraw all evidence against a request; return the changed records."""
        record = self._table.get(fingerprint)
        if not record.crashes and record.state == PartState.CLEAR:
            return ()
        self._tries.cancel(fingerprint)
        return (self._table.withdraw(fingerprint, now_ms),)

    def charge(self, crash, changed, now_ms):
        """Hold the requests at an upstream responsible for its crash.

        Parameters
        ==========
        crash : Crash
        changed : dict of int to PartRecord
            The changed records are added.
        now_ms : int

        Returns
        =======
        tuple of int
            The requests that are blocked now.
        """
        new = crash.fingerprints - crash.charged_requests - crash.excused_requests
        for fingerprint in new:
            if self._whole_runs.excuse(fingerprint, now_ms):
                crash.excused_requests.add(fingerprint)
                continue
            crash.charged_requests.add(fingerprint)
            self._add_crash(fingerprint, crash.crash_id, changed, now_ms)
        most = max(map(self.crash_count, crash.charged_requests), default=0)
        blocked = []
        for fingerprint in crash.charged_requests:
            if self.crash_count(fingerprint) < most:
                continue
            if self._raise_state(fingerprint, changed, now_ms):
                blocked.append(fingerprint)
        return tuple(blocked)

    def _add_crash(self, fingerprint, crash_id, changed, now_ms):
        record = self._table.get(fingerprint)
        crashes = tuple(sorted({*record.crashes, crash_id}))[:MAX_CRASH_IDS]
        self._put(msgspec.structs.replace(record, crashes=crashes), changed, now_ms)

    def _raise_state(self, fingerprint, changed, now_ms):
        """Raise the state as the crashes demand; return whether it is newly blocked."""
        record = self._table.get(fingerprint)
        state = PartState.CLEAR
        if len(record.crashes) >= BLOCKED_CRASHES:
            state = PartState.BLOCKED
        elif len(record.crashes) >= SUSPECTED_CRASHES:
            state = PartState.SUSPECTED
        if state <= record.state:
            return False
        raised = msgspec.structs.replace(record, state=state)
        if not self._put(raised, changed, now_ms):
            # No room for one more that is blocked: it is suspected, and kept back all
            # the same as its crashes are too many.
            raised = msgspec.structs.replace(record, state=PartState.SUSPECTED)
            self._put(raised, changed, now_ms)
            return False
        if state is PartState.BLOCKED:
            self._tries.schedule(raised, now_ms)
        return state is PartState.BLOCKED

    def discharge(self, crash, changed, now_ms):
        """Hold a crash against no request but those that are blocked."""
        for fingerprint in tuple(crash.charged_requests):
            if self.is_blocked(fingerprint):
                continue
            crash.charged_requests.discard(fingerprint)
            left = set(self._table.get(fingerprint).crashes) - {crash.crash_id}
            changed[fingerprint] = self._table.withdraw(fingerprint, now_ms, left)

    def _put(self, record, changed, now_ms):
        is_stored = self._table.put(record, now_ms)
        if is_stored:
            changed[record.part] = record
        return is_stored

    # Other hosts.

    def merge(self, record, now_ms):
        """Merge another host's record; return the merged one if it changed."""
        known = self._table.get(record.part)
        if not self._table.merge(record, now_ms):
            return None
        # The crashes that two homes recorded may demand more than each of them knew.
        self._raise_state(record.part, {}, now_ms)
        merged = self._table.get(record.part)
        if merged.state != PartState.BLOCKED:
            self._tries.cancel(record.part)
        elif known.state != PartState.BLOCKED or merged.tries > known.tries:
            self._tries.schedule(merged, now_ms)
        return merged

    def expire(self, now_ms):
        """Withdraw old evidence against requests that are not blocked."""
        return tuple(self._table.expire(now_ms))
