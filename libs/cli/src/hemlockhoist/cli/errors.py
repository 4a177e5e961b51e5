"""Errors of commands, and how they are reported."""

import functools

import click
import msgspec

from hemlockhoist.base import HemlockhoistError, ResultCode
from hemlockhoist.cli.exit_codes import ExitCode, exit_code_for


class HostUnreachable(HemlockhoistError):
    """None of the configured hosts answered.

    Parameters
    ==========
    message : str
    sent : bool
        Whether a host may have received the request.
    """

    code = ResultCode.NOT_READY

    def __init__(self, message, sent=False):
        super().__init__(message)
        self.sent = sent


class RemoteError(HemlockhoistError):
    """A host answered with an error.

    Parameters
    ==========
    message : str
    code : ResultCode
    remedy : str
        The remedy given by the host.
    """

    def __init__(self, message, code, remedy):
        super().__init__(message, code=code)
        self.remedy = remedy


class WaitTimedOut(HemlockhoistError):
    """The awaited state was not reached within the time limit."""

    code = ResultCode.NOT_YET_IN_FORCE


class OutcomeUnknown(HemlockhoistError):
    """A change may or may not have been accepted.

    Parameters
    ==========
    message : str
    remedy : str
        The command that determines the outcome.
    """

    code = ResultCode.OUTCOME_UNKNOWN

    def __init__(self, message, remedy):
        super().__init__(message)
        self.remedy = remedy


class _ErrorLine(msgspec.Struct):
    code: int
    name: str
    message: str
    remedy: str
    exit_code: int


def report_errors(command):
    """Decorate a command to print errors on standard error and set the exit code."""

    @functools.wraps(command)
    def wrapper(*args, **kwargs):
        try:
            return command(*args, **kwargs)
        except HemlockhoistError as error:
            code = _exit_code(error)
            click.echo(
                _format_error(error, code, kwargs.get("as_json", False)), err=True
            )
            raise SystemExit(int(code)) from None

    return wrapper


def _exit_code(error):
    if isinstance(error, HostUnreachable):
        return ExitCode.OUTCOME_UNKNOWN if error.sent else ExitCode.UNREACHABLE
    return exit_code_for(error.code)


def _format_error(error, exit_code, as_json):
    remedy = _remedy(error)
    if as_json:
        line = _ErrorLine(
            code=int(error.code),
            name=error.info.code.name.lower(),
            message=error.message,
            remedy=remedy,
            exit_code=int(exit_code),
        )
        return msgspec.json.encode(line).decode()
    return f"error {int(error.code)}: {error.message}\nnext: {remedy}"


def _remedy(error):
    if isinstance(error, HostUnreachable):
        return (
            "Name a running host with --host IP:port or HEMLOCKHOIST_HOST; "
            "a host that serves HTTPS needs --ca-file."
        )
    return getattr(error, "remedy", error.info.remedy)
