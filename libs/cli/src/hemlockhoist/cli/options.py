"""Options that are shared by several commands, and the connection to a host."""

import asyncio
import functools
import getpass
import re

import click

from hemlockhoist.base import SettingError
from hemlockhoist.cli.client import OperatorClient
from hemlockhoist.host.settings_kinds import Endpoint, Secret, describe, parse_value

_DURATION = re.compile(r"\+(\d{1,6})(s|m|h|d)\Z")
_UNIT_MS = {"s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON for scripts."
)
log_option = click.option(
    "--log",
    "files",
    type=click.File("r", errors="replace"),
    multiple=True,
    help="Log file of a host; may be repeated. The default is standard input.",
)
author_option = click.option(
    "--author",
    envvar="HEMLOCKHOIST_AUTHOR",
    default=lambda: _login(),
    show_default="your login",
    help="Author of the change, for the history.",
)


def host_options(command):
    """Decorate a command with the options that specify the hosts to call."""
    for option in (
        click.option(
            "--host",
            "hosts",
            multiple=True,
            envvar="HEMLOCKHOIST_HOST",
            help="IP:port of a host; several are tried in order.",
        ),
        click.option(
            "--operator-key",
            envvar="HEMLOCKHOIST_OPERATOR_KEY",
            help="The key or @FILE; prefer the variable: others can see flags.",
        ),
        click.option(
            "--ca-file",
            type=click.Path(exists=True, dir_okay=False),
            envvar="HEMLOCKHOIST_CA_FILE",
            help="Certificates (PEM) for the verification of hosts; enables HTTPS.",
        ),
    ):
        command = option(command)
    return command


def with_client(function):
    """Decorate ``async def command(client, ...)`` to receive a started client.

    The options of ``host_options`` are removed from its arguments.
    """

    @functools.wraps(function)
    def wrapper(*args, hosts, operator_key, ca_file, **kwargs):
        key = _validated_key(hosts, operator_key)
        client = OperatorClient(hosts, key, ca_file)
        return asyncio.run(_run_with_client(client, function, args, kwargs))

    return wrapper


async def _run_with_client(client, function, args, kwargs):
    await client.start()
    try:
        return await function(client, *args, **kwargs)
    finally:
        await client.close()


def _validated_key(hosts, operator_key):
    """Return the operator key, parsed as by a host; raise an error with all faults."""
    faults, key = [], None
    if not hosts:
        faults.append("host: is not set; allowed: IP:port by --host")
    for host in hosts:
        try:
            Endpoint.from_text(host)
        except ValueError:
            faults.append(f"host: is {host!r}; allowed: IP:port")
    kind = Secret()
    if not operator_key:
        faults.append("operator_key: is not set; allowed: HEMLOCKHOIST_OPERATOR_KEY")
    else:
        try:
            key = parse_value(kind, operator_key)
        except (ValueError, OSError):
            faults.append(f"operator_key: is ***; allowed: {describe(kind)}")
    if faults:
        raise SettingError("\n".join(faults))
    return key


def duration_ms(text):
    """Return the milliseconds of a duration such as ``+30m``, or None if it is none.

    Examples
    ========
    >>> from hemlockhoist.cli.options import duration_ms
    >>> duration_ms("+30m")
    1800000
    """
    match = _DURATION.match(text)
    return int(match.group(1)) * _UNIT_MS[match.group(2)] if match else None


def _login():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
