"""The command ``hemlockhoist where`` against a fleet of processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import unittest

from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.standins.fleet import Fleet, FleetConfig

WORKSPACE = pathlib.Path(__file__).parents[6]
EXAMPLE = WORKSPACE / "examples" / "declarations.yaml"
CONFIG = FleetConfig(hosts=3)
ENGINES = 2
CUSTOMER, KEY = "northern-university", "demo-key-large"
QUESTION = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "hall?"}],
    "max_tokens": 8,
}
# The same request as asked about.
WORDS = ("assistant", "--customer", CUSTOMER, "--max-tokens", "8")
WORDS += ("--prefix", "user:hall?")
WAIT_S = 30
# Longer than the pause after which a home answers another query.
QUERY_PAUSE_S = 0.5


class WhereTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet.from_config(CONFIG)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start_session()
        await self.fleet.start()
        await self.fleet.add_engines(ENGINES, "assistant", "v1")
        await self.fleet.add_hosts()
        await self.fleet.publish()
        applied = await self.run_command("declare", "apply", EXAMPLE)
        self.assertEqual(applied[0], ExitCode.OK, applied)

    async def run_command(self, *words, host=None):
        """Return exit code, output and errors of the command."""
        hosts = " ".join(self.fleet.host_addresses())
        environment = {
            **os.environ,
            "HEMLOCKHOIST_OPERATOR_KEY": CONFIG.operator_key,
            "HEMLOCKHOIST_HOST": host.address if host else hosts,
            "HEMLOCKHOIST_AUTHOR": "one",
        }
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "hemlockhoist.cli", *(str(word) for word in words)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    async def where(self, host, *words):
        """Return the answer of a host, once the pool's home knows both engines."""
        async with asyncio.timeout(WAIT_S):
            while True:
                result = await self.run_command("where", *words, "--json", host=host)
                if result[0] == ExitCode.OK:
                    view = json.loads(result[1])
                    is_ready = view["outcome"] == "granted"
                    if is_ready and len(view["candidates"]) == ENGINES:
                        return view
                await asyncio.sleep(QUERY_PAUSE_S)

    async def ask_chat(self, host):
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{host.url}/v1/chat/completions"
        async with self.fleet.session.post(url, json=QUESTION, headers=headers) as got:
            self.assertEqual(got.status, 200, await got.text())
            await got.read()

    async def counts(self):
        """Return the number of requests that ran at each engine."""
        found = {}
        for member in self.fleet.upstreams("assistant"):
            runs = await self.fleet.run_counts(member)
            found[member["id"]] = len(runs["runs"])
        return found

    async def test_answer_at_any_host_is_where_the_request_then_goes(self):
        """Guards against a query that runs a request, or names another upstream.

        Two of the three hosts ask the home by a message.
        """
        hosts = list(self.fleet.hosts.values())
        homes = set()
        for host in hosts:
            view = await self.where(host, *WORDS)
            homes.add(view["home"])
            self.assertEqual(view["customer"], CUSTOMER)
            self.assertEqual({c["excluded"] for c in view["candidates"]}, {""})
        self.assertEqual(len(homes), 1)
        self.assertEqual(set((await self.counts()).values()), {0})
        for host in hosts:
            before = await self.counts()
            view = await self.where(host, *WORDS)
            await self.ask_chat(host)
            after = await self.counts()
            ran = [name for name in after if after[name] > before[name]]
            self.assertEqual(ran, [view["upstream"]])
        await asyncio.sleep(QUERY_PAUSE_S)
        result = await self.run_command("where", *WORDS, host=hosts[0])
        self.assertIn(f"customer {CUSTOMER}", result[1])
        self.assertIn("GRANTED: engine-", result[1])

    async def test_draining_engine_and_faults_are_named(self):
        host = next(iter(self.fleet.hosts.values()))
        await self.where(host, *WORDS)
        leaving = self.fleet.upstreams("assistant")[0]
        await self.fleet.mark_upstream_leaving(leaving)
        async with asyncio.timeout(WAIT_S):
            reasons = {}
            while reasons.get(leaving["id"]) != "draining":
                await asyncio.sleep(QUERY_PAUSE_S)
                view = await self.where(host, *WORDS)
                reasons = {c["upstream"]: c["excluded"] for c in view["candidates"]}
        self.assertNotEqual(view["upstream"], leaving["id"])
        result = await self.run_command("where", "nope", "--tier", "x", host=host)
        self.assertEqual(result[0], ExitCode.INVALID, result)
        self.assertIn("route: is 'nope'; allowed: assistant", result[2])
        self.assertIn("tier: is 'x'", result[2])

    async def test_home_that_does_not_answer_is_an_unreachable_host(self):
        """Guards against a command that reports an unknown outcome, or hangs."""
        host = next(iter(self.fleet.hosts.values()))
        home = (await self.where(host, *WORDS))["home"]
        by_peer = {h.ready_fields["peer_address"]: h for h in self.fleet.hosts.values()}
        asked = next(h for peer, h in by_peer.items() if peer != home)
        by_peer[home].signal(signal.SIGSTOP)
        self.addCleanup(by_peer[home].signal, signal.SIGCONT)
        result = await self.run_command("where", *WORDS, host=asked)
        self.assertEqual(result[0], ExitCode.UNREACHABLE, result)
        self.assertIn(f"{home}, did not answer within 2000 ms", result[2])
