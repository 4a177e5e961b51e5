import unittest

from hemlockhoist.standins.callers import CallOutcome, CallRecord, Refusal, RequestKind
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.prompt_faults import find_crash_findings


def _record(outcome, kind=RequestKind.BOOKING, **fields):
    return CallRecord(kind=kind, customer="c", tier="t", outcome=outcome, **fields)


def _problems(records, runs=(), late_ms=(), unknown_allowed=True, lost=()):
    report = {
        "lost": list(lost),
        "runs": dict(runs),
        "finished": {},
        "begun_after_leaving_ms": list(late_ms),
    }
    found = check_consistency(records, RunCounts([report]), 3_000, unknown_allowed)
    return [finding.problem for finding in found]


class ConsistencyTests(unittest.TestCase):
    def test_consistent_records_give_no_finding(self):
        """Whole answers, true refusals and one run per booking give no finding."""
        records = [
            _record(CallOutcome.WHOLE, key="a"),
            _record(CallOutcome.REFUSED, key="b"),
            _record(CallOutcome.UNKNOWN, key="c"),
            _record(CallOutcome.WHOLE, RequestKind.CHAT, request_ids=["r"]),
        ]
        self.assertEqual(_problems(records, {"a": 1, "r": 1, "c": 1}, [2_999]), [])

    def test_request_run_twice_is_found(self):
        """A key that ran at two upstreams or twice at one is found."""
        self.assertEqual(_problems([], {"a": 2}), ["run twice"])

    def test_confirmed_booking_without_a_run_is_found(self):
        """A booking that was confirmed to its caller but never ran is found."""
        records = [_record(CallOutcome.WHOLE, key="a")]
        self.assertEqual(_problems(records), ["confirmed, and run 0 times"])

    def test_refusal_of_a_request_that_ran_is_found(self):
        """A refusal reported as "not run" is found if the request ran."""
        refusal = Refusal(503, 200, "not run", "r", 1_000, "")
        chat = _record(CallOutcome.WHOLE, RequestKind.CHAT, refusals=[refusal])
        booking = _record(CallOutcome.REFUSED, key="a")
        found = _problems([chat, booking], {"r": 1, "a": 1})
        self.assertEqual(found, ["refused as not run, and ran"] * 2)

    def test_bad_outcomes_and_late_work_are_found(self):
        """Cut, wrong and lost requests and work after leaving are found."""
        records = [
            _record(CallOutcome.CUT, RequestKind.CHAT),
            _record(CallOutcome.WRONG, RequestKind.LOOKUP),
            _record(CallOutcome.UNKNOWN, RequestKind.CHAT),
            _record(CallOutcome.UNKNOWN),
        ]
        found = _problems(records, late_ms=[3_001], unknown_allowed=False)
        self.assertEqual(
            found,
            ["chat cut", "lookup wrong", "chat lost", "booking lost"]
            + ["work after leaving"],
        )

    def test_only_chats_of_a_crashed_engine_may_be_cut(self):
        """A chat that its engine lost may end in its middle, any other may not."""
        cut = _record(CallOutcome.CUT, RequestKind.CHAT, request_ids=["r"])
        self.assertEqual(_problems([cut], lost=["r"]), [])
        self.assertEqual(_problems([cut], lost=["other"]), ["chat cut"])
        wrong = _record(CallOutcome.WRONG, RequestKind.CHAT, request_ids=["r"])
        self.assertEqual(_problems([wrong], lost=["r"]), ["chat wrong"])
        failed = _record(CallOutcome.FAILED, RequestKind.LOOKUP, request_ids=["r"])
        self.assertEqual(_problems([failed], lost=["r"]), ["lookup failed"])

    def test_too_many_crashes_are_found(self):
        self.assertEqual(
            find_crash_findings([{"crashes": 5}, {"crashes": 3}, {}], 1), []
        )
        (text,) = find_crash_findings([{"crashes": 5}, {"crashes": 4}, {}], 1)
        self.assertIn("9 times", text)
