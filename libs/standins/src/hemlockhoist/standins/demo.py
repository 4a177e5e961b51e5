"""End-to-end demo on loopback: ``make demo``.

Starts a platform, upstreams and hosts as processes and sends mixed traffic of two tiers
and two customers. Meanwhile it kills one host, stops another gracefully, makes an
engine leave, changes the configuration and moves a version. Then it compares the
outcomes that callers recorded with the requests that the upstreams ran.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

import click
import uvloop

from hemlockhoist.base import Clock
from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.callers import tier_table
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.launcher import StartFailed
from hemlockhoist.standins.operator_client import OperatorClient, OperatorRequestFailed
from hemlockhoist.standins.traffic import (
    EXAMPLE_CALLERS,
    Traffic,
    example_callers,
)

MODEL = "assistant"
SERVICE = "reservations"
# Shell variables for sending requests by hand while the processes are kept running.
SHELL_VARIABLES_FILE = pathlib.Path("build/demo.env")
WORKERS = 8
# Changes that the operator applies during traffic. With about twenty chats a second,
# the small shares of the file would yield evidence about a new version too slowly.
DECLARATION_EDITS = (
    ("first_share_permille: 10", "first_share_permille: 100"),
    ("unproven_share_permille: 50", "unproven_share_permille: 200"),
)
STEP_DELAY_S = 2.0
IN_FORCE_TIMEOUT_S = 13.0
DRAIN_TIMEOUT_S = 20.0
MOVE_DURATION_MS = 20_000
MOVE_TIMEOUT_S = 28.0
# Load reports and the host list are read several times a second in the demo.
MAX_WORK_AFTER_LEAVING_MS = 3_000
POLL_INTERVAL_S = 0.1


class DemoFailed(Exception):
    """A step of the demo did not have the expected effect."""


class Demo:
    """Runs the steps of the demo in order.

    Parameters
    ==========
    fleet : Fleet
    operator : OperatorClient
    text : str
        Content of the declarations file.
    """

    __slots__ = (
        "_findings",
        "_fleet",
        "_operator",
        "_started_s",
        "_text",
        "_version",
    )

    def __init__(self, fleet, operator, text):
        self._fleet = fleet
        self._operator = operator
        self._text = text
        self._started_s = asyncio.get_running_loop().time()
        self._version = 0
        self._findings = []

    def print_progress(self, text):
        """Print a line of text with the seconds since the start."""
        elapsed_s = asyncio.get_running_loop().time() - self._started_s
        print(f"{elapsed_s:6.1f} s  {text}", flush=True)

    async def start(self):
        """Start all processes and wait until the declarations are in force."""
        fleet = self._fleet
        await fleet.start()
        await asyncio.gather(
            fleet.add_engines(3, MODEL, "v1", "g3"),
            fleet.add_engines(2, MODEL, "v2", "g4"),
            fleet.add_services(2, SERVICE, "v1"),
            fleet.add_hosts(),
        )
        await fleet.publish()
        upstreams = len(fleet.upstreams())
        self.print_progress(
            f"{len(fleet.hosts)} hosts and {upstreams} upstreams are listening"
        )
        await self._apply(parse_declarations(self._text.encode()))
        await self._wait_upstreams()

    async def run(self):
        """Send traffic during the scenario; return the callers' records."""
        traffic = Traffic.from_config(
            example_callers(self._fleet.host_addresses()), MODEL, SERVICE, WORKERS
        )
        await traffic.start()
        try:
            await self._run_scenario()
            await traffic.finish()
            self.print_progress("all requests have ended")
            return traffic.records
        finally:
            await traffic.close()

    async def check(self, records):
        """Return all violations found; print the number of runs at the upstreams."""
        members = self._fleet.upstreams()
        reports = await asyncio.gather(
            *(self._fleet.run_counts(item) for item in members)
        )
        counts = RunCounts(reports)
        self.print_progress(f"{sum(counts.begun.values())} runs at the upstreams")
        findings = check_consistency(
            records, counts, MAX_WORK_AFTER_LEAVING_MS, unknown_allowed=True
        )
        found = self._findings + [str(item) for item in findings]
        for address in self._fleet.host_addresses():
            status = await self._operator.status(address)
            for name, count in status["violations"].items():
                found.append(f"property {name} broken {count} times at {address}")
        return found

    async def _run_scenario(self):
        """Carry out the changes, failures and stops of the demo, one after another."""
        await asyncio.sleep(STEP_DELAY_S)
        await self._change_configuration()
        await self._start_move()
        await asyncio.sleep(STEP_DELAY_S)
        name, count = await self._busiest_host()
        await self._fleet.kill_host(name)
        self.print_progress(f"{name} killed (SIGKILL) with {count} requests open")
        await asyncio.sleep(STEP_DELAY_S)
        await self._stop_host()
        leaver = self._fleet.upstreams(MODEL, "v1")[0]
        await self._fleet.mark_upstream_leaving(leaver)
        self.print_progress(f"{leaver['id']} reports that it is leaving")
        await self._watch_move()
        await asyncio.sleep(STEP_DELAY_S)

    async def _apply(self, declarations):
        self._version = await self._operator.apply(declarations, self._version, "demo")
        loop = asyncio.get_running_loop()
        accepted_s = loop.time()
        while not await self._in_force():
            if loop.time() - accepted_s > IN_FORCE_TIMEOUT_S:
                raise DemoFailed(f"version {self._version} is not in force everywhere")
            await asyncio.sleep(POLL_INTERVAL_S)
        took_s = loop.time() - accepted_s
        text = f"declarations version {self._version} in force everywhere"
        self.print_progress(f"{text} after {took_s:.1f} s")

    async def _in_force(self):
        addresses = self._fleet.host_addresses()
        found = await asyncio.gather(*(self._operator.status(a) for a in addresses))
        return all(item["declarations_version"] >= self._version for item in found)

    async def _wait_upstreams(self):
        """Wait until the delayed host list has shown the upstreams to the hosts."""
        await asyncio.sleep(STEP_DELAY_S)

    async def _change_configuration(self):
        """Apply the declarations file with an operator's changes."""
        text = self._text
        for old, new in DECLARATION_EDITS:
            if old not in text:
                raise DemoFailed(f"the declarations do not contain {old!r}")
            text = text.replace(old, new)
        await self._apply(parse_declarations(text.encode()))

    async def _start_move(self):
        moved_by_ms = Clock.from_running_loop().unix_ms() + MOVE_DURATION_MS
        order = {
            "pool": MODEL,
            "from_version": "v1",
            "to_version": "v2",
            "moved_by_unix_ms": moved_by_ms,
            "reason": "the demo's version move",
            "author": "demo",
        }
        move = await self._operator.start_move(order)
        self.print_progress(f"move of {MODEL} from v1 to v2 is {move['state']}")

    async def _watch_move(self):
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + MOVE_TIMEOUT_S
        while loop.time() < limit_s:
            (move,) = await self._operator.moves()
            if move["state"] != "running":
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        text = f"move is {move['state']} at {move['share_permille']} permille"
        self.print_progress(f"{text}: {move['reason']}")
        if move["state"] != "finished":
            self._findings.append("the version move did not finish in time")

    async def _stop_host(self):
        name, count = await self._busiest_host()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        status = await self._fleet.stop_host(name, DRAIN_TIMEOUT_S)
        took_s = loop.time() - began_s
        text = f"{name} stopped (SIGTERM) with {count} requests open"
        self.print_progress(f"{text}: status {status} after {took_s:.1f} s")
        if status != 0:
            self._findings.append(f"{name} did not stop gracefully")

    async def _busiest_host(self):
        """Return the name of the host with the most open requests, and their number."""
        names = [name for name, host in self._fleet.hosts.items() if host.running]
        found = {}
        for name in names:
            status = await self._operator.status(self._fleet.hosts[name].address)
            found[name] = status["open_requests"]
        busiest = max(found, key=found.get)
        return busiest, found[busiest]


async def _demo(text, keep, log_dir):
    config = FleetConfig(log_dir=log_dir)
    fleet = Fleet.from_config(config)
    try:
        await fleet.start_session()
        operator = OperatorClient.from_config(
            fleet.session, config.operator_key, fleet.host_addresses
        )
        demo = Demo(fleet, operator, text)
        await demo.start()
        if keep:
            await _keep_running(fleet, config.operator_key)
            sys.exit(0)
        records = await demo.run()
        print("\n" + tier_table(records) + "\n")
        return await demo.check(records)
    finally:
        await fleet.close()


async def _keep_running(fleet, operator_key):
    """Keep the processes running until interrupted; print how to reach them."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    addresses = fleet.host_addresses()
    variables = {
        "HOST": addresses[0],
        "CALLER_KEY": EXAMPLE_CALLERS[0][1],
        "HEMLOCKHOIST_HOST": " ".join(addresses),
        "HEMLOCKHOIST_OPERATOR_KEY": operator_key,
    }
    lines = [f'export {name}="{value}"\n' for name, value in variables.items()]
    SHELL_VARIABLES_FILE.parent.mkdir(exist_ok=True)
    SHELL_VARIABLES_FILE.write_text("".join(lines), encoding="utf-8")
    print("".join(lines), end="")
    print(f"In another shell: . {SHELL_VARIABLES_FILE}", "Interrupt to stop.", sep="\n")
    sys.stdout.flush()
    await stop.wait()
    SHELL_VARIABLES_FILE.unlink()


@click.command()
@click.option(
    "--keep", is_flag=True, help="Keep the processes running, without traffic."
)
@click.option(
    "--declarations",
    "file",
    default="examples/declarations.yaml",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="Initial declarations.",
)
@click.option("--log-dir", help="Write the processes' logs to this folder.")
def main(file, keep, log_dir):
    """Run the demo; exit with status 1 if any request was lost, doubled or cut."""
    text = file.read_text(encoding="utf-8")
    with (
        tempfile.TemporaryDirectory(prefix="hemlockhoist-demo-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        try:
            if log_dir:
                os.makedirs(log_dir, exist_ok=True)
            findings = runner.run(_demo(text, keep, log_dir or folder))
        except (DemoFailed, OperatorRequestFailed, StartFailed) as error:
            findings = [str(error)]
    for finding in findings:
        print(f"FOUND: {finding}")
    print("demo failed" if findings else "nothing lost, doubled or cut")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
