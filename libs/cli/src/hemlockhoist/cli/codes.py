"""The command ``hemlockhoist codes``, which shows the table of result codes."""

import click

from hemlockhoist.base import RESULTS
from hemlockhoist.cli.options import json_option
from hemlockhoist.cli.output import print_output


@click.command()
@click.argument("number", type=int, required=False)
@json_option
def codes(number, as_json):
    """Show all result codes, or the one with NUMBER."""
    rows = [
        {
            "code": int(row.code),
            "name": row.code.name.lower(),
            "http": row.http_status,
            "ran": row.ran.value,
            "again": row.retryable,
            "meaning": row.meaning,
            "next": row.remedy,
        }
        for row in RESULTS.values()
        if number is None or int(row.code) == number
    ]
    if not rows:
        raise click.BadParameter(f"{number} is not a result code", param_hint="NUMBER")
    print_output(rows, as_json)
