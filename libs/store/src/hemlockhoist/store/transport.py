"""HTTP transport to the platform, with retries and a classification of failures."""

import asyncio

import aiohttp
import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    PlatformError,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.store import answer_memory
from hemlockhoist.store.answer_memory import AnswerMemory
from hemlockhoist.store.calls import StoreCalls, read_body
from hemlockhoist.store.retries import Backoff, RetryBudget
from hemlockhoist.upstreams import BoundedHandler, DirectConnector

_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
# Statuses by which the service refuses a request before it changes any row.
_REFUSALS = frozenset({429, 503})
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class FetchResult(msgspec.Struct, frozen=True):
    """Result of a conditional read.

    Parameters
    ==========
    body : bytes or None
        None when the resource does not exist, or is unchanged.
    etag : str
        ETag of the body; empty when the platform sends none.
    changed : bool
        False when the body still has the given ETag.
    """

    body: bytes | None
    etag: str = ""
    changed: bool = True


class PlatformTransport:
    """HTTP session, timeouts and retry budget shared by the platform clients.

    Parameters
    ==========
    config : hemlockhoist.store.PlatformConfig
    budget : RetryBudget
    backoff : Backoff
    """

    __slots__ = ("_backoff", "_budget", "_calls", "_config", "_memory", "_session")

    def __init__(self, config, budget, backoff):
        self._config = config
        self._budget = budget
        self._backoff = backoff
        self._calls = StoreCalls(config.timeout_ms)
        self._memory = AnswerMemory(answer_memory.MAX_ANSWER_BYTES)
        self._session = None

    @classmethod
    def from_config(cls, config, rng=None):
        """Return a transport that is not started.

        Parameters
        ==========
        config : hemlockhoist.store.PlatformConfig
        rng : random.Random, optional
            Source of the random delays between retries.
        """
        budget = RetryBudget.from_config(config)
        return cls(config, budget, Backoff.from_config(config, rng))

    async def start(self):
        """Open the session; each call makes a connection of its own.

        The service's answers repeat nothing of their call. On a connection that carried
        another one, a second answer to that could not be told from the own answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._config.connect_timeout_ms / MS_PER_S,
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=DirectConnector(
                BoundedHandler,
                limit=self._config.max_connections,
                force_close=True,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self):
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, path):
        """Return the body of a resource, with retries.

        Parameters
        ==========
        path : str

        Returns
        =======
        bytes or None
            None when the resource does not exist.

        Raises
        ======
        PlatformError
            When the last attempt that the retry budget allowed failed.
        """
        return (await self.fetch(path)).body

    async def fetch(self, path, etag=""):
        """Read a resource conditionally, with retries.

        Parameters
        ==========
        path : str
        etag : str, optional
            ETag of the previously read body.

        Returns
        =======
        FetchResult

        Raises
        ======
        PlatformError
            As in ``read``.
        """
        self._budget.on_call()
        attempt = 1
        while True:
            try:
                return await self._fetch_once(path, etag)
            except PlatformError as error:
                is_silent = isinstance(error.__cause__, TimeoutError)
                if is_silent or not await self.wait_before_retry(attempt):
                    raise
            attempt += 1

    async def write(self, path, body):
        """Send a write in a single attempt and return the body of the response.

        Writes use POST: ``aiohttp`` resends GET, PUT and DELETE on its own when the
        connection breaks, so that a PUT that was applied and lost its answer would be
        reported as a conflict with itself.

        Parameters
        ==========
        path : str
        body : bytes
            JSON.

        Returns
        =======
        bytes

        Raises
        ======
        StoreConflict
            When a condition did not hold.
        StoreAnswerLost
            When the write may have been applied and no answer arrived.
        PlatformError
            When the write was not applied.
        """
        options = {"data": body, "headers": {"Content-Type": "application/json"}}
        response, answer = await self._calls.commit(
            lambda progress, _: self._call(progress, "POST", path, **options)
        )
        return self._check_write(path, response.status, answer)

    async def _call(self, progress, method, path, **options):
        url = self._config.url + path
        async with self._session.request(method, url, **options) as response:
            return response, await read_body(response, progress, self._memory)

    def on_call(self):
        """Add the fraction of a retry that one call earns, whatever its attempts."""
        self._budget.on_call()

    async def wait_before_retry(self, attempt):
        """Wait before another attempt; return False at once if none is allowed.

        Parameters
        ==========
        attempt : int
            Number of attempts made so far.
        """
        if attempt >= self._config.max_attempts or not self._budget.acquire():
            return False
        await asyncio.sleep(self._backoff.delay_ms(attempt) / MS_PER_S)
        return True

    async def _fetch_once(self, path, etag):
        headers = {"If-None-Match": etag} if etag else {}
        response, answer = await self._calls.read(
            lambda progress, _: self._call(progress, "GET", path, headers=headers)
        )
        if response.status == _NOT_FOUND:
            return FetchResult(None)
        if response.status == _NOT_MODIFIED:
            return FetchResult(None, etag, changed=False)
        if response.status >= _FIRST_ERROR_STATUS:
            raise PlatformError(f"GET {path} returned status {response.status}")
        return FetchResult(answer, response.headers.get("ETag", ""))

    def _check_write(self, path, status, answer):
        if status < _FIRST_ERROR_STATUS:
            return answer
        message = f"POST {path} returned status {status}"
        if status == _PRECONDITION_FAILED:
            raise StoreConflict(f"{message}: {answer.decode(errors='replace')}")
        if status >= _FIRST_SERVER_ERROR_STATUS and status not in _REFUSALS:
            raise StoreAnswerLost(message)
        raise PlatformError(message)
