"""Checks of a soak run, based on what callers and replicas recorded."""

import collections

from hemlockhoist.base import MS_PER_S
from hemlockhoist.standins.published.soak.answer_ends import AnswerEnd
from hemlockhoist.standins.published.soak.body_checks import find_body_violations
from hemlockhoist.standins.published.soak.callers import elapsed_ms
from hemlockhoist.standins.published.soak.config_checks import (
    find_declaration_violations,
)
from hemlockhoist.standins.published.soak.contact_checks import (
    find_contact_violations,
)
from hemlockhoist.standins.published.soak.crash_checks import (
    find_blocked_innocents,
    find_crash_violations,
)
from hemlockhoist.standins.published.soak.cut_checks import find_cut_violations
from hemlockhoist.standins.published.soak.end_checks import (
    find_end_violations,
    whole_stream,
)
from hemlockhoist.standins.published.soak.executions import Execution
from hemlockhoist.standins.published.soak.fall_checks import find_fall_violations
from hemlockhoist.standins.published.soak.hedge_checks import find_hedge_violations
from hemlockhoist.standins.published.soak.history_checks import (
    find_history_violations,
)
from hemlockhoist.standins.published.soak.hosts import PEER_KEY
from hemlockhoist.standins.published.soak.limit_checks import find_limit_violations
from hemlockhoist.standins.published.soak.repeat_checks import (
    find_blocked_others,
    find_repeat_violations,
)
from hemlockhoist.standins.published.soak.rest_checks import (
    find_leaving_violations,
    find_rest_violations,
    find_rests,
)
from hemlockhoist.standins.published.soak.retry_checks import (
    find_arrivals,
    find_attempt_violations,
    find_retry_violations,
    find_time_limit_violations,
)

# Statuses that tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Tolerance between the times that a caller, a host and a replica in one process group
# record.
CLOCK_SLACK_MS = 100
# A planned stop is checked only if there was no other fault for this long before it.
UNDISTURBED_S = 3.0


class RunChecker:
    """Checks the records of a run.

    Parameters
    ==========
    calls : list of Call
    replicas : list of Replica
        All replicas of the run, also those that ended.
    events : int
        Number of events of a complete stream.
    """

    def __init__(self, calls, replicas, events):
        self.violations = []
        self.check_counts = collections.Counter()
        self._events = events
        self._calls = {call.attempt_id: call for call in calls}
        self._executions = collections.defaultdict(list)
        for replica in replicas:
            for received in replica.ran:
                execution = Execution(replica, received)
                self._executions[execution.attempt_id].append(execution)

    def check_bodies(self, surplus):
        """Check that callers received bytes of runs of their requests only.

        Parameters
        ==========
        surplus : list of bytes
            What arrived on callers' connections and belongs to no answer.
        """
        violations, counts = find_body_violations(
            self._calls.values(), self._executions, surplus
        )
        self.violations += violations
        self.check_counts.update(counts)

    def check_limits(self, spans, outages):
        """Check the limits that replicas named.

        Parameters
        ==========
        spans : list of LimitSpan
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        """
        host_of = {key: call.host for key, call in self._calls.items()}
        violations, checked = find_limit_violations(spans, host_of, outages)
        self.violations += violations
        self.check_counts["request limits"] += checked

    def check_rests(self, replicas, outages, drain_ms):
        """Check that hosts kept to what replicas asked of them.

        Parameters
        ==========
        replicas : list of Replica
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        drain_ms : int
            Time after which a host sends nothing new to a replica that leaves.
        """
        host_of = {key: call.host for key, call in self._calls.items()}
        rests = find_rests(replicas, host_of)
        self.violations += find_rest_violations(rests, host_of, outages)
        self.check_counts["rests"] += len(rests)
        violations, checked = find_leaving_violations(
            replicas, host_of, outages, drain_ms / MS_PER_S
        )
        self.violations += violations
        self.check_counts["announced ends"] += checked

    def check_crashes(self, spans, replicas, outages, rows):
        """Check that prompts which crash replicas reached few, and no other is blocked.

        Parameters
        ==========
        spans : list of CrashSpan
        replicas : list of Replica
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        rows : list
            The records of parts in the store.
        """
        host_of = {key: call.host for key, call in self._calls.items()}
        violations, checked = find_crash_violations(spans, replicas, host_of, outages)
        self.violations += violations + find_blocked_innocents(spans, rows)
        self.check_counts["crashing parts"] += checked
        self.check_counts["spans of crashing parts"] += len(spans)

    def check_repeats(self, requests, replicas, outages, rows):
        """Check that requests which are sent again ended few replicas.

        Parameters
        ==========
        requests : list of RepeatedRequest
        replicas, outages, rows : list
            As of ``check_crashes``.
        """
        self.violations += find_repeat_violations(requests, replicas, outages)
        self.violations += find_blocked_others(requests, rows, PEER_KEY.encode())
        self.check_counts["requests that end replicas"] += len(requests)

    def check_retries(self, replicas, bounds, max_attempts, outages):
        """Check what replicas received of requests that were sent more than once.

        Parameters
        ==========
        replicas : list of Replica
        bounds : RetryBounds
        max_attempts : callable
        outages : ReplicaOutages
            As of ``find_attempt_violations``.
        """
        arrivals = find_arrivals(replicas, self._calls)
        violations, count = find_retry_violations(
            arrivals, self._calls.values(), bounds
        )
        self.violations += violations
        self.check_counts["repeated arrivals"] += count
        self.violations += find_attempt_violations(arrivals, max_attempts, outages)
        violations, count = find_time_limit_violations(arrivals)
        self.violations += violations
        self.check_counts["time limits"] += count

    def check_cuts(self, spans, outages):
        """Check that hosts without links to replicas served like the others.

        Parameters
        ==========
        spans : list of CutSpan
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        """
        calls = [call for call in self._calls.values() if not call.is_guilty]
        violations, checked = find_cut_violations(calls, spans, outages)
        self.violations += violations
        self.check_counts["calls of cut hosts"] += checked

    def check_contacts(self, probes, outages):
        """Check that hosts which said ready took new callers.

        Parameters
        ==========
        probes : dict of str to list of ContactProbe
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        """
        violations, checked = find_contact_violations(probes, outages)
        self.violations += violations
        self.check_counts["contacts"] += checked

    def check_falls(self, spans):
        """Check that brittle replicas did not fall over too often.

        Parameters
        ==========
        spans : list of BrittleSpan
        """
        self.violations += find_fall_violations(spans)
        self.check_counts["times of brittle replicas"] += len(spans)

    def check_hedges(self, lines):
        """Check that only repeatable requests were hedged, each once at most.

        Parameters
        ==========
        lines : list of str
            The log lines of hedges that were sent.
        """
        self.violations += find_hedge_violations(self._calls, lines)
        self.check_counts["hedges"] += len(lines)

    def check_declarations(self, declared, store_spans, outages, hosts):
        """Check that each version was in force in time, and no older one afterwards.

        Parameters
        ==========
        declared : list of DeclaredVersion
        store_spans : list of (str, float, float)
            Host, begin and end of each time in which the store did not serve it.
        outages : list of (str, float, float)
            Host, begin and end of each time in which it did not run normally.
        hosts : list of str
        """
        calls = list(self._calls.values())
        violations, checked = find_declaration_violations(
            calls, declared, store_spans, outages, hosts
        )
        self.violations += violations
        self.check_counts["routes in force"] += checked

    def check_history(self, spans, whole_reads, disturbances, reader_count):
        """Check that lost history was read again by few hosts.

        Parameters
        ==========
        spans, whole_reads, disturbances, reader_count
            As of ``find_history_violations``.
        """
        violations, counted = find_history_violations(
            spans, whole_reads, disturbances, reader_count
        )
        self.violations += violations
        self.check_counts["whole readings"] += counted

    def check(self, revoked, revocation_ms, tenants, stops, disturbances):
        """Run all checks, adding to ``violations`` and ``check_counts``.

        Parameters
        ==========
        revoked : dict of str to float
            When the store confirmed the revocation of a key.
        revocation_ms : int
        tenants : dict of str to str
            Customer of each key.
        stops : list of (str, float, float)
            Host, time of the signal and time of the end of each planned stop.
        disturbances : list of (float, float)
            Begin and end of each fault.
        """
        for attempt_id, executions in self._executions.items():
            call = self._calls.get(attempt_id)
            if call is None:
                self._add_violation(
                    "ran a request that no caller sent", attempt_id, executions
                )
                continue
            self._check_executions(call, executions, tenants)
            if call.key in revoked:
                self._check_revoked(call, executions, revoked[call.key], revocation_ms)
        for call in self._calls.values():
            self._check_answer(call, self._executions.get(call.attempt_id, []))
        for stop in stops:
            self._check_stop(stop, disturbances)
        violations, counts = find_end_violations(
            self._calls.values(), self._executions, self._events
        )
        self.violations += violations
        self.check_counts.update(counts)

    def _add_violation(self, problem, attempt_id, detail):
        self.violations.append(f"{problem}: {attempt_id}: {detail}")

    def _check_executions(self, call, executions, tenants):
        self.check_counts["at most once"] += not call.kind.is_idempotent
        if not call.kind.is_idempotent and len(executions) > 1:
            self._add_violation(
                "ran more than once",
                call.attempt_id,
                [_describe(item) for item in executions],
            )
        for execution in executions:
            headers = execution.received.headers
            self.check_counts["customer attribution"] += 1
            if headers.get("tenant") != tenants.get(call.key):
                self._add_violation(
                    "attributed to another customer",
                    call.attempt_id,
                    headers.get("tenant"),
                )
            if "authorization" in headers:
                self._add_violation(
                    "API key forwarded to a replica",
                    call.attempt_id,
                    _describe(execution),
                )
            if headers.get("expected-instance") != execution.received.replica_id:
                self._add_violation(
                    "ran at an unexpected instance",
                    call.attempt_id,
                    _describe(execution),
                )

    def _check_revoked(self, call, executions, revoked_s, revocation_ms):
        self.check_counts["revoked keys"] += 1
        late_ms = elapsed_ms(revoked_s, call.sent_s)
        if executions and late_ms > revocation_ms + CLOCK_SLACK_MS:
            problem = f"sent {late_ms:.0f} ms after its key was revoked, and ran"
            self._add_violation(problem, call.attempt_id, _describe(executions[0]))

    def _check_answer(self, call, executions):
        if call.status in NOT_RUN_STATUSES and not call.kind.is_idempotent:
            self.check_counts["not-run answers"] += 1
            if executions:
                problem = f"answered {call.status}, and ran"
                self._add_violation(
                    problem,
                    call.attempt_id,
                    [_describe(execution) for execution in executions],
                )
        if call.status != 200 or not call.is_complete:
            return
        self.check_counts["complete answers"] += 1
        receipts = {
            f"receipt-of-{execution.received.replica_id}" for execution in executions
        }
        if call.receipt not in receipts:
            self._add_violation(
                "success without a valid receipt", call.attempt_id, call.receipt
            )
        if call.end is AnswerEnd.CLOSED:
            # It may be a part: ``find_end_violations`` checks when.
            return
        if call.kind.is_stream:
            self._check_stream(call)
        elif call.attempt_id.encode() not in call.body:
            self._add_violation(
                "answer of another request", call.attempt_id, call.body[:80]
            )

    def _check_stream(self, call):
        if call.body != whole_stream(self._events):
            problem = "incomplete stream delivered as complete"
            self._add_violation(problem, call.attempt_id, call.body[-60:])

    def _check_stop(self, stop, disturbances):
        host, signal_s, end_s = stop
        if any(a < end_s and b > signal_s - UNDISTURBED_S for a, b in disturbances):
            return
        for call in self._calls.values():
            inside = signal_s <= call.sent_s <= end_s
            if call.host != host or not inside or call.disconnects:
                continue
            self.check_counts["planned stops"] += 1
            ran = self._executions.get(call.attempt_id)
            if ran and not call.is_complete:
                self._add_violation(
                    "cut by a planned stop", call.attempt_id, _describe(ran[0])
                )


def _describe(execution):
    return f"{execution.received.replica_id} at {execution.received.started_s:.3f} s"
