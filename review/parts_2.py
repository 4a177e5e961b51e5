"""Stand-ins for the scripts of this review: store, replicas, operator, entry hosts.

They speak what the users' pages say, on loopback addresses only, and need nothing but
the libraries that the deploy file's build puts into target/deps.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
CONTACT_S = 3.0
_STARTED = time.monotonic()


def now_s():
    """Return the seconds since the script began."""
    return time.monotonic() - _STARTED


class Record:
    """The lines of record.txt, with times."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder, "record.txt"), "w")

    def add(self, text):
        """Write one line."""
        self._file.write(f"{now_s():9.3f} {text}\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


def loopback_network():
    """Return the first three numbers of loopback addresses of this run."""
    pid = os.getpid()
    return f"127.{16 + pid // 250 % 200}.{1 + pid % 250}"


def free_port(ip):
    """Return a port that is free now."""
    with socket.create_server((ip, 0)) as item:
        return item.getsockname()[1]


def free_port_on_all(ips, count=1):
    """Return the first of some adjacent ports that are free on several addresses."""
    while True:
        first = random.randrange(20_000, 32_000)
        try:
            with contextlib.ExitStack() as stack:
                for ip in ips:
                    for port in range(first, first + count):
                        stack.enter_context(socket.create_server((ip, port)))
            return first
        except OSError:
            continue


class StoreDown(Exception):
    """The store does not take a call now."""


class Store:
    """The platform's store: rows, transactions and the feed.

    While ``is_down`` is set, each call of the system, the replicas and the operator gets
    a 503, and nothing is done. Entries of replicas that have been silent for three ping
    intervals lapse, also meanwhile.
    """

    def __init__(self, ip, record):
        self.is_down = False
        self._ip = ip
        self._record = record
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._heard = {}
        self.on_write = lambda table, key, payload: None

    async def start(self):
        """Listen on a free port."""
        application = web.Application(client_max_size=1 << 22)
        application.router.add_get("/v1/rows-get", self._get)
        application.router.add_get("/v1/rows-feed", self._feed)
        application.router.add_post("/v1/rows-tx", self._commit)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        port = free_port(self._ip)
        await web.TCPSite(self._runner, self._ip, port).start()
        self.address = f"{self._ip}:{port}"
        self._lapse_task = asyncio.create_task(self._lapse())

    async def close(self):
        """Stop the server."""
        self._lapse_task.cancel()
        await self._runner.cleanup()

    async def put(self, table, key, payload):
        """Write a row as the operator or a replica does; None drops it."""
        if self.is_down:
            raise StoreDown
        value = None
        if payload is not None:
            value = base64.b64encode(json.dumps(payload).encode()).decode()
        self._version += 1
        self._write(table, key, value)
        await self._notify()

    async def beat(self, key, payload):
        """Take a replica's ping; its entry changes if more than ``sequence`` does."""
        if self.is_down:
            raise StoreDown
        self._heard[key] = time.monotonic()
        known = self.payload("servers", key)
        if known is not None:
            same = {**payload, "sequence": 0} == {**known, "sequence": 0}
            if same:
                return
        await self.put("servers", key, payload)
        self._record.add(f"store: entry of {key} written, {payload['state']}")

    async def leave(self, key):
        """Drop the entry of a replica that has left."""
        self._heard.pop(key, None)
        if ("servers", key) in self._rows:
            self._version += 1
            self._write("servers", key, None)
            await self._notify()

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.05)
            for key, heard in list(self._heard.items()):
                if time.monotonic() - heard > LAPSE_S:
                    await self.leave(key)
                    self._record.add(f"store: entry of {key} lapsed")

    def payload(self, table, key):
        """Return the decoded payload of a row, or None."""
        row = self._rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    def _write(self, table, key, value):
        row = {"table": table, "part": "", "key": key, "schema_version": self._version}
        if value is None:
            row["deleted"] = True
            self._rows.pop((table, key), None)
        else:
            row["value"] = value
            self._rows[table, key] = row
        self._history.append(row)

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    def _answer(self, rows, status=200, has_more=False):
        body = {
            "rows": rows,
            "has_more": has_more,
            "schema_version": self._version,
            "now_ms": int(time.monotonic() * 1000),
        }
        return web.json_response(body, status=status)

    async def _get(self, request):
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(0.004)
        query = request.query
        begin, limit = query.get("from", ""), int(query.get("limit", 500))
        found = sorted(
            (row for row in self._rows.values() if row["table"] == query["table"]),
            key=lambda row: row["key"].encode(),
        )
        found = [row for row in found if row["key"] >= begin]
        if "target" in query:
            found = [row for row in found if row["key"] < query["target"]]
        return self._answer(found[:limit], has_more=len(found) > limit)

    async def _feed(self, request):
        if self.is_down:
            return web.Response(status=503)
        table, since = request.query["table"], int(request.query["start_revision"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000

        def changes():
            latest = {}
            for row in self._history:
                if row["schema_version"] > since and row["table"] == table:
                    latest.pop(row["key"], None)
                    latest[row["key"]] = row
            return list(latest.values())

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: changes() or self.is_down)
        except TimeoutError:
            pass
        if self.is_down:
            return web.Response(status=503)
        return self._answer(changes())

    async def _commit(self, request):
        if self.is_down:
            return web.Response(status=503)
        body = await request.json()
        await asyncio.sleep(0.005)
        if self.is_down:
            return web.Response(status=503)
        for item in body.get("expected_revision", ()):
            row = self._rows.get((item["table"], item["key"]))
            if (row["schema_version"] if row else 0) != item["schema_version"]:
                return self._answer([row] if row else [], status=412)
        self._version += 1
        for item in body.get("write", ()):
            self._write(item["table"], item["key"], item["value"])
        for item in body.get("drop", ()):
            self._write(item["table"], item["key"], None)
        await self._notify()
        for item in body.get("write", ()):
            self.on_write(item["table"], item["key"], base64.b64decode(item["value"]))
        return self._answer([])

    async def set_down(self, is_down):
        """Begin or end an outage."""
        self.is_down = is_down
        self._record.add(f"store: {'down' if is_down else 'back'}")
        await self._notify()


class Replica:
    """A replica of a plain service, which registers itself in the store."""

    def __init__(self, name, service, version, ip, store, record, work_ms=90, bad=0.0):
        self.name = name
        self.version = version
        self.arrivals = []
        self.state = "ready"
        self._service = service
        self._ip = ip
        self._store = store
        self._record = record
        self._work_ms = work_ms
        self._bad = bad
        self._rng = random.Random(name)
        self._sequence = 0
        self._active = 0
        self._beat_task = None

    async def start(self, delay_s=0.0):
        """Serve, and ping the store from a random moment on."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        port = free_port(self._ip)
        await web.TCPSite(self._runner, self._ip, port).start()
        self.address = f"{self._ip}:{port}"
        self._born = int(time.time() * 1000)
        self._beat_task = asyncio.create_task(self._beat(delay_s))

    async def _beat(self, delay_s):
        await asyncio.sleep(delay_s)
        while True:
            await self._beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat_once(self):
        self._sequence += 1
        row = {
            "service": self._service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        with contextlib.suppress(StoreDown):
            await self._store.beat(self.name, row)

    async def drain(self, drain_s=2.0):
        """Report draining, serve on for a while, and leave."""
        self.state = "draining"
        await self._beat_once()
        await asyncio.sleep(drain_s + 1.0)
        await self.stop()

    async def stop(self):
        """Stop at once."""
        if self._beat_task is not None:
            self._beat_task.cancel()
            self._beat_task = None
            await self._runner.cleanup()
            await self._store.leave(self.name)

    async def _handle(self, request):
        attempt = request.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt, "Server-Load": f"{self._active},0,6"}
        if request.path == "/healthz":
            return web.Response(status=200, headers={"Instance-Id": self.name})
        expected = request.headers.get("Expected-Instance", self.name)
        if expected != self.name:
            headers["Not-Executed"] = "1"
            return web.Response(status=421, headers=headers)
        self.arrivals.append((now_s(), attempt))
        self._active += 1
        try:
            await asyncio.sleep(self._work_ms / 1000)
        finally:
            self._active -= 1
        headers["Response-Signature"] = f"{self.name}.{attempt}"
        if self._rng.random() < self._bad:
            self._record.add(f"{self.name} ({self.version}): {attempt} fails")
            return web.Response(status=500, headers=headers, body=b"failure")
        return web.Response(status=200, headers=headers, body=b"answer")


SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane","registry"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_ports = [{internal},{internal_last}]
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","platform"]
[zones]
z1 = "r1"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
registry = "{ip}:{registry}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
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
retry_allowance = 54
quota_window_s = 8
quota_overshoot = 0.1
quota_tolerance = 190000
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
"""


class Host:
    """One entry host: the program, started as the deploy file starts it."""

    def __init__(self, number, ip, text, folder):
        self.ip = ip
        self.name = f"edge-{number}"
        self.process = None
        self.log_path = pathlib.Path(folder, f"{self.name}.log")
        self._settings_path = pathlib.Path(folder, f"{self.name}.toml")
        self._settings_path.write_text(text)

    async def start(self, metrics_port):
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HEMLOCKHOIST_SETTINGS": str(self._settings_path),
            "HEMLOCKHOIST_PEER_KEY": "change-me-for-each-fleet",
            "HEMLOCKHOIST_METRICS_PORT": str(metrics_port),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hemlockhoist.platform",
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    def send(self, number):
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self):
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


class Fleet:
    """The entry hosts of one small deployment."""

    def __init__(self, count, store, network):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        ips = [f"{network}.{number + 10}" for number in range(count)]
        ports = {
            "frontend": free_port_on_all(ips),
            "readiness": free_port_on_all(ips),
            "control": free_port_on_all(ips),
            "registry": free_port_on_all(ips),
            "internal": free_port_on_all(ips, 16),
        }
        self._metrics_port = free_port_on_all(ips)
        self.frontend = ports["frontend"]
        self.readiness = ports["readiness"]
        seeds = ",".join(f'"{ip}:{ports["control"]}"' for ip in ips[:3])
        self.hosts = [
            Host(
                number,
                ip,
                SETTINGS.format(
                    name=f"edge-{number}",
                    ip=ip,
                    seeds=seeds,
                    store=store.address,
                    internal_last=ports["internal"] + 15,
                    **ports,
                ),
                self._folder.name,
            )
            for number, ip in enumerate(ips)
        ]

    async def start(self):
        """Start all hosts, and wait until they are ready."""
        for host in self.hosts:
            await host.start(self._metrics_port)
        async with asyncio.timeout(20):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.1)

    async def restart(self, host):
        """Start a host again whose process has ended."""
        await host.start(self._metrics_port)

    async def _is_ready(self, host):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host.ip, self.readiness)
                writer.write(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def close(self):
        """End all processes."""
        for host in self.hosts:
            await host.close()
        self._folder.cleanup()


def route(name, service, kind, **fields):
    """Return a route of the desired state."""
    return {
        "name": name,
        "host": "halls.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 800,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        **fields,
    }


def desired_state(version, routes, services):
    """Return a desired state with one tenant."""
    return {
        "version": version,
        "route_table": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 100}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "aulas", "api_keys": ["key-of-aulas"], "priority": 1}],
    }
