"""Counts of steps, faults and checks, and the trace of the present example."""

import collections

from hemlockhoist.base import InvariantLog, PropertyViolation


class Tally:
    """What a run did.

    Attributes
    ==========
    steps : int
        Over all examples.
    examples : int
    faults : collections.Counter
        By kind.
    outcomes : collections.Counter
        What callers were told, by name.
    invariants : hemlockhoist.base.InvariantLog
        Shared by all parts, and fatal.
    trace : list of str
        The steps of the present example.
    violation : str
        The first one found; empty for none.
    violation_steps : int
        Steps taken until then.
    violation_trace : tuple of str
    """

    __slots__ = (
        "examples",
        "faults",
        "invariants",
        "outcomes",
        "steps",
        "trace",
        "violation",
        "violation_steps",
        "violation_trace",
    )

    def __init__(self):
        self.steps = 0
        self.examples = 0
        self.faults = collections.Counter()
        self.outcomes = collections.Counter()
        self.invariants = InvariantLog(True)
        self.trace = []
        self.violation = ""
        self.violation_steps = 0
        self.violation_trace = ()

    def begin_example(self):
        """Forget the trace of the example before."""
        self.examples += 1
        self.trace = []

    def step(self, text):
        """Count a step."""
        self.steps += 1
        self.trace.append(text)

    def fault(self, kind):
        """Count a fault."""
        self.faults[kind] += 1

    def record_violation(self, error):
        """Keep the first violation and the steps that led to it."""
        if not self.violation:
            name = "" if isinstance(error, PropertyViolation) else repr(error)
            self.violation = name or str(error)
            self.violation_steps = self.steps
            self.violation_trace = tuple(self.trace)
