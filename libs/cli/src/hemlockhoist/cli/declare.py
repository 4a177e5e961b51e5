"""The command ``hemlockhoist declare``, for the declarations of the fleet."""

import pathlib
import secrets

import click

from hemlockhoist.cli import declaration_changes
from hemlockhoist.cli.declarations_format import declarations_text
from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.options import (
    author_option,
    host_options,
    json_option,
    with_client,
)
from hemlockhoist.cli.output import format_text, print_output
from hemlockhoist.declarations import diff, diff_text, parse_declarations
from hemlockhoist.host.operator_messages import DeclarationChange

_file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)


@click.group()
def declare():
    """Check, compare, apply and show the declarations of the fleet."""


@declare.command()
@_file_argument
@json_option
@report_errors
def check(file, as_json):
    """Check FILE, and report every fault with its line and field."""
    declarations = _parse(file)
    counts = {
        "file": str(file),
        "tiers": len(declarations.tiers),
        "customers": len(declarations.customers),
        "pools": len(declarations.pools),
        "exceptions": len(declarations.exceptions),
    }
    text = ", ".join(f"{count} {name}" for name, count in list(counts.items())[1:])
    print_output(counts, as_json, f"{file}: no fault ({text})")


@declare.command(name="diff")
@_file_argument
@host_options
@json_option
@report_errors
@with_client
async def compare(client, file, as_json):
    """Show what applying FILE would change in the fleet."""
    target = _parse(file)
    view = await client.declarations()
    changes = diff(view.declarations, target)
    result = {"read_version": view.version, "changes": changes}
    text = f"read version {view.version}\n{diff_text(changes)}"
    print_output(result, as_json, text)


@declare.command()
@_file_argument
@click.option(
    "--read-version",
    type=click.IntRange(0),
    help="Version that FILE is based on, as shown by 'declare diff'; by default the "
    "current one.",
)
@click.option("--change-id", help="Id of an earlier change whose outcome is unknown.")
@click.option(
    "--wait-ms",
    type=click.IntRange(0),
    default=30_000,
    show_default=True,
    help="Maximum wait until the change is in force on every host.",
)
@author_option
@host_options
@json_option
@report_errors
@with_client
async def apply(client, file, read_version, change_id, wait_ms, author, as_json):
    """Apply FILE, and wait until it is in force on every host."""
    target = _parse(file)
    view = await client.declarations()
    changes = diff(view.declarations, target)
    if not changes and change_id is None:
        # Exit code 0 means that the file is in force on every host. This includes a
        # change that was accepted by an earlier command, which stopped waiting.
        view = await declaration_changes.wait_in_force(client, view.version, wait_ms)
        print_output(
            declaration_changes.apply_result(view, False),
            as_json,
            _in_force_text(view, "no difference"),
        )
        return
    if not as_json:
        click.echo(diff_text(changes))
    change = DeclarationChange(
        declarations=target,
        read_version=view.version if read_version is None else read_version,
        change_id=change_id or secrets.token_hex(12),
        author=author,
    )
    result = await declaration_changes.send_change(client, change)
    view = await declaration_changes.wait_in_force(client, result.version, wait_ms)
    text = _in_force_text(view, f"version {result.version} accepted")
    print_output(declaration_changes.apply_result(view, True), as_json, text)


@declare.command(name="show")
@host_options
@json_option
@report_errors
@with_client
async def show_declarations(client, as_json):
    """Show the declarations, the reasons of exceptions, and each host's version."""
    view = await client.declarations()
    print_output(view, as_json, declarations_text(view))


@declare.command()
@host_options
@json_option
@report_errors
@with_client
async def history(client, as_json):
    """Show the accepted changes, newest first."""
    view = await client.history()
    lines = []
    for entry in view.entries:
        date = declaration_changes.format_date(entry.unix_ms)
        lines.append(f"version {entry.version}  {date}  {entry.author}")
        lines += [f"  {change}" for change in entry.changes]
    print_output(view, as_json, "\n".join(lines) or "no change yet")


def _parse(file):
    return parse_declarations(file.read_bytes(), str(file))


def _in_force_text(view, what):
    hosts = ", ".join(item.host_id for item in view.hosts)
    count = format_text(len(view.hosts))
    return f"{what}; in force on all {count} hosts: {hosts}"
