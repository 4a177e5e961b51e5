import unittest

from hemlockhoist.standins.callers import CallOutcome, CallRecord, Refusal, RequestKind
from hemlockhoist.standins.verdict import RunCounts, judge


def _record(outcome, kind=RequestKind.BOOKING, **fields):
    return CallRecord(kind=kind, customer="c", tier="t", outcome=outcome, **fields)


def _judge(records, runs=(), late_ms=(), unknown_allowed=True):
    report = {
        "runs": dict(runs),
        "finished": {},
        "begun_after_leaving_ms": list(late_ms),
    }
    found = judge(records, RunCounts([report]), 3_000, unknown_allowed)
    return [finding.what for finding in found]


class VerdictTests(unittest.TestCase):
    def test_nothing_wrong(self):
        """Whole answers, true refusals and one run for each booking: no finding."""
        records = [
            _record(CallOutcome.WHOLE, key="a"),
            _record(CallOutcome.REFUSED, key="b"),
            _record(CallOutcome.UNKNOWN, key="c"),
            _record(CallOutcome.WHOLE, RequestKind.CHAT, request_ids=["r"]),
        ]
        self.assertEqual(_judge(records, {"a": 1, "r": 1, "c": 1}, [2_999]), [])

    def test_doubled(self):
        """A key that ran at two upstreams, or twice at one, is found."""
        self.assertEqual(_judge([], {"a": 2}), ["run twice"])

    def test_confirmed_without_a_run(self):
        """A booking that its caller was told of and no service ran is lost."""
        records = [_record(CallOutcome.WHOLE, key="a")]
        self.assertEqual(_judge(records), ["confirmed, and run 0 times"])

    def test_untrue_refusal(self):
        """A refusal that says "not run" of something that ran is found."""
        refusal = Refusal(503, 200, "not run", "r", 1_000, "")
        chat = _record(CallOutcome.WHOLE, RequestKind.CHAT, refusals=[refusal])
        booking = _record(CallOutcome.REFUSED, key="a")
        found = _judge([chat, booking], {"r": 1, "a": 1})
        self.assertEqual(found, ["refused as not run, and ran"] * 2)

    def test_bad_ends(self):
        """Cut, wrong, failed and lost requests are found; so is work too late."""
        records = [
            _record(CallOutcome.CUT, RequestKind.CHAT),
            _record(CallOutcome.WRONG, RequestKind.LOOKUP),
            _record(CallOutcome.UNKNOWN, RequestKind.CHAT),
            _record(CallOutcome.UNKNOWN),
        ]
        found = _judge(records, late_ms=[3_001], unknown_allowed=False)
        self.assertEqual(
            found,
            ["chat cut", "lookup wrong", "chat lost", "booking lost"]
            + ["work after leaving"],
        )
