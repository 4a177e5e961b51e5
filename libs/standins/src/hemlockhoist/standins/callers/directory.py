"""Client-side host discovery: the host list, cached as long as a host allows."""

import random

import aiohttp
import msgspec

from hemlockhoist.standins.callers.responses import read_refusal

_HOSTS_PATH = "/v1/hosts"
_AVOID_FAILED_MS = 2_000


class NoHostAnswered(Exception):
    """Raised when no host answered the query for the host list."""


class HostQueryRefused(Exception):
    """Raised when a host refused the query and a retry would be refused too.

    Parameters
    ==========
    refusal : Refusal
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class HostsResponse(msgspec.Struct, frozen=True):
    """Response of a host to ``GET /v1/hosts``.

    Parameters
    ==========
    hosts : list of str
        ``IP:port`` of the hosts to use.
    keep_ms : int
        How long the response may be cached.
    host : str
        Address of the host that answered.
    key_prefix : str
        Prefix of the idempotency keys that belong to this host.
    """

    hosts: list[str]
    keep_ms: int
    host: str
    key_prefix: str


class HostDirectory:
    """Queries and caches the host list, and picks hosts from it at random.

    Parameters
    ==========
    session : aiohttp.ClientSession
    seeds : sequence of str
    headers : dict
        Request headers with the caller's key.
    clock : hemlockhoist.base.Clock
    rng : random.Random
    """

    __slots__ = (
        "_avoid_until_ms",
        "_clock",
        "_expires_ms",
        "_headers",
        "_prefixes",
        "_response",
        "_rng",
        "_seeds",
        "_session",
        "query_count",
    )

    def __init__(self, session, seeds, headers, clock, rng):
        self._session = session
        self._seeds = tuple(seeds)
        self._headers = headers
        self._clock = clock
        self._rng = rng
        self._response = None
        self._expires_ms = 0
        self._prefixes = {}
        self._avoid_until_ms = {}
        self.query_count = 0

    @classmethod
    def from_config(cls, config, session, headers, clock):
        """Return a directory that has not queried any host."""
        return cls(session, config.seeds, headers, clock, random.Random(config.seed))

    async def pick(self):
        """Return the address of a host to use.

        Raises
        ======
        NoHostAnswered, HostQueryRefused
        """
        now_ms = self._clock.now_ms()
        if self._response is None or now_ms >= self._expires_ms:
            await self._refresh()
        hosts = self._response.hosts
        usable = [host for host in hosts if not self._is_avoided(host)]
        return self._rng.choice(usable or hosts)

    async def key_prefix(self, host):
        """Return the key prefix of a host, queried again when the cached one expired.

        Raises
        ======
        NoHostAnswered
            When the host does not answer.
        """
        prefix, expires_ms = self._prefixes.get(host, ("", 0))
        if self._clock.now_ms() < expires_ms:
            return prefix
        hosts_response = await self._query(host)
        if hosts_response is None:
            self.record_failure(host)
            raise NoHostAnswered(host)
        return hosts_response.key_prefix

    def record_failure(self, host):
        """Avoid a host for some time, and refresh the host list."""
        now_ms = self._clock.now_ms()
        self._avoid_until_ms[host] = now_ms + _AVOID_FAILED_MS
        self._expires_ms = min(self._expires_ms, now_ms)

    def _is_avoided(self, host):
        return self._clock.now_ms() < self._avoid_until_ms.get(host, 0)

    async def _refresh(self):
        known_hosts = self._response.hosts if self._response is not None else []
        candidates = list(dict.fromkeys([*known_hosts, *self._seeds]))
        self._rng.shuffle(candidates)
        for host in sorted(candidates, key=self._is_avoided):
            hosts_response = await self._query(host)
            if hosts_response is not None:
                self._response = hosts_response
                self._expires_ms = self._clock.now_ms() + hosts_response.keep_ms
                return
        raise NoHostAnswered(f"none of {len(candidates)} hosts answered")

    async def _query(self, host):
        self.query_count += 1
        try:
            async with self._session.get(
                f"http://{host}{_HOSTS_PATH}", headers=self._headers
            ) as response:
                if response.status != 200:
                    _check_retryable(await read_refusal(response))
                    return None
                body = await response.read()
                hosts_response = msgspec.json.decode(body, type=HostsResponse)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None
        expires_ms = self._clock.now_ms() + hosts_response.keep_ms
        self._prefixes[host] = (hosts_response.key_prefix, expires_ms)
        return hosts_response


def _check_retryable(refusal):
    if refusal.retry_after_ms < 0:
        raise HostQueryRefused(refusal)
