"""Faults that the randomised soak test injects into real processes."""

import asyncio
import contextlib
import signal

import aiohttp

from hemlockhoist.base import MS_PER_S, Clock
from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.link_faults import MODEL, SERVICE, LinkFaults
from hemlockhoist.standins.operator_client import OperatorRequestFailed
from hemlockhoist.standins.versions_in_force import VersionsInForce

FREEZE_DURATION_S = (0.3, 8.0)
MIN_HOSTS = 3
DRAIN_TIMEOUT_S = 30.0
MOVE_DURATION_MS = 10_000
OPERATOR_TIMEOUT_S = 10.0
REFUSE_MS = 2_000
# Time of an answer of a slow platform: up to more than a call is waited for at first.
SLOW_ANSWERS_MS = (700, 1_300, 1_700)
# A busy machine delays the moment at which an upstream listens again.
LISTEN_TIMEOUT_S = 10.0
LISTEN_CHECK_S = 0.05


class FaultNotSet(Exception):
    """An upstream did not accept the faults that it was to have."""


class ProcessFaults(LinkFaults):
    """Injects randomly drawn faults into a fleet; several may be active at once.

    Parameters
    ==========
    fleet : Fleet
    operator : OperatorClient
    declarations_text : str
    rng : random.Random
    link_rng : random.Random, optional
        Of the faults of links and the silences, so that they change no other draw.

    Attributes
    ==========
    events : list of str
        What was injected, with the time since the first fault in seconds.
    in_force : VersionsInForce
        Whether the accepted declarations are in force in time.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_lasting_faults",
        "_link_faults",
        "_link_rng",
        "_next_host",
        "_operator",
        "_refusing",
        "_rng",
        "_started_ms",
        "_tasks",
        "_text",
        "counts",
        "events",
        "in_force",
        "moves",
        "version",
    )

    def __init__(self, fleet, operator, declarations_text, rng, link_rng=None):
        self._link_rng = link_rng
        self._link_faults = None
        # By pool, what stays in force beside each upstream's other faults.
        self._lasting_faults = {}
        self._fleet = fleet
        self._operator = operator
        self._text = declarations_text
        self._rng = rng
        self._clock = Clock.from_running_loop()
        self._started_ms = self._clock.now_ms()
        self._tasks = set()
        # For each upstream that refuses connections, an event set when it listens again.
        self._refusing = {}
        self._next_host = len(fleet.hosts)
        self.counts = {}
        self.events = []
        self.moves = 0
        self.version = 1
        self.in_force = VersionsInForce(fleet, operator)

    @property
    def kinds(self):
        """The methods that inject one fault each, in a fixed order."""
        return (
            self.kill_host,
            self.restart_host_at_its_address,
            self.freeze_host,
            self.freeze_two_hosts,
            self.stop_host,
            self.break_streams,
            self.shift_resumes,
            self.cross_streams,
            self.slow_engine,
            self.refuse_connections,
            self.drop_calls_after_running,
            self.drop_calls_before_running,
            self.fail_calls,
            self.platform_outage,
            self.platform_slow,
            self.lose_store_answers,
            self.host_list_empty,
            self.host_list_stale,
            self.change_configuration,
            self.race_configurations,
            self.move_version,
            self.replace_upstream,
            self.bad_requests,
        )

    async def step(self):
        """Start a random fault; one longer than 1 s overlaps with the next."""
        fault = self._rng.choice(self.kinds)
        name = fault.__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._record(name)
        task = asyncio.create_task(fault())
        self._tasks.add(task)
        await asyncio.wait([task], timeout=1.0)

    def _record(self, text):
        elapsed_s = (self._clock.now_ms() - self._started_ms) / MS_PER_S
        self.events.append(f"{elapsed_s:.3f} {text}")

    async def _set_faults(self, member, faults):
        listening = self._refusing.get(member["id"])
        if listening is not None:
            await listening.wait()
        self._record(f"{member['id']} {faults}")
        faults = {**self._lasting_faults.get(member["pool"], {}), **faults}
        until_s = self._clock.now_ms() / MS_PER_S + LISTEN_TIMEOUT_S
        while True:
            try:
                return await self._fleet.set_faults(member, faults)
            except aiohttp.ClientError as error:
                process = self._fleet.process(member["id"])
                # An engine that crashed on a prompt is back after some seconds.
                is_back_soon = process.running and "crash_text" in faults
                if is_back_soon and self._clock.now_ms() / MS_PER_S < until_s:
                    await asyncio.sleep(LISTEN_CHECK_S)
                    continue
                state = "running" if process.running else "ended"
                text = f"{member['id']} ({state}, pid {process.pid}) {faults}"
                self._record(f"not set: {text}: {error!r}")
                raise FaultNotSet(f"{text}: {error!r}") from error

    async def set_lasting_faults(self, pool, faults):
        """Set faults of all upstreams of a pool that its other faults don't replace."""
        self._lasting_faults[pool] = faults
        for member in self._fleet.upstreams(pool):
            # It may refuse connections on command, and has the faults from the next on.
            with contextlib.suppress(FaultNotSet):
                await self._set_faults(member, {"state": member["state"]})

    async def heal(self):
        """Wait for the faults that are in progress, then clear all faults."""
        await self._stop_link_faults()
        if self._tasks:
            await asyncio.gather(*self._tasks)
        for member in self._fleet.upstreams():
            await self._set_faults(member, {"state": member["state"]})
        await self._set_platform_faults({})

    def _running_hosts(self):
        return sorted(name for name, host in self._fleet.hosts.items() if host.running)

    def _pick_expendable_host(self):
        """Return a running host, or None if only ``MIN_HOSTS`` are running."""
        names = self._running_hosts()
        return self._rng.choice(names) if len(names) > MIN_HOSTS else None

    async def _start_new_host(self):
        self._next_host += 1
        await self._fleet.add_host(f"host-{self._next_host}")
        await self._fleet.publish()

    async def kill_host(self):
        """Kill a host and start a new one at other addresses."""
        name = self._pick_expendable_host()
        if name is not None:
            await self._fleet.kill_host(name)
            await self._start_new_host()

    async def restart_host_at_its_address(self):
        """Kill a host and restart it at the same addresses."""
        name = self._pick_expendable_host()
        if name is not None:
            await self._fleet.restart_host(name)

    async def freeze_host(self):
        """Suspend a host's process (SIGSTOP) for a random time."""
        names = self._running_hosts()
        await self._freeze(self._rng.choice(names))

    async def freeze_two_hosts(self):
        """Suspend the processes of two hosts at the same time."""
        await asyncio.gather(*(self._freeze(n) for n in self._running_hosts()[:2]))

    async def _freeze(self, name):
        host = self._fleet.hosts[name]
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*FREEZE_DURATION_S))
        host.signal(signal.SIGCONT)

    async def stop_host(self):
        """Start a new host and stop another one gracefully."""
        name = self._pick_expendable_host()
        if name is None:
            return
        await self._start_new_host()
        status = await self._fleet.stop_host(name, DRAIN_TIMEOUT_S)
        if status != 0:
            raise AssertionError(f"{name} did not stop gracefully: {status}")

    def _pick_upstream(self, pool):
        members = [m for m in self._fleet.upstreams(pool) if m["state"] == "live"]
        return self._rng.choice(members)

    async def _set_upstream_faults(self, pool, faults):
        await self._set_faults(self._pick_upstream(pool), faults)

    async def break_streams(self):
        """Break the next streams of an engine, which continues to generate."""
        pieces = self._rng.randint(0, 8)
        await self._set_upstream_faults(
            MODEL, {"break_streams": 3, "break_after_pieces": pieces}
        )

    async def shift_resumes(self):
        """Make resumed streams begin at too early or too late a piece."""
        shift = self._rng.choice((-2, -1, 1, 2))
        faults = {
            "break_streams": 2,
            "break_after_pieces": 4,
            "shift_resumes": 2,
            "resume_shift": shift,
        }
        await self._set_upstream_faults(MODEL, faults)

    async def cross_streams(self):
        """Make an engine answer with the pieces of another request."""
        piece = self._rng.randint(0, 3)
        await self._set_upstream_faults(
            MODEL, {"cross_streams": 1, "cross_at_piece": piece}
        )

    async def slow_engine(self):
        """Make an engine ten times slower."""
        await self._set_upstream_faults(MODEL, {"slowdown_permille": 10_000})

    async def refuse_connections(self):
        """Make an upstream refuse connections for two seconds."""
        pool = self._rng.choice((MODEL, SERVICE))
        member = self._pick_upstream(pool)
        await self._set_faults(member, {"refuse_ms": REFUSE_MS})
        self._refusing[member["id"]] = listening = asyncio.Event()
        try:
            await asyncio.sleep(REFUSE_MS / MS_PER_S)
            await self._wait_listening(member)
        finally:
            del self._refusing[member["id"]]
            listening.set()

    async def _wait_listening(self, member):
        """Wait until an upstream accepts connections again, as it must."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LISTEN_TIMEOUT_S
        while True:
            try:
                await self._fleet.run_counts(member)
            except aiohttp.ClientError as error:
                if loop.time() >= end_s:
                    text = f"{member['id']} still refuses connections: {error!r}"
                    raise FaultNotSet(text) from error
                await asyncio.sleep(LISTEN_CHECK_S)
            else:
                return

    async def drop_calls_after_running(self):
        """Make a service drop the connection of calls after running them."""
        await self._set_upstream_faults(SERVICE, {"drop_after": 2})

    async def drop_calls_before_running(self):
        """Make a service drop the connection of calls before running them."""
        await self._set_upstream_faults(SERVICE, {"drop_before": 2})

    async def fail_calls(self):
        """Make a service answer 500 to one call before, and one after, running it."""
        await self._set_upstream_faults(SERVICE, {"fail_before": 1, "fail_after": 1})

    async def bad_requests(self):
        """Send every host invalid requests, which it must refuse as not run."""
        key = {"Authorization": "Bearer demo-key-large"}
        chat = "/v1/chat/completions"
        calls = (
            (chat, {}, b'{"model": "assistant"}'),
            (chat, key, b"\xff not json"),
            (chat, key, b'{"model": "none", "messages": [{"role": "user"}]}'),
            (f"/services/{SERVICE}/bookings", key, b"{}"),
            ("/services/none/x", key, b""),
            ("/nothing", key, b""),
        )
        for address in self._fleet.host_addresses():
            await asyncio.gather(
                *(self._check_refused(address, *call) for call in calls)
            )

    async def _check_refused(self, address, path, headers, body):
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                async with self._fleet.session.post(
                    f"http://{address}{path}", headers=headers, data=body
                ) as response:
                    ran = response.headers.get("X-Request-Ran")
        except (aiohttp.ClientError, TimeoutError):
            return
        if response.status < 400 or ran != "not run":
            raise AssertionError(
                f"{path}: invalid request got status {response.status}, {ran}"
            )

    async def _set_platform_faults(self, faults):
        url = self._fleet.platform.url + "/-/faults"
        async with self._fleet.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def _set_temporary_platform_faults(self, faults):
        await self._set_platform_faults(faults)
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        await self._set_platform_faults({})

    async def platform_outage(self):
        """Make the platform unreachable for a few seconds."""
        await self._set_temporary_platform_faults({"unreachable": True})

    async def platform_slow(self):
        """Make the platform slow for a few seconds, while the declarations change."""
        delay_ms = self._rng.choice(SLOW_ANSWERS_MS)
        await asyncio.gather(
            self._set_temporary_platform_faults({"delay_ms": delay_ms}),
            self._apply("operator-a", self._rng),
        )

    async def lose_store_answers(self):
        """Make the table service lose its answers to the next writes."""
        await self._set_platform_faults({"lose_answers": 3})

    async def host_list_empty(self):
        """Make the platform return an empty host list for a few seconds."""
        await self._set_temporary_platform_faults({"hosts_empty": True})

    async def host_list_stale(self):
        """Make the platform return an outdated host list for a few seconds."""
        await self._set_temporary_platform_faults({"hosts_stale": True})

    async def change_configuration(self):
        """Apply changed declarations."""
        await self._apply("operator-a", self._rng)

    async def race_configurations(self):
        """Apply changed declarations as two operators concurrently."""
        await asyncio.gather(
            self._apply("operator-a", self._rng), self._apply("operator-b", self._rng)
        )

    async def _apply(self, author, rng):
        """Apply a random change; it is not retried after a conflict or an outage."""
        share = rng.randint(11, 45)
        text = self._text.replace(
            "first_share_permille: 10", f"first_share_permille: {share}"
        )
        declarations = parse_declarations(text.encode())
        version = await _call_or_none(
            self._operator.apply(declarations, self.version, author)
        )
        if version is not None:
            self.version = max(self.version, version)
            self.in_force.follow(version)

    async def move_version(self):
        """Start a move to the new version; a refusal is a valid answer too."""
        unix_ms = Clock.from_running_loop().unix_ms()
        order = {
            "pool": MODEL,
            "from_version": "v1",
            "to_version": "v2",
            "moved_by_unix_ms": unix_ms + MOVE_DURATION_MS,
            "reason": "randomised run",
            "author": "operator-a",
        }
        if await _call_or_none(self._operator.start_move(order)) is not None:
            self.moves += 1

    async def replace_upstream(self):
        """Start a new upstream of the service and make another one leave."""
        members = self._fleet.upstreams(SERVICE)
        live = [member for member in members if member["state"] == "live"]
        if len(live) < 2:
            return
        await self._fleet.add_services(1, SERVICE, "v1")
        await self._fleet.mark_upstream_leaving(self._rng.choice(live))


async def _call_or_none(call):
    """Return the result of an operator's call, or None if it failed or timed out."""
    try:
        async with asyncio.timeout(OPERATOR_TIMEOUT_S):
            return await call
    except (OperatorRequestFailed, aiohttp.ClientError, TimeoutError):
        return None
