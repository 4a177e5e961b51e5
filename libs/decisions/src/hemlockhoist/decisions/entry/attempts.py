"""What follows when one attempt of a request has ended without its answer."""

import enum


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FAILED_ANSWER = "failed answer"
    BROKEN = "broken"
    TIMED_OUT = "silent"


class Step(enum.Enum):
    """What to do next."""

    TRY_ANOTHER = "try another upstream"
    ANSWER = "pass the failed answer on"
    REFUSE = "say that it did not run"
    FAIL = "say that its outcome is not known"


# Connecting again and again to what does not answer only keeps the caller waiting:
# with one more than this the callers' own retry is sooner.
MAX_UNSENT = 3


def next_step(end, route, may_have_run, sends, unsent):
    """Return the ``Step`` after an attempt.

    Harm prevented: a booking that may have run is sent once more, and a hall is booked
    twice. So a request that must not be repeated goes to another upstream only while
    nothing of it was sent, or the upstream said that it did not run.

    Parameters
    ==========
    end : AttemptEnd
    route : hemlockhoist.declarations.Route
    may_have_run : bool
        Whether any attempt so far may have run the request.
    sends : int
        Attempts so far in which something was sent.
    unsent : int
        Attempts so far in which nothing was sent.
    """
    if end is AttemptEnd.NOT_SENT:
        if unsent <= MAX_UNSENT:
            return Step.TRY_ANOTHER
        return Step.FAIL if may_have_run else Step.REFUSE
    may_repeat = route.is_repeatable or not may_have_run
    if may_repeat and sends < route.max_attempts:
        return Step.TRY_ANOTHER
    if end is AttemptEnd.NOT_RUN:
        return Step.FAIL if may_have_run else Step.REFUSE
    if end is AttemptEnd.FAILED_ANSWER:
        return Step.ANSWER
    return Step.FAIL
