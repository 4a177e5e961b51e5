"""Starts processes of the fleet, reads their addresses and stops them by their id."""

import asyncio
import contextlib
import os
import signal
import sys

_READY_WORD = "listening"
_READY_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 5.0
_MAX_LOG_LINES = 20


class StartFailed(Exception):
    """A process exited or timed out before it was listening."""


class Process:
    """One process that runs a Python module with this interpreter.

    Parameters
    ==========
    name : str
        Name in error messages.
    arguments : sequence of str
        Arguments after ``python -m``.
    environment : mapping of str to str
        Variables added to those of this process.
    log_path : str
        File to which its standard error is appended.
    """

    __slots__ = (
        "_arguments",
        "_environment",
        "_log_path",
        "_process",
        "_reader",
        "name",
        "ready_fields",
    )

    def __init__(self, name, arguments, environment, log_path):
        self.name = name
        self.ready_fields = {}
        self._arguments = tuple(arguments)
        self._environment = dict(environment)
        self._log_path = log_path
        self._process = None
        self._reader = None

    @classmethod
    def from_config(cls, name, arguments, environment=None, log_path=os.devnull):
        """Return a process that has not been started."""
        return cls(name, arguments, environment or {}, log_path)

    @property
    def address(self):
        """``IP:port`` that it listens on; available once started."""
        return self.ready_fields["address"]

    @property
    def url(self):
        """``http://IP:port``; available once started."""
        return f"http://{self.address}"

    @property
    def pid(self):
        """The process id; available once started."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self):
        """Start the process and wait for its line ``listening key=value …``.

        Raises
        ======
        StartFailed
            If the process exits or does not listen in time; holds the last lines of
            its log.
        """
        with open(self._log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, **self._environment},
            )
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                self.ready_fields = await self._read_ready_line()
        except TimeoutError as error:
            await self.kill()
            raise StartFailed(
                f"{self.name} timed out at start\n{self.log()}"
            ) from error
        self._reader = asyncio.create_task(self._discard_output())

    async def stop(self, timeout_s=_STOP_TIMEOUT_S):
        """Send SIGTERM; return the exit status, or None if it had to be killed."""
        self.signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def kill(self):
        """Kill the process with SIGKILL, as a crash would end it."""
        self.signal(signal.SIGKILL)
        await self.wait(_STOP_TIMEOUT_S)

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait(self, timeout_s):
        """Return the exit status, or None after killing the process at the time-out."""
        status = None
        try:
            async with asyncio.timeout(timeout_s):
                status = await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        if self._reader is not None:
            await asyncio.gather(self._reader, return_exceptions=True)
        return status

    def log(self):
        """Return the last lines of the process's standard error."""
        try:
            with open(self._log_path, encoding="utf-8", errors="replace") as log:
                return "".join(log.readlines()[-_MAX_LOG_LINES:])
        except OSError:
            return ""

    async def _read_ready_line(self):
        async for raw in self._process.stdout:
            word, *pairs = raw.decode().split()
            if word == _READY_WORD:
                return dict(pair.split("=", 1) for pair in pairs)
        await self._process.wait()
        status = self._process.returncode
        raise StartFailed(f"{self.name} exited with status {status}\n{self.log()}")

    async def _discard_output(self):
        while await self._process.stdout.read(65_536):
            pass


class ProcessGroup:
    """A group of processes, stopped together in the reverse order of their start.

    Parameters
    ==========
    log_dir : str
        Folder for one log file per process; empty for no logs.
    """

    __slots__ = ("_log_dir", "_processes")

    def __init__(self, log_dir):
        self._log_dir = log_dir
        self._processes = []

    @classmethod
    def from_config(cls, log_dir=""):
        """Return an empty group."""
        return cls(log_dir)

    async def start(self, name, *arguments, environment=None):
        """Start a process and return it.

        Raises
        ======
        StartFailed
        """
        log_path = os.devnull
        if self._log_dir:
            log_path = os.path.join(self._log_dir, f"{name}.log")
        process = Process.from_config(name, arguments, environment, log_path)
        self._processes.append(process)
        await process.start()
        return process

    def find(self, name):
        """Return the newest process of that name, or None."""
        found = [item for item in self._processes if item.name == name]
        return found[-1] if found else None

    async def close(self):
        """Stop the processes that are still running."""
        for process in reversed(self._processes):
            process.signal(signal.SIGTERM)
        for process in reversed(self._processes):
            if process.running:
                await process.wait(_STOP_TIMEOUT_S)
