"""Runs a small fleet of real processes on loopback: platform, upstreams and hosts."""

import asyncio
import itertools

import aiohttp
import msgspec

from hemlockhoist.standins.launcher import ProcessGroup

_STANDINS = "hemlockhoist.standins."
_HOST_MODULE = "hemlockhoist.host"
_MS_PER_S = 1000
# Short intervals, so that a demo of seconds shows what takes half a minute in
# production.
_HOST_SETTINGS = {
    "HEMLOCKHOIST_LISTEN_ADDRESS": "127.0.0.1:0",
    "HEMLOCKHOIST_PEER_LISTEN_ADDRESS": "127.0.0.1:0",
    "HEMLOCKHOIST_HOST_LIST_POLL_MS": "200",
    "HEMLOCKHOIST_CONFIG_POLL_MS": "500",
    "HEMLOCKHOIST_ADDRESS_TTL_MS": "1000",
    "HEMLOCKHOIST_LOAD_POLL_MS": "200",
}
_CLOSE_TIMEOUT_S = 10.0
_LEAVING = "leaving"


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Size and settings of a fleet.

    Parameters
    ==========
    hosts : int
    failure_domains : tuple of str
        Hosts and upstreams are distributed over them.
    peer_key, operator_key : str
    hosts_lag_ms : int
        Delay of the platform's host list.
    log_dir : str
        Folder for the processes' logs; empty for no logs.
    host_settings : dict
        Additional environment variables for the hosts.
    has_own_addresses : bool
        Whether each host connects from an IP address of its own, by which upstreams can
        tell it.
    """

    hosts: int = 4
    failure_domains: tuple[str, ...] = ("domain-a", "domain-b", "domain-c")
    peer_key: str = "demo-peer-key-0123456789"
    operator_key: str = "demo-operator-key-0123456789"
    hosts_lag_ms: int = 500
    log_dir: str = ""
    host_settings: dict[str, str] = {}
    has_own_addresses: bool = False


class Fleet:
    """Starts the processes, updates the platform's host list and reads run counts.

    Parameters
    ==========
    config : FleetConfig
    group : hemlockhoist.standins.launcher.ProcessGroup
    """

    __slots__ = (
        "_config",
        "_group",
        "_members",
        "_numbers",
        "hosts",
        "platform",
        "session",
    )

    def __init__(self, config, group):
        self._config = config
        self._group = group
        self._members = {}
        self._numbers = itertools.count(1)
        self.hosts = {}
        self.platform = None
        self.session = None

    @classmethod
    def from_config(cls, config):
        """Return a fleet without processes."""
        return cls(config, ProcessGroup.from_config(config.log_dir))

    async def start_session(self):
        """Open the HTTP session for host lists, run counts and operator requests."""
        self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())

    async def start(self):
        """Start the platform's stand-in; the session must be open."""
        lag = ("--hosts-lag-ms", str(self._config.hosts_lag_ms))
        self.platform = await self._group.start(
            "platform", _STANDINS + "platform", *lag
        )

    async def close(self):
        """Stop all processes, each one before those it depends on."""
        hosts = [host for host in self.hosts.values() if host.running]
        await asyncio.gather(*(host.stop(_CLOSE_TIMEOUT_S) for host in hosts))
        await self._group.close()
        if self.session is not None:
            await self.session.close()

    async def add_engines(self, count, pool, version, generation="g4"):
        """Start model engines; the next ``publish`` lists them."""
        options = ("--version", version, "--generation", generation)
        await self._add_upstreams("engine", count, pool, version, options, generation)

    async def add_services(self, count, pool, version, work_ms=5):
        """Start plain services; the next ``publish`` lists them."""
        options = ("--version", version, "--work-ms", str(work_ms))
        await self._add_upstreams("service", count, pool, version, options, "")

    async def add_hosts(self):
        """Start the entry hosts concurrently; the next ``publish`` lists them."""
        names = [f"host-{i + 1}" for i in range(self._config.hosts)]
        await asyncio.gather(*(self.add_host(name) for name in names))

    async def restart_host(self, name):
        """Kill a host and start it again at the same addresses."""
        member = self._members[name]
        addresses = {
            "HEMLOCKHOIST_LISTEN_ADDRESS": member["address"],
            "HEMLOCKHOIST_PEER_LISTEN_ADDRESS": member["peer_address"],
        }
        await self.hosts[name].kill()
        await self.add_host(name, addresses)

    async def add_host(self, name, addresses=None):
        """Start one entry host, at the given addresses or at unused ones."""
        domain = self._domain_for(int(name.rpartition("-")[2]))
        environment = {
            **_HOST_SETTINGS,
            "HEMLOCKHOIST_HOST_ID": name,
            "HEMLOCKHOIST_FAILURE_DOMAIN": domain,
            "HEMLOCKHOIST_PLATFORM_ADDRESS": self.platform.address,
            "HEMLOCKHOIST_PEER_KEY": self._config.peer_key,
            "HEMLOCKHOIST_OPERATOR_KEY": self._config.operator_key,
            **self._config.host_settings,
            **(addresses or {}),
        }
        arguments = (_HOST_MODULE,)
        if self._config.has_own_addresses:
            arguments = (_STANDINS + "own_address", self.host_ip(name), _HOST_MODULE)
        process = await self._group.start(name, *arguments, environment=environment)
        self.hosts[name] = process
        self._members[name] = {
            "id": name,
            "kind": "entry",
            "address": process.address,
            "peer_address": process.ready_fields["peer_address"],
            "failure_domain": domain,
            "state": "live",
        }

    def host_ip(self, name):
        """Return the address that a host connects from, if it has its own."""
        return f"127.0.8.{int(name.rpartition('-')[2]) % 250 + 1}"

    async def publish(self):
        """Send the host list to the platform, which shows it after its delay."""
        body = {"members": list(self._members.values())}
        async with self.session.put(
            self.platform.url + "/-/hosts", json=body
        ) as response:
            response.raise_for_status()

    def upstreams(self, pool=None, version=None):
        """Return the listed upstreams, optionally of one pool and version."""
        return [
            member
            for member in self._members.values()
            if member["kind"] == "upstream"
            and pool in (None, member["pool"])
            and version in (None, member["version"])
        ]

    def process(self, name):
        """Return the newest process of that name, or None."""
        return self._group.find(name)

    def host_addresses(self):
        """Return the caller addresses of the running hosts."""
        return tuple(item.address for item in self.hosts.values() if item.running)

    async def kill_host(self, name):
        """Kill a host as a crash would; the host list drops it after its delay."""
        await self.hosts[name].kill()
        del self._members[name]
        await self.publish()

    async def stop_host(self, name, timeout_s):
        """Stop a host gracefully; return its exit status, or None after a time-out."""
        self._members[name]["state"] = _LEAVING
        await self.publish()
        status = await self.hosts[name].stop(timeout_s)
        del self._members[name]
        await self.publish()
        return status

    async def mark_upstream_leaving(self, member):
        """Make an upstream report that it leaves; the list shows it after its delay."""
        member["state"] = _LEAVING
        await self.set_faults(member, {"state": _LEAVING})
        await self.publish()

    async def set_faults(self, member, faults):
        """Replace an upstream's faults."""
        url = f"http://{member['address']}/-/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def reject_at_platform(self, rejections):
        """Let the platform reject hosts with addresses of their own.

        Parameters
        ==========
        rejections : dict of str to Rejection
            By name of a host; replaces the earlier ones.
        """
        body = {self.host_ip(name): item.value for name, item in rejections.items()}
        url = self.platform.url + "/-/rejections"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def cut_links(self, member, host_names, duration_ms, is_open_cut):
        """Cut hosts with addresses of their own off from an upstream, for a time."""
        body = {
            "ips": [self.host_ip(name) for name in host_names],
            "duration_ms": duration_ms,
            "is_open_cut": is_open_cut,
        }
        url = f"http://{member['address']}/-/links"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def run_counts(self, member):
        """Return the run counts of an upstream."""
        url = f"http://{member['address']}/-/runs"
        async with self.session.get(url) as response:
            return await response.json()

    async def _add_upstreams(self, kind, count, *arguments):
        await asyncio.gather(
            *(self._add_upstream(kind, *arguments) for _ in range(count))
        )

    async def _add_upstream(self, kind, pool, version, options, generation):
        number = next(self._numbers)
        name = f"{kind}-{number}"
        process = await self._group.start(name, _STANDINS + kind, *options)
        self._members[name] = {
            "id": name,
            "kind": "upstream",
            "address": process.address,
            "failure_domain": self._domain_for(number),
            "state": "live",
            "pool": pool,
            "version": version,
            "generation": generation,
            "checks_fencing": kind == "engine",
        }

    def _domain_for(self, number):
        domains = self._config.failure_domains
        return domains[number % len(domains)]
