"""The faults that the randomised run puts real processes through."""

import asyncio
import signal

import aiohttp

from hemlockhoist.base import Clock
from hemlockhoist.declarations import parse_declarations
from hemlockhoist.standins.operator_client import OperatorRequestFailed

MODEL = "assistant"
SERVICE = "reservations"
FREEZE_S = (0.3, 8.0)
MIN_HOSTS = 3
DRAIN_LIMIT_S = 30.0
MOVE_MS = 10_000
OPERATOR_TIMEOUT_S = 10.0


class ProcessFaults:
    """Draws faults and does them to a fleet, one at a time or several together.

    Parameters
    ==========
    fleet : Fleet
    operator : OperatorClient
    declarations_text : str
    rng : random.Random
    """

    __slots__ = (
        "_fleet",
        "_next_host",
        "_operator",
        "_rng",
        "_tasks",
        "_text",
        "counts",
        "moves",
        "version",
    )

    def __init__(self, fleet, operator, declarations_text, rng):
        self._fleet = fleet
        self._operator = operator
        self._text = declarations_text
        self._rng = rng
        self._tasks = set()
        self._next_host = len(fleet.hosts)
        self.counts = {}
        self.moves = 0
        self.version = 1

    @property
    def kinds(self):
        """The faults by name, in a fixed order."""
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
        """Begin one fault, drawn at random; long ones go on beside the next."""
        fault = self._rng.choice(self.kinds)
        name = fault.__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        task = asyncio.create_task(fault())
        self._tasks.add(task)
        await asyncio.wait([task], timeout=1.0)

    async def heal(self):
        """End all faults and wait for what they began."""
        if self._tasks:
            await asyncio.gather(*self._tasks)
        for member in self._fleet.upstreams():
            await self._fleet.set_faults(member, {"state": member["state"]})
        await self._platform({})

    def _running(self):
        return sorted(name for name, host in self._fleet.hosts.items() if host.running)

    def _spare(self):
        """Return a host that the fleet can do without, or None."""
        names = self._running()
        return self._rng.choice(names) if len(names) > MIN_HOSTS else None

    async def _new_host(self):
        self._next_host += 1
        await self._fleet.add_host(f"host-{self._next_host}")
        await self._fleet.publish()

    async def kill_host(self):
        """Kill a host; another one starts elsewhere."""
        name = self._spare()
        if name is not None:
            await self._fleet.kill_host(name)
            await self._new_host()

    async def restart_host_at_its_address(self):
        """Kill a host; its next run starts at the same addresses."""
        name = self._spare()
        if name is not None:
            await self._fleet.restart_host(name)

    async def freeze_host(self):
        """Stop a host's process for a while."""
        names = self._running()
        await self._freeze(self._rng.choice(names))

    async def freeze_two_hosts(self):
        """Stop two hosts' processes at once."""
        await asyncio.gather(*(self._freeze(n) for n in self._running()[:2]))

    async def _freeze(self, name):
        host = self._fleet.hosts[name]
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*FREEZE_S))
        host.signal(signal.SIGCONT)

    async def stop_host(self):
        """Replace a host by a planned stop."""
        name = self._spare()
        if name is None:
            return
        await self._new_host()
        status = await self._fleet.stop_host(name, DRAIN_LIMIT_S)
        if status != 0:
            raise AssertionError(f"{name} did not stop gracefully: {status}")

    async def _upstream(self, pool, faults):
        members = [m for m in self._fleet.upstreams(pool) if m["state"] == "live"]
        await self._fleet.set_faults(self._rng.choice(members), faults)

    async def break_streams(self):
        """Let an engine's next streams break; generation goes on."""
        pieces = self._rng.randint(0, 8)
        await self._upstream(MODEL, {"break_streams": 3, "break_after_pieces": pieces})

    async def shift_resumes(self):
        """Let resumed streams begin too early or too late."""
        shift = self._rng.choice((-2, -1, 1, 2))
        faults = {
            "break_streams": 2,
            "break_after_pieces": 4,
            "shift_resumes": 2,
            "resume_shift": shift,
        }
        await self._upstream(MODEL, faults)

    async def cross_streams(self):
        """Let an engine answer with another request's pieces."""
        piece = self._rng.randint(0, 3)
        await self._upstream(MODEL, {"cross_streams": 1, "cross_at_piece": piece})

    async def slow_engine(self):
        """Make an engine ten times slower."""
        await self._upstream(MODEL, {"slowdown_permille": 10_000})

    async def refuse_connections(self):
        """Let an upstream refuse connections for two seconds."""
        pool = self._rng.choice((MODEL, SERVICE))
        await self._upstream(pool, {"refuse_ms": 2_000})

    async def drop_calls_after_running(self):
        """Let a service lose its answers after running."""
        await self._upstream(SERVICE, {"drop_after": 2})

    async def drop_calls_before_running(self):
        """Let a service lose calls without running them."""
        await self._upstream(SERVICE, {"drop_before": 2})

    async def fail_calls(self):
        """Let a service answer 500, without and after running."""
        await self._upstream(SERVICE, {"fail_before": 1, "fail_after": 1})

    async def bad_requests(self):
        """Send every host what it has to refuse; nothing of it may run."""
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
            await asyncio.gather(*(self._post(address, *call) for call in calls))

    async def _post(self, address, path, headers, body):
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                async with self._fleet.session.post(
                    f"http://{address}{path}", headers=headers, data=body
                ) as response:
                    ran = response.headers.get("X-Request-Ran")
        except (aiohttp.ClientError, TimeoutError):
            return
        if response.status < 400 or ran != "not run":
            raise AssertionError(f"{path} was answered {response.status}, {ran}")

    async def _platform(self, faults):
        url = self._fleet.platform.url + "/-/faults"
        async with self._fleet.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def _platform_for_a_while(self, faults):
        await self._platform(faults)
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        await self._platform({})

    async def platform_outage(self):
        """Cut the platform off for a while."""
        await self._platform_for_a_while({"unreachable": True})

    async def platform_slow(self):
        """Make the platform slow for a while."""
        await self._platform_for_a_while({"delay_ms": 700})

    async def lose_store_answers(self):
        """Lose the answers of the next writes."""
        await self._platform({"lose_answers": 3})

    async def host_list_empty(self):
        """Empty the platform's list for a while."""
        await self._platform_for_a_while({"hosts_empty": True})

    async def host_list_stale(self):
        """Let the platform's list stand still for a while."""
        await self._platform_for_a_while({"hosts_stale": True})

    async def change_configuration(self):
        """Change the declarations."""
        await self._apply("operator-a")

    async def race_configurations(self):
        """Let two operators change the declarations at once."""
        await asyncio.gather(self._apply("operator-a"), self._apply("operator-b"))

    async def _apply(self, author):
        """Apply a change; a conflict or an outage is the operator's to try again."""
        share = self._rng.randint(11, 45)
        text = self._text.replace(
            "first_share_permille: 10", f"first_share_permille: {share}"
        )
        declarations = parse_declarations(text.encode())
        version = await _try(self._operator.apply(declarations, self.version, author))
        if version is not None:
            self.version = max(self.version, version)

    async def move_version(self):
        """Order a move to the new version; a refusal is an answer too."""
        unix_ms = Clock.from_running_loop().unix_ms()
        order = {
            "pool": MODEL,
            "from_version": "v1",
            "to_version": "v2",
            "moved_by_unix_ms": unix_ms + MOVE_MS,
            "reason": "randomised run",
            "author": "operator-a",
        }
        if await _try(self._operator.start_move(order)) is not None:
            self.moves += 1

    async def replace_upstream(self):
        """Start a service's upstream, and let another leave."""
        members = self._fleet.upstreams(SERVICE)
        live = [member for member in members if member["state"] == "live"]
        if len(live) < 2:
            return
        await self._fleet.add_services(1, SERVICE, "v1")
        await self._fleet.mark_upstream_leaving(self._rng.choice(live))


async def _try(call):
    """Return what an operator's call gave, or None where it failed or timed out."""
    try:
        async with asyncio.timeout(OPERATOR_TIMEOUT_S):
            return await call
    except (OperatorRequestFailed, aiohttp.ClientError, TimeoutError):
        return None
