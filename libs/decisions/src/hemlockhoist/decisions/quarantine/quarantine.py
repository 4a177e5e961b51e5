"""What crashes upstreams, parts of prompts or requests, and what is kept back for it."""

import msgspec

from hemlockhoist.base import ResultCode
from hemlockhoist.decisions.quarantine.crash_log import CrashLog
from hemlockhoist.decisions.quarantine.crashing_requests import CrashingRequests
from hemlockhoist.decisions.quarantine.limits import (
    BLOCKED_CRASHES,
    SUSPECT_RETRY_AFTER_MS,
    SUSPECTED_CRASHES,
    KeptBack,
)
from hemlockhoist.decisions.quarantine.part_counts import PartCounts
from hemlockhoist.decisions.quarantine.part_table import MAX_CRASH_IDS, PartTable
from hemlockhoist.decisions.quarantine.try_schedule import TrySchedule
from hemlockhoist.messages import PartState

# How many more crashes it takes for each answer that speaks for the part.
CRASHES_PER_ANSWER = 2
# How many more crashes a blocked part has than each request that was there.
BLOCKED_LEAD = 2


class Quarantine:
    """Finds what crashes upstreams, and keeps its requests back.

    Load: each upstream that begins to answer a prompt with some part ends, and takes
    with it all that runs there. Requests with that part come steadily, at any host,
    with other parts that sound requests share. Sent as usual, and again after each
    crash, they end all upstreams of a pool, again and again.

    A crash is charged to those parts of the unanswered prompts at the upstream for
    which no answer speaks. The one of them with most crashes, and in the fewest
    requests, is taken for the cause: after two crashes it is sent to one upstream at a
    time, after three it is blocked. Parts that have been answered are charged only if
    nothing else explains a crash, and need more of them. Crashes that a blocked part
    explains count against no other part, and an answer withdraws all evidence against
    a part.

    A request that is sent again is held against itself, see ``CrashingRequests``. Which
    of the two it was shows by who else crashes upstreams: a part is blocked only with
    two crashes more than any single request that was there. Once a request is blocked,
    its crashes count as one against its parts.

    Parameters
    ==========
    host : str, optional
        Distinguishes the crashes that different hosts record.

    Examples
    ========
    >>> from hemlockhoist.decisions.quarantine import Quarantine
    >>> quarantine = Quarantine()
    >>> quarantine.on_answer([1], now_ms=0)
    ()
    >>> for number in range(3):
    ...     changed = quarantine.on_crash(f"u{number}", [1, 2], now_ms=number)
    >>> [(record.part, record.state) for record in changed]
    [(2, <PartState.BLOCKED: 2>)]
    >>> quarantine.kept_back([2], False, lambda part: False, now_ms=10).part
    2
    >>> quarantine.kept_back([1], False, lambda part: False, now_ms=10) is None
    True

    Attributes
    ==========
    requests : CrashingRequests
    """

    __slots__ = ("_counts", "_crashes", "_table", "_tries", "requests")

    def __init__(self, host=""):
        self._counts = PartCounts()
        self._crashes = CrashLog(host)
        self._table = PartTable()
        self._tries = TrySchedule()
        self.requests = CrashingRequests()

    def records(self):
        """Return the records of all parts and requests with evidence against them."""
        return (*self._table, *self.requests.records())

    def record_of(self, part):
        """Return the record of a part; an empty one without evidence."""
        return self._table.get(part)

    def state(self, part):
        """Return the ``PartState`` of a part."""
        return self._table.state(part)

    # Requests.

    def on_request(self, parts):
        """Count a request that came for the first time."""
        self._counts.on_request(parts)

    def kept_back(self, parts, is_retry, is_busy, now_ms):
        """Return why a request must not be sent now, or None.

        Parameters
        ==========
        parts : sequence of int
        is_retry : bool
            Whether an upstream may have run the request before.
        is_busy : callable
            ``is_busy(part)`` returns whether another request with a part waits, or is
            at an upstream.
        now_ms : int

        Returns
        =======
        KeptBack or None
        """
        for part in parts:
            state = self._table.state(part)
            if state is PartState.BLOCKED and not self._may_try(part, is_busy, now_ms):
                return self._kept_back(part, ResultCode.PART_BLOCKED, 0)
            if state is PartState.SUSPECTED and (is_retry or is_busy(part)):
                code = ResultCode.PART_SUSPECTED
                return self._kept_back(part, code, SUSPECT_RETRY_AFTER_MS)
        return None

    def _kept_back(self, part, code, retry_after_ms):
        crashes = len(self._table.get(part).crashes)
        return KeptBack(code, part, crashes, retry_after_ms)

    def _may_try(self, part, is_busy, now_ms):
        return self._tries.is_due(part, now_ms) and not is_busy(part)

    def on_sent(self, parts, now_ms):
        """Record that a request is sent; return the changed records.

        A request with a blocked part is the single one that tries it.
        """
        changed = []
        for part in parts:
            record = self._table.get(part)
            if record.state == PartState.BLOCKED:
                tried = msgspec.structs.replace(record, tries=record.tries + 1)
                self._table.put(tried, now_ms)
                self._tries.schedule(tried, now_ms)
                changed.append(tried)
        return tuple(changed)

    # Evidence.

    def on_answer(self, parts, now_ms):
        """Count an answer that an upstream began and went on with.

        Returns
        =======
        tuple of PartRecord
            The changed records.
        """
        self._counts.on_answer(parts, now_ms)
        return self._withdraw(parts, now_ms)

    def _withdraw(self, parts, now_ms):
        changed = []
        for part in parts:
            record = self._table.get(part)
            if record.crashes or record.state != PartState.CLEAR:
                changed.append(self._table.withdraw(part, now_ms))
                self._tries.cancel(part)
        return tuple(changed)

    def lift(self, part, now_ms):
        """Withdraw the evidence against a part or request by an operator's command."""
        return self._withdraw((part,), now_ms) + self.requests.withdraw(part, now_ms)

    def on_crash(self, upstream_id, parts, now_ms, fingerprint=0):
        """Record that an upstream ended before it had answered a request whole.

        Parameters
        ==========
        upstream_id : str
        parts : sequence of int
            The parts of its prompt, in order, if it had not begun to be answered;
            others at the upstream are reported separately.
        now_ms : int
        fingerprint : int, optional
            The request, 0 if it is not known.

        Returns
        =======
        tuple of PartRecord
            The changed records.
        """
        crash = self._crashes.crash_of(upstream_id, now_ms)
        if not crash.add(parts, fingerprint):
            return ()
        changed = {}
        if any(self._is_blocked(part) for part in crash.positions):
            self._explain(crash, changed, now_ms)
        else:
            self._charge(crash, changed, now_ms)
        return tuple(changed.values())

    def _is_blocked(self, part):
        return self._table.state(part) is PartState.BLOCKED

    def _charge(self, crash, changed, now_ms):
        is_explained = any(map(self.requests.is_blocked, crash.fingerprints))
        blocked_requests = self.requests.charge(crash, changed, now_ms)
        if crash.positions and not is_explained:
            self._charge_parts(crash, changed, now_ms)
        for fingerprint in blocked_requests:
            self._explain_by_request(fingerprint, changed, now_ms)

    def _charge_parts(self, crash, changed, now_ms):
        unanswered = {
            part for part in crash.positions if not self._counts.answers(part, now_ms)
        }
        charged = unanswered or set(crash.positions)
        for part in crash.charged - charged:
            self._discharge(part, crash, changed, now_ms)
        for part in charged - crash.charged:
            record = self._table.get(part)
            crashes = tuple(sorted({*record.crashes, crash.crash_id}))[:MAX_CRASH_IDS]
            self._put(msgspec.structs.replace(record, crashes=crashes), changed, now_ms)
        crash.charged = charged
        most = max(map(self.requests.crash_count, crash.charged_requests), default=0)
        self._raise_state(self._leader(crash), most, changed, now_ms)

    def _discharge(self, part, crash, changed, now_ms):
        left = set(self._table.get(part).crashes) - {crash.crash_id}
        changed[part] = self._table.withdraw(part, now_ms, left)

    def _leader(self, crash):
        """Return the part with most crashes, of these the one in the fewest requests.

        Several parts are in all requests that crash an upstream. Those that other
        requests hold too must not be blocked with the one that does it, also while
        nothing has been answered yet. Parts at the front of prompts are shared by most.
        """

        def rank(part):
            crashes = len(self._table.get(part).crashes)
            return -crashes, self._counts.requests(part), -crash.positions[part]

        return min(crash.charged, key=rank)

    def _raise_state(self, part, request_crashes, changed, now_ms):
        """Raise the state of a part as its crashes demand.

        Where a single request has nearly as many, either may be the cause: the part is
        suspected only. One crash that the part has in advance may be of another request
        that crashes upstreams by itself.
        """
        record = self._table.get(part)
        answers = self._counts.answers(part, now_ms)
        count = len(record.crashes) - CRASHES_PER_ANSWER * answers
        state = PartState.CLEAR
        lead = len(record.crashes) - request_crashes
        if count >= BLOCKED_CRASHES and lead >= BLOCKED_LEAD:
            state = PartState.BLOCKED
        elif count >= SUSPECTED_CRASHES:
            state = PartState.SUSPECTED
        if state <= record.state:
            return
        raised = msgspec.structs.replace(record, state=state)
        if self._put(raised, changed, now_ms) and state is PartState.BLOCKED:
            self._tries.schedule(raised, now_ms)
            for crash in self._crashes:
                if part in crash.positions:
                    self._explain(crash, changed, now_ms)

    def _explain_by_request(self, fingerprint, changed, now_ms):
        """Charge the crashes under a blocked request to no part.

        Its parts keep the first of them: a part that crashes upstreams does so in many
        requests, each of which may be sent again until it is blocked. Other requests
        keep all, as they may have ended the upstream too; their next whole answer
        clears them.
        """
        crashes = [item for item in self._crashes if fingerprint in item.fingerprints]
        for crash in crashes[1:]:
            self._explain_to_parts(crash, changed, now_ms)

    def _explain(self, crash, changed, now_ms):
        """Charge a crash to no part or request but those that are blocked."""
        self.requests.discharge(crash, changed, now_ms)
        self._explain_to_parts(crash, changed, now_ms)

    def _explain_to_parts(self, crash, changed, now_ms):
        for part in crash.charged:
            if not self._is_blocked(part):
                self._discharge(part, crash, changed, now_ms)
        crash.charged = {part for part in crash.charged if self._is_blocked(part)}

    def _put(self, record, changed, now_ms):
        is_stored = self._table.put(record, now_ms)
        if is_stored:
            changed[record.part] = record
        return is_stored

    def has_crashed_since(self, upstream_id, since_ms, now_ms):
        """Return whether an upstream has just ended, and not before ``since_ms``."""
        crash = self._crashes.latest(upstream_id, now_ms)
        return crash is not None and crash.at_ms >= since_ms

    def explains_crash(self, upstream_id, now_ms):
        """Return whether a request is taken for the cause of an upstream's last end."""
        crash = self._crashes.latest(upstream_id, now_ms)
        if crash is None:
            return False
        states = [self._table.state(part) for part in crash.positions]
        states += [self.requests.state(item) for item in crash.fingerprints]
        return any(state is not PartState.CLEAR for state in states)

    # Other hosts.

    def merge(self, records, now_ms):
        """Merge the records of another host or of the store.

        Returns
        =======
        tuple of PartRecord
            Those that changed something here.
        """
        merged = []
        for record in records:
            if record.is_request:
                known = self.requests.merge(record, now_ms)
                if known is not None:
                    merged.append(known)
                continue
            was_blocked = self._is_blocked(record.part)
            tries = self._table.get(record.part).tries
            if not self._table.merge(record, now_ms):
                continue
            known = self._table.get(record.part)
            merged.append(known)
            if known.state != PartState.BLOCKED:
                self._tries.cancel(record.part)
            elif not was_blocked or known.tries > tries:
                self._tries.schedule(known, now_ms)
        return tuple(merged)

    def expire(self, now_ms):
        """Withdraw old evidence against what is not blocked."""
        return (*self._table.expire(now_ms), *self.requests.expire(now_ms))
