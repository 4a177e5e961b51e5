"""Sends changes of the declarations and waits until they are in force."""

import asyncio
import datetime

from hemlockhoist.base import MS_PER_S, Clock, ResultCode
from hemlockhoist.cli.errors import (
    HostUnreachable,
    OutcomeUnknown,
    RemoteError,
    WaitTimedOut,
)

_POLL_INTERVAL_MS = 300
_MAX_ATTEMPTS = 4
_RETRY_DELAY_MS = 500
_UNKNOWN_OUTCOMES = frozenset(
    {ResultCode.STORE_ANSWER_LOST, ResultCode.OUTCOME_UNKNOWN}
)


async def send_change(client, change):
    """Send a change, and retry until a host reports its outcome.

    The response of a host or of the table service may be lost after the change was
    accepted. Retrying with the same change id is safe: a host that finds the id in the
    history responds with the version that the change created.

    Parameters
    ==========
    client : OperatorClient
    change : DeclarationChange

    Returns
    =======
    ChangeResult

    Raises
    ======
    RemoteError
        If the change was refused.
    OutcomeUnknown
        If the outcome is still unknown after all attempts; the remedy has the options
        for sending the change again.
    HostUnreachable
        If no host can have received the change.
    """
    last_error = None
    for _ in range(_MAX_ATTEMPTS):
        try:
            return await client.change_declarations(change)
        except HostUnreachable as error:
            if not error.sent and last_error is None:
                raise
            last_error = error
        except RemoteError as error:
            if error.code not in _UNKNOWN_OUTCOMES:
                raise
            last_error = error
        await asyncio.sleep(_RETRY_DELAY_MS / MS_PER_S)
    retry_options = (
        f"--change-id {change.change_id} --read-version {change.read_version}"
    )
    raise OutcomeUnknown(
        f"the change may have been accepted: {last_error.message}",
        f"Run the same command again with {retry_options}",
    )


async def wait_in_force(client, version, wait_ms):
    """Wait until a version is in force on every live host.

    Returns
    =======
    DeclarationsView

    Raises
    ======
    WaitTimedOut
        If the time is up; the message names the hosts that lack the version.
    """
    clock = Clock(asyncio.get_running_loop())
    end_ms = clock.now_ms() + wait_ms
    view, last_error = None, None
    while True:
        try:
            view = await client.declarations()
        except (HostUnreachable, RemoteError) as error:
            # A host may restart while the change is being distributed; keep polling.
            last_error = error
        if view is not None and view.hosts and not view.lagging(version):
            return view
        if clock.now_ms() >= end_ms:
            raise WaitTimedOut(_describe_lag(view, version, last_error))
        await asyncio.sleep(_POLL_INTERVAL_MS / MS_PER_S)


def apply_result(view, changed):
    """Return the result of ``declare apply`` as plain data, for ``--json``."""
    return {
        "changed": changed,
        "version": view.version,
        "in_force_on": [item.host_id for item in view.hosts],
    }


def format_date(unix_ms):
    """Return a Unix time as readable text, in UTC."""
    date = datetime.datetime.fromtimestamp(unix_ms / MS_PER_S, datetime.UTC)
    return date.strftime("%Y-%m-%d %H:%M:%S UTC")


def _describe_lag(view, version, last_error):
    if view is None:
        return f"version {version} is accepted; not known where in force: {last_error}"
    lagging = view.lagging(version)
    total = len(view.hosts)
    return (
        f"version {version} is accepted, and in force on {total - len(lagging)} of "
        f"{total} hosts; not yet on: {', '.join(lagging)}"
    )
