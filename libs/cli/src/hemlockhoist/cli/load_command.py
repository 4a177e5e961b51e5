"""The command ``hemlockhoist load``, which summarizes the hosts' logs."""

import click
import msgspec

from hemlockhoist.cli.errors import report_errors
from hemlockhoist.cli.load import Percentiles, read_load
from hemlockhoist.cli.log_lines import read_lines
from hemlockhoist.cli.options import json_option, log_option
from hemlockhoist.cli.output import format_table, format_text, print_output


@click.command("load")
@log_option
@json_option
@report_errors
def load_command(files, as_json):
    """Show waits, results and retries by rank and upstream, from the logs of hosts."""
    load = read_load(read_lines(files))
    print_output(load, as_json, _format_page(load))


def _format_page(load):
    parts = []
    for title, rows in (
        ("By rank:", load.ranks),
        ("Refused:", load.refusals),
        ("By upstream:", load.upstreams),
        ("Connections not taken:", load.accepting),
    ):
        text = format_table([_row_cells(row) for row in rows]) if rows else "none"
        parts += [title, text, ""]
    return "\n".join(parts).rstrip()


def _row_cells(row):
    """Return the fields of a row, with percentiles formatted as text."""
    return {name: _format_cell(getattr(row, name)) for name in row.__struct_fields__}


def _format_cell(value):
    if not isinstance(value, Percentiles):
        return msgspec.to_builtins(value)
    if not value.count:
        return "-"
    times = (value.p50_ms, value.p90_ms, value.p99_ms)
    return f"{value.count}x " + "/".join(format_text(item) for item in times)
