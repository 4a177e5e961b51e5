"""Faults of the links between one entry host and single replicas."""

import asyncio
import enum


class LinkMode(enum.Enum):
    """What becomes of the connections of a host that is cut off from a replica."""

    # New connections get no answer, open ones deliver nothing more.
    SILENT = "silent"
    # New connections are refused, open ones are reset.
    RESET = "reset"
    # New connections are refused, open ones live on.
    REFUSED = "refused"


class HostLinks:
    """Cuts one entry host of a ``Site`` off from replicas.

    Parameters
    ==========
    host : EntryProcess
        Must have been started.
    """

    def __init__(self, host):
        self._connector = host.context.upstreams.connector
        self._open = self._connector.open
        self._connector.open = self._open_if_linked
        self._modes = {}
        self._transports = {}

    def cut(self, replicas, mode):
        """Cut the host off from replicas until ``heal`` is called."""
        for replica in replicas:
            self._modes[replica.address] = mode
            for transport in self._transports.get(replica.address, ()):
                if mode is LinkMode.RESET:
                    transport.abort()
                elif mode is LinkMode.SILENT and not transport.is_closing():
                    transport.pause_reading()

    def heal(self):
        """Restore all links; what open connections have not delivered arrives now."""
        for address, mode in self._modes.items():
            for transport in self._transports.get(address, ()):
                if mode is LinkMode.SILENT and not transport.is_closing():
                    transport.resume_reading()
        self._modes = {}

    async def _open_if_linked(self, factory, ip, port):
        address = f"{ip}:{port}"
        mode = self._modes.get(address)
        if mode is LinkMode.SILENT:
            await asyncio.Event().wait()
        if mode is not None:
            raise ConnectionRefusedError(111, "Connection refused")
        transport, protocol = await self._open(factory, ip, port)
        self._transports.setdefault(address, []).append(transport)
        return transport, protocol
