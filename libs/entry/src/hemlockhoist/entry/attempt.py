"""One attempt to send a request, and the outcome reported to the pool's home."""

import msgspec

from hemlockhoist.decisions import Outcome, OutcomeKind
from hemlockhoist.decisions.entry import AttemptEnd
from hemlockhoist.messages import NO_LIMIT

_OUTCOMES = {
    AttemptEnd.NOT_SENT: OutcomeKind.NOT_SENT,
    AttemptEnd.NOT_RUN: OutcomeKind.FAILED,
    AttemptEnd.FAILED_ANSWER: OutcomeKind.FAILED,
    AttemptEnd.BROKEN: OutcomeKind.BROKE_OFF,
    AttemptEnd.TIMED_OUT: OutcomeKind.TIMEOUT,
    # Until it is known whether the upstream has ended.
    AttemptEnd.UNCONFIRMED: OutcomeKind.BROKE_OFF,
}


# An upstream that lives on for this long after the first event of an answer did not
# crash as it began the answer.
BEGUN_AFTER_MS = 100
_FIRST_ERROR_STATUS = 300


class Attempt:
    """State of one attempt to send a request.

    Parameters
    ==========
    hold : GrantHold
    guard : SendGuard
    waited_ms : int
        Time between requesting the grant and receiving it.
    number : int
        1 for the request's first attempt.
    """

    __slots__ = (
        "body_end",
        "ended_ms",
        "event_count",
        "first_ms",
        "grant_outdated",
        "guard",
        "head_ms",
        "hold",
        "is_continued",
        "is_given_up",
        "is_link_at_fault",
        "is_misdirected",
        "is_not_run",
        "is_overtaken",
        "is_reachable",
        "is_reused",
        "is_unconfirmed",
        "is_upstream_at_fault",
        "is_upstream_lost",
        "kind",
        "longest_gap_ms",
        "number",
        "output_tokens",
        "reason",
        "signals",
        "signals_are_reported",
        "silent_ms",
        "started_unix_ms",
        "status",
        "token_us",
        "waited_ms",
    )

    def __init__(self, hold, guard, waited_ms, number):
        self.number = number
        self.ended_ms = None
        self.hold = hold
        self.guard = guard
        self.waited_ms = waited_ms
        # Remains only if the caller disconnects; every other end sets its own kind.
        self.kind = OutcomeKind.CANCELLED
        self.is_reachable = True
        # Whether this host's links, or a host that relayed, are at fault for a failure.
        self.is_link_at_fault = False
        # Whether this host did not read the answer to its end, for want of memory or as
        # its caller was slow.
        self.is_given_up = False
        # Whether bytes came from the upstream that are no part of its answer.
        self.is_upstream_at_fault = False
        # Whether the upstream was asked for the rest of an answer only.
        self.is_continued = False
        self.is_reused = False
        # Whether the upstream was gone when its answer had broken off.
        self.is_upstream_lost = False
        self.grant_outdated = False
        self.is_misdirected = False
        # Whether the upstream said for certain that it did not run the request.
        self.is_not_run = False
        # Whether a hedge had a usable response first, so that it was cancelled.
        self.is_overtaken = False
        # Whether nothing shows that the answer is whole, which has ended in order.
        self.is_unconfirmed = False
        # When the head of the answer came.
        self.head_ms = None
        self.first_ms = None
        self.output_tokens = 0
        # Events of a stream that were relayed in this attempt.
        self.event_count = 0
        # Status of the answer; 0 before any.
        self.status = 0
        # How the end of the answer's body is known; None before any answer.
        self.body_end = None
        self.longest_gap_ms = 0
        # Time between the last data of a stream and the attempt's end; -1 if it had none.
        self.silent_ms = -1
        self.token_us = -1
        self.reason = ""
        # What the answer said about the upstream; None before any answer.
        self.signals = None
        self.signals_are_reported = False
        # Start time of the upstream's process as listed; None if it is not listed.
        self.started_unix_ms = None

    @property
    def may_have_arrived(self):
        """Whether the request may have reached the upstream, or one at its address."""
        return self.guard.dispatched

    @property
    def may_have_run(self):
        """Whether the upstream may have run the request."""
        return self.guard.dispatched and not self.is_not_run

    def signals_at(self, now_ms):
        """Return the signals as they are sent at a time, with their age, or None."""
        signals = self.signals
        if signals is None or signals.slowdown_percent is None:
            return signals
        return msgspec.structs.replace(signals, slowdown_age_ms=now_ms - self.head_ms)

    def unreported_signals(self, now_ms):
        """Return the signals, or None if the home was told with the first token."""
        return None if self.signals_are_reported else self.signals_at(now_ms)

    @property
    def limit_text(self):
        """The limit that the upstream advertised, for logs; empty if it has none."""
        limit_per_s = self.signals.limit_per_s if self.signals else None
        return "" if limit_per_s in (None, NO_LIMIT) else limit_per_s

    @property
    def back_off_text(self):
        """The back-off that the upstream asked for, for logs; empty if none."""
        return self.signals.back_off_ms or "" if self.signals else ""

    @property
    def slowdown_text(self):
        """The slowdown that the upstream reported, for logs; empty if none."""
        percent = self.signals.slowdown_percent if self.signals else None
        return "" if percent is None else percent

    @property
    def body_end_text(self):
        """How the end of the answer's body is known, for logs; empty without answer."""
        return self.body_end.value if self.body_end else ""

    @property
    def leaving_text(self):
        """Whether the upstream announced that it is about to stop, for logs."""
        started_unix_ms = self.signals.leaving_started_unix_ms if self.signals else None
        return "" if started_unix_ms is None else "true"

    def record_stream(self, relay, earlier_events, tokens_per_event):
        """Record what was relayed of a stream in this attempt.

        Parameters
        ==========
        relay : StreamRelay
        earlier_events : int
            Number of events that were relayed before this attempt.
        tokens_per_event : int
        """
        self.event_count = relay.event_count - earlier_events
        self.output_tokens = self.event_count * tokens_per_event
        self.longest_gap_ms = relay.longest_gap_ms
        self.silent_ms = relay.silent_ms()
        event_us = relay.median_event_us()
        if event_us > 0:
            self.token_us = event_us // tokens_per_event

    def record_end(self, end):
        """Set the outcome kind from how the attempt ended; None means success."""
        if self.is_given_up:
            self.kind = OutcomeKind.CANCELLED
        else:
            self.kind = OutcomeKind.SUCCESS if end is None else _OUTCOMES[end]
        self.is_unconfirmed = end is AttemptEnd.UNCONFIRMED

    def record_fault(self, is_link_at_fault, is_upstream_lost):
        """Record whose fault the end of the connection is, once that is known.

        An answer whose end is uncertain counts as whole, unless its upstream has ended
        with it.

        Parameters
        ==========
        is_link_at_fault, is_upstream_lost : bool
        """
        self.is_link_at_fault = is_link_at_fault
        self.is_upstream_lost = is_upstream_lost
        if self.is_unconfirmed and not (is_link_at_fault or is_upstream_lost):
            self.kind = OutcomeKind.SUCCESS

    def outcome(self):
        """Return the ``Outcome`` of the attempt, which has ended."""
        sent_ms = self.guard.dispatched_ms
        if sent_ms is None or self.is_misdirected:
            return Outcome(
                kind=self._unsent_kind,
                relay=self.guard.relay,
                is_misdirected=self.is_misdirected,
            )
        return Outcome(
            kind=self._sent_kind,
            first_token_ms=-1 if self.first_ms is None else self.first_ms - sent_ms,
            total_ms=self.ended_ms - sent_ms,
            output_tokens=self.output_tokens,
            token_us=self.token_us,
            relay=self.guard.relay,
            is_crash_suspect=self._is_crash_suspect,
            is_upstream_lost=self.is_upstream_lost,
            is_answered=self._is_answered,
            is_overtaken=self.is_overtaken and not self._is_path_suspect,
            is_continued=self.is_continued,
            is_not_run=self.is_not_run,
        )

    @property
    def _is_answered(self):
        """Whether the upstream began an answer, and went on with it."""
        if self.event_count > 1:
            return True
        return self.kind is OutcomeKind.SUCCESS and self.status < _FIRST_ERROR_STATUS

    @property
    def _is_crash_suspect(self):
        """Whether the upstream ended before it had begun to answer this request."""
        if not self.is_upstream_lost or self.event_count > 1:
            return False
        if self.event_count == 0:
            return True
        return self.ended_ms - self.first_ms < BEGUN_AFTER_MS

    @property
    def _unsent_kind(self):
        if self.is_link_at_fault:
            return OutcomeKind.LINK_FAILED
        return OutcomeKind.NOT_SENT if self.is_reachable else OutcomeKind.CONNECT_FAILED

    @property
    def _sent_kind(self):
        is_lost = self.kind in (OutcomeKind.BROKE_OFF, OutcomeKind.TIMEOUT)
        is_path_lost = is_lost and self._is_path_suspect
        if is_path_lost and not self.is_upstream_at_fault:
            return OutcomeKind.LINK_LOST
        return self.kind

    @property
    def _is_path_suspect(self):
        """Whether silence may be the fault of a link, or of a host that relayed."""
        return self.is_link_at_fault or bool(self.guard.relay)
