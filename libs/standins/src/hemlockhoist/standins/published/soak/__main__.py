"""Run the soak test: ``python -m hemlockhoist.standins.published.soak --seed N``."""

import asyncio
import pathlib
import sys
import tempfile

import click

from hemlockhoist.standins.published.soak.run import HOST_COUNT, SoakRun


async def run_seed(seed, seconds, folder, fault_names, host_count):
    """Run one seed and print its result; return whether it is green."""
    run = SoakRun(seed, folder, fault_names, host_count)
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
@click.option("--hosts", default=HOST_COUNT, help="Number of entry hosts.")
def main(seed, seeds, seconds, logs, faults, hosts):
    """Run entry hosts as processes under random faults, and check their answers."""
    red_seeds = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(logs or scratch, f"seed-{number}")
            folder.mkdir(parents=True, exist_ok=True)
            if not asyncio.run(run_seed(number, seconds, folder, faults, hosts)):
                red_seeds.append(number)
    click.echo(f"{seeds} seeds, {len(red_seeds)} red: {red_seeds}")
    sys.exit(1 if red_seeds else 0)


if __name__ == "__main__":
    main()
