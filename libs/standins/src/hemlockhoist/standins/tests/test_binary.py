import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import unittest

from hemlockhoist.standins.launcher import ProcessGroup

WORKSPACE = pathlib.Path(__file__).parents[6]
# The interpreter itself, without this environment's libraries.
PYTHON = os.path.realpath(sys.executable)
MEMORY_FOLDER = "/dev/shm"
KEYS = {
    "HEMLOCKHOIST_PEER_KEY": "peer-key-of-the-test",
    "HEMLOCKHOIST_OPERATOR_KEY": "operator-key-of-the-test",
}


def process_tree(pid):
    """Return the ids of a process and of all its descendants."""
    found = [pid]
    for task in os.listdir(f"/proc/{pid}/task"):
        children = pathlib.Path(f"/proc/{pid}/task/{task}/children").read_text()
        for child in children.split():
            found += process_tree(int(child))
    return found


def open_file_names(pid):
    names = []
    for entry in os.scandir(f"/proc/{pid}/fd"):
        # A socket may be closed between the two calls.
        with contextlib.suppress(FileNotFoundError):
            names.append(os.readlink(entry.path))
    return names


class BinaryTests(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        subprocess.run(
            [sys.executable, "tools/build_binary.py"],
            cwd=WORKSPACE,
            check=True,
            capture_output=True,
        )
        # Tests use a copy, as another run may rebuild the binary meanwhile.
        cls.folder = tempfile.mkdtemp()
        cls.binary = shutil.copy2(WORKSPACE / "build" / "hemlockhoist", cls.folder)
        cls.root = tempfile.mkdtemp(dir=MEMORY_FOLDER)

    @classmethod
    def tearDownClass(cls):
        shutil.rmtree(cls.folder)
        shutil.rmtree(cls.root)

    def environment(self, **variables):
        """Return an environment whose writable folders are all checked by the tests."""
        folders = {"HOME": self.folder, "TMPDIR": self.folder}
        return {**folders, "HEMLOCKHOIST_ROOT": self.root, **KEYS, **variables}

    def run_binary(self, *words, **variables):
        return subprocess.run(
            [PYTHON, "-I", self.binary, *words],
            env=self.environment(**variables),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_command_writes_only_below_its_root(self):
        """The command runs without the workspace and leaves no files elsewhere."""
        result = self.run_binary("codes", "205")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("deadline_passed", result.stdout)
        self.assertEqual(os.listdir(self.folder), ["hemlockhoist"])
        self.assertTrue(os.listdir(self.root))

    def test_root_on_disk_is_refused(self):
        """
        Guards against unpacking to a disk, which hosts do not have: a late import
        would fail once the disk is gone. If HEMLOCKHOIST_ROOT names a folder on a disk,
        whatever SHIV_ROOT of the archive tool names, the program exits at once, names
        the variable to set and writes nothing.
        """
        disk = os.path.join(self.folder, "disk")
        for variables in (
            {"HEMLOCKHOIST_ROOT": disk},
            {"HEMLOCKHOIST_ROOT": disk, "SHIV_ROOT": self.root},
        ):
            result = self.run_binary("codes", **variables)
            self.assertEqual(result.returncode, 3)
            self.assertIn("Set HEMLOCKHOIST_ROOT", result.stderr)
            self.assertFalse(os.path.exists(disk))

    def test_shiv_variables_have_no_effect(self):
        """Variables of the archive tool shiv, such as its entry point, are ignored."""
        result = self.run_binary("codes", "205", SHIV_ENTRY_POINT="this")
        self.assertIn("deadline_passed", result.stdout)

    async def test_host_is_one_process_without_io_uring(self):
        """A running host has no child process and no io_uring, and stops gracefully."""
        group = ProcessGroup.from_config()
        self.addAsyncCleanup(group.close)
        platform = await group.start("platform", "hemlockhoist.standins.platform")
        command = [PYTHON, "-I", self.binary, "host", "run"]
        command += ["--platform-address", platform.address]
        command += ["--listen-address", "127.0.0.1:0"]
        command += ["--peer-listen-address", "127.0.0.1:0", "--address-ttl-ms", "1000"]
        host = subprocess.Popen(
            command,
            env=self.environment(),
            cwd=self.folder,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        try:
            line = host.stdout.readline()
            self.assertTrue(line.startswith("listening address="), line)
            self.assertEqual(process_tree(host.pid), [host.pid])
            files = open_file_names(host.pid)
            self.assertFalse([name for name in files if "io_uring" in name])
            address = line.split()[1].removeprefix("address=")
            status = self.run_binary("status", "--host", address)
            self.assertEqual(status.returncode, 0, status.stderr)
            self.assertIn("peer_key: ***", status.stdout)
            self.assertNotIn(KEYS["HEMLOCKHOIST_PEER_KEY"], status.stdout)
            self.assertEqual(process_tree(host.pid), [host.pid])
            host.send_signal(signal.SIGTERM)
            self.assertEqual(host.wait(30), 0)
        finally:
            if host.poll() is None:
                host.kill()
            host.wait()
            host.stdout.close()
        self.assertEqual(os.listdir(self.folder), ["hemlockhoist"])
