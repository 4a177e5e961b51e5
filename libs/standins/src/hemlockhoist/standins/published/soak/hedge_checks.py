"""Check of the second attempts that hosts sent beside slow first ones."""

import collections
import re

HEDGE_LOG_TEXT = "event=hedge_sent"
_REQUEST = re.compile(r"\brequest=(\S+)")


def find_hedge_violations(calls, lines):
    """Return the violations among the hedges that hosts logged.

    Parameters
    ==========
    calls : dict of str to Call
        By attempt id.
    lines : list of str
        The log lines of hedges that were sent.

    Returns
    =======
    list of str
    """
    violations = []
    counts = collections.Counter(_REQUEST.search(line)[1] for line in lines)
    for attempt_id, count in counts.items():
        call = calls.get(attempt_id)
        if call is not None and not call.kind.is_idempotent:
            violations.append(f"hedged a request that runs once: {attempt_id}")
        if count > 1:
            violations.append(f"hedged {count} times: {attempt_id}")
    return violations
