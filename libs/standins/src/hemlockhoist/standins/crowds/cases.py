"""A site of processes with low limits, and the checks after a crowd has left it."""

import asyncio
import contextlib
import pathlib
import resource
import tempfile
import unittest

import aiohttp

from hemlockhoist.standins.crowds.processes import (
    AnsweringProcess,
    CrowdProcess,
    peak_memory_mb,
)
from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import HOST_NAME, KEY, route
from hemlockhoist.standins.published.soak.hosts import HostProcess
from hemlockhoist.standins.published.store import StoreStandin

ROUTES = [
    route("check-free", "reservas"),
    route("book-hall", "reservas", "non_idempotent", max_attempts=1),
]
# Of this limit of a host's machine, the process takes about a third when it starts.
MEMORY_MB = 160
# In its settings; 200 of them are not for sockets.
DECLARED_DESCRIPTORS = 450
SOCKET_DESCRIPTORS = 250
CROWD_S = 2.0
FEW, USUAL, MANY, MORE_THAN_DESCRIPTORS = 4, 20, 100, 300
READY_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.2
BOUNDS = {
    "revocation_ms": 5_000,
    "drain_ms": 2_000,
    "retry_ratio": 0.2,
    "retry_allowance": 50,
    "retry_window_s": 10,
}
PYTHON_PARSER = {"AIOHTTP_NO_EXTENSIONS": "1"}


class CrowdSite:
    """An asynchronous context manager that runs one host process, a store and upstreams.

    Parameters
    ==========
    variables : dict of str to str, optional
        Environment variables of the host.
    store_answers : Answered, optional
        What the store answers once ``break_store`` was called.
    retry_allowance : int, optional
        Retries allowed beside a fraction of the requests.
    slots : int, optional
        Of each upstream that is in order.
    """

    def __init__(
        self,
        variables=None,
        store_answers=None,
        retry_allowance=BOUNDS["retry_allowance"],
        slots=4,
    ):
        self._bounds = {**BOUNDS, "retry_allowance": retry_allowance}
        self._variables = variables or {}
        self._store_answers = store_answers
        self._store = None
        self._store_flag = None
        self._exit_stack = contextlib.AsyncExitStack()
        self._session = None
        self.host = None
        self.replicas = [Replica("i-1", slots=slots), Replica("i-2", slots=slots)]

    async def __aenter__(self):
        store = self._store = await self._open(StoreStandin())
        for replica in self.replicas:
            await self._open(replica)
            await store.put("servers", replica.replica_id, replica.row("reservas"))
        await store.put("op", "config", _declarations())
        folder = self._exit_stack.enter_context(tempfile.TemporaryDirectory())
        self._store_flag = pathlib.Path(folder, "store-is-broken")
        address = store.address
        if self._store_answers is not None:
            words = (store.address, str(self._store_flag))
            address = (await self.answer(self._store_answers, *words)).address
        self.host = HostProcess(
            0,
            address,
            pathlib.Path(folder),
            self._bounds,
            self._variables,
            DECLARED_DESCRIPTORS,
            MEMORY_MB,
        )
        self._exit_stack.push_async_callback(self.host.close)
        await self.host.start()
        limits = (SOCKET_DESCRIPTORS, SOCKET_DESCRIPTORS)
        resource.prlimit(self.host.process.pid, resource.RLIMIT_NOFILE, limits)
        self._session = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False)
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.host.is_ready():
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *error):
        await self._exit_stack.aclose()

    async def _open(self, part):
        await part.start()
        self._exit_stack.push_async_callback(part.close)
        return part

    async def answer(self, kind, *words):
        """Start an ``AnsweringProcess``, which ends with the site."""
        return await self._open(AnsweringProcess(kind, *words))

    async def register(self, server_id, address):
        """Have an upstream registered; without an address, it is gone."""
        row = None
        if address:
            replica = Replica(server_id, slots=100)
            replica.address = address
            row = replica.row("reservas")
        await self._store.put("servers", server_id, row)

    async def wait_for_log(self, event, text):
        """Wait until the host has logged an event with a text.

        Raises
        ======
        TimeoutError
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not any(text in line for line in self.host.log_lines(event)):
                await asyncio.sleep(0.05)

    def break_store(self):
        """Have the store answer without end."""
        self._store_flag.touch()

    def heal_store(self):
        """Have the store answer as usual."""
        self._store_flag.unlink()

    async def ask(self):
        """Send one ordinary request, again after a refusal; return its status.

        Raises
        ======
        TimeoutError
        """
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while (status := await self.ask_once()) != 200:
                await asyncio.sleep(RETRY_DELAY_S)
        return status

    async def ask_once(self, path="/check-free/1", method="GET"):
        """Send one request; return its status, or 0 if the answer broke off."""
        headers = {
            "Host": HOST_NAME,
            "Attempt-Id": "a1",
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        url = f"http://{self.host.address}{path}"
        try:
            async with self._session.request(method, url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 0


def _declarations():
    services = {"name": "reservas", "health_path": "/healthz", "max_connections": 100}
    return {
        "version": 3,
        "route_table": ROUTES,
        "services": [services],
        "limits": {},
        "tenants": [{"name": "aulas", "api_keys": [KEY], "priority": 1}],
    }


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Plays a crowd against one listener of a host, and checks the host afterwards."""

    async def check(self, sent, count=USUAL, at="address", variables=None):
        """Play a crowd.

        Parameters
        ==========
        sent : Sent
        count : int, optional
            Connections at a time.
        at : str, optional
            The attribute of ``HostProcess`` with the listener's address.
        variables : dict of str to str, optional
        """
        async with CrowdSite(variables) as site:
            await site.ask()
            crowd = CrowdProcess(getattr(site.host, at), sent, count, CROWD_S)
            self.addAsyncCleanup(crowd.close)
            await crowd.start()
            pid = site.host.process.pid
            descriptors = await crowd.wait(pid)
            self.assertTrue(site.host.is_running)
            self.assertLess(peak_memory_mb(pid), MEMORY_MB)
            self.assertLess(descriptors, SOCKET_DESCRIPTORS)
            self.assertEqual(await site.ask(), 200)
            self.assertTrue(site.host.is_running)
