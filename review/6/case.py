"""A release of a service's replicas while an order for the service is still in progress."""

import asyncio
import json
import os
import pathlib
import random
import sys

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts_2 import (  # noqa: E402
    HEARTBEAT_S,
    Fleet,
    Record,
    Replica,
    Store,
    desired_state,
    loopback_network,
    now_s,
    route,
)

OTHER_SERVICE = "reservas"
SERVICE = "label-registry"
HOSTS = 4
REPLICAS = 3
# Requests a second of each route, as on the sheet.
RATE_PER_S = 4.0
DURATION_S = 12
START_S = (0.5, 1.5)
RELEASE_AFTER_S = DURATION_S + 3
RELEASE_GAP_S = 1.0
# From the end of the release to the begin of the count, and its length.
SETTLE_S = 6
COUNT_S = 30
MIN_REQUESTS = 20
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    def __init__(self):
        self.record = Record(FOLDER)
        self.network = loopback_network()
        self.store = Store(f"{self.network}.1", self.record)
        self.store.on_write = self.on_write
        self.replicas = []
        self.is_over = False
        self.numbers = 0
        # Route, time of the sending and status of each request.
        self.calls = []
        self.rng = random.Random()
        self.state = ""

    def replica(self, name, service, version):
        item = Replica(
            name, service, version, f"{self.network}.2", self.store, self.record
        )
        self.replicas.append(item)
        return item

    def on_write(self, table, key, raw):
        if table == "status":
            payload = json.loads(raw)
            self.record.add(f"system writes status/{key}: {payload}")
            self.state = payload["state"]

    async def call(self, session, name, method):
        self.numbers += 1
        attempt = f"a{self.numbers}"
        host = self.fleet.hosts[self.numbers % HOSTS]
        headers = {
            "Host": "halls.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": "3000",
            "Authorization": "Bearer key-of-aulas",
        }
        url = f"http://{host.ip}:{self.fleet.frontend}/{name}/{attempt}"
        sent_s, status = now_s(), "no answer"
        try:
            async with asyncio.timeout(5):
                async with session.request(method, url, headers=headers) as answer:
                    status = answer.status
                    await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status = type(error).__name__
        self.calls.append((name, sent_s, status))
        self.record.add(f"{attempt} {name} at {host.name}: {status}")

    async def send(self, session, name, method):
        tasks = set()
        while not self.is_over:
            task = asyncio.create_task(self.call(session, name, method))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks)

    async def order(self, version):
        """Order a move, start the version's replicas, and return them."""
        new = [self.replica(f"{version}-{i}", SERVICE, version) for i in range(REPLICAS)]
        body = {"service": SERVICE, "target": version, "duration_s": DURATION_S}
        await self.store.put("op", f"rollout/{SERVICE}", body)
        self.record.add(f"operator orders {version}, confirmed")
        for item in new:
            await asyncio.sleep(self.rng.uniform(*START_S) / REPLICAS)
            await item.start()
        return new

    async def release(self, replicas, version):
        """Replace replicas one after the other; each new one starts first."""
        drains = []
        for number, old in enumerate(replicas):
            new = self.replica(f"{version}-{number}", SERVICE, version)
            await new.start()
            self.record.add(f"platform starts {new.name}, drains {old.name}")
            drains.append(asyncio.create_task(old.drain()))
            await asyncio.sleep(RELEASE_GAP_S)
        await asyncio.gather(*drains)
        self.record.add("the release has ended")

    def served(self, name, begin_s, end_s):
        """Return how many requests of a route were served, and how many were sent."""
        found = [s for n, at_s, s in self.calls if n == name and begin_s <= at_s <= end_s]
        return sum(s == 200 for s in found), len(found)

    async def run(self):
        """Return the exit code."""
        await self.store.start()
        old = [self.replica(f"v1-{i}", SERVICE, "v1") for i in range(REPLICAS)]
        other = [self.replica(f"other-{i}", OTHER_SERVICE, "v1") for i in range(REPLICAS)]
        for item in (*old, *other):
            await item.start(self.rng.uniform(0, HEARTBEAT_S))
        services = [OTHER_SERVICE, SERVICE]
        first = [route("check-free", OTHER_SERVICE, "idempotent")]
        await self.store.put("op", "config", desired_state(3, first, services))
        self.fleet = Fleet(HOSTS, self.store, self.network)
        tasks = []
        try:
            await self.fleet.start()
            self.record.add("all hosts are ready")
            added = [
                route("lot-lookup", SERVICE, "idempotent", timeout_ms=3000),
                route("lot-issue", SERVICE, "non_idempotent", timeout_ms=3000),
            ]
            state = desired_state(7, [*first, *added], services)
            await self.store.put("op", "config", state)
            self.record.add("operator adds the routes of the service")
            await asyncio.sleep(2)
            async with aiohttp.ClientSession() as session:
                tasks = [
                    asyncio.create_task(self.send(session, *item))
                    for item in (
                        ("check-free", "GET"),
                        ("lot-lookup", "GET"),
                        ("lot-issue", "POST"),
                    )
                ]
                await asyncio.sleep(5)
                new = await self.order("v2")
                await asyncio.sleep(RELEASE_AFTER_S)
                state_before = self.state
                if HAS_TROUBLE:
                    # The platform stops the old replicas itself once a move is completed.
                    left = [*old, *new]
                    if state_before == "completed":
                        left = new
                        for item in old:
                            await item.stop()
                    await self.release(left, "v3")
                await asyncio.sleep(SETTLE_S)
                begin_s = now_s()
                await asyncio.sleep(COUNT_S)
                end_s = now_s()
                self.is_over = True
                await asyncio.gather(*tasks)
            return self.judge(begin_s, end_s, state_before)
        finally:
            for task in tasks:
                task.cancel()
            await self.fleet.close()
            for item in self.replicas:
                await item.stop()
            await self.store.close()
            self.record.close()

    def judge(self, begin_s, end_s, state_before):
        first_served, first_sent = self.served("check-free", begin_s, end_s)
        served = sent = 0
        for name in ("lot-lookup", "lot-issue"):
            one_served, one_sent = self.served(name, begin_s, end_s)
            served, sent = served + one_served, sent + one_sent
        v3 = sum(len(item.arrivals) for item in self.replicas if item.version == "v3")
        text = (
            f"before the release the order was {state_before}; in the {end_s - begin_s:.0f} s"
            f" of the count: added routes served {served} of {sent}, first routes "
            f"{first_served} of {first_sent}; replicas of v3 got {v3} requests in all"
        )
        self.record.add(text)
        print(text)
        is_broken = sent >= MIN_REQUESTS and first_sent > 0
        is_broken &= 4 * served * first_sent < first_served * sent
        return 1 if is_broken else 0


def main():
    try:
        code = asyncio.run(Case().run())
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    print("broken" if code == 1 else "held" if code == 0 else "not run")
    sys.exit(code)


main()
