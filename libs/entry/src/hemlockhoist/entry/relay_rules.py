"""What an entry host checks before it relays a request of another host."""

from multidict import CIMultiDict

from hemlockhoist.decisions.entry import MemoryPurpose, RelayCause
from hemlockhoist.entry.signals import SignalRecorder, SignalSource
from hemlockhoist.relays import RelayRules

# Rank of relayed requests in the memory budget, so that helping other hosts leaves
# memory for the requests of this host's own callers.
RELAYED_RANK = 1_000


class EntryRelayRules(RelayRules):
    """The rules of an entry host, which knows upstreams, back-offs and version moves.

    The other host has made the same checks. Both are bound: an upstream counts what it
    asked a host for against the host that sends to it, which is this one.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = ("_memory", "_signals")

    def __init__(self, context):
        super().__init__(context)
        self._memory = context.memory
        self._signals = SignalRecorder(context)

    def refusal(self, offer):
        """Return the ``RelayCause`` for which a request is not relayed, or None."""
        if not self._context.store_view.is_complete:
            return RelayCause.NOT_ALLOWED
        cause = super().refusal(offer)
        if cause is None and not self._memory.fits(offer.body_bytes, RELAYED_RANK):
            return RelayCause.BUSY
        return cause

    def on_begin(self, offer):
        """Count a relayed request, and account its body."""
        super().on_begin(offer)
        purpose = MemoryPurpose.BODIES_KEPT
        self._memory.try_reserve(purpose, offer.body_bytes, RELAYED_RANK)

    def on_end(self, offer):
        """Stop counting a relayed request."""
        super().on_end(offer)
        self._memory.release(MemoryPurpose.BODIES_KEPT, offer.body_bytes)

    def check_send(self, offer):
        """Check that a request may be sent to its upstream now."""
        self._context.drain.check_relayed(offer.remaining_ms)
        self._context.store_view.check_upstream(offer.upstream_id, offer.is_cold)
        self._signals.check_not_backed_off(offer.upstream_id)
        self._context.moves.check_version(offer.pool, offer.version)

    def on_head(self, offer, head):
        """Record what the head of an answer says about the upstream to this host."""
        wire = self._context.platform.wire
        parsed = wire.read_response_head(head.status, CIMultiDict(head.headers))
        started_unix_ms = self._context.store_view.started_unix_ms(offer.upstream_id)
        source = SignalSource(offer.pool, offer.upstream_id, started_unix_ms)
        self._signals.apply(parsed, source, offer.request_id)
