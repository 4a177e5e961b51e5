"""Entry hosts as processes of their own, ended and paused from outside."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

from hemlockhoist.base import MS_PER_S

START_TIMEOUT_S = 20.0
STOP_MS = 5_000
_SETTINGS = """\
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{peer_port}, {peer_port}]
seeds = []
[listen]
frontend = "{ip}:{port}"
readiness = "{ip}:{ready_port}"
registry = "{ip}:{ready_port}"
[bounds]
grace_s = {stop_s}
revoke_ms = {revocation_ms}
drain_ms = {drain_ms}
[platform]
address = "{store}"
"""


class HostProcess:
    """One entry host of the soak.

    Parameters
    ==========
    number : int
        Gives it a loopback address of its own, so that a restart finds its ports free.
    store_address : str
    folder : pathlib.Path
        For its settings and its log.
    bounds : dict
        ``revocation_ms`` and ``drain_ms``.
    """

    def __init__(self, number, store_address, folder, bounds):
        self.name = f"h{number}"
        self.ip = f"127.0.7.{number + 1}"
        self.process = None
        self.is_paused = False
        # When it was last disturbed; a started one needs a while as well.
        self.stopping = False
        ports = _free_ports(self.ip, 3)
        self.address = f"{self.ip}:{ports[0]}"
        self.ready_address = f"{self.ip}:{ports[1]}"
        self.log_path = pathlib.Path(folder, f"{self.name}.log")
        self._settings_path = pathlib.Path(folder, f"{self.name}.toml")
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=f"z{number % 2}",
            port=ports[0],
            ready_port=ports[1],
            peer_port=ports[2],
            store=store_address,
            stop_s=STOP_MS / MS_PER_S,
            **bounds,
        )
        self._settings_path.write_text(text)

    @property
    def is_running(self):
        """Whether the process is there and has not been told to stop."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Start the process; it may still be loading when this returns."""
        environment = {
            **os.environ,
            "HEMLOCKHOIST_SETTINGS": str(self._settings_path),
            "HEMLOCKHOIST_PEER_KEY": "soak",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hemlockhoist.platform",
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.is_paused = self.stopping = False

    def send(self, number):
        """Send a signal, where the process is still there."""
        if self.is_running:
            self.process.send_signal(number)

    def pause(self):
        """Freeze the process."""
        self.send(signal.SIGSTOP)
        self.is_paused = True

    def resume(self):
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)
        self.is_paused = False

    async def kill(self):
        """End the process without notice."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Stop by plan, as the platform does; return whether it ended by itself."""
        self.stopping = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_MS / MS_PER_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def close(self):
        """End the process at the end of the run."""
        if self.is_running:
            await self.kill()


def _free_ports(ip, count):
    """Return ports that are free now; another address of the loopback each host."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
