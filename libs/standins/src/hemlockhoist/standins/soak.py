"""Randomised soak test of the decision code: ``make soak SEED=n SECONDS=n``.

Generates random caller requests, operator commands and faults against the decision
code of a few hosts on a virtual clock. The same seed gives the same steps.
"""

import sys
import time

import click

from hemlockhoist.standins.randomised import run_seed
from hemlockhoist.standins.randomised.queue_machine import (
    QUEUE_PROPERTIES,
    QueueMachine,
)

# A single batch may generate no request that is repeated after its answer, and so
# leave a property unchecked.
MIN_BATCHES = 3


def print_result(result):
    """Print the counts of a run and the first violation with the steps before it."""
    tally = result.tally
    click.echo(f"examples={tally.examples} steps={tally.steps}")
    for kind, count in sorted(tally.faults.items()):
        click.echo(f"fault kind={kind!r} count={count}")
    for name, count in sorted(tally.outcomes.items()):
        click.echo(f"told outcome={name} count={count}")
    for prop, count in sorted(
        tally.invariants.checks.items(), key=lambda item: item[0].value
    ):
        click.echo(f"checked property={prop.name} count={count}")
    for prop in result.unchecked:
        click.echo(f"never checked: property={prop.name}")
    if tally.violation:
        click.echo(f"violation after {tally.violation_steps} steps: {tally.violation}")
        for text in tally.violation_trace:
            click.echo(f"  {text}")


def run_all(number, seconds):
    """Run a seed on the fleet and on the queue of one shard, half the time each."""
    return (
        run_seed(number, seconds / 2, MIN_BATCHES),
        run_seed(number, seconds / 2, MIN_BATCHES, QueueMachine, QUEUE_PROPERTIES),
    )


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seconds", default=20.0, help="Run time of each seed.")
@click.option("--seeds", default=1, help="Number of consecutive seeds to run.")
def main(seed, seconds, seeds):
    """Test the decision code of a few hosts under random faults."""
    started_s = time.perf_counter()
    failed = 0
    for number in range(seed, seed + seeds):
        results = run_all(number, seconds)
        is_green = all(result.is_green for result in results)
        if seeds == 1 or not is_green:
            click.echo(f"seed={number}")
            for result in results:
                print_result(result)
        else:
            steps = sum(result.tally.steps for result in results)
            click.echo(f"seed={number} green steps={steps}")
        failed += not is_green
    elapsed_s = time.perf_counter() - started_s
    click.echo(f"{seeds - failed} seeds green, {failed} red, in {elapsed_s:.1f} s")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
