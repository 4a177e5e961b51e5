"""Run the soak: ``python -m hemlockhoist.standins.published.soak --seed N``."""

import asyncio
import pathlib
import sys
import tempfile

import click

from hemlockhoist.standins.published.soak.run import SoakRun


async def play(seed, seconds, folder):
    """Play one seed and print its verdict; return whether it is green."""
    run = SoakRun(seed, folder)
    result = await run.run(seconds)
    is_green = not result.violations
    click.echo(
        f"seed={seed} {'green' if is_green else 'RED'} calls={result.calls} "
        f"served={result.served}"
    )
    for text in result.violations:
        click.echo(f"  found {text}")
    if not is_green:
        click.echo(f"  checked {result.check_counts}")
        click.echo(f"  faults {result.fault_counts}")
    return is_green


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds are run in turn.")
@click.option("--seconds", default=12.0, help="How long each seed is disturbed.")
@click.option("--logs", default=None, help="Folder that keeps the hosts' logs.")
def main(seed, seeds, seconds, logs):
    """Run entry hosts as processes under random faults, and judge what was seen."""
    red = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(logs or scratch, f"seed-{number}")
            folder.mkdir(parents=True, exist_ok=True)
            if not asyncio.run(play(number, seconds, folder)):
                red.append(number)
    click.echo(f"{seeds} seeds, {len(red)} red: {red}")
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    main()
