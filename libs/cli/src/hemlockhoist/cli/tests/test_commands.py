import doctest
import json
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from click.testing import CliRunner

from hemlockhoist.cli import options, output
from hemlockhoist.cli.exit_codes import ExitCode
from hemlockhoist.cli.main import main
from hemlockhoist.cli.tests.fake_host import KEY, FakeHost
from hemlockhoist.declarations.tests.samples import EXAMPLE

PEER_KEY = "peer-key-of-the-test"


class CommandTestCase(unittest.TestCase):
    def run_command(self, *arguments, variables=None):
        environment = {"HEMLOCKHOIST_OPERATOR_KEY": KEY, "HEMLOCKHOIST_AUTHOR": "one"}
        environment |= variables or {}
        with mock.patch.dict(os.environ, environment, clear=True):
            return CliRunner().invoke(main, [str(word) for word in arguments])

    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = pathlib.Path(folder.name) / "fleet.yaml"
        file.write_text(text)
        return file


class LocalCommandTests(CommandTestCase):
    def test_check_of_valid_file(self):
        """A valid file gives exit code 0 and its counts."""
        result = self.run_command("declare", "check", EXAMPLE)
        self.assertEqual(result.exit_code, ExitCode.OK)
        self.assertIn("no fault (3 tiers, 5 customers, 3 pools", result.stdout)

    def test_check_reports_all_faults_on_standard_error(self):
        """An invalid file gives exit code 3, all faults, and no standard output."""
        file = self.write("nope: 1\ntiers: 3\n")
        result = self.run_command("declare", "check", file)
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertEqual(result.stdout, "")
        self.assertIn(f"{file}:1: nope: is an unknown section", result.stderr)
        self.assertIn(f"{file}:2: tiers: is '3'; allowed: a list", result.stderr)
        self.assertIn("next: Mend each fault that is listed.", result.stderr)
        as_json = self.run_command("declare", "check", file, "--json")
        line = json.loads(as_json.stderr)
        self.assertEqual((line["code"], line["exit_code"]), (400, 3))

    def test_codes(self):
        """The table has all codes; a number selects one; unknown ones are rejected."""
        rows = json.loads(self.run_command("codes", "--json").stdout)
        self.assertIn("overloaded", {row["name"] for row in rows})
        self.assertIn("deadline_passed", self.run_command("codes", "205").stdout)
        self.assertEqual(self.run_command("codes", "77").exit_code, ExitCode.USAGE)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        for module in (options, output):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_host_run_passes_the_settings(self):
        """Flags and environment variables are passed to the host as settings."""
        with mock.patch("hemlockhoist.host.run", create=True) as run:
            result = self.run_command(
                *("host", "run", "--load-poll-ms", "250"),
                *("--platform-address", "127.0.0.1:9000"),
                variables={"HEMLOCKHOIST_PEER_KEY": PEER_KEY},
            )
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        (settings,) = run.call_args.args
        self.assertEqual(settings.load_poll_ms, 250)
        self.assertEqual(settings.peer_key, PEER_KEY)

    def test_host_run_reports_all_faults(self):
        """A host with invalid settings does not start; secrets are not printed."""
        result = self.run_command(
            "host", "run", "--peer-key", "tiny", "--load-poll-ms", "0"
        )
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        for word in ("peer_key", "load_poll_ms", "platform_address"):
            self.assertIn(word, result.stderr)
        self.assertNotIn("tiny", result.stderr)

    def test_missing_or_unreachable_host(self):
        """A missing host or key and an unreachable host have different exit codes."""
        result = self.run_command("status")
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertIn("--host", result.stderr)
        result = self.run_command("status", "--host", "name:1")
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        result = self.run_command("status", "--host", "127.0.0.1:1")
        self.assertEqual(result.exit_code, ExitCode.UNREACHABLE)
        self.assertIn("127.0.0.1:1", result.stderr)


class RemoteCommandTests(CommandTestCase):
    def setUp(self):
        self.host = FakeHost()
        self.host.start()
        self.addCleanup(self.host.close)

    def run_remote(self, *arguments, **variables):
        # The first address refuses connections, so that the next one is tried.
        variables = {"HEMLOCKHOIST_HOST": f"127.0.0.1:1 {self.host.address}"}
        return self.run_command(*arguments, variables=variables)

    def test_apply_waits_until_in_force_on_all_hosts(self):
        """Apply shows the changes, waits for the last host, and lists all hosts."""
        self.host.lagging_views = 3
        result = self.run_remote("declare", "apply", EXAMPLE)
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        self.assertIn("+ customer town-college", result.stdout)
        self.assertIn("in force on all 2 hosts: a, b", result.stdout)
        again = self.run_remote("declare", "apply", EXAMPLE)
        self.assertIn("no difference", again.stdout)
        history = self.run_remote("declare", "history").stdout
        self.assertIn("version 1  2023-11-14 22:13:20 UTC  one", history)
        shown = json.loads(self.run_remote("declare", "show", "--json").stdout)
        text = self.run_remote("declare", "show").stdout
        self.assertIn("version 1, in force on 2 of 2 hosts", text)
        self.assertIn(
            "customer northern-university max_in_flight: 192\n  reason:", text
        )
        self.assertIn("GET /availability", text)
        self.assertNotIn("{", text)
        reasons = [e["reason"] for e in shown["declarations"]["exceptions"]]
        self.assertEqual(len(reasons), 4)

    def test_lagging_host_is_named(self):
        """At the time limit the exit code is 5, and the lagging host is named."""
        self.host.lagging_views = 1_000
        result = self.run_remote("declare", "apply", EXAMPLE, "--wait-ms", "400")
        self.assertEqual(result.exit_code, ExitCode.NOT_YET)
        self.assertIn("in force on 1 of 2 hosts; not yet on: b", result.stderr)

    def test_conflict_names_the_other_author(self):
        """A conflicting change gives exit code 4, and names its author and content.

        If another operator's change is accepted after the file was compared, applying
        the file would undo that change.
        """
        self.run_remote("declare", "apply", EXAMPLE)
        text = EXAMPLE.read_text()
        other = self.write(text.replace("stable_version: v1", "stable_version: v2", 1))
        self.run_remote("declare", "apply", other, "--author", "two")
        mine = self.write(text.replace("weight: 1", "weight: 2", 1))
        compared = self.run_remote("declare", "diff", mine, "--json")
        self.assertEqual(json.loads(compared.stdout)["read_version"], 2)
        result = self.run_remote("declare", "apply", mine, "--read-version", "1")
        self.assertEqual(result.exit_code, ExitCode.CONFLICT)
        self.assertIn("changed by two (~ pool assistant stable_version", result.stderr)

    def test_connection_lost_after_the_change(self):
        """A change whose answer was lost is sent again with the same id.

        The host accepts the change but closes the connection before it answers. With a
        new id, the change would conflict with itself and be reported as refused.
        """
        self.host.drop_connection = True
        result = self.run_remote("declare", "apply", EXAMPLE, "--json")
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        self.assertEqual(json.loads(result.stdout)["version"], 1)

    def test_wrong_key(self):
        """A refused key gives exit code 7 and the name of the variable to set."""
        result = self.run_remote("status", "--operator-key", "wrong-key-of-the-test")
        self.assertEqual(result.exit_code, ExitCode.KEY_REFUSED)
        self.assertIn("HEMLOCKHOIST_OPERATOR_KEY", result.stderr)

    def test_key_from_file(self):
        """The key can be read from a file; a missing file or a bad key is invalid."""
        file = self.write(KEY + "\n")
        result = self.run_remote("status", "--operator-key", f"@{file}")
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        for key in (f"@{file}-missing", "short"):
            result = self.run_remote("status", "--operator-key", key)
            self.assertEqual(result.exit_code, ExitCode.INVALID, result.output)

    def test_status_is_printed_as_tables(self):
        """Lists are printed as tables; JSON is printed as received from the host."""
        self.assertIn("b     leaving", self.run_remote("status").stdout)
        self.assertEqual(
            json.loads(self.run_remote("status", "--json").stdout)["host"], "a"
        )

    def test_drain_needs_exactly_one_host(self):
        """Drain needs exactly one host, and never tries another one."""
        result = self.run_remote("host", "drain")
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertFalse(self.host.drained)
        result = self.run_command("host", "drain", "--host", self.host.address)
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        self.assertTrue(self.host.drained)

    def start_move(self, *arguments):
        self.run_remote("declare", "apply", EXAMPLE)
        return self.run_remote(
            "move",
            "start",
            "assistant",
            "v2",
            "--reason",
            "Faster answers.",
            *arguments,
        )

    def test_finished_move(self):
        """Start requests the serving version; status waits for the end of the move."""
        result = self.start_move("--by", "+30m")
        self.assertIn("v1 -> v2, running", result.stdout)
        self.host.move_ends_as = "finished"
        result = self.run_remote("move", "status", "assistant", "--wait-ms", "5000")
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        self.assertIn("FINISHED: all traffic is on v2", result.stdout)
        self.assertIn("FINISHED", self.run_remote("move", "list").stdout)

    def test_rolled_back_move(self):
        """A move that was rolled back gives exit code 10 and is reported as such."""
        self.start_move("--by", "2026-12-03T02:00Z")
        self.host.move_ends_as = "taken_back"
        result = self.run_remote("move", "status", "assistant", "--wait-ms", "5000")
        self.assertEqual(result.exit_code, ExitCode.NOT_MOVED)
        self.assertIn("TAKEN BACK: all traffic is on v1 again", result.stdout)

    def test_move_is_cancelled_by_id(self):
        """Cancel passes the reason on; an unknown id or a bad time is an error."""
        self.start_move("--by", "+1h", "--move-id", "move-1")
        result = self.run_remote(
            "move", "cancel", "move-1", "--reason", "Wrong version."
        )
        self.assertIn("CANCELLED", result.stdout)
        self.assertIn("Wrong version.", result.stdout)
        result = self.run_remote(
            "move", "cancel", "move-9", "--reason", "Wrong version."
        )
        self.assertEqual(result.exit_code, ExitCode.REFUSED)
        result = self.start_move("--by", "tomorrow")
        self.assertEqual(result.exit_code, ExitCode.INVALID)
