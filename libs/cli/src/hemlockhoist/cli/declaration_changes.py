"""Sends a change of the declarations until it is settled, and waits for its effect."""

import asyncio
import datetime

from hemlockhoist.base import MS_PER_S, Clock, ResultCode
from hemlockhoist.cli.errors import (
    HostUnreachable,
    OutcomeUnknown,
    RemoteError,
    WaitTimedOut,
)

_POLL_MS = 300
_MAX_SENDS = 4
_SEND_PAUSE_MS = 500
_MAY_STILL_ARRIVE = frozenset(
    {ResultCode.STORE_ANSWER_LOST, ResultCode.OUTCOME_UNKNOWN}
)


async def send_change(client, change):
    """Send a change until a host says what became of it.

    The answer of a host or of the table service may be lost after the change was
    accepted. Sending the same change id again is safe: a host that finds it in the
    history answers with the version that it made.

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
        When the change was refused.
    OutcomeUnknown
        When no answer settled it; the message has what to send again.
    HostUnreachable
        When no host can have received it.
    """
    unsettled = None
    for _ in range(_MAX_SENDS):
        try:
            return await client.change_declarations(change)
        except HostUnreachable as error:
            if not error.sent and unsettled is None:
                raise
            unsettled = error
        except RemoteError as error:
            if error.code not in _MAY_STILL_ARRIVE:
                raise
            unsettled = error
        await asyncio.sleep(_SEND_PAUSE_MS / MS_PER_S)
    again = f"--change-id {change.change_id} --read-version {change.read_version}"
    raise OutcomeUnknown(
        f"the change may have been accepted: {unsettled.message}",
        f"Run the same command again with {again}",
    )


async def wait_in_force(client, version, wait_ms):
    """Wait until a version is in force on every live host.

    Returns
    =======
    DeclarationsView

    Raises
    ======
    NotYet
        With the hosts that lack it.
    """
    clock = Clock(asyncio.get_running_loop())
    end_ms = clock.now_ms() + wait_ms
    view, failure = None, None
    while True:
        try:
            view = await client.declarations()
        except (HostUnreachable, RemoteError) as error:
            # A host that restarts while the change spreads is no reason to give up.
            failure = error
        if view is not None and view.hosts and not view.lagging(version):
            return view
        if clock.now_ms() >= end_ms:
            raise WaitTimedOut(_lag_text(view, version, failure))
        await asyncio.sleep(_POLL_MS / MS_PER_S)


def apply_result(view, changed):
    """Return what ``declare apply --json`` prints."""
    return {
        "changed": changed,
        "version": view.version,
        "in_force_on": [item.host_id for item in view.hosts],
    }


def format_date(unix_ms):
    """Return a date for people, in UTC."""
    date = datetime.datetime.fromtimestamp(unix_ms / MS_PER_S, datetime.UTC)
    return date.strftime("%Y-%m-%d %H:%M:%S UTC")


def _lag_text(view, version, failure):
    if view is None:
        return f"version {version} is accepted; its spread is not known: {failure}"
    lagging = view.lagging(version)
    total = len(view.hosts)
    return (
        f"version {version} is accepted, and in force on {total - len(lagging)} of "
        f"{total} hosts; not yet on: {', '.join(lagging)}"
    )
