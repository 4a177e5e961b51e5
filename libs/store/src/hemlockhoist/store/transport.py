"""One attempt at a call to the platform, with its failures told apart."""

import asyncio

import aiohttp
import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    PlatformError,
    StoreAnswerLost,
    StoreConflict,
)
from hemlockhoist.store.retries import Backoff, RetryBudget

_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
# The service refuses with these before it touches a row.
_REFUSALS = frozenset({429, 503})
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class FetchResult(msgspec.Struct, frozen=True):
    """What a read found.

    Parameters
    ==========
    body : bytes or None
        None when the platform has nothing there, or nothing new.
    etag : str
        Of the body; empty when the platform names none.
    changed : bool
        False when the body is still the one that was read under the given etag.
    """

    body: bytes | None
    etag: str = ""
    changed: bool = True


class PlatformTransport:
    """HTTP session, time limits and retry budget that the clients share.

    Parameters
    ==========
    config : hemlockhoist.store.PlatformConfig
    budget : RetryBudget
    backoff : Backoff
    """

    __slots__ = ("_backoff", "_budget", "_config", "_session")

    def __init__(self, config, budget, backoff):
        self._config = config
        self._budget = budget
        self._backoff = backoff
        self._session = None

    @classmethod
    def from_config(cls, config, rng=None):
        """Return a transport that is not started.

        Parameters
        ==========
        config : hemlockhoist.store.PlatformConfig
        rng : random.Random, optional
            Of the pauses between retries.
        """
        budget = RetryBudget.from_config(config)
        return cls(config, budget, Backoff.from_config(config, rng))

    async def start(self):
        """Open the session; connections are made when they are needed."""
        timeout = aiohttp.ClientTimeout(
            total=self._config.timeout_ms / MS_PER_S,
            sock_connect=self._config.connect_timeout_ms / MS_PER_S,
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=self._config.max_connections),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self):
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, path):
        """Read with retries.

        Parameters
        ==========
        path : str

        Returns
        =======
        bytes or None
            The body; None when the platform has nothing there.

        Raises
        ======
        PlatformError
            When the last attempt that the budget allowed failed.
        """
        return (await self.fetch(path)).body

    async def fetch(self, path, etag=""):
        """Read with retries, unless it is what was read before.

        Parameters
        ==========
        path : str
        etag : str, optional
            Of the body that was read before.

        Returns
        =======
        Fetched

        Raises
        ======
        PlatformError
            As for ``read``.
        """
        self._budget.on_call()
        attempt = 1
        while True:
            try:
                return await self._fetch_once(path, etag)
            except PlatformError:
                if not await self.wait_before_retry(attempt):
                    raise
            attempt += 1

    async def write(self, path, body):
        """Write, in one attempt.

        A write goes by POST: ``aiohttp`` sends GET, PUT and DELETE a second time by
        itself when the connection breaks, so that a PUT that took effect and lost its
        answer would come back as a conflict with itself.

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
            When the request may have been taken and no answer came.
        PlatformError
            When the request was not taken.
        """
        try:
            async with self._session.post(
                self._config.url + path,
                data=body,
                headers={"Content-Type": "application/json"},
            ) as response:
                answer = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformError(f"no connection to the platform: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreAnswerLost(f"no answer to POST {path}: {error!r}") from error
        return self._check_write(path, response.status, answer)

    def on_call(self):
        """Count a call of several attempts, which earns a part of a retry."""
        self._budget.on_call()

    async def wait_before_retry(self, attempt):
        """Pause before another attempt; return False when there may be none.

        Parameters
        ==========
        attempt : int
            The number of attempts made.
        """
        if attempt >= self._config.max_attempts or not self._budget.take():
            return False
        await asyncio.sleep(self._backoff.delay_ms(attempt) / MS_PER_S)
        return True

    async def _fetch_once(self, path, etag):
        headers = {"If-None-Match": etag} if etag else {}
        url = self._config.url + path
        try:
            async with self._session.get(url, headers=headers) as response:
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"GET {path} failed: {error!r}") from error
        if response.status == _NOT_FOUND:
            return FetchResult(None)
        if response.status == _NOT_MODIFIED:
            return FetchResult(None, etag, changed=False)
        if response.status >= _FIRST_ERROR_STATUS:
            raise PlatformError(f"GET {path} gave status {response.status}")
        return FetchResult(answer, response.headers.get("ETag", ""))

    def _check_write(self, path, status, answer):
        if status < _FIRST_ERROR_STATUS:
            return answer
        message = f"POST {path} gave status {status}"
        if status == _PRECONDITION_FAILED:
            raise StoreConflict(f"{message}: {answer.decode(errors='replace')}")
        if status >= _FIRST_SERVER_ERROR_STATUS and status not in _REFUSALS:
            raise StoreAnswerLost(message)
        raise PlatformError(message)
