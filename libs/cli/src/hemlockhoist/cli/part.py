"""The command ``hemlockhoist part``, for what crashes upstreams."""

import click

from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.options import (
    author_option,
    host_options,
    json_option,
    with_client,
)
from hemlockhoist.cli.output import print_output


@click.group()
def part():
    """Show and lift parts of prompts, and requests, that crash upstreams."""


@part.command(name="list")
@host_options
@json_option
@report_errors
@with_client
async def list_parts(client, as_json):
    """Show the parts and requests with evidence against them."""
    view = await client.parts()
    print_output(view, as_json, describe_parts(view))


@part.command()
@click.argument("name")
@click.option("--reason", required=True, help="Reason, written to the log.")
@author_option
@host_options
@json_option
@report_errors
@with_client
async def lift(client, name, reason, author, as_json):
    """Withdraw the evidence against part or request NAME, which is sent again."""
    view = await client.lift_part(name, reason, author)
    print_output(view, as_json, f"lifted {name}; left: {describe_parts(view)}")


def describe_parts(view):
    """Return one line for each part and request.

    Parameters
    ==========
    view : PartsView
    """
    lines = [
        f"{item.kind} {item.part}: {item.state}, {item.crashes} crashes, "
        f"{item.tries} tries"
        for item in view.parts
    ]
    return "\n".join(lines) or "no part is suspected, and no request"
