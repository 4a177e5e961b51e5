"""What a host that was ordered to stop still accepts, and when it answers what is open."""

# Part of the grace for which new connections are accepted: callers hold the address of a
# host for some seconds, and none that connects may be left without an answer.
LISTEN_FRACTION = 1 / 3
# A request whose time limit exceeds the rest of the grace is still sent while the rest is
# this many times as long as requests of its route take at most.
EXPECTED_MARGIN = 2
# Part of the grace left for the end of the process, and how much that needs at most.
END_FRACTION = 1 / 9
MAX_END_MS = 700
# The same for the last answers, until callers have read them. Both parts together are
# within the last sixth of the grace, until when an upstream's answer is waited for.
ANSWER_FRACTION = 1 / 18
MAX_ANSWER_MS = 300
# Part of that end in which the last messages to other hosts are sent.
FLUSH_FRACTION = 1 / 3


class PlannedStop:
    """The times of one planned stop, all of which follow its grace.

    Load: requests of any time limit arrive until the process ends, and some run for
    longer than the grace. Failure prevented: a request that was sent to an upstream is
    cut without an answer, and its caller can't tell whether it ran.

    Parameters
    ==========
    begin_ms : int
        When the host was ordered to stop.
    grace_ms : int
        Time from then until the process is killed.

    Attributes
    ==========
    listens_until_ms : int
        Until when new connections are accepted.
    answers_due_ms : int
        When every open request gets its final answer.
    ends_ms : int
        When the process begins to end, whatever is open.
    flush_ms : int
        How long the last messages to other hosts may take.

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import PlannedStop
    >>> stop = PlannedStop(begin_ms=0, grace_ms=8_000)
    >>> stop.listens_until_ms, stop.answers_due_ms, stop.ends_ms
    (2666, 7000, 7300)
    >>> stop.may_send(now_ms=1_000, deadline_ms=6_000)
    True
    >>> stop.may_send(now_ms=1_000, deadline_ms=9_000, expected_ms=400)
    True
    >>> stop.may_send(now_ms=1_000, deadline_ms=9_000, expected_ms=5_500)
    False
    """

    __slots__ = (
        "answers_due_ms",
        "ends_ms",
        "flush_ms",
        "listens_until_ms",
    )

    def __init__(self, begin_ms, grace_ms):
        end_ms = min(MAX_END_MS, int(END_FRACTION * grace_ms))
        answer_ms = min(MAX_ANSWER_MS, int(ANSWER_FRACTION * grace_ms))
        self.listens_until_ms = begin_ms + int(LISTEN_FRACTION * grace_ms)
        self.ends_ms = begin_ms + grace_ms - end_ms
        self.answers_due_ms = self.ends_ms - answer_ms
        self.flush_ms = int(FLUSH_FRACTION * end_ms)

    def may_send(self, now_ms, deadline_ms, expected_ms=None):
        """Return whether a request may be accepted, wait for a slot or be sent.

        It may if its time limit leaves room for its answer. Where time limits are as
        long as the grace, that would turn away every request while callers still hold
        this host's address, and cost each of them one of few retries. So at the begin of
        the stop, what is usually quick is served as well: it has the rest of the grace.

        Parameters
        ==========
        now_ms, deadline_ms : int
        expected_ms : float, optional
            A time that few requests of its route exceed; None if that is not known.
        """
        if deadline_ms <= self.answers_due_ms:
            return True
        if expected_ms is None or now_ms >= self.listens_until_ms:
            return False
        return now_ms + EXPECTED_MARGIN * expected_ms <= self.answers_due_ms

    def ends_before(self, deadline_ms):
        """Return whether answers are due before a deadline."""
        return self.answers_due_ms < deadline_ms
