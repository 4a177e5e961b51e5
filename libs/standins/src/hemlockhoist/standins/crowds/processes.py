"""The process of a crowd, and what a process of the system uses."""

import asyncio
import os
import pathlib
import sys

_KB_PER_MB = 1_024
_END_TIMEOUT_S = 20.0
_SAMPLE_INTERVAL_S = 0.05


class CrowdFailed(Exception):
    """The crowd's own process ended with an error."""


def peak_memory_mb(pid):
    """Return the most memory that a running process ever used."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith("VmHWM:"))
    return int(line.split()[1]) / _KB_PER_MB


def count_descriptors(pid):
    """Return how many descriptors a running process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class CrowdProcess:
    """A crowd in a process of its own.

    Parameters
    ==========
    address : str
        ``IP:port`` that it connects to.
    sent : Sent
    count : int
        Number of connections at a time.
    seconds : float
    """

    def __init__(self, address, sent, count, seconds):
        self._words = (address, sent.name, str(count), str(seconds))
        self._process = None

    async def start(self):
        """Start the process."""
        module = "hemlockhoist.standins.crowds"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *self._words, stdout=asyncio.subprocess.PIPE
        )

    async def wait(self, pid):
        """Wait until the crowd has left.

        Parameters
        ==========
        pid : int
            Of the process that the crowd connects to.

        Returns
        =======
        int
            The most descriptors that the process had open at a time.

        Raises
        ======
        CrowdFailed
        """
        most = 0
        leaving = asyncio.create_task(self._process.communicate())
        async with asyncio.timeout(_END_TIMEOUT_S):
            while not leaving.done():
                most = max(most, count_descriptors(pid))
                await asyncio.wait([leaving], timeout=_SAMPLE_INTERVAL_S)
        if self._process.returncode != 0:
            raise CrowdFailed(f"crowd ended with status {self._process.returncode}")
        return most

    async def close(self):
        """End the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class AnsweringProcess:
    """A faulty upstream or store in a process of its own.

    Parameters
    ==========
    kind : Answered
    words : str
        Further arguments of ``hemlockhoist.standins.crowds.answering``.

    Attributes
    ==========
    address : str
    """

    def __init__(self, kind, *words):
        self._words = (kind.name, *words)
        self._process = None
        self.address = ""

    async def start(self):
        """Start the process, and wait until it listens."""
        module = "hemlockhoist.standins.crowds.answering"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *self._words, stdout=asyncio.subprocess.PIPE
        )
        self.address = (await self._process.stdout.readline()).decode().strip()

    async def close(self):
        """End the process."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
