import contextlib
import os
import signal
import tempfile
import unittest

import aiohttp

from hemlockhoist.standins.launcher import ProcessGroup, StartFailed

_STANDINS = "hemlockhoist.standins."


def _open_files(pid):
    links = []
    for entry in os.scandir(f"/proc/{pid}/fd"):
        # A socket may be closed between the two calls.
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(entry.path))
    return links


class LauncherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.group = ProcessGroup.from_config(self.folder.name)

    async def asyncTearDown(self):
        await self.group.close()
        self.folder.cleanup()

    async def test_standins_run_as_processes(self):
        """Each stand-in reports its address, answers there and stops on SIGTERM."""
        for name, path in (
            ("platform", "/hosts"),
            ("engine", "/load"),
            ("service", "/load"),
        ):
            process = await self.group.start(name, _STANDINS + name)
            async with (
                aiohttp.ClientSession() as session,
                session.get(process.url + path) as response,
            ):
                self.assertEqual(response.status, 200)
            self.assertFalse([x for x in _open_files(process.pid) if "io_uring" in x])
            self.assertEqual(await process.stop(), 0)

    async def test_killed_process_ends_by_the_signal(self):
        """A killed process has ended by the signal and is no longer running."""
        process = await self.group.start("service", _STANDINS + "service")
        await process.kill()
        self.assertFalse(process.running)
        self.assertEqual(await process.wait(1), -signal.SIGKILL)

    async def test_process_that_fails_at_start(self):
        """The error of a process that exits at start contains its standard error."""
        with self.assertRaises(StartFailed) as caught:
            await self.group.start("bad", _STANDINS + "service", "--no-such-option")
        self.assertIn("No such option", str(caught.exception))
