import unittest

from hemlockhoist.standins.callers import CallRecord, Kind, Refusal, Seen
from hemlockhoist.standins.consistency import RunCounts, check_consistency


def _record(seen, kind=Kind.BOOKING, **fields):
    return CallRecord(kind=kind, customer="c", tier="t", seen=seen, **fields)


def _problems(records, runs=(), late_ms=(), unknown_allowed=True):
    report = {
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
            _record(Seen.WHOLE, key="a"),
            _record(Seen.REFUSED, key="b"),
            _record(Seen.UNKNOWN, key="c"),
            _record(Seen.WHOLE, Kind.CHAT, request_ids=["r"]),
        ]
        self.assertEqual(_problems(records, {"a": 1, "r": 1, "c": 1}, [2_999]), [])

    def test_request_run_twice_is_found(self):
        """A key that ran at two upstreams or twice at one is found."""
        self.assertEqual(_problems([], {"a": 2}), ["run twice"])

    def test_confirmed_booking_without_a_run_is_found(self):
        """A booking that was confirmed to its caller but never ran is found."""
        records = [_record(Seen.WHOLE, key="a")]
        self.assertEqual(_problems(records), ["confirmed, and run 0 times"])

    def test_refusal_of_a_request_that_ran_is_found(self):
        """A refusal reported as "not run" is found if the request ran."""
        refusal = Refusal(503, 200, "not run", "r", 1_000, "")
        chat = _record(Seen.WHOLE, Kind.CHAT, refusals=[refusal])
        booking = _record(Seen.REFUSED, key="a")
        found = _problems([chat, booking], {"r": 1, "a": 1})
        self.assertEqual(found, ["refused as not run, and ran"] * 2)

    def test_bad_outcomes_and_late_work_are_found(self):
        """Cut, wrong and lost requests and work after leaving are found."""
        records = [
            _record(Seen.CUT, Kind.CHAT),
            _record(Seen.WRONG, Kind.LOOKUP),
            _record(Seen.UNKNOWN, Kind.CHAT),
            _record(Seen.UNKNOWN),
        ]
        found = _problems(records, late_ms=[3_001], unknown_allowed=False)
        self.assertEqual(
            found,
            ["chat cut", "lookup wrong", "chat lost", "booking lost"]
            + ["work after leaving"],
        )
