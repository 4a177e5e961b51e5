import doctest
import math
import types
import unittest

from hemlockhoist.base.metrics import Metrics
from hemlockhoist.decisions import OutcomeKind
from hemlockhoist.entry import reported_load
from hemlockhoist.entry.attempt import BEGUN_AFTER_MS, Attempt
from hemlockhoist.entry.attempt_reporter import AttemptReporter
from hemlockhoist.messages import UpstreamSignals

ENDED_MS = 5_000


def outcome(kind=OutcomeKind.BROKE_OFF, **fields):
    guard = types.SimpleNamespace(dispatched_ms=1_000, relay="")
    attempt = Attempt(hold=None, guard=guard, waited_ms=0, number=1)
    attempt.kind = kind
    attempt.ended_ms = ENDED_MS
    attempt.is_upstream_lost = True
    attempt.status = 200
    for name, value in fields.items():
        setattr(attempt, name, value)
    return attempt.outcome()


class SignalsTests(unittest.TestCase):
    def test_slowdown_is_sent_with_its_age(self):
        """Guards against a report that a long call makes look new."""
        attempt = Attempt(hold=None, guard=None, waited_ms=0, number=1)
        attempt.head_ms = 1_000
        attempt.signals = UpstreamSignals(slowdown_percent=250)
        sent = attempt.unreported_signals(1_400)
        self.assertEqual((sent.slowdown_percent, sent.slowdown_age_ms), (250, 400))
        attempt.signals = UpstreamSignals()
        self.assertEqual(attempt.unreported_signals(1_400), UpstreamSignals())

    def test_examples(self):
        self.assertEqual(doctest.testmod(reported_load).failed, 0)


class BrokenOffTests(unittest.TestCase):
    def test_foreign_bytes_over_a_relay_are_the_fault_of_the_upstream(self):
        """Guards against second answers that count as breaks of a link."""
        guard = types.SimpleNamespace(dispatched_ms=1_000, relay="host-2")
        broken = outcome(guard=guard)
        self.assertIs(broken.kind, OutcomeKind.LINK_LOST)
        foreign = outcome(guard=guard, is_upstream_at_fault=True)
        self.assertIs(foreign.kind, OutcomeKind.BROKE_OFF)


class OvertakenTests(unittest.TestCase):
    def test_attempt_without_a_link_to_its_upstream_does_not_count(self):
        """Guards against upstreams that count as silent as a host lost its links."""
        fields = {"kind": OutcomeKind.CANCELLED, "is_overtaken": True}
        self.assertTrue(outcome(**fields).is_overtaken)
        self.assertFalse(outcome(is_link_at_fault=True, **fields).is_overtaken)
        guard = types.SimpleNamespace(dispatched_ms=1_000, relay="host-2")
        self.assertFalse(outcome(guard=guard, **fields).is_overtaken)

    def test_link_of_an_overtaken_attempt_is_looked_up(self):
        """Guards against a lost link that is considered only at a time-out."""
        released, watched = [], []
        grants = types.SimpleNamespace(release=lambda *values: released.append(values))
        links = types.SimpleNamespace(is_lost=lambda pool, upstream_id: True)
        context = types.SimpleNamespace(
            clock=types.SimpleNamespace(now_ms=lambda: ENDED_MS),
            upstreams=types.SimpleNamespace(links=links),
            grants=grants,
            metrics=Metrics(None),
            abandoned_checks=types.SimpleNamespace(
                add=lambda *values: watched.append(values)
            ),
            store_view=types.SimpleNamespace(routes=types.SimpleNamespace(version=3)),
        )
        call = types.SimpleNamespace(block_names=())
        admitted = types.SimpleNamespace(
            deadline_ms=math.inf, call=call, fingerprint=1, routes_version=3
        )
        hold = types.SimpleNamespace(
            pool="halls", upstream_id="u1", version="v1", home="host-1"
        )
        guard = types.SimpleNamespace(dispatched_ms=0, dispatched=True, relay="")
        attempt = Attempt(hold, guard, waited_ms=0, number=1)
        attempt.is_overtaken = True
        reporter = AttemptReporter(context, admitted, "r1", lambda attempt: "call")
        reporter.release(attempt)
        self.assertFalse(released[0][1].is_overtaken)
        # Its upstream may go on with it, and end.
        self.assertEqual(watched, [(hold, "call", False, False)])


class CrashSuspectTests(unittest.TestCase):
    def test_answer_without_an_event_is_suspect(self):
        self.assertTrue(outcome().is_crash_suspect)

    def test_answer_that_broke_off_in_its_first_event_is_suspect(self):
        """Guards against evidence that is lost as a busy host sees the end late."""
        first_ms = ENDED_MS - 10 * BEGUN_AFTER_MS
        self.assertTrue(outcome(first_ms=first_ms).is_crash_suspect)

    def test_answer_that_had_begun_is_no_suspect(self):
        first_ms = ENDED_MS - BEGUN_AFTER_MS
        self.assertFalse(outcome(first_ms=first_ms, event_count=1).is_crash_suspect)
        late = outcome(first_ms=ENDED_MS - 1, event_count=1)
        self.assertTrue(late.is_crash_suspect)

    def test_answer_of_an_upstream_that_lives_is_no_suspect(self):
        self.assertFalse(outcome(is_upstream_lost=False).is_crash_suspect)

    def test_two_events_or_a_complete_answer_speak_for_a_prompt(self):
        self.assertTrue(outcome(first_ms=ENDED_MS, event_count=2).is_answered)
        self.assertFalse(outcome(first_ms=ENDED_MS, event_count=1).is_answered)
        self.assertTrue(outcome(OutcomeKind.SUCCESS, first_ms=ENDED_MS).is_answered)

    def test_rejection_of_a_request_does_not_speak_for_its_prompt(self):
        """Guards against an upstream's status 400 that clears a guilty part."""
        rejected = outcome(OutcomeKind.SUCCESS, first_ms=ENDED_MS, status=400)
        self.assertFalse(rejected.is_answered)
