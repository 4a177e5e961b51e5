import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.decisions.entry import AttemptEnd, CutCause, Step, next_step
from hemlockhoist.decisions.entry.attempts import MAX_UNSENT
from hemlockhoist.declarations import CallKind, Route


def route(kind=CallKind.IDEMPOTENT, attempts=2, resumable=False):
    return Route(
        name="r",
        host="halls.example",
        prefix="/r/",
        kind=kind,
        timeout_ms=1_000,
        target_ms=300,
        max_attempts=attempts,
        is_resumable=resumable,
    )


BOOKING = route(CallKind.NON_IDEMPOTENT, attempts=3)


class BookingTests(unittest.TestCase):
    @given(
        st.sampled_from([AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.NOT_RUN]),
        st.integers(1, 5),
        st.integers(0, 5),
    )
    def test_booking_that_may_have_run_is_not_sent_again(
        self, end, sent_count, unsent_count
    ):
        """Guards against booking a hall twice.

        The first replica runs the booking and the connection breaks before its answer;
        then the second replica runs it again.
        """
        step = next_step(end, BOOKING, True, sent_count, unsent_count)
        self.assertIs(step, Step.FAIL)

    def test_booking_that_did_not_run_is_sent_to_another_replica(self):
        step = next_step(AttemptEnd.NOT_RUN, BOOKING, False, 1, 0)
        self.assertIs(step, Step.TRY_ANOTHER)

    def test_failed_answer_of_a_booking_is_passed_on(self):
        step = next_step(AttemptEnd.FAILED_ANSWER, BOOKING, True, 1, 0)
        self.assertIs(step, Step.ANSWER)


class LimitsTests(unittest.TestCase):
    def test_lookup_is_sent_as_often_as_declared(self):
        lookup = route(attempts=2)
        again = next_step(AttemptEnd.BROKEN, lookup, True, 1, 0)
        self.assertIs(again, Step.TRY_ANOTHER)
        last = next_step(AttemptEnd.BROKEN, lookup, True, 2, 0)
        self.assertIs(last, Step.FAIL)

    def test_refused_retry_of_a_lookup_that_ran_is_not_reported_as_not_run(self):
        """Guards against reporting "not run" although an attempt ran.

        The first attempt breaks off after the replica ran it, and the second replica
        reports that it did not run its own: only that attempt is known not to have run.
        """
        step = next_step(AttemptEnd.NOT_RUN, route(attempts=2), True, 2, 0)
        self.assertIs(step, Step.FAIL)

    def test_failed_connections_do_not_count_as_sends(self):
        single = route(attempts=1)
        step = next_step(AttemptEnd.NOT_SENT, single, False, 0, MAX_UNSENT)
        self.assertIs(step, Step.TRY_ANOTHER)
        step = next_step(AttemptEnd.NOT_SENT, single, False, 0, MAX_UNSENT + 1)
        self.assertIs(step, Step.REFUSE)

    def test_resumable_stream_is_resumed(self):
        resumable = route(CallKind.STREAM, attempts=2, resumable=True)
        step = next_step(AttemptEnd.BROKEN, resumable, True, 1, 0)
        self.assertIs(step, Step.TRY_ANOTHER)
        plain = route(CallKind.STREAM, attempts=2)
        step = next_step(AttemptEnd.BROKEN, plain, True, 1, 0)
        self.assertIs(step, Step.FAIL)


class CutCauseTests(unittest.TestCase):
    def test_silent_upstream_is_told_apart_from_one_that_broke_off(self):
        """Guards against logs that do not say who closed a stream first."""
        self.assertIs(CutCause.after(AttemptEnd.TIMED_OUT), CutCause.SILENT)
        self.assertIs(CutCause.after(AttemptEnd.BROKEN), CutCause.BROKE_OFF)
        for end in (
            AttemptEnd.FAILED_ANSWER,
            AttemptEnd.NOT_RUN,
            AttemptEnd.NOT_SENT,
        ):
            self.assertIs(CutCause.after(end), CutCause.FAILED)
