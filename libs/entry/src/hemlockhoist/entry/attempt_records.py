"""Metrics and the log line of an attempt that has ended."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import (
    ANSWER_MS,
    ANSWERS_ENDED,
    ATTEMPTS_ENDED,
    FIRST_TOKEN_MS,
    HOLD_MS,
    REQUESTS_GOOD,
    REQUESTS_WHOLE,
)
from hemlockhoist.decisions import OutcomeKind

_log = get_logger("entry.exchange")


def count_attempt(metrics, attempt, outcome):
    """Count an attempt by its outcome.

    Parameters
    ==========
    metrics : Metrics
    attempt : Attempt
    outcome : Outcome
    """
    metrics.count(ATTEMPTS_ENDED, outcome.kind.value)
    if outcome.total_ms >= 0:
        metrics.time(HOLD_MS, outcome.total_ms, attempt.hold.pool)


def record_body_end(metrics, request_id, attempt):
    """Count how the end of a whole answer is known; log an end that proves nothing.

    Parameters
    ==========
    metrics : Metrics
    request_id : str
    attempt : Attempt
        Has succeeded.
    """
    metrics.count(ANSWERS_ENDED, attempt.body_end.value)
    if not attempt.body_end.is_certain:
        # A warning, as lines of less weight are left out first in a burst.
        _log.warning(
            "answer_end_uncertain",
            request=request_id,
            attempt=attempt.number,
            upstream=attempt.hold.upstream_id,
            relay=attempt.guard.relay,
            status=attempt.status,
            event_count=attempt.event_count,
        )


def count_success(metrics, admitted, attempt, now_ms):
    """Count a successful response, and whether it met its target time.

    Parameters
    ==========
    metrics : Metrics
    admitted : AdmittedCall
    attempt : Attempt
    now_ms : int
    """
    metrics.count(REQUESTS_WHOLE, admitted.tier)
    metrics.time(ANSWER_MS, now_ms - admitted.arrived_ms, admitted.tier)
    first_ms = now_ms if attempt.first_ms is None else attempt.first_ms
    metrics.time(FIRST_TOKEN_MS, first_ms - admitted.arrived_ms, admitted.tier)
    if first_ms <= admitted.target_by_ms:
        metrics.count(REQUESTS_GOOD, admitted.tier)


def log_attempt(request_id, attempt, outcome, admitted, routes_version):
    """Log the end of an attempt.

    Parameters
    ==========
    request_id : str
    attempt : Attempt
    outcome : Outcome
    admitted : AdmittedCall
        Its fingerprint is logged if it was sent and not answered whole, the parts of
        its prompt if its upstream was lost.
    routes_version : int
        The version of the routes that are in force at the end of the attempt.
    """
    hold = attempt.hold
    parts = ",".join(admitted.call.block_names)
    went_well = outcome.kind in (OutcomeKind.SUCCESS, OutcomeKind.CANCELLED)
    log = _log.info if went_well else _log.warning
    is_unanswered = attempt.guard.dispatched and outcome.kind is not OutcomeKind.SUCCESS
    log(
        "attempt_ended",
        request=request_id,
        attempt=attempt.number,
        upstream=hold.upstream_id,
        relay=attempt.guard.relay,
        version=hold.version,
        home=hold.home,
        outcome=outcome.kind.value,
        sent=attempt.guard.dispatched,
        waited_ms=attempt.waited_ms,
        first_ms=outcome.first_token_ms,
        total_ms=outcome.total_ms,
        longest_gap_ms=attempt.longest_gap_ms,
        silent_ms=attempt.silent_ms,
        limit_per_s=attempt.limit_text,
        back_off_ms=attempt.back_off_text,
        leaving=attempt.leaving_text,
        slowdown_percent=attempt.slowdown_text,
        body_end=attempt.body_end_text,
        reused="true" if attempt.is_reused else "",
        continued="true" if attempt.is_continued else "",
        upstream_lost="true" if attempt.is_upstream_lost else "",
        fingerprint=f"{admitted.fingerprint:016x}" if is_unanswered else "",
        parts=parts if attempt.is_upstream_lost else "",
        admitted_by=admitted.routes_version,
        routes_version=routes_version,
        reason=attempt.reason,
    )
