"""The command ``hemlockhoist`` with its subcommands."""

import click

from hemlockhoist.cli.codes import codes
from hemlockhoist.cli.declare import declare
from hemlockhoist.cli.explain import explain_command
from hemlockhoist.cli.host import host
from hemlockhoist.cli.load_command import load_command
from hemlockhoist.cli.move import move
from hemlockhoist.cli.part import part
from hemlockhoist.cli.status import status
from hemlockhoist.cli.where import where


@click.group()
def main():
    """Schedule requests over heterogeneous engines.

    Operators' commands call a host (HEMLOCKHOIST_HOST, HEMLOCKHOIST_OPERATOR_KEY).
    """


for _command in (
    host,
    declare,
    move,
    part,
    status,
    where,
    codes,
    explain_command,
    load_command,
):
    main.add_command(_command)
