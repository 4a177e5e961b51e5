"""The command ``hemlockhoist status``, which shows the state of the fleet."""

import click

from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.options import host_options, json_option, with_client
from hemlockhoist.cli.output import print_output


@click.command()
@host_options
@json_option
@report_errors
@with_client
async def status(client, as_json):
    """Show hosts, upstreams, pools, tiers and leases as known to one host."""
    print_output(await client.status(), as_json)
