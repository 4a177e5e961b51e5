"""The table of numbered result codes.

A code tells a caller whether its request ran, whether the same request may be sent
again, and what to do next. ``docs/RESULT_CODES.md`` is generated from the table.
"""

from hemlockhoist.base.caller_results import CALLER_ROWS
from hemlockhoist.base.fleet_results import FLEET_ROWS
from hemlockhoist.base.result_codes import Ran, ResultCode, ResultInfo

__all__ = ["RESULTS", "Ran", "ResultCode", "ResultInfo", "result_info"]

RESULTS = {row[0]: ResultInfo(*row) for row in (*CALLER_ROWS, *FLEET_ROWS)}


def result_info(code):
    """Return the table row of a code.

    Examples
    ========
    >>> from hemlockhoist.base import ResultCode, result_info
    >>> result_info(ResultCode.OVERLOADED).ran.value
    'not run'
    """
    return RESULTS[ResultCode(code)]
