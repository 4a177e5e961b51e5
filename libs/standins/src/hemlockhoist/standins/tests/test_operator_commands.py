import asyncio
import json
import os
import pathlib
import sys
import tempfile
import unittest

import aiohttp

from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.standins.launcher import ProcessGroup

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
COMMAND_LIMIT_S = 60


class Answer:
    def __init__(self, exit_code, stdout, stderr):
        self.exit_code = exit_code
        self.stdout = stdout.decode()
        self.stderr = stderr.decode()

    def __str__(self):
        return f"{self.exit_code}\n{self.stdout}\n{self.stderr}"


class Statsd(asyncio.DatagramProtocol):
    """Keeps the lines of all packets."""

    def __init__(self):
        self.address = ""
        self.lines = []

    def datagram_received(self, data, addr):
        self.lines += data.decode().splitlines()


class OperatorCommandTests(unittest.IsolatedAsyncioTestCase):
    """The command against host processes and the platform's stand-in."""

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
        starts = (
            self.group.start(
                f"host-{number}",
                *("hemlockhoist.cli", "host", "run", "--host-id", f"host-{number}"),
                environment=environment,
            )
            for number in range(HOSTS)
        )
        self.hosts = await asyncio.gather(*starts)
        self.addAsyncCleanup(self.end, *self.hosts)
        await self.list_hosts()

    async def start_statsd(self):
        loop = asyncio.get_running_loop()
        transport, metrics = await loop.create_datagram_endpoint(
            Statsd, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        metrics.address = "{}:{}".format(*transport.get_extra_info("sockname"))
        return metrics

    async def end(self, *hosts):
        # A graceful stop is looked at by one test; the others need not wait for it.
        await asyncio.gather(*(host.kill() for host in hosts))

    async def list_hosts(self):
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
        async with self.session.put(url, json={"members": members}) as answer:
            answer.raise_for_status()
        # Commands may come while hosts still look for one another; what these tests
        # look at begins when they have found each other.
        async with asyncio.timeout(COMMAND_LIMIT_S):
            while True:
                status = json.loads((await self.ask("status", "--json")).stdout)
                if len(status["hosts"]) == HOSTS:
                    return
                await asyncio.sleep(0.1)

    async def set_faults(self, **faults):
        url = self.platform.url + "/-/faults"
        async with self.session.post(url, json=faults) as answer:
            answer.raise_for_status()

    async def ask(self, *words):
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
        async with asyncio.timeout(COMMAND_LIMIT_S):
            stdout, stderr = await process.communicate()
        return Answer(process.returncode, stdout, stderr)

    def lines_of(self, name):
        prefix = f"hemlockhoist.{name}"
        return [line for line in self.metrics.lines if line.startswith(prefix)]

    def edited(self, old, new):
        text = EXAMPLE.read_text()
        self.assertIn(old, text)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        file = pathlib.Path(folder) / "fleet.yaml"
        file.write_text(text.replace(old, new, 1))
        return file

    async def test_a_change_comes_into_force_on_every_host(self):
        """Apply names every host; a second author gets a conflict by name."""
        answer = await self.ask("declare", "apply", EXAMPLE, "--json")
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        report = json.loads(answer.stdout)
        self.assertEqual((report["version"], len(report["in_force_on"])), (1, HOSTS))
        mine = self.edited("stable_version: v1", "stable_version: v2")
        answer = await self.ask("declare", "apply", mine, "--author", "two")
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        late = self.edited("weight: 1", "weight: 2")
        answer = await self.ask("declare", "apply", late, "--read-version", "1")
        self.assertEqual(answer.exit_code, ExitCode.CONFLICT, answer)
        self.assertIn("changed by two", answer.stderr)
        history = json.loads((await self.ask("declare", "history", "--json")).stdout)
        authors = [entry["author"] for entry in history["entries"]]
        self.assertEqual(authors, ["two", "one"])

    async def test_an_evacuated_domain_is_in_force_and_shown(self):
        """An operator empties a zone, and can not see whether it is in force."""
        reason = "Its power is replaced until Friday."
        mine = self.edited(
            "exceptions:\n",
            "exceptions:\n  - kind: failure_domain\n    name: coast-a\n"
            f"    field: evacuated\n    value: true\n    reason: {reason}\n",
        )
        answer = await self.ask("declare", "apply", mine)
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        status = json.loads((await self.ask("status", "--json")).stdout)
        self.assertEqual(status["evacuated_domains"], {"coast-a": reason})

    async def test_the_stores_answer_is_lost(self):
        """
        The table service takes the write and its answer is lost. Applied again, the
        change would be a second version or a conflict with itself. The command ends
        well, with one version and one entry of history.
        """
        await self.set_faults(lose_answers=1)
        answer = await self.ask("declare", "apply", EXAMPLE, "--json")
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        self.assertEqual(json.loads(answer.stdout)["version"], 1)
        history = json.loads((await self.ask("declare", "history", "--json")).stdout)
        self.assertEqual(len(history["entries"]), 1)

    async def test_the_store_is_down(self):
        """
        The table service is down. What is in force is still shown, and a change is
        refused as not accepted; once the service is back, the same command works.
        """
        await self.ask("declare", "apply", EXAMPLE)
        await self.set_faults(outage=True)
        shown = json.loads((await self.ask("declare", "show", "--json")).stdout)
        self.assertEqual(shown["version"], 1)
        changed = self.edited("weight: 1", "weight: 2")
        answer = await self.ask("declare", "apply", changed)
        self.assertEqual(answer.exit_code, ExitCode.REFUSED, answer)
        self.assertIn("error 600", answer.stderr)
        await self.set_faults()
        answer = await self.ask("declare", "apply", changed)
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)

    async def test_moves_are_ordered_and_cancelled(self):
        """A move is started once, a second one is a conflict, and one is cancelled."""
        await self.ask("declare", "apply", EXAMPLE)
        words = ("assistant", "v2", "--by", "+1h", "--reason", "For the test.")
        answer = await self.ask("move", "start", *words, "--json")
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        move = json.loads(answer.stdout)
        self.assertEqual((move["from_version"], move["state"]), ("v1", "running"))
        again = await self.ask("move", "start", *words, "--move-id", move["move_id"])
        self.assertEqual(again.exit_code, ExitCode.OK, again)
        async with asyncio.timeout(COMMAND_LIMIT_S):
            while not self.lines_of("moves.started"):
                await asyncio.sleep(0.1)
        other = await self.ask("move", "start", *words)
        self.assertEqual(other.exit_code, ExitCode.CONFLICT, other)
        reason = ("--reason", "It was the wrong one.")
        answer = await self.ask("move", "cancel", move["move_id"], *reason)
        self.assertIn("CANCELLED", answer.stdout, answer)
        answer = await self.ask("move", "status", "assistant", "--wait-ms", "5000")
        self.assertEqual(answer.exit_code, ExitCode.NOT_MOVED, answer)
        started = ["hemlockhoist.moves.started.assistant:1|c"]
        self.assertEqual(self.lines_of("moves.started"), started)
        self.assertTrue(self.lines_of("declarations.version:1|g"))

    async def test_a_host_is_drained(self):
        """Drain waits for the host's end; the others go on and no longer name it."""
        await self.ask("declare", "apply", EXAMPLE)
        leaving = self.hosts.pop()
        words = ("--host", leaving.address, "--wait-ms", "30000", "--json")
        answer = await self.ask("host", "drain", *words)
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        self.assertTrue(json.loads(answer.stdout)["stopped"])
        self.assertEqual(await leaving.wait(10), 0)
        changed = self.edited("weight: 1", "weight: 2")
        answer = await self.ask("declare", "apply", changed, "--json")
        self.assertEqual(answer.exit_code, ExitCode.OK, answer)
        self.assertEqual(len(json.loads(answer.stdout)["in_force_on"]), HOSTS - 1)
