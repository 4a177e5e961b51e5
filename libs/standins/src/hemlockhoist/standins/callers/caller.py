"""Simulated caller that follows the protocol and records its requests."""

import asyncio

import aiohttp

from hemlockhoist.base import Clock
from hemlockhoist.standins.callers.chat import ChatCall
from hemlockhoist.standins.callers.directory import HostDirectory
from hemlockhoist.standins.callers.records import CallOutcome, CallRecord, RequestKind
from hemlockhoist.standins.callers.services import ServiceCall

_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 1.0
_TIER_HEADER = "X-Hemlockhoist-Tier"


class Caller:
    """Client of one customer at one tier.

    Parameters
    ==========
    config : CallerConfig
    clock : hemlockhoist.base.Clock
    """

    __slots__ = ("_config", "clock", "directory", "headers", "records", "session")

    def __init__(self, config, clock):
        self._config = config
        self.clock = clock
        self.headers = {"Authorization": f"Bearer {config.key}"}
        if config.tier:
            self.headers[_TIER_HEADER] = config.tier
        self.records = []
        self.session = None
        self.directory = None

    @classmethod
    def from_config(cls, config, clock=None):
        """Return a caller that has not been started; requires a running event loop."""
        return cls(config, clock or Clock.from_running_loop())

    async def start(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=self._config.read_timeout_ms / _MS_PER_S,
        )
        self.session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.directory = HostDirectory.from_config(
            self._config, self.session, self.headers, self.clock
        )

    async def close(self):
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def chat(self, model, content, max_tokens, stream=True):
        """Request a chat completion and return its record.

        Parameters
        ==========
        model : str
        content : str
            Content of the only message.
        max_tokens : int
        stream : bool
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        record = self._new_record(RequestKind.CHAT)
        return await self._run(ChatCall(self, record, body), record)

    async def lookup(self, service, path):
        """Make an idempotent call to a plain service and return its record."""
        record = self._new_record(RequestKind.LOOKUP)
        call = ServiceCall(self, record, service, "GET", path, b"")
        return await self._run(call, record)

    async def book(self, service, path, body):
        """Make a non-idempotent call to a plain service and return its record.

        Parameters
        ==========
        service, path : str
        body : bytes
        """
        record = self._new_record(RequestKind.BOOKING)
        call = ServiceCall(self, record, service, "POST", path, body)
        return await self._run(call, record)

    def _new_record(self, kind):
        record = CallRecord(
            kind=kind,
            customer=self._config.customer,
            tier=self._config.tier,
            started_ms=self.clock.now_ms(),
        )
        self.records.append(record)
        return record

    async def _run(self, call, record):
        try:
            async with asyncio.timeout(self._config.max_wait_ms / _MS_PER_S):
                await call.run()
        except TimeoutError:
            call.record_timeout()
        record.ended_ms = self.clock.now_ms()
        in_time = record.first_output_ms <= self._config.first_token_target_ms
        record.in_time = record.outcome is CallOutcome.WHOLE and in_time
        return record
