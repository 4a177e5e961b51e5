"""What a home does about prompts that crash upstreams."""

import itertools

from hemlockhoist.decisions import OutcomeKind

# An answer that goes on for so long after it began has not crashed its upstream.
ANSWER_WENT_ON_MS = 500


class PromptChecks:
    """Applies the fleet's evidence against parts of prompts to one home's requests.

    Parameters
    ==========
    quarantine : QuarantineService
    scheduler : PoolScheduler
    clock : Clock
    """

    __slots__ = ("_begun", "_clock", "_quarantine", "_scheduler")

    def __init__(self, quarantine, scheduler, clock):
        self._quarantine = quarantine
        self._scheduler = scheduler
        self._clock = clock
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

    def kept_back(self, request, waiting, grants):
        """Return the ``KeptBack`` of a request that must not be sent now, or None.

        Parameters
        ==========
        request : WorkRequest
        waiting : callable
            Returns the requests in the home's queue.
        grants : callable
            Returns the grants that the home has issued.
        """
        is_busy = self._is_busy(request, waiting, grants)
        return self._quarantine.kept_back(request, is_busy)

    def check(self, request, waiting, grants):
        """Return the same as ``kept_back`` for a request that is not sent."""
        return self._quarantine.check(request, self._is_busy(request, waiting, grants))

    def _is_busy(self, request, waiting, grants):
        """Return a predicate that says whether another request with a part is open."""

        def is_busy(part):
            held = (self._scheduler.in_flight_grant(g.grant_id) for g in grants())
            running = (item.request for item in held if item is not None)
            return any(
                part in other.parts and other.request_id != request.request_id
                for other in itertools.chain(waiting(), running)
            )

        return is_busy

    def on_first_token(self, grant_id):
        """Record that the answer under a grant has begun."""
        held = self._scheduler.in_flight_grant(grant_id)
        if held is not None and self._quarantine.is_suspect(held.request):
            self._begun[grant_id] = self._clock.now_ms()

    def on_release(self, message):
        """Record what the end of a request says about its prompt."""
        held = self._scheduler.in_flight_grant(message.grant_id)
        self._begun.pop(message.grant_id, None)
        if held is None or not held.request.parts:
            return
        if message.is_answered:
            self._quarantine.on_answer(held.request.parts)
        elif message.is_crash_suspect:
            self._quarantine.on_crash(held.grant.upstream_id, held.request.parts)

    def explains(self, held, kind):
        """Return whether a prompt is taken for the cause of a broken answer.

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
                self._quarantine.on_answer(held.request.parts)
