"""The exit codes of the command line."""

import enum

from hemlockhoist.base import ResultCode


class ExitCode(enum.IntEnum):
    """The exit codes, as documented in ``docs/operators/hosts.md``."""

    OK = 0
    UNEXPECTED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_YET = 5
    UNREACHABLE = 6
    KEY_REFUSED = 7
    OUTCOME_UNKNOWN = 8
    REFUSED = 9
    NOT_MOVED = 10


_BY_RESULT = {
    ResultCode.DECLARATION_INVALID: ExitCode.INVALID,
    ResultCode.SETTING_INVALID: ExitCode.INVALID,
    ResultCode.MALFORMED_BODY: ExitCode.INVALID,
    ResultCode.DECLARATION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.MOVE_CONFLICT: ExitCode.CONFLICT,
    ResultCode.STORE_CONFLICT: ExitCode.CONFLICT,
    ResultCode.NOT_YET_IN_FORCE: ExitCode.NOT_YET,
    ResultCode.OPERATOR_KEY_WRONG: ExitCode.KEY_REFUSED,
    ResultCode.UNKNOWN_KEY: ExitCode.KEY_REFUSED,
    ResultCode.STORE_ANSWER_LOST: ExitCode.OUTCOME_UNKNOWN,
    ResultCode.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ResultCode.HOME_UNREACHABLE: ExitCode.UNREACHABLE,
}


def exit_code_for(result_code):
    """Return the exit code for a result code; ``REFUSED`` if none is assigned to it."""
    return _BY_RESULT.get(result_code, ExitCode.REFUSED)
