import unittest

from hemlockhoist.standins.published.replica import ReceivedRequest, Replica
from hemlockhoist.standins.published.soak.callers import (
    REQUEST_KINDS,
    Call,
    RequestKind,
)
from hemlockhoist.standins.published.soak.checks import RunChecker
from hemlockhoist.standins.published.soak.config_checks import (
    DeclaredVersion,
    find_declaration_violations,
)
from hemlockhoist.standins.published.soak.cut_checks import CutSpan
from hemlockhoist.standins.published.soak.fall_checks import BrittleSpan
from hemlockhoist.standins.published.soak.hedge_checks import find_hedge_violations
from hemlockhoist.standins.published.soak.limit_checks import LimitSpan

LOOKUP, BOOKING, REPORT, _ = REQUEST_KINDS
EVENTS = 2
COMPLETE_STREAM = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
TENANTS = {"k1": "t1"}


def call(kind=LOOKUP, **fields):
    values = {
        "status": 200,
        "is_complete": True,
        "receipt": "receipt-of-i-1",
        "body": b"answer of i-1 to /check-free/c1",
        "sent_s": 0.0,
        "ended_s": 1.0,
    }
    return Call(attempt_id="c1", kind=kind, key="k1", host="h", **{**values, **fields})


def replica(*executions):
    instance = Replica("i-1")
    for fields in executions:
        headers = {
            "attempt-id": "c1",
            "tenant": "t1",
            "expected-instance": "i-1",
            **fields,
        }
        received = ReceivedRequest(
            "GET", "/check-free/c1", headers, b"", replica_id="i-1"
        )
        instance.ran.append(received)
    return instance


class HedgeCheckTests(unittest.TestCase):
    def violations(self, kind, count=1):
        lines = ["event=hedge_sent request=c1 attempt=2"] * count
        found = find_hedge_violations({"c1": call(kind)}, lines)
        return [text.partition(":")[0] for text in found]

    def test_hedges_of_requests_that_run_once_and_second_hedges_are_found(self):
        self.assertEqual(self.violations(LOOKUP), [])
        self.assertEqual(self.violations(REPORT), [])
        found = self.violations(BOOKING)
        self.assertEqual(found, ["hedged a request that runs once"])
        self.assertEqual(self.violations(LOOKUP, 2), ["hedged 2 times"])


class RunCheckerTests(unittest.TestCase):
    """Each check is given a record that violates it, so that none passes trivially."""

    def violations_of(
        self, one_call, *executions, revoked=(), stops=(), disturbances=()
    ):
        checker = RunChecker([one_call], [replica(*executions)], EVENTS)
        checker.check(dict(revoked), 3_000, TENANTS, stops, disturbances)
        return [text.partition(":")[0] for text in checker.violations]

    def test_correct_requests_are_no_violations(self):
        self.assertEqual(self.violations_of(call(), {}), [])
        self.assertEqual(self.violations_of(call(BOOKING), {}), [])
        stream = call(REPORT, body=COMPLETE_STREAM)
        self.assertEqual(self.violations_of(stream, {}), [])
        refused = call(BOOKING, status=503, receipt="", body=b"")
        self.assertEqual(self.violations_of(refused), [])

    def test_booking_that_ran_twice(self):
        self.assertEqual(
            self.violations_of(call(BOOKING), {}, {}), ["ran more than once"]
        )
        self.assertEqual(self.violations_of(call(LOOKUP), {}, {}), [])

    def test_refused_request_that_ran(self):
        refused = call(BOOKING, status=503, receipt="", body=b"")
        self.assertEqual(self.violations_of(refused, {}), ["answered 503, and ran"])

    def test_execution_without_request(self):
        violations = self.violations_of(call(), {"attempt-id": "c9"})
        self.assertIn("ran a request that no caller sent", violations)

    def test_wrong_customer_key_or_instance(self):
        self.assertEqual(
            self.violations_of(call(), {"tenant": "t2"}),
            ["attributed to another customer"],
        )
        violations = self.violations_of(call(), {"authorization": "Bearer k1"})
        self.assertEqual(violations, ["API key forwarded to a replica"])
        violations = self.violations_of(call(), {"expected-instance": "i-2"})
        self.assertEqual(violations, ["ran at an unexpected instance"])

    def test_revoked_key(self):
        late = call(sent_s=5.0)
        violations = self.violations_of(late, {}, revoked={"k1": 1.0})
        self.assertEqual(
            violations, ["sent 4000 ms after its key was revoked, and ran"]
        )
        self.assertEqual(
            self.violations_of(call(sent_s=3.5), {}, revoked={"k1": 1.0}), []
        )

    def test_answer_of_another_request(self):
        self.assertEqual(
            self.violations_of(call(receipt="receipt-of-i-7"), {}),
            ["success without a valid receipt"],
        )
        self.assertEqual(
            self.violations_of(call(body=b"else"), {}), ["answer of another request"]
        )

    def limit_violations(self, times_s, limit_per_s=1.5, host="h", outages=()):
        limited = Replica("i-1")
        for number, at_s in enumerate(times_s):
            headers = {"attempt-id": f"c{number}"}
            received = ReceivedRequest("GET", "/", headers, b"", started_s=at_s)
            limited.ran.append(received)
        calls = [
            Call(f"c{number}", LOOKUP, "k1", host, sent_s=at_s)
            for number, at_s in enumerate(times_s)
        ]
        checker = RunChecker(calls, [limited], EVENTS)
        checker.check_limits([LimitSpan(limited, limit_per_s, 0.0, 20.0)], outages)
        return len(checker.violations)

    def test_exceeded_request_limit(self):
        """The limit of 1.5 a second tolerates 14 requests in 4 s."""
        flood_s = [5.0 + number / 10 for number in range(15)]
        self.assertEqual(self.limit_violations(flood_s), 1)
        self.assertEqual(self.limit_violations(flood_s[:14]), 0)
        self.assertEqual(self.limit_violations(flood_s, limit_per_s=6.0), 0)

    def test_requests_that_a_limit_does_not_bind(self):
        flood_s = [5.0 + number / 10 for number in range(15)]
        before_s = [1.0 + number / 10 for number in range(15)]
        self.assertEqual(self.limit_violations(before_s), 0)
        outages = [("h", 4.0, 4.5)]
        self.assertEqual(self.limit_violations(flood_s, outages=outages), 0)
        outages = [("other", 4.0, 4.5)]
        self.assertEqual(self.limit_violations(flood_s, outages=outages), 1)

    def rest_violations(self, replica, calls, outages=()):
        checker = RunChecker(calls, [replica], EVENTS)
        checker.check_rests([replica], outages, 2_000)
        return [text.partition(":")[0] for text in checker.violations]

    def received(self, times_s, host="h"):
        """Return requests that arrive at given times, and the calls to their host."""
        calls, requests = [], []
        for at_s in times_s:
            attempt_id = f"{host}-{at_s}"
            headers = {"attempt-id": attempt_id}
            requests.append(
                ReceivedRequest("GET", "/", headers, b"", started_s=float(at_s))
            )
            calls.append(Call(attempt_id, LOOKUP, "k1", host, sent_s=at_s))
        return requests, calls

    def test_disturbed_rest(self):
        """Three requests reach a replica in the rest that it asked their host for."""
        resting = Replica("i-1")
        resting.rejected, calls = self.received([1.0, 1.2, 1.6, 2.0, 3.0])
        resting.rests = [(resting.rejected[0], 3.0)]
        self.assertEqual(self.rest_violations(resting, calls), ["rest disturbed"])
        outages = [("h", 1.8, 1.9)]
        self.assertEqual(self.rest_violations(resting, calls, outages), [])
        resting.rejected.pop()
        self.assertEqual(self.rest_violations(resting, calls), [])

    def test_requests_of_other_hosts_disturb_no_rest(self):
        resting = Replica("i-1")
        resting.rejected, calls = self.received([1.0])
        others, other_calls = self.received([1.6, 1.7, 1.8, 1.9], host="other")
        resting.ran = others
        resting.rests = [(resting.rejected[0], 3.0)]
        self.assertEqual(self.rest_violations(resting, calls + other_calls), [])

    def test_work_for_a_leaving_replica(self):
        leaving = Replica("i-1")
        leaving.leaving_s = 1.0
        leaving.ran, calls = self.received([0.5, 1.5, 3.4, 3.6])
        self.assertEqual(
            self.rest_violations(leaving, calls), ["leaving i-1 got work from h"]
        )
        outages = [("h", 2.0, 2.5)]
        self.assertEqual(self.rest_violations(leaving, calls, outages), [])

    def test_hosts_without_links_that_serve_less(self):
        span = CutSpan(frozenset({"cut"}), ("reservas",), from_s=0.0, until_s=9.0)
        for served, outages, expected in (
            (0, (), 1),
            (9, (), 1),
            (20, (), 0),
            (0, (("other", 4.0, 4.5),), 0),
        ):
            calls = [self.call_to("cut", n, n < served) for n in range(20)]
            calls += [self.call_to("other", n, True) for n in range(20, 40)]
            checker = RunChecker(calls, [], EVENTS)
            checker.check_cuts([span], outages)
            self.assertEqual(len(checker.violations), expected, (served, outages))

    def test_calls_that_no_cut_concerns(self):
        span = CutSpan(frozenset({"cut"}), ("asistente",), from_s=0.0, until_s=9.0)
        calls = [self.call_to("cut", n, False) for n in range(20)]
        calls += [self.call_to("other", n, True) for n in range(20, 40)]
        checker = RunChecker(calls, [], EVENTS)
        checker.check_cuts([span], ())
        self.assertEqual(checker.violations, [])
        self.assertEqual(checker.check_counts["calls of cut hosts"], 0)

    def call_to(self, host, number, is_served):
        status = 200 if is_served else 503
        return Call(
            attempt_id=f"c{number}",
            kind=LOOKUP,
            key="k1",
            host=host,
            sent_s=5.0,
            ended_s=5.1,
            status=status,
            is_complete=True,
        )

    def test_brittle_replicas_that_fall_over_too_often(self):
        replicas = tuple(Replica(f"i-{number}") for number in range(3))
        span = BrittleSpan(replicas, from_s=0.0, until_s=9.0)
        for falls, expected in (([4.0, 5.0], 0), ([4.0, 5.0, 6.0], 1), ([1.0] * 5, 0)):
            replicas[1].falls = falls
            checker = RunChecker([], replicas, EVENTS)
            checker.check_falls([span])
            self.assertEqual(len(checker.violations), expected, falls)

    def test_incomplete_stream(self):
        broken = call(REPORT, body=COMPLETE_STREAM[:20])
        self.assertEqual(
            self.violations_of(broken, {}), ["incomplete stream delivered as complete"]
        )

    def test_answer_cut_by_planned_stop(self):
        cut = call(status=0, is_complete=False, receipt="", body=b"", sent_s=1.0)
        stop = ("h", 0.5, 3.0)
        self.assertEqual(
            self.violations_of(cut, {}, stops=[stop]), ["cut by a planned stop"]
        )
        self.assertEqual(
            self.violations_of(cut, {}, stops=[stop], disturbances=[(2.0, 2.5)]), []
        )


class DeclarationCheckTests(unittest.TestCase):
    """Version 1 is confirmed at 10 s, and version 2 at 20 s."""

    def setUp(self):
        self.declared = [
            DeclaredVersion("v1", 9.9, 10.0),
            DeclaredVersion("v2", 19.9, 20.0),
        ]

    def violations_of(self, *probes, store_spans=(), outages=()):
        calls = [
            call(
                RequestKind(path, "GET", "reservas", True, False),
                status=status,
                sent_s=sent_s,
                ended_s=sent_s + 0.1,
            )
            for path, status, sent_s in probes
        ]
        violations, checked = find_declaration_violations(
            calls, self.declared, store_spans, outages, ["h", "h2"]
        )
        self.assertEqual(checked, len(probes))
        return violations

    def test_route_that_is_served_long_after_it_was_dropped(self):
        self.assertEqual(len(self.violations_of(("v1", 200, 23.1))), 1)
        self.assertEqual(self.violations_of(("v1", 200, 22.9)), [])

    def test_route_that_is_not_found_long_after_it_was_declared(self):
        self.assertEqual(len(self.violations_of(("v2", 404, 23.1))), 1)
        self.assertEqual(self.violations_of(("v2", 404, 22.9)), [])
        self.assertEqual(self.violations_of(("v1", 404, 19.95)), [])

    def test_route_that_comes_back(self):
        probes = (("v2", 200, 20.5), ("v1", 200, 21.5))
        self.assertEqual(len(self.violations_of(*probes)), 1)
        restart = [("h", 20.7, 20.9)]
        self.assertEqual(self.violations_of(*probes, outages=restart), [])

    def test_store_that_serves_another_host_is_no_excuse(self):
        late = ("v1", 200, 24.0)
        one = [("h", 15.0, 30.0)]
        self.assertEqual(len(self.violations_of(late, store_spans=one)), 1)
        both = [*one, ("h2", 15.0, 30.0)]
        self.assertEqual(self.violations_of(late, store_spans=both), [])
        stopped = [("h2", 15.0, 30.0)]
        self.assertEqual(self.violations_of(late, store_spans=one, outages=stopped), [])
