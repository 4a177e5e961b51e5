"""The command ``hemlockhoist host``, which runs and stops hosts."""

import asyncio
import os

import click

from hemlockhoist import host as host_library
from hemlockhoist.base import MS_PER_S, Clock, SettingError
from hemlockhoist.cli.errors import HostUnreachable, WaitTimedOut, report_errors
from hemlockhoist.cli.options import host_options, json_option, with_client
from hemlockhoist.cli.output import print_output
from hemlockhoist.host.settings import Settings
from hemlockhoist.host.settings_kinds import describe
from hemlockhoist.host.settings_table import SETTINGS

_POLL_INTERVAL_MS = 300


@click.group()
def host():
    """Run and stop hosts."""


def _setting_options(command):
    """Decorate a command with a flag for each setting of the table."""
    for setting in reversed(SETTINGS):
        default = f"default {setting.default}" if setting.default else "no default"
        if setting.required:
            default = "required"
        text = f"{setting.help} [{describe(setting.kind)}; {default}]"
        command = click.option(setting.flag, setting.name, help=text)(command)
    return command


@host.command()
@_setting_options
@report_errors
def run(**flags):
    """Run a host until it is stopped by SIGTERM, SIGINT or 'host drain'.

    Each setting is a flag and a HEMLOCKHOIST_… variable; flags take precedence.
    """
    settings = Settings.from_environment(os.environ, flags)
    host_library.run(settings)


@host.command()
@host_options
@click.option("--wait-ms", type=click.IntRange(0), default=0, show_default=True)
@json_option
@report_errors
@with_client
async def drain(client, wait_ms, as_json):
    """Stop one host gracefully: it accepts no new work and completes its requests."""
    if client.host_count != 1:
        raise SettingError("host: name exactly one host, the one to stop")
    result = await client.drain()
    if wait_ms:
        await _wait_until_stopped(client, wait_ms)
        result = {**result, "stopped": True}
    print_output(result, as_json)


async def _wait_until_stopped(client, wait_ms):
    clock = Clock(asyncio.get_running_loop())
    end_ms = clock.now_ms() + wait_ms
    while clock.now_ms() < end_ms:
        try:
            await client.status()
        except HostUnreachable:
            return
        await asyncio.sleep(_POLL_INTERVAL_MS / MS_PER_S)
    raise WaitTimedOut(f"the host still has requests in progress after {wait_ms} ms")
