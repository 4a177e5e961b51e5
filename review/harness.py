"""Stand-ins and processes for the review scripts: hosts, replicas, callers, records.

The hosts are the project's own program, started with the command of the deploy file.
The store is the project's stand-in of the published protocol. Replicas and callers are
small ones of this module. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "halls.example"
KEY = "key-of-aulas"

_SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane", "registry"]
ip = "{ip}"
zone = "{zone}"
region = "north"
internal_ports = [{peers}, {peers_end}]
seeds = ["{seed}:{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "quota", "rollout", "platform"]
[zones]
a = "north"
b = "north"
c = "north"
d = "north"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
registry = "{ip}:{registry}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machine_count = 1
zones = 0
region_count = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
partition_bound_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_allowance = {retry_allowance}
quota_window_s = 8
quota_overshoot = 0.1
quota_tolerance = {quota_tolerance}
exposure_share = 0.1
exposure_tolerance = 50
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
cross_partition = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"""


def trouble():
    """Return whether the script is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run, written to a file line by line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the run began."""
        return time.monotonic() - self._begin_s

    def add(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write one line, and print it."""
        self.add(text)
        print(text, flush=True)


class Ports:
    """Ports of a deployment, the same on all its addresses and free on each of them."""

    FIRST, LAST = 20_000, 30_000
    # Callers, readiness, control, directory; then the range between hosts.
    COUNT = 20

    def __init__(self, base):
        self.frontend, self.readiness = base, base + 1
        self.control, self.registry = base + 2, base + 3
        self.peers, self.peers_end = base + 4, base + self.COUNT - 1

    @classmethod
    def find(cls, addresses):
        """Return ports that are free now on all addresses."""
        for _ in range(200):
            base = random.randrange(cls.FIRST, cls.LAST)
            if all(
                _is_free(ip, base + n) for ip in addresses for n in range(cls.COUNT)
            ):
                return cls(base)
        raise OSError("no free ports")


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Host:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, number, network, ports, store, folder, record, **settings):
        self.number = number
        self.name = f"edge-{number}"
        self.ip = f"{network}.{number + 1}"
        self.address = (self.ip, ports.frontend)
        self._ports = ports
        self.process = None
        self._record = record
        self._log_path = pathlib.Path(folder, f"{self.name}.log")
        self._settings_path = pathlib.Path(folder, f"{self.name}.toml")
        values = {"memory_mb": 300, "quota_tolerance": 190000, "retry_allowance": 54}
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone="abcd"[number % 4],
            seed=f"{network}.1",
            store=store,
            **vars(ports),
            **{**values, **settings},
        )
        self._settings_path.write_text(text)

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            **role["env"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HEMLOCKHOIST_SETTINGS": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(f"start {self.name} {self.ip} pid {self.process.pid}")

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self._record.add(f"signal {signal.Signals(number).name} {self.name}")
            self.process.send_signal(number)

    async def is_ready(self):
        """Ask the readiness address as the platform does."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._ports.readiness
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    async def wait_ready(self, limit_s=15.0):
        """Wait until the readiness check says 200."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    async def ended(self):
        """Wait for the end of the process and return its status."""
        status = await self.process.wait()
        self._record.add(f"ended {self.name} status {status}")
        return status

    async def kill(self):
        """Kill the process if it runs."""
        if self.is_running:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def log_text(self):
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace")


class Request:
    """A request as a replica received it, and what became of it."""

    __slots__ = (
        "body",
        "ended_s",
        "headers",
        "host_ip",
        "method",
        "ran",
        "replica",
        "started_s",
        "status",
        "target",
    )


class Replica:
    """A replica of a plain service, of one version.

    It answers after ``work_s`` and checks ``Expected-Instance``. ``answer`` may be
    replaced; it returns the status and the body of an answer.
    """

    def __init__(self, name, service, record, version="v1", slots=6, work_s=0.02):
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.work_s = work_s
        self.received = []
        self.running = 0
        self.address = ""
        self.answer = lambda request: (200, b"done by " + self.name.encode())
        self._record = record
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def close(self):
        """Stop listening."""
        self._server.close()

    def row(self, state="ready", sequence=1):
        """Return the row by which it enters itself in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": 1790000000000,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip().split("\r\n")
        request = Request()
        request.method, request.target, _ = first.split(" ")
        pairs = (line.split(":", 1) for line in lines)
        request.headers = {k.lower(): v.strip() for k, v in pairs}
        length = int(request.headers.get("content-length", 0))
        request.body = await reader.readexactly(length)
        request.started_s = self._record.now_s()
        request.replica = self.name
        request.ran = request.headers.get("expected-instance", self.name) == self.name
        self.received.append(request)
        identity = request.headers.get("attempt-id", "")
        if not request.ran:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return
        self.running += 1
        self._record.add(f"run {identity} at {self.name} {request.target}")
        try:
            await asyncio.sleep(self.work_s)
            status, body = self.answer(request)
        finally:
            self.running -= 1
        request.status = status
        text = (
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {identity}\r\n"
            f"Response-Signature: {secrets.token_hex(6)}\r\n"
            f"Server-Load: {self.running},0,{self.slots}\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(text.encode() + body)
        await writer.drain()


class Site:
    """Store, replicas and hosts of a small deployment; an asynchronous context."""

    def __init__(self, record, host_count, **settings):
        sys.path.insert(0, str(ROOT / "review" / "build"))
        sys.path.insert(0, str(ROOT / "target" / "deps"))
        from hemlockhoist.standins.published.store import StoreStandin

        self.record = record
        self.store = StoreStandin()
        self.hosts = []
        self.replicas = []
        self.version = 0
        self._host_count = host_count
        self._settings = settings
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        number = os.getpid()
        self._network = f"127.{10 + number // 200 % 200}.{number % 200 + 1}"

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        for host in self.hosts:
            await host.kill()
        for replica in self.replicas:
            await replica.close()
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.store.close(), 2)
        self._folder.cleanup()

    async def add_replica(self, replica):
        """Start a replica and enter it in the store."""
        await replica.start()
        self.replicas.append(replica)
        await self.store.put("servers", replica.name, replica.row())

    async def declare(self, routes, services, tenants=None):
        """Write the next desired state."""
        self.version += 3
        if tenants is None:
            tenants = [{"name": "aulas", "api_keys": [KEY], "priority": 1}]
        body = {
            "version": self.version,
            "route_table": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": 100,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        await self.store.put("op", "config", body)
        self.record.add(f"config version {self.version} confirmed")

    async def start_hosts(self):
        """Start all hosts and wait until they are ready."""
        count = self._host_count
        ports = Ports.find([f"{self._network}.{n + 1}" for n in range(count)])
        for number in range(count):
            host = Host(
                number,
                self._network,
                ports,
                self.store.address,
                self._folder.name,
                self.record,
                **self._settings,
            )
            self.hosts.append(host)
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.gather(*(host.wait_ready() for host in self.hosts))

    def ran(self):
        """Return all requests that replicas ran."""
        return [r for item in self.replicas for r in item.received if r.ran]


def route(name, service, kind="idempotent", **fields):
    """Return a route of the desired state with the prefix ``/NAME/``."""
    values = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
    }
    return {**values, **fields}


class Answer:
    """What a caller got: a status, or None if the channel ended without an answer."""

    __slots__ = (
        "attempt_id",
        "body",
        "ended_s",
        "headers",
        "host",
        "sent_s",
        "status",
        "target",
    )


async def call(
    record,
    host,
    target,
    method="GET",
    body=b"",
    deadline_ms=2000,
    attempt_id=None,
    key=KEY,
    headers=(),
    write_s=0.0,
):
    """Send one request on a new channel and return the ``Answer``."""
    answer = Answer()
    answer.attempt_id = attempt_id or secrets.token_hex(8)
    answer.host, answer.target = host.name, target
    answer.status, answer.body, answer.headers = None, b"", {}
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Attempt-Id: {answer.attempt_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    answer.sent_s = record.now_s()
    record.add(f"sent {answer.attempt_id} {method} {target} to {host.name}")
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError, ValueError
    ):
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*host.address), 1.0
            )
            try:
                writer.write(head + body)
                await writer.drain()
                await _read_answer(reader, answer)
            finally:
                writer.close()
    answer.ended_s = record.now_s()
    record.add(f"answered {answer.attempt_id} {answer.status} {answer.body[:40]!r}")
    return answer


async def _read_answer(reader, answer):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    answer.headers = {k.lower(): v.strip() for k, v in pairs}
    length = int(answer.headers.get("content-length", 0))
    answer.body = await reader.readexactly(length)
    answer.status = int(first.split(" ")[1])


def run_case(folder, play, limit_s=110):
    """Run a case, write its record and exit with its status; end all its processes.

    ``play(record)`` returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
    """

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await play(record)

    record = Record(pathlib.Path(folder, "record.txt"))
    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"could not run: {error!r}")
        status = 2
    sys.exit(status)


class Load:
    """Callers that send requests at a steady rate, each kind by its weight."""

    def __init__(self, site, per_s, kinds, seed=1):
        self.answers = []
        self._site = site
        self._per_s = per_s
        self._kinds = kinds
        self._random = random.Random(seed)
        self._tasks = set()
        self._task = None

    def start(self):
        """Begin to send."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Send no more and wait for the answers."""
        self._task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5)

    async def _run(self):
        number = 0
        begin_s = time.monotonic()
        while True:
            number += 1
            due_s = begin_s + number / self._per_s
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self):
        weights = [kind["weight"] for kind in self._kinds]
        kind = self._random.choices(self._kinds, weights)[0]
        running = [host for host in self._site.hosts if host.is_running]
        if not running:
            return
        host = self._random.choice(running)
        target = f"/{kind['route']}/{self._random.randrange(1000)}"
        answer = await call(
            self._site.record,
            host,
            target,
            method=kind.get("method", "GET"),
            body=kind.get("body", b""),
            deadline_ms=kind.get("deadline_ms", 2000),
            headers=kind.get("headers", ()),
        )
        self.answers.append(answer)
