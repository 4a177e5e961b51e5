"""Randomised soak test of real processes on loopback under faults.

Callers send requests while random faults are injected. Then all faults are cleared,
every request runs to its end, and the outcomes that callers recorded are compared with
the requests that the upstreams ran.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import click
import uvloop

from hemlockhoist.base import Property
from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.callers import tier_table
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.link_faults import MODEL, SERVICE
from hemlockhoist.standins.operator_client import OperatorClient
from hemlockhoist.standins.process_faults import ProcessFaults
from hemlockhoist.standins.prompt_faults import PromptFaults, find_crash_findings
from hemlockhoist.standins.traffic import Traffic, example_callers

WORKERS = 4
FAULT_INTERVAL_S = (0.2, 1.5)
# Fraction of the runs in which engines crash on texts of prompts.
CRASHING_RUNS = 0.5
SETTLE_S = 4.0
FINISH_TIMEOUT_S = 90.0
# The host list lags by half a second in this test and is read five times a second.
# Freezing a home adds the length of the freeze, after which no old grant may be used.
MAX_WORK_AFTER_LEAVING_MS = 4_000
# Properties that are checked inside a host; the others are checked from outside.
HOST_CHECKED_PROPERTIES = (
    Property.DISPATCHED_AT_MOST_ONCE,
    Property.NON_IDEMPOTENT_RUNS_AT_MOST_ONCE,
    Property.NOT_RUN_IS_TRUE,
    Property.WHOLE_ANSWER,
    Property.TIER_ORDER,
    Property.LEAVING_UPSTREAM_NO_WORK,
    Property.CONFIGURATION_NEVER_REVERTS,
)


class ProcessRun:
    """One soak run with one seed.

    Parameters
    ==========
    fleet : Fleet
    operator : OperatorClient
    text : str
        Content of the declarations file.
    seed : int
    """

    __slots__ = (
        "_fleet",
        "_link_rng",
        "_operator",
        "_prompt_rng",
        "_rng",
        "_text",
        "checks",
        "faults",
        "prompt_faults",
        "steps",
    )

    def __init__(self, fleet, operator, text, seed):
        self._fleet = fleet
        self._operator = operator
        self._text = text
        self._rng = random.Random(seed)
        self._link_rng = random.Random(f"links of {seed}")
        self._prompt_rng = random.Random(f"prompts of {seed}")
        self.prompt_faults = None
        self.checks = {}
        self.faults = None
        self.steps = 0

    async def start(self):
        """Start all processes and apply the declarations."""
        fleet = self._fleet
        await fleet.start()
        await asyncio.gather(
            fleet.add_engines(3, MODEL, "v1"),
            fleet.add_engines(2, MODEL, "v2"),
            fleet.add_services(3, SERVICE, "v1"),
            fleet.add_hosts(),
        )
        await fleet.publish()
        declarations = parse_declarations(self._text.encode())
        await self._operator.apply(declarations, 0, "randomised-run")
        await asyncio.sleep(SETTLE_S)

    async def run(self, seconds):
        """Send traffic under faults for ``seconds``; return the findings."""
        self.faults = ProcessFaults(
            self._fleet, self._operator, self._text, self._rng, self._link_rng
        )
        traffic = Traffic.from_config(
            example_callers(self._fleet.host_addresses()),
            MODEL,
            SERVICE,
            WORKERS,
            self._rng.random(),
        )
        await traffic.start()
        self.faults.start_link_faults()
        if self._prompt_rng.random() < CRASHING_RUNS:
            self.prompt_faults = PromptFaults(self.faults, traffic, self._prompt_rng)
            await self.prompt_faults.start()
        try:
            await self._inject_faults(seconds)
            if self.prompt_faults is not None:
                await self.prompt_faults.close()
            await self.faults.heal()
            await self.faults.in_force.finish()
            await asyncio.sleep(SETTLE_S)
            # Ensures that "not run" is reported, and checked, in every run.
            await self.faults.bad_requests()
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                await traffic.finish()
        finally:
            await traffic.close()
        print(tier_table(traffic.records))
        return await self._check(traffic.records)

    async def _inject_faults(self, seconds):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            self.steps += 1
            await self.faults.step()
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))

    async def _check(self, records):
        members = self._fleet.upstreams()
        reports = await asyncio.gather(
            *(self._fleet.run_counts(item) for item in members)
        )
        findings = check_consistency(
            records, RunCounts(reports), MAX_WORK_AFTER_LEAVING_MS, unknown_allowed=True
        )
        in_force = self.faults.in_force
        violations = [*map(str, findings), *in_force.violations]
        if self.prompt_faults is not None:
            span_count = self.prompt_faults.span_count
            violations += find_crash_findings(reports, span_count)
            self.checks["texts that crash engines"] = span_count
        self.checks["declarations in force"] = in_force.checked_count
        for address in self._fleet.host_addresses():
            status = await self._operator.status(address)
            for name, count in status["checks"].items():
                self.checks[name] = self.checks.get(name, 0) + count
            for name, count in status["violations"].items():
                violations.append(f"property {name} broken {count} times at {address}")
        missing = [
            p.name for p in HOST_CHECKED_PROPERTIES if not self.checks.get(p.name)
        ]
        return violations + [f"property {name} was never checked" for name in missing]


async def _run(text, seed, seconds, log_dir):
    config = FleetConfig(
        hosts=5,
        log_dir=log_dir,
        host_settings={"HEMLOCKHOIST_TEST": "1"},
        has_own_addresses=True,
    )
    fleet = Fleet.from_config(config)
    try:
        await fleet.start_session()
        operator = OperatorClient.from_config(
            fleet.session, config.operator_key, fleet.host_addresses
        )
        run = ProcessRun(fleet, operator, text, seed)
        await run.start()
        try:
            return await run.run(seconds)
        finally:
            _print_counts(run)
    finally:
        await fleet.close()


def _print_counts(run):
    print(f"steps={run.steps} moves={run.faults.moves}")
    for event in run.faults.events:
        print(f"injected {event}")
    for name, count in sorted(run.faults.counts.items()):
        print(f"fault kind={name} count={count}")
    for name, count in sorted(run.checks.items()):
        print(f"checked property={name} count={count}")


@click.command()
@click.option("--seed", default=1, help="Seed of the faults and the traffic.")
@click.option("--seconds", default=20.0, help="How long faults are injected.")
@click.option("--log-dir", help="Write the processes' logs to this folder.")
def main(seed, seconds, log_dir):
    """Run real processes under random faults; exit with status 1 on any finding."""
    text = pathlib.Path("examples/declarations.yaml").read_text(encoding="utf-8")
    with (
        tempfile.TemporaryDirectory(prefix="hemlockhoist-soak-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        if log_dir:
            pathlib.Path(log_dir).mkdir(parents=True, exist_ok=True)
        findings = runner.run(_run(text, seed, seconds, log_dir or folder))
    for finding in findings:
        print(f"FOUND: {finding}")
    print(f"seed={seed} {'red' if findings else 'green'}")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
