"""Run the soak test: ``python -m hemlockhoist.standins.published.soak --seed N``."""

import asyncio
import pathlib
import sys
import tempfile

import click

from hemlockhoist.standins.published.soak.retry_run import (
    HOST_COUNT as RETRY_HOST_COUNT,
)
from hemlockhoist.standins.published.soak.retry_run import RetrySoakRun
from hemlockhoist.standins.published.soak.run import HOST_COUNT, SoakRun


async def run_seed(seed, seconds, folder, fault_names, host_count, run_type=SoakRun):
    """Run one seed and print its result; return whether it is green."""
    run = run_type(seed, folder, fault_names, host_count)
    result = await run.run(seconds)
    is_green = not result.violations
    click.echo(
        f"seed={seed} {'green' if is_green else 'RED'} calls={result.calls} "
        f"served={result.served}"
    )
    for text in result.violations:
        click.echo(f"  found {text}")
    if not is_green or fault_names:
        click.echo(f"  checked {result.check_counts}")
        click.echo(f"  faults {result.fault_counts}")
    return is_green


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of consecutive seeds.")
@click.option(
    "--seconds", default=12.0, help="How long faults are injected for each seed."
)
@click.option("--logs", default=None, help="Folder that keeps the hosts' logs.")
@click.option("--fault", "faults", multiple=True, help="Draw only from such faults.")
@click.option("--hosts", default=0, help="Number of entry hosts.")
@click.option("--retries", is_flag=True, help="Play what concerns the retry limit.")
def main(seed, seeds, seconds, logs, faults, hosts, retries):
    """Run entry hosts as processes under random faults, and check their answers."""
    red_seeds = []
    run_type = RetrySoakRun if retries else SoakRun
    hosts = hosts or (RETRY_HOST_COUNT if retries else HOST_COUNT)
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(logs or scratch, f"seed-{number}")
            folder.mkdir(parents=True, exist_ok=True)
            is_green = asyncio.run(
                run_seed(number, seconds, folder, faults, hosts, run_type)
            )
            if not is_green:
                red_seeds.append(number)
    click.echo(f"{seeds} seeds, {len(red_seeds)} red: {red_seeds}")
    sys.exit(1 if red_seeds else 0)


if __name__ == "__main__":
    main()
