"""What upstreams say about themselves in the heads of their answers to this host."""

import msgspec

from hemlockhoist.base import UpstreamBackedOff, get_logger
from hemlockhoist.decisions import UpstreamState
from hemlockhoist.messages import NO_LIMIT, UpstreamSignals

_log = get_logger("entry.exchange")


class SignalSource(msgspec.Struct, frozen=True):
    """The upstream process that sent an answer.

    Parameters
    ==========
    pool, upstream_id : str
    started_unix_ms : int or None
        Its start time as listed; None if it is not listed.
    """

    pool: str
    upstream_id: str
    started_unix_ms: int | None


class SignalRecorder:
    """Records and applies the signals of upstreams.

    Parameters
    ==========
    context : EntryContext
    """

    __slots__ = ("_context",)

    def __init__(self, context):
        self._context = context

    def record(self, head, attempt, request_id):
        """Record the signals in the head of an answer to this host's own request.

        Parameters
        ==========
        head : ResponseHead
        attempt : Attempt
            Gets the ``UpstreamSignals``.
        request_id : str
        """
        hold = attempt.hold
        attempt.head_ms = self._context.clock.now_ms()
        source = SignalSource(hold.pool, hold.upstream_id, attempt.started_unix_ms)
        attempt.signals = self.apply(head, source, request_id) or attempt.signals

    def apply(self, head, source, request_id):
        """Record the signals in the head of an answer; return them, or None.

        Another process that answers at its address says nothing about the upstream.

        Parameters
        ==========
        head : ResponseHead
        source : SignalSource
        request_id : str

        Returns
        =======
        UpstreamSignals or None
        """
        if head.is_misdirected:
            return None
        self._record_limit(head, source, request_id)
        self._record_brittle(head, source, request_id)
        self._record_back_off(head, source, request_id)
        started_unix_ms = source.started_unix_ms if head.is_leaving else None
        if started_unix_ms is not None:
            store_view = self._context.store_view
            store_view.on_upstream_leaving(source.upstream_id, started_unix_ms)
        return UpstreamSignals(
            limit_per_s=head.limit_per_s,
            back_off_ms=head.back_off_ms,
            leaving_started_unix_ms=started_unix_ms,
            rejections_per_s=head.rejections_per_s,
            is_rejection=head.is_rejection and head.rejections_per_s != NO_LIMIT,
            slowdown_percent=head.slowdown_percent,
        )

    def _record_limit(self, head, source, request_id):
        limits, now_ms = self._context.advertised_limits, self._context.clock.now_ms()
        if limits.record(source.pool, source.upstream_id, head.limit_per_s, now_ms):
            is_limited = head.limit_per_s != NO_LIMIT
            _log.info(
                "limit_advertised" if is_limited else "limit_withdrawn",
                request=request_id,
                upstream=source.upstream_id,
                pool=source.pool,
                requests_per_s=head.limit_per_s if is_limited else "",
            )

    def _record_brittle(self, head, source, request_id):
        limits, now_ms = self._context.brittle_limits, self._context.clock.now_ms()
        per_s = head.rejections_per_s
        if limits.record(source.pool, source.upstream_id, per_s, now_ms):
            is_brittle = per_s != NO_LIMIT
            _log.info(
                "brittle_advertised" if is_brittle else "brittle_withdrawn",
                request=request_id,
                upstream=source.upstream_id,
                pool=source.pool,
                rejections_per_s=per_s if is_brittle else "",
            )

    def _record_back_off(self, head, source, request_id):
        back_offs, now_ms = self._context.back_offs, self._context.clock.now_ms()
        if back_offs.record(source.pool, source.upstream_id, head.back_off_ms, now_ms):
            _log.info(
                "back_off_requested",
                request=request_id,
                upstream=source.upstream_id,
                pool=source.pool,
                back_off_ms=head.back_off_ms,
            )

    def known(self, upstream_id):
        """Return what this host knows and the upstream's home does not seem to know."""
        now_ms = self._context.clock.now_ms()
        listing = self._context.store_view.listing
        return UpstreamSignals(
            back_off_ms=self._context.back_offs.remaining_ms(upstream_id, now_ms),
            leaving_started_unix_ms=listing.announced_start(upstream_id),
        )

    def check_not_backed_off(self, upstream_id):
        """Refuse to send to an upstream that wants no requests from this host.

        Its home may have granted it before it learned of that.

        Raises
        ======
        UpstreamBackedOff
        """
        now_ms = self._context.clock.now_ms()
        remaining_ms = self._context.back_offs.remaining_ms(upstream_id, now_ms)
        if remaining_ms:
            raise UpstreamBackedOff(upstream_id, remaining_ms)

    def back_off_wait_ms(self, pool):
        """Return after how long any upstream of a pool takes requests of this host."""
        back_offs, now_ms = self._context.back_offs, self._context.clock.now_ms()
        waits_ms = (
            back_offs.remaining_ms(item.upstream_id, now_ms)
            for item in self._context.store_view.usable()
            if item.pool == pool and item.state is UpstreamState.LIVE
        )
        return min(waits_ms, default=0)
