"""Output of results, as readable text or as JSON for scripts."""

import enum
import functools
import json

import click
import msgspec


def print_output(value, as_json, text=None):
    """Print a result.

    Parameters
    ==========
    value : object
        A record or plain data.
    as_json : bool
    text : str, optional
        The readable text; generated from ``value`` by default.
    """
    if as_json:
        plain = msgspec.to_builtins(value)
        click.echo(json.dumps(plain, indent=2, sort_keys=True))
    else:
        click.echo(format_text(msgspec.to_builtins(value)) if text is None else text)


@functools.singledispatch
def format_text(value):
    """Return plain data as text, with mappings as lines and lists of them as tables."""
    return "-" if value in (None, "") else str(value)


@format_text.register
def _(value: bool):
    return "yes" if value else "no"


@format_text.register
def _(value: enum.Enum):
    return str(value.value)


@format_text.register(list)
@format_text.register(tuple)
def _(value):
    if not value:
        return "none"
    if all(isinstance(item, dict) for item in value):
        return format_table(value)
    return ", ".join(format_text(item) for item in value)


@format_text.register
def _(value: dict):
    lines = []
    for name, item in value.items():
        if isinstance(item, dict) and item:
            inner = format_text(item).replace("\n", "\n  ")
            lines.append(f"{name}:\n  {inner}")
        elif isinstance(item, list | tuple) and item and isinstance(item[0], dict):
            lines.append(f"{name}:\n{format_table(item)}")
        else:
            lines.append(f"{name}: {format_text(item)}")
    return "\n".join(lines) or "none"


def format_table(rows):
    """Return mappings as a table with one column for each key.

    Examples
    ========
    >>> from hemlockhoist.cli.output import format_table
    >>> rows = [{"host": "a", "version": 3}, {"host": "b", "version": None}]
    >>> print(format_table(rows))
    host  version
    a     3
    b     -
    """
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(line[column]) for line in [names, *cells])
        for column in range(len(names))
    ]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in [names, *cells]
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value):
    if isinstance(value, dict):
        return " ".join(f"{name}={_format_cell(item)}" for name, item in value.items())
    if isinstance(value, list | tuple):
        return "; ".join(_format_cell(item) for item in value) or "-"
    return format_text(value)
