import asyncio
import pathlib
import signal
import unittest

from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.callers import Caller, CallerConfig, CallOutcome
from hemlockhoist.standins.consistency import RunCounts, check_consistency
from hemlockhoist.standins.fleet import Fleet, FleetConfig
from hemlockhoist.standins.operator_client import OperatorClient
from hemlockhoist.standins.traffic import Traffic

_DECLARATIONS = pathlib.Path("examples/declarations.yaml")
_MODEL = "assistant"
_SERVICE = "reservations"
_STOP_TIMEOUT_S = 30
_SETTLE_S = 3


class _FleetCase(unittest.IsolatedAsyncioTestCase):
    hosts = 3
    host_settings = {"HEMLOCKHOIST_TEST": "1"}

    async def asyncSetUp(self):
        config = FleetConfig(hosts=self.hosts, host_settings=self.host_settings)
        self.fleet = Fleet.from_config(config)
        await self.fleet.start_session()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await asyncio.gather(
            self.fleet.add_engines(2, _MODEL, "v1"),
            self.fleet.add_services(2, _SERVICE, "v1"),
            self.fleet.add_hosts(),
        )
        await self.fleet.publish()
        self.operator = OperatorClient.from_config(
            self.fleet.session, config.operator_key, self.fleet.host_addresses
        )
        declarations = parse_declarations(_DECLARATIONS.read_bytes())
        await self.operator.apply(declarations, 0, "test")
        await asyncio.sleep(_SETTLE_S)

    def _config(self):
        return CallerConfig(seeds=self.fleet.host_addresses(), key="demo-key-large")

    async def _findings(self, records):
        members = self.fleet.upstreams()
        reports = await asyncio.gather(
            *(self.fleet.run_counts(item) for item in members)
        )
        return [
            str(f) for f in check_consistency(records, RunCounts(reports), 3_000, False)
        ]


class RollingReplacementTests(_FleetCase):
    async def test_rolling_replacement_cuts_no_request(self):
        """
        Guards against requests cut by a rolling replacement of all hosts under load.
        Each host gets SIGTERM twice, as some supervisors send it. Callers that use the
        host's address, with open streams, bookings and queued requests, are unaffected.
        """
        traffic = Traffic.from_config([self._config()], _MODEL, _SERVICE, 8)
        await traffic.start()
        self.addAsyncCleanup(traffic.close)
        for number in range(1, self.hosts + 1):
            await self.fleet.add_host(f"host-{self.hosts + number}")
            await self.fleet.publish()
            await asyncio.sleep(_SETTLE_S)
            process = self.fleet.hosts[f"host-{number}"]
            stop = asyncio.create_task(
                self.fleet.stop_host(f"host-{number}", _STOP_TIMEOUT_S)
            )
            await asyncio.sleep(0.3)
            process.signal(signal.SIGTERM)
            self.assertEqual(await stop, 0)
        await traffic.finish()
        self.assertEqual(await self._findings(traffic.records), [])
        ends = {record.outcome for record in traffic.records}
        self.assertEqual(ends, {CallOutcome.WHOLE})


class DrainLimitTests(_FleetCase):
    hosts = 2
    host_settings = {"HEMLOCKHOIST_TEST": "1", "HEMLOCKHOIST_DRAIN_LIMIT_MS": "1000"}

    async def test_stream_open_at_the_drain_limit_continues_at_another_host(self):
        """
        Guards against streams cut at the drain limit, here one second. The caller is
        redirected and reads the rest from the other host: one complete answer, which
        was dispatched once. The host waits for unstreamed answers.
        """
        callers = [Caller.from_config(self._config()) for _ in range(2)]
        for caller in callers:
            await caller.start()
            self.addAsyncCleanup(caller.close)
        # Callers choose hosts at random: without this, none may stream from host-1.
        callers[0].directory.record_failure(self.fleet.hosts["host-2"].address)
        for member in self.fleet.upstreams(_MODEL):
            await self.fleet.set_faults(member, {"slowdown_permille": 8_000})
        chats = [
            asyncio.create_task(caller.chat(_MODEL, f"long {n}", 60, n % 3 > 0))
            for n, caller in enumerate(callers * 6)
        ]
        await asyncio.sleep(1)
        self.assertEqual(await self.fleet.stop_host("host-1", _STOP_TIMEOUT_S), 0)
        records = await asyncio.gather(*chats)
        self.assertEqual(await self._findings(records), [])
        self.assertEqual({record.outcome for record in records}, {CallOutcome.WHOLE})
        self.assertGreater(sum(record.moves for record in records[::2]), 0)
