"""What must hold of a run, judged from what callers and replicas saw."""

import collections

from hemlockhoist.standins.published.soak.callers import elapsed_ms

# Statuses by which a caller is told that its request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Between the clocks' readings of a caller, a host and a replica in one process group.
CLOCK_SLACK_MS = 100
# A planned stop is judged by itself only where nothing else was wrong for this long.
CALM_S = 3.0


class Execution:
    """One request that a replica ran.

    Parameters
    ==========
    replica : Replica
    seen : SeenRequest
    """

    __slots__ = ("replica", "seen")

    def __init__(self, replica, seen):
        self.replica = replica
        self.seen = seen

    @property
    def attempt_id(self):
        """The caller's id of the request."""
        return self.seen.headers.get("attempt-id", "")


class RunChecker:
    """Judges a run.

    Parameters
    ==========
    calls : list of Call
    replicas : list of Replica
        Those that ended, too.
    events : int
        Of a whole stream.
    """

    def __init__(self, calls, replicas, events):
        self.violations = []
        self.check_counts = collections.Counter()
        self._events = events
        self._calls = {call.attempt_id: call for call in calls}
        self._runs = collections.defaultdict(list)
        for replica in replicas:
            for seen in replica.ran:
                run = Execution(replica, seen)
                self._runs[run.attempt_id].append(run)

    def check(self, revoked, revocation_ms, tenants, stops, disturbances):
        """Make all checks.

        Parameters
        ==========
        revoked : dict of str to float
            When the store confirmed that a key was taken away.
        revocation_ms : int
        tenants : dict of str to str
            Who holds a key.
        stops : list of (str, float, float)
            Host, signal and end of each planned stop.
        disturbances : list of (float, float)
        """
        for attempt_id, runs in self._runs.items():
            call = self._calls.get(attempt_id)
            if call is None:
                self._add_violation("a request ran that nobody sent", attempt_id, runs)
                continue
            self._judge_runs(call, runs, tenants)
            if call.key in revoked:
                self._judge_revoked(call, runs, revoked[call.key], revocation_ms)
        for call in self._calls.values():
            self._judge_answer(call, self._runs.get(call.attempt_id, []))
        for stop in stops:
            self._judge_stop(stop, disturbances)

    def _add_violation(self, text, attempt_id, detail):
        self.violations.append(f"{text}: {attempt_id}: {detail}")

    def _judge_runs(self, call, runs, tenants):
        self.check_counts["at most once"] += not call.kind.is_idempotent
        if not call.kind.is_idempotent and len(runs) > 1:
            self._add_violation(
                "ran more than once", call.attempt_id, [_name(r) for r in runs]
            )
        for run in runs:
            headers = run.seen.headers
            self.check_counts["the caller's own customer"] += 1
            if headers.get("tenant") != tenants.get(call.key):
                self._add_violation(
                    "another customer", call.attempt_id, headers.get("tenant")
                )
            if "authorization" in headers:
                self._add_violation(
                    "the key was passed on", call.attempt_id, _name(run)
                )
            if headers.get("expected-instance") != run.seen.replica_id:
                self._add_violation("ran at another run", call.attempt_id, _name(run))

    def _judge_revoked(self, call, runs, revoked_s, revocation_ms):
        self.check_counts["a key that was taken away"] += 1
        late_ms = elapsed_ms(revoked_s, call.sent_s)
        if runs and late_ms > revocation_ms + CLOCK_SLACK_MS:
            text = f"sent {late_ms:.0f} ms after its key was taken away, and ran"
            self._add_violation(text, call.attempt_id, _name(runs[0]))

    def _judge_answer(self, call, runs):
        if call.status in NOT_RUN_STATUSES and not call.kind.is_idempotent:
            self.check_counts["not run is true"] += 1
            if runs:
                text = f"answered {call.status}, and ran"
                self._add_violation(text, call.attempt_id, [_name(run) for run in runs])
        if call.status != 200 or not call.is_complete:
            return
        self.check_counts["a whole answer of its own"] += 1
        receipts = {f"receipt-of-{run.seen.replica_id}" for run in runs}
        if call.receipt not in receipts:
            self._add_violation(
                "a success without its receipt", call.attempt_id, call.receipt
            )
        if call.kind.is_stream:
            self._judge_stream(call)
        elif call.attempt_id.encode() not in call.body:
            self._add_violation("another's answer", call.attempt_id, call.body[:80])

    def _judge_stream(self, call):
        wanted = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(1, self._events + 1)
        )
        if call.body != wanted:
            text = "a stream looks whole and is not"
            self._add_violation(text, call.attempt_id, call.body[-60:])

    def _judge_stop(self, stop, disturbances):
        host, signal_s, end_s = stop
        if any(a < end_s and b > signal_s - CALM_S for a, b in disturbances):
            return
        for call in self._calls.values():
            inside = signal_s <= call.sent_s <= end_s
            if call.host != host or not inside or call.disconnects:
                continue
            self.check_counts["a planned stop cuts nothing"] += 1
            ran = self._runs.get(call.attempt_id)
            if ran and not call.is_complete:
                self._add_violation(
                    "cut by a planned stop", call.attempt_id, _name(ran[0])
                )


def _name(run):
    return f"{run.seen.replica_id} at {run.seen.started_s:.3f} s"
