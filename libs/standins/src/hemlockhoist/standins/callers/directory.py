"""Which hosts to use: asked of any host, kept for as long as it says."""

import random

import aiohttp
import msgspec

from hemlockhoist.standins.callers.responses import read_refusal

_HOSTS_PATH = "/v1/hosts"
_FAILED_MS = 2_000


class NoHostAnswered(Exception):
    """No host answered the question which hosts to use."""


class HostQueryRefused(Exception):
    """A host refused the question, and would again.

    Parameters
    ==========
    refusal : Refusal
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class HostsResponse(msgspec.Struct, frozen=True):
    """The answer of one host.

    Parameters
    ==========
    hosts : list of str
        ``IP:port`` to connect to.
    keep_ms : int
    host : str
        The one that answered.
    key_prefix : str
        Beginning of the idempotency keys that this host takes as its own.
    """

    hosts: list[str]
    keep_ms: int
    host: str
    key_prefix: str


class HostDirectory:
    """Asks, keeps the answer, and spreads over the hosts that it names.

    Parameters
    ==========
    session : aiohttp.ClientSession
    seeds : sequence of str
    headers : dict
        With the caller's key.
    clock : hemlockhoist.base.Clock
    rng : random.Random
    """

    __slots__ = (
        "_answer",
        "_clock",
        "_failed",
        "_headers",
        "_keep_until_ms",
        "_prefixes",
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
        self._answer = None
        self._keep_until_ms = 0
        self._prefixes = {}
        self._failed = {}
        self.query_count = 0

    @classmethod
    def from_config(cls, config, session, headers, clock):
        """Return a directory that has asked nobody yet."""
        return cls(session, config.seeds, headers, clock, random.Random(config.seed))

    async def pick(self):
        """Return the address of a host to use.

        Raises
        ======
        NoHost, HostsRefused
        """
        now_ms = self._clock.now_ms()
        if self._answer is None or now_ms >= self._keep_until_ms:
            await self._refresh()
        hosts = self._answer.hosts
        usable = [host for host in hosts if not self._has_failed(host)]
        return self._rng.choice(usable or hosts)

    async def key_prefix(self, host):
        """Return a host's prefix for keys, not older than it may be kept.

        Raises
        ======
        NoHost
            When the host does not answer.
        """
        prefix, until_ms = self._prefixes.get(host, ("", 0))
        if self._clock.now_ms() < until_ms:
            return prefix
        answer = await self._ask(host)
        if answer is None:
            self.record_failure(host)
            raise NoHostAnswered(host)
        return answer.key_prefix

    def record_failure(self, host):
        """Use other hosts for a while, and ask anew which ones there are."""
        now_ms = self._clock.now_ms()
        self._failed[host] = now_ms + _FAILED_MS
        self._keep_until_ms = min(self._keep_until_ms, now_ms)

    def _has_failed(self, host):
        return self._clock.now_ms() < self._failed.get(host, 0)

    async def _refresh(self):
        known = self._answer.hosts if self._answer is not None else []
        asked = list(dict.fromkeys([*known, *self._seeds]))
        self._rng.shuffle(asked)
        for host in sorted(asked, key=self._has_failed):
            answer = await self._ask(host)
            if answer is not None:
                self._answer = answer
                self._keep_until_ms = self._clock.now_ms() + answer.keep_ms
                return
        raise NoHostAnswered(f"none of {len(asked)} hosts answered")

    async def _ask(self, host):
        self.query_count += 1
        try:
            async with self._session.get(
                f"http://{host}{_HOSTS_PATH}", headers=self._headers
            ) as response:
                if response.status != 200:
                    _check_retryable(await read_refusal(response))
                    return None
                body = await response.read()
                answer = msgspec.json.decode(body, type=HostsResponse)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None
        until_ms = self._clock.now_ms() + answer.keep_ms
        self._prefixes[host] = (answer.key_prefix, until_ms)
        return answer


def _check_retryable(refusal):
    if refusal.retry_after_ms < 0:
        raise HostQueryRefused(refusal)
