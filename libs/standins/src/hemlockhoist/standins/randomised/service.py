"""A service that counts executions and checks the results returned to callers."""

import collections

from hemlockhoist.base import Property, Ran, result_info
from hemlockhoist.decisions.ledger import AnswerNotKept, Replay
from hemlockhoist.messages.ledger import StoredAnswer


class CountingService:
    """Counts how often each call runs.

    Attributes
    ==========
    ended : list of Call
        Calls that were sent and then answered or interrupted.

    Parameters
    ==========
    tally : Tally
    """

    __slots__ = ("_bodies", "_tally", "ended", "runs")

    def __init__(self, tally):
        self._tally = tally
        self._bodies = {}
        self.ended = []
        self.runs = collections.Counter()

    def run(self, call):
        """Run a call, checking that its key has not run before."""
        self.runs[call.id] += 1
        self._bodies[call.id] = call.body
        count = self.runs[call.id]
        detail = f"{call.id} ran {count} times"
        check = self._tally.invariants.check
        check(Property.DISPATCHED_AT_MOST_ONCE, count <= 1, detail)
        check(Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE, count <= 1, detail)

    def answer(self, call):
        """Return the answer that is unique to a call."""
        body = b"/".join((call.customer.encode(), call.key.text.encode(), call.body))
        return StoredAnswer(status=201, body=body)

    def check_result(self, call, result):
        """Check the result returned to a caller against what the service ran.

        Parameters
        ==========
        call : Call
        result : result type of the ledger
        """
        self._tally.outcomes[type(result).__name__] += 1
        check = self._tally.invariants.check
        ran = self.runs[call.id] if self._bodies.get(call.id) == call.body else 0
        if result_info(result.code).ran is Ran.NO:
            detail = f"{call.id} returned {result} but ran {ran} times"
            check(Property.NOT_RUN_IS_TRUE, ran == 0, detail)
        if isinstance(result, Replay):
            whole = result.answer == self.answer(call) and ran == 1
            detail = f"{call.id} returned {result} but ran {ran} times"
            check(Property.WHOLE_ANSWER, whole, detail)
        if isinstance(result, AnswerNotKept):
            check(Property.WHOLE_ANSWER, ran == 1, f"{call.id} did not run")
