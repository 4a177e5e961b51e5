import unittest

from hemlockhoist.standins.published.replica import ReceivedRequest, Replica
from hemlockhoist.standins.published.soak.callers import REQUEST_KINDS, Call
from hemlockhoist.standins.published.soak.checks import RunChecker

LOOKUP, BOOKING, REPORT, _ = REQUEST_KINDS
EVENTS = 2
WHOLE_STREAM = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
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


def replica(*runs):
    found = Replica("i-1")
    for fields in runs:
        headers = {
            "attempt-id": "c1",
            "tenant": "t1",
            "expected-instance": "i-1",
            **fields,
        }
        seen = ReceivedRequest("GET", "/check-free/c1", headers, b"", replica_id="i-1")
        found.ran.append(seen)
    return found


class RunCheckerTests(unittest.TestCase):
    """A check that can not fail shows nothing: each is met by what it looks for."""

    def found(self, one_call, *runs, revoked=(), stops=(), disturbances=()):
        checker = RunChecker([one_call], [replica(*runs)], EVENTS)
        checker.check(dict(revoked), 3_000, TENANTS, stops, disturbances)
        return [text.partition(":")[0] for text in checker.violations]

    def test_good_requests_are_no_findings(self):
        self.assertEqual(self.found(call(), {}), [])
        self.assertEqual(self.found(call(BOOKING), {}), [])
        stream = call(REPORT, body=WHOLE_STREAM)
        self.assertEqual(self.found(stream, {}), [])
        refused = call(BOOKING, status=503, receipt="", body=b"")
        self.assertEqual(self.found(refused), [])

    def test_booking_that_ran_twice(self):
        self.assertEqual(self.found(call(BOOKING), {}, {}), ["ran more than once"])
        self.assertEqual(self.found(call(LOOKUP), {}, {}), [])

    def test_refusal_that_is_not_true(self):
        refused = call(BOOKING, status=503, receipt="", body=b"")
        self.assertEqual(self.found(refused, {}), ["answered 503, and ran"])

    def test_request_that_nobody_sent(self):
        found = self.found(call(), {"attempt-id": "c9"})
        self.assertIn("a request ran that nobody sent", found)

    def test_wrong_customer_key_and_run(self):
        self.assertEqual(self.found(call(), {"tenant": "t2"}), ["another customer"])
        found = self.found(call(), {"authorization": "Bearer k1"})
        self.assertEqual(found, ["the key was passed on"])
        found = self.found(call(), {"expected-instance": "i-2"})
        self.assertEqual(found, ["ran at another run"])

    def test_key_that_was_taken_away(self):
        late = call(sent_s=5.0)
        found = self.found(late, {}, revoked={"k1": 1.0})
        self.assertEqual(found, ["sent 4000 ms after its key was taken away, and ran"])
        self.assertEqual(self.found(call(sent_s=3.5), {}, revoked={"k1": 1.0}), [])

    def test_success_of_another(self):
        self.assertEqual(
            self.found(call(receipt="receipt-of-i-7"), {}),
            ["a success without its receipt"],
        )
        self.assertEqual(self.found(call(body=b"else"), {}), ["another's answer"])

    def test_stream_that_only_looks_whole(self):
        broken = call(REPORT, body=WHOLE_STREAM[:20])
        self.assertEqual(self.found(broken, {}), ["a stream looks whole and is not"])

    def test_answer_that_a_planned_stop_cut(self):
        cut = call(status=0, is_complete=False, receipt="", body=b"", sent_s=1.0)
        stop = ("h", 0.5, 3.0)
        self.assertEqual(self.found(cut, {}, stops=[stop]), ["cut by a planned stop"])
        self.assertEqual(
            self.found(cut, {}, stops=[stop], disturbances=[(2.0, 2.5)]), []
        )
