"""What is in force on each kind of socket of a host, as the kernel reports it."""

import asyncio
import os
import pathlib
import socket
import unittest

import uvloop

from hemlockhoist.standins.published import Replica, Site, route
from hemlockhoist.standins.published.links import HostLinks, LinkMode
from hemlockhoist.upstreams.connections import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    TCP_USER_TIMEOUT_MS,
)

REPORT = route("report", "asistente", "streaming", timeout_ms=5_000)
EVENTS = 10
# Closes the connection of a peer that does not answer, sending or idle.
GUARDED = (1, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, TCP_USER_TIMEOUT_MS)
UNGUARDED = (0, None, None, 0)
_SYSCTL = pathlib.Path("/proc/sys/net/ipv4")
# The HTTP library switches probes on for what it accepts, at the kernel's intervals,
# which are hours; open requests end by their deadlines, idle connections by a timeout.
ACCEPTED = (
    1,
    int((_SYSCTL / "tcp_keepalive_time").read_text()),
    int((_SYSCTL / "tcp_keepalive_intvl").read_text()),
    0,
)


def port_of(address):
    return int(address.rpartition(":")[2])


def options(sock):
    """Return whether probes are sent, their times in seconds, and the user timeout."""
    keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    user_timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    if not keepalive:
        return (0, None, None, user_timeout_ms)
    idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    return (keepalive, idle_s, interval_s, user_timeout_ms)


def connections():
    """Yield local port, remote port and options of this process's TCP connections."""
    for name in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(name))) as sock:
                if sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM:
                    local, remote = sock.getsockname(), sock.getpeername()
                    yield local[1], remote[1], options(sock)
        except OSError:
            # Not a connected socket, or closed meanwhile.
            continue


class SocketOptionTests(unittest.TestCase):
    def test_options_are_those_that_each_kind_of_connection_relies_on(self):
        """Guards against a library that sets a timeout by which connections end."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            found = runner.run(self.find_options())
        self.assertEqual(found.pop("caller"), {ACCEPTED})
        self.assertEqual(found.pop("relay, accepted"), {ACCEPTED})
        self.assertEqual(found.pop("relay"), {GUARDED})
        self.assertEqual(found.pop("store"), {GUARDED})
        self.assertEqual(found.pop("upstream"), {UNGUARDED})
        self.assertEqual(found.pop("peer"), {UNGUARDED})
        self.assertEqual(found.pop("peer, accepted"), {UNGUARDED})
        self.assertEqual(found, {})

    async def find_options(self):
        """Return the options by kind, while a request is relayed."""
        replica = Replica("e0", events=EVENTS)
        replica.event_ms = 50
        async with Site({"asistente": [replica]}, [REPORT], 2) as site:
            HostLinks(site.hosts[0]).cut([replica], LinkMode.REFUSED)
            async with site.call("/report/1", Deadline_Ms="4000") as answer:
                await answer.content.readany()
                return self.by_kind(site, replica)

    def by_kind(self, site, replica):
        accepted, opened = {}, {port_of(replica.address): "upstream"}
        opened[port_of(site.store.address)] = "store"
        for host in site.hosts:
            accepted[port_of(host.settings.caller_address)] = "caller"
            peer_port = port_of(host.context.bus.address)
            relay_port = port_of(host.relay_server.address)
            opened |= {peer_port: "peer", relay_port: "relay"}
            accepted |= {peer_port: "peer, accepted", relay_port: "relay, accepted"}
        found = {}
        for local, remote, values in connections():
            kind = accepted.get(local) or opened.get(remote)
            if kind is not None:
                found.setdefault(kind, set()).add(values)
        return found
