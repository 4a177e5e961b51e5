"""An order to move a version, and an outage of the store while it is carried out."""

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
    CONTACT_S,
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

SERVICE = "label-registry"
HOSTS = 4
OLD_COUNT = 3
NEW_COUNT = 3
CALLERS = 10
GAP_S = 0.1
# Of the answers of a bad version.
BAD_SHARE = 0.45
DURATION_S = 12
# From the confirmation of the order to the start of the new replicas.
START_S = (0.5, 2.0)
# The outage: from some moment after the confirmation on.
OUTAGE_AFTER_S = 0.4
OUTAGE_S = 4.5
EXPOSURE_SHARE = 0.1
EXPOSURE_TOLERANCE = 50
END_S = 112
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    def __init__(self):
        self.record = Record(FOLDER)
        self.network = loopback_network()
        self.store = Store(f"{self.network}.1", self.record)
        self.store.on_write = self.on_write
        self.replicas = []
        self.states = []
        self.completed = asyncio.Event()
        self.is_over = False
        self.sent = self.numbers = 0
        self.statuses = {}
        self.rng = random.Random()
        self.old, self.new = [], []

    def replica(self, name, version, bad):
        item = Replica(
            name, SERVICE, version, f"{self.network}.2", self.store, self.record, bad=bad
        )
        self.replicas.append(item)
        return item

    def on_write(self, table, key, raw):
        if table == "status":
            payload = json.loads(raw)
            self.record.add(f"system writes status/{key}: {payload}")
            self.states.append((now_s(), payload["target"], payload["state"]))
            if payload["state"] == "completed":
                self.completed.set()

    async def call_repeatedly(self, session, number):
        hosts = self.fleet.hosts
        while not self.is_over:
            self.numbers += 1
            attempt = f"a{number}x{self.numbers}"
            host = hosts[self.numbers % len(hosts)]
            is_read = self.numbers % 2
            path = f"/lot-lookup/{attempt}" if is_read else f"/lot-issue/{attempt}"
            headers = {
                "Host": "halls.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": "3000",
                "Authorization": "Bearer key-of-aulas",
            }
            url = f"http://{host.ip}:{self.fleet.frontend}{path}"
            method = "GET" if is_read else "POST"
            status = "no answer"
            try:
                async with asyncio.timeout(4):
                    async with session.request(
                        method, url, headers=headers, data=None if is_read else b"x" * 600
                    ) as answer:
                        status = answer.status
                        await answer.read()
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                status = type(error).__name__
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.add(f"{attempt} at {host.name}: {status}")
            await asyncio.sleep(GAP_S * 2 * self.rng.random())

    async def order(self, number):
        """Order one move to a bad version; return whether the rule was broken."""
        version = f"v{number + 1}"
        self.completed.clear()
        self.new = [
            self.replica(f"{version}-{item}", version, BAD_SHARE)
            for item in range(NEW_COUNT)
        ]
        body = {"service": SERVICE, "target": version, "duration_s": DURATION_S}
        await self.store.put("op", f"rollout/{SERVICE}", body)
        begin_s = now_s()
        self.record.add(f"operator orders {version}, confirmed")
        outage = asyncio.create_task(self.have_outage())
        starts = [
            asyncio.create_task(self.start_later(item, self.rng.uniform(*START_S)))
            for item in self.new
        ]
        old, new = self.old, self.new
        try:
            async with asyncio.timeout(DURATION_S):
                await self.completed.wait()
                # As the pages say: at ``completed``, the old replicas stop at once.
                self.record.add("platform stops the old replicas")
                for item in old:
                    await item.stop()
        except TimeoutError:
            pass
        await asyncio.sleep(max(0, begin_s + DURATION_S - now_s()))
        await asyncio.gather(*starts)
        down_s = await outage
        return self.judge(begin_s, down_s, old, new, version)

    async def start_later(self, replica, delay_s):
        await asyncio.sleep(delay_s)
        await replica.start()

    async def have_outage(self):
        """Return from when to when machines are out of touch, or None."""
        if not HAS_TROUBLE:
            return None
        await asyncio.sleep(OUTAGE_AFTER_S)
        begin_s = now_s()
        await self.store.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        await self.store.set_down(False)
        return begin_s, now_s() + CONTACT_S

    def judge(self, begin_s, out_of_touch, old, new, version):
        end_s = begin_s + DURATION_S
        all_count = bad_count = 0
        for item in (*old, *new):
            for at_s, _ in item.arrivals:
                if not begin_s <= at_s <= end_s:
                    continue
                all_count += 1
                is_out = out_of_touch and out_of_touch[0] <= at_s <= out_of_touch[1]
                bad_count += item in new and not is_out
        allowed = EXPOSURE_SHARE * all_count + EXPOSURE_TOLERANCE
        states = [state for _, target, state in self.states if target == version]
        text = (
            f"{version}: {bad_count} requests from machines in touch reached the bad "
            f"version, allowed {allowed:.0f} of {all_count}; status {states}"
        )
        self.record.add(text)
        print(text)
        return bad_count > allowed

    async def run(self):
        """Return the exit code."""
        await self.store.start()
        self.old = [self.replica(f"v1-{item}", "v1", 0.0) for item in range(OLD_COUNT)]
        for item in self.old:
            await item.start(self.rng.uniform(0, HEARTBEAT_S))
        routes = [
            route("lot-lookup", SERVICE, "idempotent", timeout_ms=3000),
            route("lot-issue", SERVICE, "non_idempotent", timeout_ms=3000),
        ]
        await self.store.put("op", "config", desired_state(3, routes, [SERVICE]))
        self.fleet = Fleet(HOSTS, self.store, self.network)
        tasks = []
        try:
            await self.fleet.start()
            self.record.add("all hosts are ready")
            async with aiohttp.ClientSession() as session:
                tasks = [
                    asyncio.create_task(self.call_repeatedly(session, number))
                    for number in range(CALLERS)
                ]
                await asyncio.sleep(4)
                is_broken, number = False, 1
                while not is_broken and now_s() + DURATION_S + 1 < END_S:
                    is_broken = await self.order(number)
                    number += 1
                    if not is_broken:
                        await asyncio.gather(*(item.drain() for item in self.new))
                        await asyncio.sleep(0.5)
                self.is_over = True
                await asyncio.gather(*tasks)
            self.record.add(f"answers {self.statuses}")
            return 1 if is_broken else 0
        finally:
            for task in tasks:
                task.cancel()
            await self.fleet.close()
            for item in self.replicas:
                await item.stop()
            await self.store.close()
            self.record.close()


def main():
    try:
        code = asyncio.run(Case().run())
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    print("broken" if code == 1 else "held" if code == 0 else "not run")
    sys.exit(code)


main()
