"""``hemlockhoist load``: waits, holds, refusals and comebacks, from the hosts' logs."""

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
    """Say what callers of each rank and each upstream met, from the logs of hosts."""
    load = read_load(read_lines(files))
    print_output(load, as_json, _page(load))


def _page(load):
    parts = []
    for title, rows in (
        ("By rank:", load.ranks),
        ("Refused:", load.refusals),
        ("By upstream:", load.upstreams),
    ):
        text = format_table([_shown(row) for row in rows]) if rows else "none"
        parts += [title, text, ""]
    return "\n".join(parts).rstrip()


def _shown(row):
    """Return a row's fields, a spread as its count and percentiles."""
    return {name: _cell(getattr(row, name)) for name in row.__struct_fields__}


def _cell(value):
    if not isinstance(value, Percentiles):
        return msgspec.to_builtins(value)
    if not value.count:
        return "-"
    times = (value.p50_ms, value.p90_ms, value.p99_ms)
    return f"{value.count}x " + "/".join(format_text(item) for item in times)
