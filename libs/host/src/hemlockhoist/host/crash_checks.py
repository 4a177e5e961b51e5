"""What a home does about prompts and requests that crash upstreams."""

import itertools

from hemlockhoist.decisions import OutcomeKind, UpstreamState
from hemlockhoist.decisions.quarantine import AbandonedRuns
from hemlockhoist.decisions.quarantine.abandoned_runs import MAX_AGE_MS, UNKNOWN_MS

# An answer that goes on for so long after it began has not crashed its upstream.
ANSWER_WENT_ON_MS = 500
# How a request ends that an upstream may have run, without the end of an answer.
_ABANDONED = frozenset(
    {
        OutcomeKind.BROKE_OFF.value,
        OutcomeKind.CANCELLED.value,
        OutcomeKind.LINK_LOST.value,
        OutcomeKind.TIMEOUT.value,
    }
)


class CrashChecks:
    """Applies the fleet's evidence against parts and requests to one home's requests.

    Parameters
    ==========
    quarantine : QuarantineService
    scheduler : PoolScheduler
    clock : Clock
    waiting : callable
        Returns the requests in the home's queue.
    grants : callable
        Returns the grants that the home has issued.
    is_alone : bool, optional
        Whether the home decides for one host, without knowing what the others send.
    """

    __slots__ = (
        "_abandoned",
        "_begun",
        "_clock",
        "_grants",
        "_is_alone",
        "_live",
        "_quarantine",
        "_scheduler",
        "_waiting",
    )

    def __init__(self, quarantine, scheduler, clock, waiting, grants, is_alone=False):
        self._quarantine = quarantine
        self._scheduler = scheduler
        self._clock = clock
        self._waiting = waiting
        self._grants = grants
        self._is_alone = is_alone
        # When the answers to requests with a suspected part began, by grant.
        self._begun = {}
        self._abandoned = AbandonedRuns()
        self._live = frozenset()

    def on_request(self, request):
        """Count a request that came for the first time."""
        self._quarantine.on_request(request)

    def on_sent(self, request):
        """Record that a request is granted an upstream."""
        self._quarantine.on_sent(request)

    def on_held_grants(self, message):
        """Merge the evidence that an entry host reports to a new home."""
        self._quarantine.merge(message.part_records)

    def kept_back(self, request):
        """Return the ``KeptBack`` of a request that must not be sent now, or None.

        Parameters
        ==========
        request : WorkRequest
        """
        kept_back = self._quarantine.kept_back(
            request, self._open_requests(request), self._is_alone
        )
        if kept_back is None:
            self._quarantine.on_admitted(request)
        return kept_back

    def on_adopted(self, request):
        """Count a copy that a previous home granted."""
        self._quarantine.on_adopted(request)

    def on_ended(self, request):
        """Record that a request was refused, or left the queue."""
        self._quarantine.on_ended(request)

    def check(self, request):
        """Return the same as ``kept_back`` for a request that is not sent."""
        open_requests = self._open_requests(request)
        return self._quarantine.check(request, open_requests, self._is_alone)

    def _open_requests(self, request):
        """Return a callable that returns all other requests, waiting or sent.

        Those that were given up are among them until their upstreams have been looked
        at.
        """

        def open_requests():
            held = (
                self._scheduler.in_flight_grant(grant.grant_id)
                for grant in self._grants()
            )
            sent = (item.request for item in held if item is not None)
            unknown = self._abandoned.unknown(self._clock.now_ms())
            return [
                other
                for other in itertools.chain(self._waiting(), sent, unknown)
                if other.request_id != request.request_id
            ]

        return open_requests

    def on_first_token(self, grant_id):
        """Record that the answer under a grant has begun."""
        held = self._scheduler.in_flight_grant(grant_id)
        if held is not None and self._quarantine.is_suspect(held.request):
            self._begun[grant_id] = self._clock.now_ms()

    def on_release(self, message):
        """Record what the end of a request says about it, and about its prompt."""
        held = self._scheduler.in_flight_grant(message.grant_id)
        self._begun.pop(message.grant_id, None)
        if held is None:
            return
        request = held.request
        if message.is_answered:
            self._quarantine.on_parts_answered(request.parts)
        if message.outcome == OutcomeKind.SUCCESS.value:
            if not message.is_continued:
                self._quarantine.on_answered_whole(request.fingerprint)
        elif message.is_upstream_lost or message.is_crash_suspect:
            parts = request.parts if message.is_crash_suspect else ()
            self._on_crash(held.grant.upstream_id, parts, request.fingerprint)
        elif message.outcome in _ABANDONED:
            self._on_abandoned(held, message.first_token_ms >= 0)
            return
        self._quarantine.on_ended(request)

    def _on_crash(self, upstream_id, parts, fingerprint):
        """Record that an upstream ended under a request, and under abandoned ones."""
        self._quarantine.on_crash(upstream_id, parts, fingerprint)
        self._charge_abandoned(upstream_id, UNKNOWN_MS)

    def _charge_abandoned(self, upstream_id, within_ms):
        now_ms = self._clock.now_ms()
        for run in self._abandoned.take_at(upstream_id, now_ms, within_ms):
            self._charge(run)

    def _charge(self, run):
        fingerprint = run.request.fingerprint
        self._quarantine.on_crash(run.upstream_id, run.suspect_parts, fingerprint)
        self._quarantine.on_ended(run.request)

    def _on_abandoned(self, held, is_begun):
        """Record a run that was given up, and that its upstream may go on with."""
        grant = held.grant
        now_ms = self._clock.now_ms()
        self._abandoned.add(
            grant.grant_id, held.request, grant.upstream_id, is_begun, now_ms
        )
        if self._quarantine.has_crashed_since(grant.upstream_id, held.granted_ms):
            self._charge(self._abandoned.take(grant.grant_id))

    def on_upstream_lost(self, message):
        """Record that an upstream ended shortly after a run had been given up."""
        self._abandoned.take(message.grant_id)
        self._on_crash(message.upstream_id, message.parts, message.fingerprint)

    def on_host_lost(self, grants):
        """Record the runs of a lost entry host, which nobody will report."""
        for grant in grants:
            held = self._scheduler.in_flight_grant(grant.grant_id)
            if held is not None:
                self._on_abandoned(held, is_begun=False)

    def on_upstreams(self, upstreams):
        """Record the upstreams that are no longer listed, and were not to leave."""
        listed = {item.upstream_id for item in upstreams}
        if not listed:
            return
        for upstream_id in self._live - listed:
            self._charge_abandoned(upstream_id, MAX_AGE_MS)
        self._live = frozenset(
            item.upstream_id for item in upstreams if item.state is UpstreamState.LIVE
        )

    def explains(self, held, kind):
        """Return whether a request is taken for the cause of a broken answer.

        Parameters
        ==========
        held : InFlightGrant or None
        kind : OutcomeKind
        """
        if held is None or kind is not OutcomeKind.BROKE_OFF:
            return False
        return self._quarantine.explains_crash(held.grant.upstream_id)

    def tick(self):
        """Forget old runs, and count suspects' answers that have gone on for a while.

        Load: sound requests with a part that was suspected wait for the one that tries
        it, whose answer may take many seconds.
        """
        now_ms = self._clock.now_ms()
        for run in self._abandoned.expire(now_ms):
            self._quarantine.on_ended(run.request)
        for grant_id, begun_ms in list(self._begun.items()):
            if now_ms - begun_ms < ANSWER_WENT_ON_MS:
                continue
            del self._begun[grant_id]
            held = self._scheduler.in_flight_grant(grant_id)
            if held is not None:
                self._quarantine.on_parts_answered(held.request.parts)
