"""Serves the key ledger of this host to its callers and its peers."""

import asyncio
import functools

import msgspec

from hemlockhoist.base import (
    MS_PER_S,
    BadRequest,
    DispatchError,
    HemlockhoistError,
    Refused,
    get_logger,
    result_info,
)
from hemlockhoist.decisions.ledger import (
    Attempt,
    InTransit,
    KeyLedger,
    OwnedBy,
    Proceed,
    Replay,
    WithdrawnTo,
    parse_key,
)
from hemlockhoist.messages import (
    Handover,
    HandoverAck,
    KeyLookup,
    LookupReply,
    StoredAnswer,
)

_log = get_logger("host.ledger")

# How long a key may be used after its prefix was requested, and how long a repeated
# call gets the stored answer. A record takes 768 bytes. At design load, with every
# tenth call non-idempotent, one hour takes 8.6 MB, but six hours took 51 MB of the
# 64 MB of a host.
RETENTION_MS = 3_600_000
LOOKUP_RESEND_MS = 200
# A live holder answers within milliseconds. After this time it is assumed to be dead or
# partitioned, and the caller gets "outcome unknown".
LOOKUP_TIMEOUT_MS = 2_000
MAX_LOOKUP_HOPS = 4
HANDOVER_RESEND_MS = 200
# Interval at which a call checks whether the handover of its key is confirmed, which
# takes milliseconds.
HANDOVER_CHECK_MS = 20
HANDOVER_TIMEOUT_MS = 3_000
RETRY_AFTER_MS = 1_000


class KeyClaim(msgspec.Struct, frozen=True):
    """The right to make the only attempt of a call, or the call's stored answer."""

    attempt: Attempt | None = None
    answer: StoredAnswer | None = None


class LedgerService:
    """Claims keys for calls, queries other holders and answers their lookups.

    Parameters
    ==========
    ledger : KeyLedger
    clock : Clock
    send : callable
        ``send(host_id, message)``.
    host_of : callable
        ``host_of(incarnation)`` returns the id of the live host with it, or "".
    """

    __slots__ = ("_clock", "_host_of", "_ledger", "_send", "_waiters")

    def __init__(self, ledger, clock, send, host_of):
        self._ledger = ledger
        self._clock = clock
        self._send = send
        self._host_of = host_of
        self._waiters = {}

    @classmethod
    def from_settings(cls, settings, identity, clock, invariants, send, host_of):
        """Return a service with an empty ledger."""
        ledger = KeyLedger.from_config(
            identity.incarnation,
            RETENTION_MS,
            settings.ledger_max_records,
            settings.answer_keep_bytes,
            invariants,
        )
        return cls(ledger, clock, send, host_of)

    @property
    def in_progress(self):
        """The number of attempts that have not ended."""
        return self._ledger.in_progress_count

    def mint_prefix(self):
        """Return the prefix with which callers of this host begin their keys."""
        return self._ledger.mint_prefix(self._clock.now_ms())

    async def claim(self, customer, key_text, fingerprint):
        """Return the right to run a call, or its stored answer.

        Parameters
        ==========
        customer, key_text : str
        fingerprint : bytes

        Returns
        =======
        KeyClaim

        Raises
        ======
        BadRequest, Refused
            The call did not run.
        DispatchError
            The call ran, is running or may have run.
        """
        key = parse_key(key_text)
        deadline_ms = self._clock.now_ms() + LOOKUP_TIMEOUT_MS
        result = await self._begin(customer, key, fingerprint, deadline_ms)
        for _ in range(MAX_LOOKUP_HOPS):
            if not isinstance(result, OwnedBy | WithdrawnTo):
                return _claim_from_result(result)
            result = await self._look_up(customer, key, fingerprint, result)
            if isinstance(result, InTransit):
                result = await self._begin(customer, key, fingerprint, deadline_ms)
        return _claim_from_result(
            self._ledger.abandon_lookup(customer, key, self._clock.now_ms())
        )

    async def _begin(self, customer, key, fingerprint, deadline_ms):
        """Begin a call, after waiting for a handover of its key from this host."""
        while True:
            now_ms = self._clock.now_ms()
            result = self._ledger.begin(customer, key, fingerprint, now_ms)
            if not isinstance(result, InTransit) or now_ms >= deadline_ms:
                return result
            await asyncio.sleep(HANDOVER_CHECK_MS / MS_PER_S)

    async def _look_up(self, customer, key, fingerprint, pending):
        """Query the holder of a key until it answers or the lookup times out."""
        lookup = pending.lookup
        future = asyncio.get_running_loop().create_future()
        self._waiters[(customer, key.text)] = future
        deadline_ms = self._clock.now_ms() + LOOKUP_TIMEOUT_MS
        try:
            while self._clock.now_ms() < deadline_ms:
                host = self._host_of(lookup.holder)
                if not host:
                    break
                self._send(host, lookup)
                done, _ = await asyncio.wait([future], timeout=LOOKUP_RESEND_MS / 1000)
                if done:
                    return future.result()
                if not self._ledger.awaits_reply(lookup):
                    now_ms = self._clock.now_ms()
                    return self._ledger.begin(customer, key, fingerprint, now_ms)
        except asyncio.CancelledError:
            # The caller has disconnected. If its record kept waiting, it would be
            # granted the key later and stay "in progress" forever.
            self._ledger.abandon_lookup(customer, key, self._clock.now_ms())
            if future.done():
                self._give_back(future.result())
            raise
        finally:
            if self._waiters.get((customer, key.text)) is future:
                del self._waiters[(customer, key.text)]
        return self._ledger.abandon_lookup(customer, key, self._clock.now_ms())

    async def run(self, attempt, dispatch):
        """Run a claimed call and record its outcome.

        Parameters
        ==========
        attempt : Attempt
        dispatch : callable
            ``dispatch(on_dispatch)`` returns an awaitable of the ``StoredAnswer``.

        Notes
        =====
        The call runs in a task of its own, so that its outcome is recorded even when
        the caller disconnects while it runs.
        """
        task = asyncio.create_task(self._run(attempt, dispatch))
        return await asyncio.shield(task)

    async def _run(self, attempt, dispatch):
        on_dispatch = functools.partial(self._mark_dispatched, attempt)
        try:
            answer = await dispatch(on_dispatch)
        except (Refused, BadRequest):
            self._ledger.mark_not_run(attempt, self._clock.now_ms())
            raise
        except BaseException:
            self._ledger.mark_unknown(attempt, self._clock.now_ms())
            raise
        self._ledger.mark_finished(attempt, answer, self._clock.now_ms())
        return answer

    def _mark_dispatched(self, attempt):
        self._ledger.mark_dispatched(attempt, self._clock.now_ms())

    def on_message(self, sender, message):
        """Handle a peer's message about keys."""
        _handle(message, self, sender)

    def record_successor(self, incarnation, successor):
        """Record which incarnation took over the ledger of a host that left."""
        self._ledger.record_successor(incarnation, successor)

    async def hand_over(self, successor):
        """Hand the ledger over to the incarnation ``successor`` before leaving.

        Returns
        =======
        bool
            Whether the successor has confirmed all of it.
        """
        deadline_ms = self._clock.now_ms() + HANDOVER_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            messages = self._ledger.handover(successor, self._clock.now_ms())
            if not messages:
                return True
            host = self._host_of(successor)
            if not host:
                return False
            for message in messages:
                self._send(host, message)
            await asyncio.sleep(HANDOVER_RESEND_MS / MS_PER_S)
        return False

    def _on_lookup(self, sender, lookup):
        reply = self._ledger.on_lookup(lookup, self._clock.now_ms())
        if reply is not None:
            self._send(sender, reply)

    def _on_reply(self, reply):
        result = self._ledger.on_lookup_reply(reply, self._clock.now_ms())
        future = self._waiters.get((reply.customer, reply.key))
        if result is None:
            return
        if future is not None and not future.done():
            future.set_result(result)
        else:
            self._give_back(result)

    def _give_back(self, result):
        """Give a key back that was granted, but that no caller waits to use."""
        if isinstance(result, Proceed):
            self._ledger.mark_not_run(result.attempt, self._clock.now_ms())

    def _on_handover(self, sender, message):
        ack = self._ledger.adopt_handover(message, self._clock.now_ms())
        if ack is None:
            return
        if ack.accepted:
            self._ledger.record_successor(message.leaver, message.successor)
        self._send(sender, ack)

    def _on_handover_ack(self, ack):
        self._ledger.on_handover_ack(ack, self._clock.now_ms())


@functools.singledispatch
def _handle(message, service, sender):
    """Pass a peer's message to the method that handles its type."""
    raise TypeError(type(message).__name__)


@_handle.register
def _(message: KeyLookup, service, sender):
    service._on_lookup(sender, message)


@_handle.register
def _(message: LookupReply, service, sender):
    service._on_reply(message)


@_handle.register
def _(message: Handover, service, sender):
    service._on_handover(sender, message)


@_handle.register
def _(message: HandoverAck, service, sender):
    service._on_handover_ack(message)


@functools.singledispatch
def _claim_from_result(result):
    """Return the claim for a result of the ledger, or raise the result's error."""
    row = result_info(result.code)
    raise _ERROR_BY_RAN[row.ran.value](
        "", result.code, RETRY_AFTER_MS if row.retryable else None
    )


@_claim_from_result.register
def _(result: Proceed):
    return KeyClaim(attempt=result.attempt)


@_claim_from_result.register
def _(result: Replay):
    return KeyClaim(answer=result.answer)


_ERROR_BY_RAN: dict[str, type[HemlockhoistError]] = {
    "not run": Refused,
    "run": DispatchError,
    "outcome unknown": DispatchError,
}
