"""What a home does about prompts and requests that crash upstreams."""

import itertools

from hemlockhoist.decisions import OutcomeKind

# An answer that goes on for so long after it began has not crashed its upstream.
ANSWER_WENT_ON_MS = 500


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
        "_begun",
        "_clock",
        "_grants",
        "_is_alone",
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
        return self._quarantine.kept_back(
            request, self._open_requests(request), self._is_alone
        )

    def check(self, request):
        """Return the same as ``kept_back`` for a request that is not sent."""
        open_requests = self._open_requests(request)
        return self._quarantine.check(request, open_requests, self._is_alone)

    def _open_requests(self, request):
        """Return a callable that returns all other requests, waiting or sent."""

        def open_requests():
            held = (
                self._scheduler.in_flight_grant(grant.grant_id)
                for grant in self._grants()
            )
            sent = (item.request for item in held if item is not None)
            return [
                other
                for other in itertools.chain(self._waiting(), sent)
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
            self._quarantine.on_answered_whole(request.fingerprint)
        elif message.is_upstream_lost or message.is_crash_suspect:
            parts = request.parts if message.is_crash_suspect else ()
            upstream_id = held.grant.upstream_id
            self._quarantine.on_crash(upstream_id, parts, request.fingerprint)

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
        """Count suspects' answers that have gone on for a while.

        Load: sound requests with a part that was suspected wait for the one that tries
        it, whose answer may take many seconds.
        """
        now_ms = self._clock.now_ms()
        for grant_id, begun_ms in list(self._begun.items()):
            if now_ms - begun_ms < ANSWER_WENT_ON_MS:
                continue
            del self._begun[grant_id]
            held = self._scheduler.in_flight_grant(grant_id)
            if held is not None:
                self._quarantine.on_parts_answered(held.request.parts)
