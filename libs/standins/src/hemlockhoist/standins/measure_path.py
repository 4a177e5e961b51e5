"""Measures the processor cost of a request and of a streamed token at one host.

One host, which is its own home, forwards requests to stand-ins of engines on loopback.
The same load is sent through the host and directly to an engine; the host's processor
time is read from ``/proc``. Run: ``python -m hemlockhoist.standins.measure_path``.
"""

import asyncio
import os
import pathlib
import statistics
import tempfile

import aiohttp
import click
import uvloop

from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.operator_client import OperatorClient

MODEL = "assistant"
CALLER_KEY = "demo-key-large"
TOKEN_COUNTS = (1, 25, 50, 100, 200)
CONCURRENT_STREAMS = 24
ENGINES = 4
ROUNDS = 3
SETTLE_S = 4.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_UTIME, _STIME = 13, 14


def processor_ms(pid):
    """Return the processor time that a process has used, in milliseconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # The index is reduced by the two fields before the closing bracket.
    ticks = int(fields[_UTIME - 2]) + int(fields[_STIME - 2])
    return 1000 * ticks / _TICKS_PER_S


def resident_kib(pid):
    """Return the resident memory of a process in KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def fit_line(points):
    """Return intercept, slope and largest residual of a least-squares fit.

    Parameters
    ==========
    points : sequence of (float, float)
    """
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    worst = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, worst


class ChatLoad:
    """Sends streamed chats to one address with fixed concurrency.

    Parameters
    ==========
    session : aiohttp.ClientSession
    address : str
    """

    __slots__ = (
        "_address",
        "_number",
        "_session",
        "events",
        "first_chunk_ms",
        "refused",
    )

    def __init__(self, session, address):
        self._session = session
        self._address = address
        self._number = 0
        self.events = 0
        self.refused = 0
        self.first_chunk_ms = []

    async def run(self, tokens, requests):
        """Send ``requests`` chats of ``tokens`` tokens each."""
        left = iter(range(requests))
        await asyncio.gather(
            *(self._run_worker(tokens, left) for _ in range(CONCURRENT_STREAMS))
        )

    async def _run_worker(self, tokens, left):
        for _ in left:
            await self._send_chat(tokens)

    async def _send_chat(self, tokens):
        self._number += 1
        body = {
            "model": MODEL,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"question {self._number}"}],
        }
        headers = {
            "Authorization": f"Bearer {CALLER_KEY}",
            "X-Request-Id": f"direct-{id(self)}-{self._number}",
            "X-Hemlockhoist-Tier": "batch",
        }
        url = f"http://{self._address}/v1/chat/completions"
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with self._session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                self.refused += 1
                return
            first = True
            async for chunk in response.content.iter_any():
                if first:
                    self.first_chunk_ms.append(1000 * (loop.time() - began_s))
                    first = False
                self.events += chunk.count(b"\n\n")


async def _measure(fleet, host, engine):
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        points = []
        for tokens in TOKEN_COUNTS:
            requests = max(CONCURRENT_STREAMS * 4, 1200 // tokens)
            direct = await _measure_load(
                session, engine.address, engine.pid, tokens, requests
            )
            through = await _measure_load(
                session, host.address, host.pid, tokens, requests
            )
            cost_ms, rate, load = through
            points.append((tokens, cost_ms))
            print(
                f"tokens={tokens:4} requests={requests} "
                f"host={cost_ms:.2f} ms of processor a request "
                f"rate={rate:.0f}/s p50 first={_median(load):.1f} ms "
                f"direct rate={direct[1]:.0f}/s p50 first={_median(direct[2]):.1f} ms "
                f"refused={load.refused}",
                flush=True,
            )
    base, slope, worst = fit_line(points)
    print(
        f"fit: {base:.2f} ms a request + {1000 * slope:.1f} us a token, "
        f"largest residual {worst:.2f} ms; {1000 / base:.0f} requests/s or "
        f"{1000 / slope:.0f} tokens/s a core; resident {resident_kib(host.pid)} KiB"
    )


def _median(load):
    return (
        statistics.median(load.first_chunk_ms) if load.first_chunk_ms else float("nan")
    )


async def _measure_load(session, address, pid, tokens, requests):
    """Return processor milliseconds per request, requests per second, and the load."""
    load = ChatLoad(session, address)
    await load.run(tokens, CONCURRENT_STREAMS)
    costs, rates = [], []
    loop = asyncio.get_running_loop()
    for _ in range(ROUNDS):
        before_ms, began_s = processor_ms(pid), loop.time()
        await load.run(tokens, requests)
        costs.append((processor_ms(pid) - before_ms) / requests)
        rates.append(requests / (loop.time() - began_s))
    return statistics.median(costs), statistics.median(rates), load


async def _run(log_dir):
    text = pathlib.Path("examples/declarations.yaml").read_text(encoding="utf-8")
    config = FleetConfig(hosts=1, log_dir=log_dir)
    fleet = Fleet.from_config(config)
    try:
        await fleet.start_session()
        await fleet.start()
        await fleet.add_engines(ENGINES, MODEL, "v1")
        await fleet.add_hosts()
        await fleet.publish()
        operator = OperatorClient.from_config(
            fleet.session, config.operator_key, fleet.host_addresses
        )
        await operator.apply(parse_declarations(text.encode()), 0, "measurement")
        await asyncio.sleep(SETTLE_S)
        (host,) = fleet.hosts.values()
        engine = fleet.process("engine-1")
        await _measure(fleet, host, engine)
    finally:
        await fleet.close()


@click.command()
@click.option("--log-dir", help="Write the processes' logs to this folder.")
def main(log_dir):
    """Measure the cost of the request path of one host."""
    with (
        tempfile.TemporaryDirectory(prefix="hemlockhoist-path-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(_run(log_dir or folder))


if __name__ == "__main__":
    main()
