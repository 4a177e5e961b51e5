"""Polls the platform's list of hosts and upstreams, and the upstreams' load reports."""

import asyncio

import msgspec

from hemlockhoist.base import (
    DispatchError,
    PeriodicTask,
    PlatformError,
    Refused,
    get_logger,
)
from hemlockhoist.decisions import (
    LoadReport,
    Upstream,
    UpstreamState,
    evacuated_upstream,
)
from hemlockhoist.decisions.membership import ListedHost
from hemlockhoist.store import MemberKind, MemberState
from hemlockhoist.upstreams import UpstreamCall

_log = get_logger("host.upstreams")

LOAD_PATH = "/load"
LOAD_TIMEOUT_MS = 1_000


class _LoadAnswer(msgspec.Struct):
    """Body of an upstream's answer to ``GET /load``."""

    in_flight: int = 0
    queued: int = 0
    state: str = UpstreamState.LIVE.value
    age_ms: int = 0


class HostListWatch:
    """Polls the platform's list of hosts and upstreams.

    Parameters
    ==========
    client : HostListClient
    interval_ms : int
    on_list : callable
        ``on_list(members)`` is called with each list that is read.
    """

    __slots__ = ("_client", "_on_list", "_task")

    def __init__(self, client, interval_ms, on_list):
        self._client = client
        self._on_list = on_list
        self._task = PeriodicTask(interval_ms, self._poll)

    async def start(self):
        """Start polling."""
        await self._task.start()

    async def close(self):
        """Stop polling."""
        await self._task.close()

    async def _poll(self):
        try:
            members = await self._client.read()
        except PlatformError as error:
            # The last list remains in use: that the list service is unreachable says
            # nothing about the hosts and upstreams in the list.
            _log.warning("host_list_unreadable", reason=error.message)
            return
        self._on_list(members)


def listed_hosts(members):
    """Return the hosts in the platform's list."""
    return [
        ListedHost(
            address=member.peer_address,
            caller_address=member.address,
            failure_domain=member.failure_domain,
            leaving=member.state is MemberState.LEAVING,
        )
        for member in members
        if member.kind is MemberKind.ENTRY
    ]


def listed_upstreams(members):
    """Return the upstreams in the platform's list."""
    return [
        Upstream(
            upstream_id=member.member_id,
            pool=member.pool,
            version=member.version,
            address=member.address,
            failure_domain=member.failure_domain,
            generation=member.generation,
            state=_upstream_state(member),
        )
        for member in members
        if member.kind is MemberKind.UPSTREAM
    ]


def mark_evacuated(upstreams, evacuated):
    """Return the upstreams with those in evacuated failure domains marked.

    Parameters
    ==========
    upstreams : iterable of Upstream
    evacuated : collection of str
        Names of the evacuated failure domains.
    """
    return [
        evacuated_upstream(item) if item.failure_domain in evacuated else item
        for item in upstreams
    ]


def _upstream_state(member):
    if member.state is MemberState.LEAVING:
        return UpstreamState.LEAVING
    return UpstreamState.LIVE


class LoadWatch:
    """Polls the load of the upstreams whose pools have their home on this host.

    Parameters
    ==========
    client : UpstreamClient
    homes : HomeService
    interval_ms : int
    """

    __slots__ = ("_client", "_homes", "_task")

    def __init__(self, client, homes, interval_ms):
        self._client = client
        self._homes = homes
        self._task = PeriodicTask(interval_ms, self._poll_all)

    async def start(self):
        """Start polling."""
        await self._task.start()

    async def close(self):
        """Stop polling."""
        await self._task.close()

    async def _poll_all(self):
        upstreams = self._homes.watched_upstreams()
        await asyncio.gather(*(self._poll(item) for item in upstreams))

    async def _poll(self, upstream):
        call = UpstreamCall(
            address=upstream.address,
            method="GET",
            path=LOAD_PATH,
            idle_timeout_ms=LOAD_TIMEOUT_MS,
        )
        try:
            status, body = await self._client.fetch(call)
            answer = msgspec.json.decode(body, type=_LoadAnswer)
            state = UpstreamState(answer.state)
        except (DispatchError, Refused, msgspec.MsgspecError, ValueError):
            # The load of an upstream that does not report is estimated from its answers
            # alone.
            return
        if status != 200:
            return
        report = LoadReport(
            upstream_id=upstream.upstream_id,
            in_flight=answer.in_flight,
            queued=answer.queued,
            age_ms=answer.age_ms,
            state=state,
        )
        self._homes.observe_load(upstream.pool, report)
