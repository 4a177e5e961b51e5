"""Command line: ``python -m hemlockhoist.standins.measure [slopes]``."""

import sys

import click

from hemlockhoist.standins.measure.loads import (
    ASSISTANT_DEPLOYMENT,
    DRAFTER_DEPLOYMENT,
    LOAD_NAMES,
    SCALING_LOAD_NAMES,
    mixed_deployment,
)
from hemlockhoist.standins.measure.runs import POLICIES, Run, execute_all
from hemlockhoist.standins.measure.slopes import measure as measure_slopes
from hemlockhoist.standins.measure.slopes import render as render_slopes
from hemlockhoist.standins.measure.table import render, shortfalls

SEEDS = (1, 2, 3)
SCALING_COUNTS = (12, 24, 48)
SCALING_POLICIES = ("least connections", "scheduler, late", "scheduler")


def _plan():
    runs = [
        Run(load=load, deployment=deployment, policy=policy, seed=seed)
        for deployment in (ASSISTANT_DEPLOYMENT, DRAFTER_DEPLOYMENT)
        for load in LOAD_NAMES
        for policy in POLICIES
        for seed in SEEDS
    ]
    runs += [
        Run(load=load, deployment=mixed_deployment(count), policy=policy, seed=seed)
        for count in SCALING_COUNTS
        for load in SCALING_LOAD_NAMES
        for policy in SCALING_POLICIES
        for seed in SEEDS
    ]
    return runs


def _group(runs, results):
    groups = {}
    for run, result in zip(runs, results, strict=True):
        by_policy = groups.setdefault((run.load, run.deployment.name), {})
        by_policy.setdefault(run.policy, []).append(result)
    return groups


@click.group(invoke_without_command=True)
@click.pass_context
def main(context):
    """Measure the scheduling policy under load against simpler policies."""
    if context.invoked_subcommand is not None:
        return
    runs = _plan()
    groups = _group(runs, execute_all(runs))
    for line in render(groups):
        click.echo(line)
    behind_baseline = shortfalls(groups)
    click.echo(f"\n{len(groups)} loads, behind a baseline in {len(behind_baseline)}")
    for line in behind_baseline:
        click.echo(f"- {line}")


@main.command()
def slopes():
    """Measure how the scheduler's memory and processor time grow with size."""
    for line in render_slopes(measure_slopes()):
        click.echo(line)


if __name__ == "__main__":
    sys.exit(main())
