"""Assertions of invariants, checked at run time.

In production a violation is counted and logged, because stopping the process would cut
unrelated requests. In tests it is fatal.
"""

import collections
import enum

import structlog

from hemlockhoist.base.errors import PropertyViolation

_log = structlog.get_logger("hemlockhoist.invariants")


class Property(enum.Enum):
    """The nine invariants, numbered as in ``docs/PROOFS.md``."""

    DISPATCHED_AT_MOST_ONCE = 1
    NON_IDEMPOTENT_RUNS_AT_MOST_ONCE = 2
    NOT_RUN_IS_TRUE = 3
    WHOLE_ANSWER = 4
    TIER_ORDER = 5
    BAD_VERSION_SMALL_SHARE = 6
    LEAVING_UPSTREAM_NO_WORK = 7
    PLANNED_STOP_CUTS_NOTHING = 8
    CONFIGURATION_NEVER_REVERTS = 9


class InvariantLog:
    """Counts the checks and violations of each invariant.

    Parameters
    ==========
    fatal : bool
        Whether a violation raises ``PropertyViolation``.

    Examples
    ========
    >>> from hemlockhoist.base import InvariantLog, Property
    >>> log = InvariantLog(fatal=True)
    >>> log.check(Property.TIER_ORDER, True, "tier 0 is queued")
    >>> log.checks[Property.TIER_ORDER]
    1
    """

    __slots__ = ("checks", "fatal", "violations")

    def __init__(self, fatal):
        self.fatal = fatal
        self.checks = collections.Counter()
        self.violations = collections.Counter()

    def check(self, prop, holds, detail):
        """Count one check of ``prop``, and report a violation if it does not hold.

        Parameters
        ==========
        prop : Property
        holds : bool
        detail : str
            What was observed, with the ids concerned, for the log line.

        Raises
        ======
        PropertyViolation
            If ``holds`` is false and violations are fatal.
        """
        self.checks[prop] += 1
        if holds:
            return
        self.violations[prop] += 1
        if self.fatal:
            raise PropertyViolation(prop, detail)
        _log.error("property_violated", property=prop.name, detail=detail)
