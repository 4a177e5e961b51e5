"""A plain service that counts what it ran, and checks what callers are told."""

import collections

from hemlockhoist.base import Property, Ran, result_info
from hemlockhoist.decisions.ledger import AnswerNotKept, Replay
from hemlockhoist.messages.ledger import StoredAnswer


class CountingService:
    """Runs calls and remembers how often.

    Attributes
    ==========
    ended : list of Call
        Answered, or broken off after they were sent.

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
        """Run a call; a second run of the same key breaks the property."""
        self.runs[call.id] += 1
        self._bodies[call.id] = call.body
        count = self.runs[call.id]
        detail = f"{call.id} ran {count} times"
        check = self._tally.invariants.check
        check(Property.DISPATCHED_AT_MOST_ONCE, count <= 1, detail)
        check(Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE, count <= 1, detail)

    def answer(self, call):
        """Return the answer that belongs to a call and to no other."""
        body = b"/".join((call.customer.encode(), call.key.text.encode(), call.body))
        return StoredAnswer(status=201, body=body)

    def check_told(self, call, result):
        """Compare what a caller is told with what the service ran.

        Parameters
        ==========
        call : Call
        result : one of the ledger's results
        """
        self._tally.outcomes[type(result).__name__] += 1
        check = self._tally.invariants.check
        ran = self.runs[call.id] if self._bodies.get(call.id) == call.body else 0
        if result_info(result.code).ran is Ran.NO:
            detail = f"{call.id} was told {result}, and ran {ran} times"
            check(Property.NOT_RUN_IS_TRUE, ran == 0, detail)
        if isinstance(result, Replay):
            whole = result.answer == self.answer(call) and ran == 1
            detail = f"{call.id} was told {result}, and ran {ran} times"
            check(Property.WHOLE_ANSWER, whole, detail)
        if isinstance(result, AnswerNotKept):
            check(Property.WHOLE_ANSWER, ran == 1, f"{call.id} did not run")
