"""Measures the control cost of a host: processor, memory and bytes without requests.

Runs idle fleets of growing size on loopback, with the upstreams of today's larger
deployment and the polling intervals of ``POLL_SETTINGS``. Run:
``python -m hemlockhoist.standins.measure_control``.
"""

import asyncio
import pathlib
import statistics
import tempfile

import click
import uvloop

from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.measure_path import fit_line, processor_ms, resident_kib
from hemlockhoist.standins.operator_client import OperatorClient

HOST_COUNTS = (4, 8, 12, 16)
ENGINES = 6
SERVICES = 4
SETTLE_S = 8.0
MEASURE_S = 15.0
POLL_SETTINGS = {
    "HEMLOCKHOIST_HOST_LIST_POLL_MS": "1000",
    "HEMLOCKHOIST_CONFIG_POLL_MS": "1000",
    "HEMLOCKHOIST_LOAD_POLL_MS": "1000",
}


class ControlCost:
    """Resources used by one host during the measurement.

    Parameters
    ==========
    core_permille : float
        Processor time in thousandths of one core.
    sent_bytes, received_bytes : float
        Bytes per second to and from peers.
    memory_kib : int
    homes : int
        Number of pools whose home the host was.
    """

    __slots__ = (
        "core_permille",
        "homes",
        "memory_kib",
        "received_bytes",
        "sent_bytes",
    )

    def __init__(self, core_permille, sent_bytes, received_bytes, memory_kib, homes):
        self.core_permille = core_permille
        self.sent_bytes = sent_bytes
        self.received_bytes = received_bytes
        self.memory_kib = memory_kib
        self.homes = homes


async def _measure_hosts(fleet, operator):
    hosts = list(fleet.hosts.values())
    before = [await _read_counters(operator, host) for host in hosts]
    await asyncio.sleep(MEASURE_S)
    after = [await _read_counters(operator, host) for host in hosts]
    return [
        ControlCost(
            core_permille=(now[0] - then[0]) / MEASURE_S,
            sent_bytes=(now[1] - then[1]) / MEASURE_S,
            received_bytes=(now[2] - then[2]) / MEASURE_S,
            memory_kib=resident_kib(host.pid),
            homes=now[3],
        )
        for host, then, now in zip(hosts, before, after, strict=True)
    ]


async def _read_counters(operator, host):
    status = await operator.status(host.address)
    own = status["peer_address"]
    homes = sum(pool["home"] == own for pool in status["pools"])
    used_ms = processor_ms(host.pid)
    return used_ms, status["peer_bytes_sent"], status["peer_bytes_received"], homes


async def _measure_fleet(size, text, log_dir):
    config = FleetConfig(hosts=size, log_dir=log_dir, host_settings=POLL_SETTINGS)
    fleet = Fleet.from_config(config)
    try:
        await fleet.start_session()
        await fleet.start()
        await fleet.add_engines(ENGINES, "assistant", "v1")
        await fleet.add_services(SERVICES, "reservations", "v1")
        await fleet.add_hosts()
        await fleet.publish()
        operator = OperatorClient.from_config(
            fleet.session, config.operator_key, fleet.host_addresses
        )
        await operator.apply(parse_declarations(text.encode()), 0, "measurement")
        await asyncio.sleep(SETTLE_S)
        return await _measure_hosts(fleet, operator)
    finally:
        await fleet.close()


def _print_row(size, costs):
    busiest = max(costs, key=lambda cost: cost.core_permille)
    print(
        f"hosts={size:3} core median={_median(costs, 'core_permille'):.1f} "
        f"most={busiest.core_permille:.1f} permille (home of {busiest.homes}) "
        f"sent={_median(costs, 'sent_bytes'):.0f} "
        f"received={_median(costs, 'received_bytes'):.0f} B/s "
        f"memory={max(cost.memory_kib for cost in costs)} KiB",
        flush=True,
    )


def _median(costs, name):
    return statistics.median(getattr(cost, name) for cost in costs)


@click.command()
def main():
    """Measure the control cost of hosts in idle fleets."""
    text = pathlib.Path("examples/declarations.yaml").read_text(encoding="utf-8")
    rows = []
    with (
        tempfile.TemporaryDirectory(prefix="hemlockhoist-control-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        for size in HOST_COUNTS:
            costs = runner.run(_measure_fleet(size, text, folder))
            _print_row(size, costs)
            rows.append((size, costs))
    for name in ("core_permille", "sent_bytes", "memory_kib"):
        points = [(size, _median(costs, name)) for size, costs in rows]
        base, slope, worst = fit_line(points)
        print(
            f"fit {name}: {base:.1f} + {slope:.3f} a host, largest residual {worst:.2f}"
        )


if __name__ == "__main__":
    main()
