"""Next step after an attempt of a request has ended without a usable answer."""

import enum


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FAILED_ANSWER = "failed answer"
    BROKEN = "broken"
    TIMED_OUT = "silent"
    # All that arrived is in order, but nothing shows that it is whole.
    UNCONFIRMED = "the end of the answer is uncertain"


class Step(enum.Enum):
    """The next step of a request after an attempt has ended."""

    TRY_ANOTHER = "try another upstream"
    ANSWER = "pass the failed or unconfirmed answer on"
    REFUSE = "say that it did not run"
    FAIL = "say that its outcome is not known"


class CutCause(enum.Enum):
    """Why a stream was cut before its end, as logged and counted."""

    SILENT = "silent"
    BROKE_OFF = "broke_off"
    FAILED = "failed"
    DEADLINE = "deadline"
    REFUSED = "refused"
    SLOW_READER = "slow_reader"
    END_UNCERTAIN = "end_uncertain"
    STOPPED = "stopped"

    @classmethod
    def after(cls, end):
        """Return the cause of a cut that follows an attempt that ended this way.

        Examples
        ========
        >>> from hemlockhoist.decisions.entry import AttemptEnd, CutCause
        >>> CutCause.after(AttemptEnd.TIMED_OUT)
        <CutCause.SILENT: 'silent'>
        """
        if end is AttemptEnd.TIMED_OUT:
            return cls.SILENT
        if end is AttemptEnd.UNCONFIRMED:
            return cls.END_UNCERTAIN
        return cls.BROKE_OFF if end is AttemptEnd.BROKEN else cls.FAILED


# Further attempts to connect to upstreams that do not accept connections only delay the
# caller: with one more than this, the caller's own retry would be sooner.
MAX_UNSENT = 3


def next_step(end, route, may_have_run, sent_count, unsent_count):
    """Return the ``Step`` after an attempt.

    A non-idempotent request is sent to another upstream only if nothing of it was sent
    or the upstream reported that it did not run. Otherwise a booking that may have run
    would be sent again, and a hall would be booked twice.

    Parameters
    ==========
    end : AttemptEnd
    route : hemlockhoist.declarations.Route
    may_have_run : bool
        Whether any attempt so far may have run the request.
    sent_count : int
        Number of attempts so far in which something was sent.
    unsent_count : int
        Number of attempts so far in which nothing was sent.
    """
    if end is AttemptEnd.NOT_SENT:
        if unsent_count <= MAX_UNSENT:
            return Step.TRY_ANOTHER
        return Step.FAIL if may_have_run else Step.REFUSE
    may_repeat = route.is_repeatable or not may_have_run
    if may_repeat and sent_count < route.max_attempts:
        return Step.TRY_ANOTHER
    if end is AttemptEnd.NOT_RUN:
        return Step.FAIL if may_have_run else Step.REFUSE
    if end in (AttemptEnd.FAILED_ANSWER, AttemptEnd.UNCONFIRMED):
        return Step.ANSWER
    return Step.FAIL
