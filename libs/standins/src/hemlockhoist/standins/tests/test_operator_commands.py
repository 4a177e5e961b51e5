import asyncio
import json
import os
import pathlib
import sys
import tempfile
import unittest

import aiohttp

from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.messages import PartRecord, PartState
from hemlockhoist.standins.launcher import ProcessGroup
from hemlockhoist.store import PlatformConfig, PlatformTransport, TableClient

WORKSPACE = pathlib.Path(__file__).parents[6]
EXAMPLE = WORKSPACE / "examples" / "declarations.yaml"
HOSTS = 3
SETTINGS = {
    "HEMLOCKHOIST_PEER_KEY": "peer-key-of-the-test",
    "HEMLOCKHOIST_OPERATOR_KEY": "operator-key-of-the-test",
    "HEMLOCKHOIST_LISTEN_ADDRESS": "127.0.0.1:0",
    "HEMLOCKHOIST_PEER_LISTEN_ADDRESS": "127.0.0.1:0",
    "HEMLOCKHOIST_HOST_LIST_POLL_MS": "200",
    "HEMLOCKHOIST_ADDRESS_TTL_MS": "1000",
}
COMMAND_TIMEOUT_S = 60


class CommandResult:
    def __init__(self, exit_code, stdout, stderr):
        self.exit_code = exit_code
        self.stdout = stdout.decode()
        self.stderr = stderr.decode()

    def __str__(self):
        return f"{self.exit_code}\n{self.stdout}\n{self.stderr}"


class StatsdReceiver(asyncio.DatagramProtocol):
    """Receives StatsD packets and stores their lines."""

    def __init__(self):
        self.address = ""
        self.lines = []

    def datagram_received(self, data, addr):
        self.lines += data.decode().splitlines()


class OperatorCommandTests(unittest.IsolatedAsyncioTestCase):
    """Runs the command against host processes and the platform's stand-in."""

    async def asyncSetUp(self):
        self.group = ProcessGroup.from_config()
        self.addAsyncCleanup(self.group.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.platform = await self.group.start(
            "platform", "hemlockhoist.standins.platform"
        )
        self.metrics = await self.start_statsd()
        environment = {
            **SETTINGS,
            "HEMLOCKHOIST_PLATFORM_ADDRESS": self.platform.address,
            "HEMLOCKHOIST_STATSD_ADDRESS": self.metrics.address,
        }
        self.environment = environment
        starts = (self.start_host(number) for number in range(HOSTS))
        self.hosts = await asyncio.gather(*starts)
        await self.publish_hosts()

    async def start_statsd(self):
        loop = asyncio.get_running_loop()
        transport, metrics = await loop.create_datagram_endpoint(
            StatsdReceiver, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        metrics.address = "{}:{}".format(*transport.get_extra_info("sockname"))
        return metrics

    async def kill_hosts(self, *hosts):
        # One test checks the graceful stop; the others need not wait for it.
        await asyncio.gather(*(host.kill() for host in hosts))

    async def publish_hosts(self):
        members = [
            {
                "id": host.name,
                "kind": "entry",
                "address": host.address,
                "peer_address": host.ready_fields["peer_address"],
            }
            for host in self.hosts
        ]
        url = self.platform.url + "/-/hosts"
        async with self.session.put(url, json={"members": members}) as response:
            response.raise_for_status()
        # Commands are accepted while the hosts still discover each other. The tests
        # start once every host is known.
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            while True:
                status = json.loads((await self.run_command("status", "--json")).stdout)
                if len(status["hosts"]) == HOSTS:
                    return
                await asyncio.sleep(0.1)

    async def set_faults(self, **faults):
        url = self.platform.url + "/-/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def run_command(self, *words):
        environment = {
            **os.environ,
            "HEMLOCKHOIST_OPERATOR_KEY": SETTINGS["HEMLOCKHOIST_OPERATOR_KEY"],
            "HEMLOCKHOIST_HOST": " ".join(host.address for host in self.hosts),
            "HEMLOCKHOIST_AUTHOR": "one",
        }
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "hemlockhoist.cli", *(str(word) for word in words)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
        )
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            stdout, stderr = await process.communicate()
        return CommandResult(process.returncode, stdout, stderr)

    def metric_lines(self, name):
        prefix = f"hemlockhoist.{name}"
        return [line for line in self.metrics.lines if line.startswith(prefix)]

    def edited_example(self, old, new):
        text = EXAMPLE.read_text()
        self.assertIn(old, text)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        file = pathlib.Path(folder) / "fleet.yaml"
        file.write_text(text.replace(old, new, 1))
        return file

    async def test_change_comes_into_force_on_every_host(self):
        """Apply lists every host; a conflict names the author of the other change."""
        result = await self.run_command("declare", "apply", EXAMPLE, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        report = json.loads(result.stdout)
        self.assertEqual((report["version"], len(report["in_force_on"])), (1, HOSTS))
        edited_file = self.edited_example("stable_version: v1", "stable_version: v2")
        result = await self.run_command(
            "declare", "apply", edited_file, "--author", "two"
        )
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        late = self.edited_example("weight: 1", "weight: 2")
        result = await self.run_command("declare", "apply", late, "--read-version", "1")
        self.assertEqual(result.exit_code, ExitCode.CONFLICT, result)
        self.assertIn("changed by two", result.stderr)
        history = json.loads(
            (await self.run_command("declare", "history", "--json")).stdout
        )
        authors = [entry["author"] for entry in history["entries"]]
        self.assertEqual(authors, ["two", "one"])

    async def test_evacuated_domain_is_shown_by_status(self):
        """Guards against an evacuation that an operator can not see to be in force."""
        reason = "Its power is replaced until Friday."
        edited_file = self.edited_example(
            "exceptions:\n",
            "exceptions:\n  - kind: failure_domain\n    name: coast-a\n"
            f"    field: evacuated\n    value: true\n    reason: {reason}\n",
        )
        result = await self.run_command("declare", "apply", edited_file)
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        status = json.loads((await self.run_command("status", "--json")).stdout)
        self.assertEqual(status["evacuated_domains"], {"coast-a": reason})

    async def test_lost_store_answer_does_not_duplicate_the_change(self):
        """
        Guards against a change applied twice when the table service performs the write
        but its answer is lost: a retry would make a second version or a conflict with
        itself. The command succeeds, with one version and one history entry.
        """
        await self.set_faults(lose_answers=1)
        result = await self.run_command("declare", "apply", EXAMPLE, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        self.assertEqual(json.loads(result.stdout)["version"], 1)
        history = json.loads(
            (await self.run_command("declare", "history", "--json")).stdout
        )
        self.assertEqual(len(history["entries"]), 1)

    async def test_store_outage_refuses_changes_and_still_shows_declarations(self):
        """
        While the table service is down, the declarations in force are still shown and
        a change is refused. Once the service is back, the same command succeeds.
        """
        await self.run_command("declare", "apply", EXAMPLE)
        await self.set_faults(outage=True)
        shown = json.loads((await self.run_command("declare", "show", "--json")).stdout)
        self.assertEqual(shown["version"], 1)
        changed = self.edited_example("weight: 1", "weight: 2")
        result = await self.run_command("declare", "apply", changed)
        self.assertEqual(result.exit_code, ExitCode.REFUSED, result)
        self.assertIn("error 600", result.stderr)
        await self.set_faults()
        result = await self.run_command("declare", "apply", changed)
        self.assertEqual(result.exit_code, ExitCode.OK, result)

    async def test_moves_are_started_and_cancelled(self):
        """A repeated start is idempotent, a second move conflicts, one is cancelled."""
        await self.run_command("declare", "apply", EXAMPLE)
        words = ("assistant", "v2", "--by", "+1h", "--reason", "For the test.")
        result = await self.run_command("move", "start", *words, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        move = json.loads(result.stdout)
        self.assertEqual((move["from_version"], move["state"]), ("v1", "running"))
        repeated = await self.run_command(
            "move", "start", *words, "--move-id", move["move_id"]
        )
        self.assertEqual(repeated.exit_code, ExitCode.OK, repeated)
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            while not self.metric_lines("moves.started"):
                await asyncio.sleep(0.1)
        other = await self.run_command("move", "start", *words)
        self.assertEqual(other.exit_code, ExitCode.CONFLICT, other)
        reason = ("--reason", "It was the wrong one.")
        result = await self.run_command("move", "cancel", move["move_id"], *reason)
        self.assertIn("CANCELLED", result.stdout, result)
        result = await self.run_command(
            "move", "status", "assistant", "--wait-ms", "5000"
        )
        self.assertEqual(result.exit_code, ExitCode.NOT_MOVED, result)
        started = ["hemlockhoist.moves.started.assistant:1|c"]
        self.assertEqual(self.metric_lines("moves.started"), started)
        self.assertTrue(self.metric_lines("declarations.version:1|g"))

    async def start_host(self, number):
        words = ("hemlockhoist.cli", "host", "run", "--host-id", f"host-{number}")
        host = await self.group.start(
            f"host-{number}", *words, environment=self.environment
        )
        self.addAsyncCleanup(self.kill_hosts, host)
        return host

    async def block_part(self, part):
        """Record in the store that a part is blocked, as a host does."""
        config = PlatformConfig(url=f"http://{self.platform.address}")
        transport = PlatformTransport.from_config(config)
        await transport.start()
        record = PartRecord(part=part, crashes=(1, 2, 3), state=PartState.BLOCKED)
        tables = TableClient.from_config(transport)
        await tables.put("crashing_parts", f"{part:016x}", record, 0)
        await transport.close()

    async def listed_parts(self, host):
        """Return the parts that a host shows, once it shows any."""
        words = ("part", "list", "--host", host.address, "--json")
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            while True:
                shown = json.loads((await self.run_command(*words)).stdout)
                if shown["parts"]:
                    return shown["parts"]

    async def test_parts_of_prompts_are_listed_and_lifted(self):
        """A part that hosts block is shown, and lifted, also for hosts to come."""
        await self.run_command("declare", "apply", EXAMPLE)
        await self.block_part(0xBAD)
        name = f"{0xBAD:016x}"
        hosts = [await self.start_host(HOSTS), await self.start_host(HOSTS + 1)]
        for host in hosts:
            (part,) = await self.listed_parts(host)
            self.assertEqual((part["part"], part["state"]), (name, "blocked"))
        words = (name, "--reason", "Mended engines.", "--host", hosts[0].address)
        result = await self.run_command("part", "lift", *words)
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        self.assertIn("no part is suspected", result.stdout)
        result = await self.run_command("part", "lift", *words)
        self.assertIn("error 407", result.stderr, result)
        words = ("--host", hosts[1].address)
        result = await self.run_command("part", "list", *words)
        self.assertIn("no part is suspected", result.stdout)

    async def test_drain_waits_for_the_host_to_stop(self):
        """Drain waits for the host's exit; the other hosts no longer list it."""
        await self.run_command("declare", "apply", EXAMPLE)
        leaving = self.hosts.pop()
        words = ("--host", leaving.address, "--wait-ms", "30000", "--json")
        result = await self.run_command("host", "drain", *words)
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        self.assertTrue(json.loads(result.stdout)["stopped"])
        self.assertEqual(await leaving.wait(10), 0)
        changed = self.edited_example("weight: 1", "weight: 2")
        result = await self.run_command("declare", "apply", changed, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result)
        self.assertEqual(len(json.loads(result.stdout)["in_force_on"]), HOSTS - 1)
