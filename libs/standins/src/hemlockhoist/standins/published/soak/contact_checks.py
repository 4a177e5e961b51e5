"""Check that hosts which say that they are ready take new callers."""

import asyncio

import msgspec

from hemlockhoist.standins.published.soak.callers import now_s

# Within this time a host that says ready takes a new caller.
CONTACT_S = 4.0
PROBE_GAP_S = 0.25
ANSWER_TIMEOUT_S = 1.0
_REQUEST = b"GET /nowhere HTTP/1.1\r\nHost: halls.example\r\nConnection: close\r\n\r\n"


class ContactProbe(msgspec.Struct, frozen=True):
    """What a host said of itself at a moment, and what a new caller found.

    Parameters
    ==========
    at_s : float
    is_ready, is_answered : bool
    """

    at_s: float
    is_ready: bool
    is_answered: bool


class ContactProbes:
    """Probes all hosts of a run from outside, until it is closed.

    Parameters
    ==========
    hosts : list of HostProcess

    Attributes
    ==========
    probes : dict of str to list of ContactProbe
        By the host's address.
    """

    def __init__(self, hosts):
        self._hosts = hosts
        self._tasks = []
        self.probes = {host.address: [] for host in hosts}

    async def start(self):
        """Start probing."""
        self._tasks = [asyncio.create_task(self._probe(host)) for host in self._hosts]

    async def close(self):
        """Stop probing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _probe(self, host):
        while True:
            begin_s = now_s()
            is_ready = await host.is_ready()
            is_answered = await _is_answered(host.address)
            probe = ContactProbe(begin_s, is_ready, is_answered)
            self.probes[host.address].append(probe)
            await asyncio.sleep(PROBE_GAP_S)


async def _is_answered(address):
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(_REQUEST)
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return line.startswith(b"HTTP/1.1 ")


def find_contact_violations(probes, outages):
    """Return the spans in which a host said ready and took no new caller.

    Parameters
    ==========
    probes : dict of str to list of ContactProbe
    outages : list of (str, float, float)
        Host, begin and end of each time in which it did not run normally.

    Returns
    =======
    (list of str, int)
        The violations, and the number of probes.
    """
    violations = []
    for host, found in probes.items():
        begin_s = None
        for probe in found:
            is_out = any(
                name == host and start_s - CONTACT_S <= probe.at_s <= end_s + CONTACT_S
                for name, start_s, end_s in outages
            )
            if is_out or probe.is_answered or not probe.is_ready:
                begin_s = None
                continue
            begin_s = probe.at_s if begin_s is None else begin_s
            if probe.at_s - begin_s >= CONTACT_S:
                violations.append(f"{host} said ready and took no caller for 4 s")
                break
    return violations, sum(map(len, probes.values()))
