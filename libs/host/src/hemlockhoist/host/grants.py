"""The entry side of grants: ask the pool's home, wait, give back."""

import asyncio
import functools

import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    Refused,
    ResultCode,
    UpstreamCold,
    UpstreamEvacuated,
    UpstreamLeft,
)
from hemlockhoist.decisions import granting_incarnation
from hemlockhoist.messages import (
    ColdUpstream,
    EvacuatedDomain,
    FirstToken,
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HeldGrant,
    HeldGrantIds,
    HeldGrants,
    LeftUpstream,
    NotHome,
    RequestBrief,
)

# A reply takes a few milliseconds, and up to a tenth of a second where the home's
# processor is rationed; after this the request or its reply is taken for lost and is
# sent again, which is harmless (the home knows it by its id).
RESEND_MS = 120
# A queued request asks this often whether it is still queued.
QUEUED_RESEND_MS = 1_000
# A home that misses two questions is frozen, cut off or dead, and the pool is better
# scheduled by the next one; a single message may be lost.
MAX_UNANSWERED = 2
# Questions in a row that no home answered, after which the entry host decides alone by
# what it knows itself. With the resend time, a caller then waits less than half a second
# for a home that is frozen or cut off, whatever the other hosts think of it.
ALONE_AFTER = 3
# Longest time without a word from any home. Membership finds a dead host within
# about two seconds, and the next home answers at once.
HOME_SILENCE_MS = 5_000
# Between a home that says it is none and the next question: views of the fleet
# settle within a probe or two.
NOT_HOME_PAUSE_MS = 50
RETRY_AFTER_MS = 1_000


class GrantHold(msgspec.Struct, frozen=True, kw_only=True):
    """A grant as the entry host holds it, on its own clock.

    ``home`` is the host that gave it; ``is_cold`` says that it knew the upstream to be
    cold.
    """

    pool: str
    brief: RequestBrief
    grant_id: str
    upstream_id: str
    address: str
    version: str
    expires_ms: int
    home: str = ""
    is_alone: bool = False
    is_cold: bool = False


# Put into a waiter's inbox when the home that it asked is home no longer.
_ASK_AGAIN = object()


class _Waiter:
    """A request that waits for a grant."""

    __slots__ = (
        "ask_ms",
        "asked",
        "heard_ms",
        "hint",
        "inbox",
        "is_alone",
        "pool",
        "request_id",
        "silences",
        "unanswered",
    )

    def __init__(self, pool, request_id):
        self.pool = pool
        self.request_id = request_id
        self.asked = ""
        self.hint = ""
        self.unanswered = 0
        self.silences = 0
        self.is_alone = False
        self.ask_ms = 0
        self.heard_ms = 0
        self.inbox = asyncio.Queue()


class GrantClient:
    """Obtains and returns grants for the requests of this host.

    Parameters
    ==========
    clock : Clock
    send : callable
        ``send(host_id, message)``.
    home_of : callable
        ``home_of(pool)`` gives the host id of the pool's home, or "".
    on_unresponsive : callable
        ``on_unresponsive(host_id)`` is called when a home does not answer.
    reconnect : callable, optional
        ``reconnect(host_id)`` takes a new connection to a home that missed a question.
    own_id : callable, optional
        Returns this host's id where it may decide alone; by default it may not.
    usage_log : UsageLog, optional
        Notes what customers spend.
    incarnation : str, optional
        This host's incarnation.
    """

    __slots__ = (
        "_clock",
        "_counted_at",
        "_held",
        "_home_of",
        "_incarnation",
        "_on_unresponsive",
        "_own_id",
        "_reconnect",
        "_refusal",
        "_send",
        "_started_ms",
        "_usage_log",
        "_waiters",
    )

    def __init__(
        self,
        clock,
        send,
        home_of,
        on_unresponsive,
        reconnect=lambda host_id: None,
        own_id=lambda: "",
        usage_log=None,
        incarnation="",
    ):
        self._incarnation = incarnation
        self._usage_log = usage_log
        self._own_id = own_id
        self._reconnect = reconnect
        self._on_unresponsive = on_unresponsive
        self._clock = clock
        self._send = send
        self._home_of = home_of
        self._started_ms = clock.now_ms()
        self._waiters = {}
        self._held = {}
        # By grant: the homes that count it since they asked what is held here.
        self._counted_at = {}
        self._refusal = None

    def held(self):
        """Return the grants held now."""
        return tuple(self._held.values())

    @property
    def is_refusing(self):
        """Whether requests of this host are given no further places."""
        return self._refusal is not None

    def refuse_waiting(self, code, retry_after_ms):
        """Refuse all requests that wait for a place, from here on.

        Failure: a host that was told to stop still has requests in a queue. When the
        process ends, their callers see a closed connection, and can not tell that
        nothing ran.
        """
        self._refusal = (code, retry_after_ms)
        for waiter in self._waiters.values():
            waiter.inbox.put_nowait((_ASK_AGAIN, 0))

    async def acquire(self, pool, brief, deadline_ms):
        """Wait for a grant.

        Parameters
        ==========
        pool : str
        brief : callable
            ``brief(now_ms)`` gives the ``RequestBrief`` with what is left of the
            deadline then.
        deadline_ms : int

        Returns
        =======
        GrantHold

        Raises
        ======
        Refused
            Nothing was sent to an upstream.
        """
        now_ms = self._clock.now_ms()
        waiter = _Waiter(pool, brief(now_ms).request_id)
        self._waiters[waiter.request_id] = waiter
        home = ""
        granted = False
        try:
            home, hold = await self._ask(waiter, brief, deadline_ms)
            granted = True
            return hold
        finally:
            del self._waiters[waiter.request_id]
            if not granted:
                self._cancel(waiter, home)

    async def _ask(self, waiter, brief, deadline_ms):
        waiter.heard_ms = waiter.ask_ms = self._clock.now_ms()
        while True:
            self._check_patience(waiter, deadline_ms)
            if self._clock.now_ms() >= waiter.ask_ms:
                self._send_question(waiter, brief)
            reply = await self._next_reply(waiter, min(waiter.ask_ms, deadline_ms))
            if reply is None:
                self._count_silence(waiter)
                continue
            message, late_ms = reply
            hold = self._take_reply(waiter, brief, message, late_ms)
            if hold is not None:
                return waiter.asked, hold

    def _check_patience(self, waiter, deadline_ms):
        if self._refusal is not None:
            raise Refused("", *self._refusal)
        now_ms = self._clock.now_ms()
        if now_ms >= deadline_ms:
            raise Refused("", ResultCode.DEADLINE_PASSED, RETRY_AFTER_MS)
        if now_ms - waiter.heard_ms >= HOME_SILENCE_MS:
            raise Refused("", ResultCode.HOME_UNREACHABLE, RETRY_AFTER_MS)

    def _send_question(self, waiter, brief):
        now_ms = self._clock.now_ms()
        waiter.is_alone = waiter.silences >= ALONE_AFTER and bool(self._own_id())
        if waiter.is_alone:
            waiter.asked = self._own_id()
        else:
            waiter.asked = waiter.hint or self._home_of(waiter.pool)
        waiter.hint = ""
        waiter.ask_ms = now_ms + RESEND_MS
        if waiter.asked:
            message = GrantRequest(
                pool=waiter.pool, brief=brief(now_ms), is_alone=waiter.is_alone
            )
            self._send(waiter.asked, message)

    def _take_reply(self, waiter, brief, message, late_ms):
        """Return the grant that a reply brings, or None to go on waiting.

        Raises
        ======
        Refused
            When the home refused.
        """
        now_ms = self._clock.now_ms()
        waiter.unanswered = 0
        if message is _ASK_AGAIN:
            waiter.ask_ms = now_ms
            return None
        waiter.heard_ms = now_ms
        waiter.silences = 0
        if isinstance(message, GrantRefusal):
            raise Refused(message.reason, message.code, message.retry_after_ms)
        if isinstance(message, GrantReply):
            hold = self._take(waiter, message, brief(now_ms), late_ms)
            # One that came too late has been given back; ask for another.
            waiter.ask_ms = now_ms
            return hold
        if isinstance(message, GrantQueued):
            # The next question only makes sure that the home still knows: asking at
            # once would go round as fast as messages travel.
            waiter.ask_ms = now_ms + QUEUED_RESEND_MS
        elif isinstance(message, NotHome):
            waiter.hint = message.home_host
            waiter.ask_ms = now_ms + NOT_HOME_PAUSE_MS
        return None

    def _count_silence(self, waiter):
        """Report a home that leaves several questions in a row without an answer."""
        waiter.unanswered += 1
        waiter.silences += 1
        if waiter.asked:
            self._reconnect(waiter.asked)
        if waiter.asked and waiter.unanswered == MAX_UNANSWERED:
            waiter.unanswered = 0
            self._on_unresponsive(waiter.asked)

    async def _next_reply(self, waiter, until_ms):
        wait_s = max(0, until_ms - self._clock.now_ms()) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                return await waiter.inbox.get()
        except TimeoutError:
            return None

    def _take(self, waiter, message, brief, late_ms):
        """Return the grant, or None when it was too long under way."""
        hold = GrantHold(
            pool=message.pool,
            brief=brief,
            grant_id=message.grant_id,
            upstream_id=message.upstream_id,
            address=message.address,
            version=message.version,
            expires_ms=self._clock.now_ms() + message.expires_in_ms - late_ms,
            home=waiter.asked,
            is_alone=waiter.is_alone,
            is_cold=message.is_cold,
        )
        if message.expires_in_ms <= late_ms:
            self._release_unsent(hold)
            return None
        self._held[hold.grant_id] = hold
        if self._usage_log is not None:
            now_ms = self._clock.now_ms()
            home_run = granting_incarnation(hold.grant_id)
            self._usage_log.add(
                hold.pool, home_run, brief.customer, brief.units, now_ms
            )
        return hold

    def _cancel(self, waiter, home):
        target = home or self._home_of(waiter.pool)
        if target:
            message = GrantCancel(
                pool=waiter.pool,
                request_id=waiter.request_id,
                is_alone=waiter.is_alone,
            )
            self._send(target, message)

    def report_first_token(self, hold, first_token_ms):
        """Tell the home how long the first token of an answer took."""
        message = FirstToken(
            pool=hold.pool, grant_id=hold.grant_id, first_token_ms=first_token_ms
        )
        self._tell_homes(hold, message)

    def report_outdated(self, hold, error):
        """Tell the home what it did not know of the upstream that it granted.

        Failure: a home that is behind grants an upstream again and again that no host
        may send to.

        Parameters
        ==========
        hold : GrantHold
        error : GrantOutdated
        """
        if error.version is not None:
            self._send(hold.home, _news(error))

    def _tell_homes(self, hold, message):
        """Send a message on a grant to whoever may count it.

        Failure: hosts disagree for a second on which of them is home. A grant of one
        home is given back to the other, and holds its place at the first until long
        after its request's deadline. So the home that gave it hears of it, the present
        one, which may have taken it over, and each that has asked for it since.
        """
        homes = {self._home_of(hold.pool), *self._counted_at.get(hold.grant_id, ())}
        if hold.is_alone:
            own = msgspec.structs.replace(message, is_alone=True)
            self._send(self._own_id(), own)
        else:
            homes.add(hold.home)
        for home in homes - {""}:
            self._send(home, message)

    def release(self, hold, outcome):
        """Give a grant back.

        Parameters
        ==========
        hold : GrantHold
        outcome : hemlockhoist.decisions.Outcome
        """
        if self._held.pop(hold.grant_id, None) is None:
            return
        self._send_release(hold, outcome.kind.value, outcome)
        self._counted_at.pop(hold.grant_id, None)

    def _release_unsent(self, hold):
        self._send_release(hold, "not_sent", None)

    def _send_release(self, hold, kind, outcome):
        message = GrantRelease(
            pool=hold.pool,
            request_id=hold.brief.request_id,
            grant_id=hold.grant_id,
            outcome=kind,
            first_token_ms=outcome.first_token_ms if outcome else -1,
            total_ms=outcome.total_ms if outcome else -1,
            output_tokens=outcome.output_tokens if outcome else 0,
            cached_tokens=outcome.cached_tokens if outcome else 0,
            token_us=outcome.token_us if outcome else -1,
        )
        self._tell_homes(hold, message)

    def on_message(self, message, late_ms, sender=""):
        """Take a reply of a home.

        Parameters
        ==========
        message : GrantReply, GrantRefusal, GrantQueued or NotHome
        late_ms : int
        sender : str, optional
            The home.
        """
        waiter = self._waiters.get(message.request_id)
        if waiter is not None:
            waiter.inbox.put_nowait((message, late_ms))
        elif isinstance(message, GrantReply) and message.grant_id not in self._held:
            # The request was given up, or has another grant, while this one was
            # under way: the home must have the place back.
            self._send_release(_hold_of(message, sender), "not_sent", None)

    def on_homes_changed(self):
        """Ask the new homes at once for what waits at former ones."""
        for waiter in self._waiters.values():
            if waiter.asked != self._home_of(waiter.pool):
                waiter.inbox.put_nowait((_ASK_AGAIN, 0))

    def report_held(self, pool, home_incarnation, home):
        """Return the answer to a new home's question.

        Failure: a home is killed and starts again at its address. Taken for the run
        that had counted what was spent, it is not told, and gives a customer its
        allowance once more. So runs are told apart, not hosts.

        Parameters
        ==========
        pool, home_incarnation, home : str
            The home by its run and by its address.
        """
        held = [hold for hold in self._held.values() if hold.pool == pool]
        for hold in held:
            self._counted_at.setdefault(hold.grant_id, set()).add(home)
        grants = tuple(_held_grant(hold) for hold in held)
        spent = ()
        if self._usage_log is not None:
            now_ms = self._clock.now_ms()
            spent = self._usage_log.report(pool, home_incarnation, now_ms)
        return HeldGrants(
            pool=pool,
            home_incarnation=home_incarnation,
            grants=grants,
            usage=spent,
            up_ms=self._clock.now_ms() - self._started_ms,
            incarnation=self._incarnation,
        )

    def send_held_ids(self, pools):
        """Tell the home of each pool which grants this host still holds."""
        for pool in pools:
            home = self._home_of(pool)
            ids = tuple(h.grant_id for h in self._held.values() if h.pool == pool)
            if home:
                self._send(home, HeldGrantIds(pool=pool, grant_ids=ids))


@functools.singledispatch
def _news(error):
    """Return the message that tells a home why a grant is outdated."""
    raise TypeError(type(error).__name__)


@_news.register
def _(error: UpstreamLeft):
    return LeftUpstream(upstream_id=error.upstream_id, version=error.version)


@_news.register
def _(error: UpstreamEvacuated):
    return EvacuatedDomain(failure_domain=error.failure_domain, version=error.version)


@_news.register
def _(error: UpstreamCold):
    return ColdUpstream(
        upstream_id=error.upstream_id, version=error.version, cold_ms=error.cold_ms
    )


def _held_grant(hold):
    return HeldGrant(
        brief=hold.brief,
        grant_id=hold.grant_id,
        upstream_id=hold.upstream_id,
        address=hold.address,
        version=hold.version,
    )


def _hold_of(message, home):
    brief = RequestBrief(
        request_id=message.request_id,
        route="",
        customer="",
        tier_rank=0,
        deadline_in_ms=0,
        first_token_in_ms=0,
    )
    return GrantHold(
        pool=message.pool,
        brief=brief,
        grant_id=message.grant_id,
        upstream_id=message.upstream_id,
        address=message.address,
        version=message.version,
        expires_ms=0,
        home=home,
    )
