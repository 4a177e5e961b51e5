"""Entry hosts as separate processes, controlled by signals."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys

from hemlockhoist.base import MS_PER_S

START_TIMEOUT_S = 20.0
STOP_MS = 5_000
PEER_KEY = "soak"
_SETTINGS = """\
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{peer_port}, {relay_port}]
seeds = []
[listen]
frontend = "{ip}:{port}"
readiness = "{ip}:{ready_port}"
registry = "{ip}:{directory_port}"
control_plane = "{ip}:{operator_port}"
[bounds]
grace_s = {stop_s}
revoke_ms = {revocation_ms}
retry_budget_ratio = {retry_ratio}
retry_allowance = {retry_allowance}
budget_window_s = {retry_window_s}
drain_ms = {drain_ms}
[limits]
file_descriptors = {descriptors}
memory_mb = {memory_mb}
[platform]
address = "{store}"
"""
# With two thirds of a crowd of callers more, a host has no room.
DESCRIPTORS = 460


class HostProcess:
    """An entry host process of the soak test.

    Parameters
    ==========
    number : int
        Number of its own loopback address, so that its ports are free at a restart.
    store_address : str
    folder : pathlib.Path
        Folder for its settings and its log.
    bounds : dict
        ``revocation_ms``, ``drain_ms``, ``retry_ratio``, ``retry_allowance`` and
        ``retry_window_s``.
    variables : dict of str to str, optional
        Environment variables that turn on features.
    descriptors, memory_mb : int, optional
        Limits of its machine in its settings; 0 for none.
    stop_ms : int, optional
        The grace of its planned stops.
    """

    def __init__(
        self,
        number,
        store_address,
        folder,
        bounds,
        variables=None,
        descriptors=DESCRIPTORS,
        memory_mb=0,
        stop_ms=STOP_MS,
    ):
        self._variables = variables or {}
        self._stop_ms = stop_ms
        self.name = f"h{number}"
        self.ip = f"{_loopback_network()}.{number + 1}"
        self.failure_domain = f"z{number % 2}"
        self.process = None
        self.is_paused = False
        # Whether the process was killed or told to stop, and not started again since.
        self.is_stopping = False
        ports = _free_ports(self.ip, 4)
        peer_port = _free_adjacent_ports(self.ip)
        self.address = f"{self.ip}:{ports[0]}"
        self.ready_address = f"{self.ip}:{ports[1]}"
        self.directory_address = f"{self.ip}:{ports[2]}"
        self.operator_address = f"{self.ip}:{ports[3]}"
        self.peer_address = f"{self.ip}:{peer_port}"
        self.relay_address = f"{self.ip}:{peer_port + 1}"
        self.log_path = pathlib.Path(folder, f"{self.name}.log")
        self._settings_path = pathlib.Path(folder, f"{self.name}.toml")
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.failure_domain,
            port=ports[0],
            ready_port=ports[1],
            directory_port=ports[2],
            operator_port=ports[3],
            peer_port=peer_port,
            relay_port=peer_port + 1,
            store=store_address,
            stop_s=stop_ms / MS_PER_S,
            descriptors=descriptors,
            memory_mb=memory_mb,
            **bounds,
        )
        self._settings_path.write_text(text)

    async def is_ready(self):
        """Return whether its readiness check says that it serves requests."""
        ip, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.0\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def log_lines(self, *texts):
        """Return the lines of its log that contain any of the texts."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(text in line for text in texts)]

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Start the process, without waiting until it is ready."""
        environment = {
            **os.environ,
            "HEMLOCKHOIST_SETTINGS": str(self._settings_path),
            "HEMLOCKHOIST_PEER_KEY": PEER_KEY,
            **self._variables,
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hemlockhoist.standins.own_address",
                self.ip,
                "hemlockhoist.platform",
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.is_paused = self.is_stopping = False

    def send(self, number):
        """Send a signal, if the process is running."""
        if self.is_running:
            self.process.send_signal(number)

    def pause(self):
        """Suspend the process."""
        self.send(signal.SIGSTOP)
        self.is_paused = True

    def resume(self):
        """Resume the suspended process."""
        self.send(signal.SIGCONT)
        self.is_paused = False

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Stop as the platform does; return whether the process ended by itself."""
        self.is_stopping = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._stop_ms / MS_PER_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def close(self):
        """Kill the process if it is still running."""
        if self.is_running:
            await self.kill()


def _loopback_network():
    """Return the first three numbers of the addresses that only this run uses."""
    pid = os.getpid()
    return f"127.{1 + pid // 256 % 254}.{pid % 256}"


def _free_ports(ip, count):
    """Return ports that are free now on a loopback address that only one host uses."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def _free_adjacent_ports(ip):
    """Return a port that is free now, like the next one."""
    while True:
        (port,) = _free_ports(ip, 1)
        with contextlib.suppress(OSError, OverflowError):
            socket.create_server((ip, port + 1)).close()
            return port
