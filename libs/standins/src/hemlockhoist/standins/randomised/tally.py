"""Counts of steps, faults and checks, and the trace of the current example."""

import collections

from hemlockhoist.base import InvariantLog, PropertyViolation


class Tally:
    """Counts the steps, faults and checks of a run and keeps its first violation.

    Attributes
    ==========
    steps : int
        Total over all examples.
    examples : int
    faults : collections.Counter
        By kind.
    outcomes : collections.Counter
        Results returned to callers, by class name.
    invariants : hemlockhoist.base.InvariantLog
        Shared by all components; a violation raises ``PropertyViolation``.
    trace : list of str
        The steps of the current example.
    violation : str
        The first one found, or empty.
    violation_steps : int
        Steps taken up to the violation.
    violation_trace : tuple of str
        The steps of the example that failed.
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
        """Count an example and clear the trace."""
        self.examples += 1
        self.trace = []

    def step(self, text):
        """Count a step and append it to the trace."""
        self.steps += 1
        self.trace.append(text)

    def fault(self, kind):
        """Count a fault."""
        self.faults[kind] += 1

    def record_violation(self, error):
        """Record an error and its trace, if it is the first one."""
        if not self.violation:
            name = "" if isinstance(error, PropertyViolation) else repr(error)
            self.violation = name or str(error)
            self.violation_steps = self.steps
            self.violation_trace = tuple(self.trace)
