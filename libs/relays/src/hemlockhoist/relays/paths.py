"""The ways from a host to upstreams: its own links, or another host's."""

import asyncio
import collections
import contextlib
import functools

from hemlockhoist.base import MS_PER_S, DispatchError, Refused, ResultCode, get_logger
from hemlockhoist.base.metrics_table import RELAYS_REQUESTED
from hemlockhoist.decisions.entry import RelayCause, RelayPeers, UpstreamLinks
from hemlockhoist.messages import RelayOffer
from hemlockhoist.relays.client import RelayClient, RelayRefused

_log = get_logger("relays.paths")

# Time after the loss of a link in which an answer that is under way may still begin:
# connections may live on while new ones fail.
LOST_ANSWER_GRACE_MS = 400
MIN_RETRY_AFTER_MS = 300
# Time without an answer after which the next host is asked to relay as well. A host that
# reaches the upstream answers within two round trips.
ASK_NEXT_MS = 60
NO_HOST_LEFT = "no host that could relay is left"


class UpstreamPaths:
    """Sends requests to upstreams over this host's links, or through another host.

    Whether a host reaches an upstream is a property of the pair. A connection that
    fails is therefore tried through another host, unless this one has reached another
    upstream of the pool meanwhile. That serves the caller, and tells whose fault it is.
    A lost link is then no longer tried by requests, until a probe of this host's own
    finds it again.

    Parameters
    ==========
    client : UpstreamClient
    links : UpstreamLinks
    peers : RelayPeers
    relay_client : RelayClient
    context : HostContext or EntryContext
        Provides ``clock``, ``metrics`` and ``traces``.
    relay_members : callable
        ``relay_members(regions)`` returns the other hosts that may relay a request
        whose body is restricted to regions.
    on_reachable : callable
        ``on_reachable(pool, upstream_id)`` is called if another host reaches an
        upstream that this one has reported as unreachable.
    """

    __slots__ = (
        "_client",
        "_context",
        "_fault_checks",
        "_lost_pools",
        "_on_reachable",
        "_peers",
        "_prober",
        "_relay_client",
        "_relay_members",
        "_tasks",
        "_watchers",
        "links",
    )

    def __init__(
        self, client, links, peers, relay_client, context, relay_members, on_reachable
    ):
        self._client = client
        self.links = links
        self._peers = peers
        self._relay_client = relay_client
        self._context = context
        self._relay_members = relay_members
        self._on_reachable = on_reachable
        self._prober = None
        self._tasks = set()
        # Checks of broken connections in progress, by upstream.
        self._fault_checks = {}
        # What to call when the link to an upstream is lost, by pool.
        self._watchers = {}
        # Pools whose loss has been logged, with the time.
        self._lost_pools = {}

    @classmethod
    def from_context(cls, context, client, frames, request_id_header, relay_members):
        """Return the paths of a host.

        Parameters
        ==========
        context : HostContext or EntryContext
            Its identity and its ``grants`` have been set.
        client : UpstreamClient
        frames : RelayFrames
        request_id_header : str
        relay_members : callable
            As of the constructor.
        """
        identity = context.identity
        return cls(
            client,
            UpstreamLinks(),
            RelayPeers(identity.failure_domain, identity.incarnation),
            RelayClient(frames, request_id_header),
            context,
            relay_members,
            context.grants.report_reachable,
        )

    @property
    def connector(self):
        """The connector of the client for this host's own links."""
        return self._client.connector

    @property
    def response_ids(self):
        """As of ``UpstreamClient``."""
        return self._client.response_ids

    def connected(self, pool):
        """As ``UpstreamClient.connected``."""
        return self._client.connected(pool)

    def set_usable(self, addresses):
        """As ``UpstreamClient.set_usable``."""
        self._client.set_usable(addresses)

    def fetch(self, call):
        """As ``UpstreamClient.fetch``; only over this host's own links."""
        return self._client.fetch(call)

    def attach(self, call):
        """As ``UpstreamClient.attach``; only over this host's own links."""
        return self._client.attach(call)

    async def start(self):
        """Open the sessions."""
        await self._client.start()
        await self._relay_client.start()

    async def close(self):
        """Stop probing and close the sessions."""
        tasks = [*self._tasks, *filter(None, [self._prober])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._relay_client.close()
        await self._client.close()

    @contextlib.asynccontextmanager
    async def dispatch(self, call, guard):
        """Send a request to its upstream and yield the response.

        Parameters
        ==========
        call : UpstreamCall
        guard : SendGuard
            Gets the host through which the upstream was reached, or found unreachable.

        Raises
        ======
        Refused
            Nothing was sent. ``CONNECT_FAILED`` if the upstream can't be reached,
            ``LINK_LOST`` if only this host seems not to reach it.
        DispatchError
            When the request may have been sent.
        """
        async with contextlib.AsyncExitStack() as stack:
            yield await self._open(call, guard, stack)

    async def _open(self, call, guard, stack):
        members = self._relay_members(call.regions) if call.upstream_id else ()
        if not members:
            return await stack.enter_async_context(self._client.dispatch(call, guard))
        if self.links.is_lost(call.pool, call.upstream_id):
            return await self._open_relayed(call, guard, stack, members)
        begun_ms = self._now_ms()
        guard.on_connected = lambda: self._on_connected(
            call.pool, call.upstream_id, call.address
        )
        try:
            return await self._open_direct(call, guard, stack)
        except Refused as error:
            if error.code is not ResultCode.CONNECT_FAILED:
                raise
            self._on_failed(call)
            if self.links.has_reached_since(call.pool, begun_ms):
                # The upstream seems to be at fault, and the home should know at once.
                self._start(self._verify(call))
                raise
        return await self._open_relayed(call, guard, stack, members)

    async def _open_direct(self, call, guard, stack):
        limit = asyncio.timeout(None)
        dispatch = self._client.dispatch(call, guard)
        try:
            if not call.is_repeatable:
                return await stack.enter_async_context(dispatch)
            on_lost = functools.partial(_limit_wait, limit)
            with self.watched(call.pool, call.upstream_id, on_lost):
                async with limit:
                    return await stack.enter_async_context(dispatch)
        except TimeoutError as error:
            text = "the link to the upstream was lost, and no answer began"
            if not guard.dispatched:
                raise Refused(text, ResultCode.LINK_LOST) from error
            raise DispatchError(text, ResultCode.UPSTREAM_TIMEOUT) from error

    async def _open_relayed(self, call, guard, stack, members):
        """Send a request through the first host that is ready to relay it."""
        offer = self._offer(call, guard)
        try:
            relayed = await self._first_ready(call, offer, members)
        except RelayRefused as refusal:
            if refusal.cause is RelayCause.UNREACHABLE:
                guard.relay = refusal.host_id
                self.links.forget(call.upstream_id)
                raise Refused(refusal.reason, ResultCode.CONNECT_FAILED) from refusal
            wait_ms = self._retry_after_ms(call.pool)
            raise Refused(refusal.reason, ResultCode.LINK_LOST, wait_ms) from refusal
        stack.callback(relayed.close)
        host_id = relayed.candidate.host_id
        self._peers.begin(host_id)
        stack.callback(self._peers.end, host_id)
        guard.relay = host_id
        self._context.metrics.count(RELAYS_REQUESTED, "relayed")
        self._confirm(call.pool, call.upstream_id)
        return await relayed.send(call, guard)

    async def _first_ready(self, call, offer, members):
        """Return the ``RelayedRequest`` of the first host that reaches an upstream.

        Load: most hosts of a fleet have lost their links, and some of them don't know
        yet. A host that does not answer at once must not cost a caller its timeout, so
        the next one is asked beside it.

        Raises
        ======
        RelayRefused
            The refusal of a host that reaches other upstreams, or of the last one.
        """
        candidates = self._peers.candidates(
            members, call.pool, call.upstream_id, self._now_ms()
        )
        waiting = collections.deque(candidates)
        running, refusal = set(), RelayRefused(RelayCause.NO_LINK, NO_HOST_LEFT)
        try:
            while waiting or running:
                if waiting:
                    opening = self._relay_client.open(waiting.popleft(), offer)
                    running.add(asyncio.create_task(opening))
                limit_s = ASK_NEXT_MS / MS_PER_S if waiting else None
                done, running = await asyncio.wait(
                    running, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    error = task.exception()
                    if error is None:
                        running |= done - {task}
                        return task.result()
                    if not isinstance(error, RelayRefused):
                        running |= done - {task}
                        raise error
                    refusal = error
                    self._on_refused(call, error)
                    if error.cause is RelayCause.UNREACHABLE:
                        running |= done - {task}
                        raise error
        finally:
            for task in running:
                self._abandon(task)
        raise refusal

    def _abandon(self, task):
        """Cancel an offer that is not needed, also one that was just accepted."""
        task.cancel()
        task.add_done_callback(_close_unused)

    def _offer(self, call, guard, is_check=False):
        now_ms = self._now_ms()
        return RelayOffer(
            request_id=guard.request_id if guard else "",
            call_id=call.request_id,
            pool=call.pool,
            upstream_id=call.upstream_id,
            address=call.address,
            version=call.version,
            is_cold=call.is_cold,
            expires_in_ms=guard.expires_ms - now_ms if guard else 0,
            remaining_ms=call.idle_timeout_ms,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body_bytes=len(call.body),
            is_check=is_check,
            trace=self._context.traces.context_for_peer(),
        )

    def _retry_after_ms(self, pool):
        """Return when links of this host or of another may be found again."""
        now_ms = self._now_ms()
        probe_ms = self.links.next_probe_ms()
        waits_ms = [self._peers.wait_ms(pool, now_ms)]
        if probe_ms is not None:
            waits_ms.append(probe_ms - now_ms)
        return max(MIN_RETRY_AFTER_MS, min(waits_ms))

    # What is learned of links.

    def _on_connected(self, pool, upstream_id, address):
        if self.links.on_connected(pool, upstream_id, address, self._now_ms()):
            _log.info("upstream_link_regained", pool=pool, upstream=upstream_id)
        if pool in self._lost_pools:
            lost_ms = self._now_ms() - self._lost_pools.pop(pool)
            _log.info("links_regained", pool=pool, lost_ms=lost_ms)

    def _on_failed(self, call):
        pool, upstream_id = call.pool, call.upstream_id
        if self.links.link(upstream_id) is None:
            _log.warning("upstream_link_lost", pool=pool, upstream=upstream_id)
        self.links.on_failed(pool, upstream_id, call.address, self._now_ms())
        if self._prober is None or self._prober.done():
            self._prober = asyncio.create_task(self._probe_lost())

    def _confirm(self, pool, upstream_id):
        self.links.confirm(upstream_id)
        self._notify_watchers(pool, upstream_id)
        if self.links.is_pool_lost(pool) and pool not in self._lost_pools:
            self._lost_pools[pool] = self._now_ms()
            lost = ",".join(self.links.lost_in(pool))
            _log.warning("links_lost", pool=pool, upstreams=lost)

    def _on_refused(self, call, refusal):
        self._context.metrics.count(RELAYS_REQUESTED, refusal.cause.value)
        self._peers.record_refusal(
            refusal.host_id,
            call.pool,
            call.upstream_id,
            refusal.cause,
            self._now_ms(),
        )

    @contextlib.contextmanager
    def watched(self, pool, upstream_id, on_lost):
        """Call ``on_lost()`` if the link to an upstream is lost within this context."""
        watcher = (upstream_id, on_lost)
        watchers = self._watchers.setdefault(pool, set())
        watchers.add(watcher)
        try:
            yield
        finally:
            watchers.discard(watcher)
            if not watchers:
                self._watchers.pop(pool, None)

    def _notify_watchers(self, pool, upstream_id):
        is_pool_lost = self.links.is_pool_lost(pool)
        for watched_id, on_lost in tuple(self._watchers.get(pool, ())):
            if is_pool_lost or watched_id == upstream_id:
                on_lost()

    def check_link(self, call, report, is_relayed=False):
        """Find out why a connection was lost: its link, its upstream, or neither.

        Parameters
        ==========
        call : UpstreamCall
            Whose connection was lost.
        report : callable
            ``report(is_link_at_fault, is_upstream_lost)`` is called once that is known.
            An upstream that no host reaches any more has been lost.
        is_relayed : bool, optional
            Whether another host passed the request on.
        """
        self._start(self._check_link(call, report, is_relayed))

    async def _check_link(self, call, report, is_relayed):
        is_at_fault = is_upstream_lost = False
        try:
            is_at_fault, is_upstream_lost = await self.find_fault(call, is_relayed)
        finally:
            report(is_at_fault, is_upstream_lost)

    async def find_fault(self, call, is_relayed=False):
        """Return whether this host's link, and whether the upstream, has been lost.

        Parameters
        ==========
        call : UpstreamCall
            Whose connection was lost.
        is_relayed : bool, optional
            Whether another host passed the request on.

        Returns
        =======
        (bool, bool)
            Both may be true if none of several hosts reaches the upstream.

        Notes
        =====
        Connections that an upstream's end breaks at the same moment share one answer.
        Failure prevented: the first of them finds the link lost, and takes that for the
        state in which the second one finds it.
        """
        if is_relayed:
            cause = await self._verify(call)
            is_lost = cause is RelayCause.UNREACHABLE
            # Else nobody has reached the upstream since, and nobody can tell why.
            return cause is not None and not is_lost, is_lost
        upstream_id = call.upstream_id
        task = self._fault_checks.get(upstream_id)
        if task is None:
            task = self._fault_checks[upstream_id] = self._start(self._find_fault(call))
            task.add_done_callback(lambda _: self._fault_checks.pop(upstream_id, None))
        return await asyncio.shield(task)

    async def _find_fault(self, call):
        if self.links.is_lost(call.pool, call.upstream_id):
            return True, self._seems_gone(call)
        if await self._probe(call):
            return False, False
        if not self._relay_members(call.regions):
            return False, True
        self._on_failed(call)
        cause = await self._verify(call)
        if cause is RelayCause.UNREACHABLE:
            return False, True
        return True, cause is not None and self._seems_gone(call)

    def _seems_gone(self, call):
        """Return whether no host is known to reach an upstream, but others of its pool.

        Several hosts lose the same upstream at the same moment: none of them can tell
        the others whose fault it is, as each has just lost its own link.
        """
        link = self.links.link(call.upstream_id)
        is_alone = link is not None and not link.is_confirmed
        return is_alone and not self.links.is_pool_lost(call.pool)

    async def _verify(self, call):
        """Let other hosts try to reach an upstream; return the cause if none does."""
        offer = self._offer(call, None, is_check=True)
        members = self._relay_members(call.regions)
        try:
            relayed = await self._first_ready(call, offer, members)
        except RelayRefused as refusal:
            if refusal.cause is RelayCause.UNREACHABLE:
                self.links.forget(call.upstream_id)
            return refusal.cause
        relayed.close()
        self._confirm(call.pool, call.upstream_id)
        self._on_reachable(call.pool, call.upstream_id)
        return None

    async def _probe(self, call):
        is_reached = await self._client.probe(call.address)
        if is_reached:
            self._on_connected(call.pool, call.upstream_id, call.address)
        return is_reached

    async def _probe_lost(self):
        """Probe the lost links, one at a time, until none is left."""
        while (due_ms := self.links.next_probe_ms()) is not None:
            await asyncio.sleep(max(0, due_ms - self._now_ms()) / MS_PER_S)
            upstream_id = self.links.next_probe(self._now_ms())
            link = self.links.link(upstream_id)
            if link is None:
                continue
            if await self._client.probe(link.address):
                self._on_connected(link.pool, upstream_id, link.address)
            else:
                self.links.on_failed(
                    link.pool, upstream_id, link.address, self._now_ms()
                )

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _now_ms(self):
        return self._context.clock.now_ms()


def _limit_wait(limit):
    """Let a wait for an answer end soon, as the answer may never begin."""
    if limit.when() is None:
        loop = asyncio.get_running_loop()
        limit.reschedule(loop.time() + LOST_ANSWER_GRACE_MS / MS_PER_S)


def _close_unused(task):
    if not task.cancelled() and task.exception() is None:
        task.result().close()
