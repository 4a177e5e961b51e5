"""The command ``hemlockhoist move``, which moves traffic to another version."""

import asyncio
import datetime
import secrets

import click

from hemlockhoist.base import MS_PER_S, Clock, MoveError, ResultCode, SettingError
from hemlockhoist.cli.declaration_changes import format_date
from hemlockhoist.cli.errors import (
    HostUnreachable,
    OutcomeUnknown,
    WaitTimedOut,
    report_errors,
)
from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.cli.options import (
    author_option,
    duration_ms,
    host_options,
    json_option,
    with_client,
)
from hemlockhoist.cli.output import print_output
from hemlockhoist.decisions.versions import MoveRequest

_POLL_INTERVAL_MS = 500
_RUNNING, _FINISHED = "running", "finished"
_END_TEXTS = {
    _FINISHED: "FINISHED: all traffic is on {to}",
    "taken_back": "TAKEN BACK: all traffic is on {origin} again",
    "cancelled": "CANCELLED: all traffic is on {origin} again",
}


@click.group()
def move():
    """Start, follow and cancel version moves."""


@move.command()
@click.argument("pool")
@click.argument("to_version")
@click.option(
    "--by",
    "moved_by",
    required=True,
    help="Time by which all traffic is to be moved: +30m, +2h, or 2026-12-03T02:00Z.",
)
@click.option(
    "--from",
    "from_version",
    help="The serving version; by default as reported by a host.",
)
@click.option("--reason", required=True, help="Reason, shown to other operators.")
@click.option("--move-id", help="Id of an earlier order whose outcome is unknown.")
@author_option
@host_options
@json_option
@report_errors
@with_client
async def start(
    client, pool, to_version, moved_by, from_version, reason, move_id, author, as_json
):
    """Move POOL to TO_VERSION."""
    order = MoveRequest(
        move_id=move_id or secrets.token_hex(8),
        pool=pool,
        from_version=from_version or await _serving_version(client, pool),
        to_version=to_version,
        moved_by_unix_ms=_unix_ms(moved_by, Clock.from_running_loop().unix_ms()),
        reason=reason,
        author=author,
    )
    try:
        move_view = await client.start_move(order)
    except HostUnreachable as error:
        if not error.sent:
            raise
        # The order may have been accepted. Sending the same id again determines whether
        # it was; a new id would not.
        again = f"Run the same command again with --move-id {order.move_id}"
        raise OutcomeUnknown(f"the move may have started: {error}", again) from error
    print_output(move_view, as_json, describe_move(move_view))


@move.command()
@click.argument("name")
@click.option(
    "--wait-ms",
    type=click.IntRange(0),
    default=0,
    help="Maximum wait for the end of the move; exit code 10 unless it finished.",
)
@host_options
@json_option
@report_errors
@with_client
async def status(client, name, wait_ms, as_json):
    """Show the move with id NAME, or the latest move of pool NAME."""
    clock = Clock(asyncio.get_running_loop())
    end_ms = clock.now_ms() + wait_ms
    move_view = await _find(client, name)
    while wait_ms and move_view.state == _RUNNING:
        if clock.now_ms() >= end_ms:
            raise WaitTimedOut(f"after {wait_ms} ms: {describe_move(move_view)}")
        await asyncio.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        move_view = await _find(client, name)
    print_output(move_view, as_json, describe_move(move_view))
    if wait_ms and move_view.state != _FINISHED:
        raise SystemExit(int(ExitCode.NOT_MOVED))


@move.command()
@click.argument("move_id")
@click.option("--reason", required=True, help="Reason, shown to other operators.")
@author_option
@host_options
@json_option
@report_errors
@with_client
async def cancel(client, move_id, reason, author, as_json):
    """Cancel the move with MOVE_ID, and return all traffic to the former version."""
    move_view = await client.cancel_move(move_id, reason, author)
    print_output(move_view, as_json, describe_move(move_view))


@move.command(name="list")
@host_options
@json_option
@report_errors
@with_client
async def list_moves(client, as_json):
    """Show the latest move of each pool."""
    view = await client.moves()
    text = "\n".join(describe_move(item) for item in view.moves)
    print_output(view, as_json, text or "no move yet")


def describe_move(move_view):
    """Return one sentence that describes the state of a move.

    Parameters
    ==========
    move_view : MoveView
    """
    head = f"move {move_view.move_id} of {move_view.pool}, "
    head += f"{move_view.from_version} -> {move_view.to_version}, "
    if move_view.state == _RUNNING:
        share = move_view.share_permille / 10
        by = format_date(move_view.moved_by_unix_ms)
        return (
            head + f"running: {share:g}% on {move_view.to_version}, to be moved by {by}"
        )
    ended = _END_TEXTS.get(move_view.state, move_view.state)
    text = ended.format(to=move_view.to_version, origin=move_view.from_version)
    reason = f" (reason: {move_view.reason})" if move_view.reason else ""
    return head + text + reason


async def _find(client, name):
    view = await client.moves()
    for move_view in view.moves:
        if name in (move_view.move_id, move_view.pool):
            return move_view
    raise MoveError(f"there is no move {name!r}", code=ResultCode.MOVE_UNKNOWN)


async def _serving_version(client, pool):
    """Return the serving version of a pool, from its last move or its declaration."""
    for move_view in (await client.moves()).moves:
        if move_view.pool == pool:
            finished = move_view.state == _FINISHED
            return move_view.to_version if finished else move_view.from_version
    view = await client.declarations()
    declared = view.declarations.pool(pool)
    if declared is None:
        raise MoveError(
            f"there is no pool {pool!r}", code=ResultCode.DECLARATION_INVALID
        )
    return declared.stable_version


def _unix_ms(text, now_unix_ms):
    after_ms = duration_ms(text)
    if after_ms is not None:
        return now_unix_ms + after_ms
    try:
        date = datetime.datetime.fromisoformat(text)
    except ValueError:
        date = None
    if date is None or date.tzinfo is None:
        raise SettingError(
            f"by: is {text!r}; allowed: +30m, +2h or a date with its zone, "
            "such as 2026-12-03T02:00Z"
        )
    return int(date.timestamp() * MS_PER_S)
