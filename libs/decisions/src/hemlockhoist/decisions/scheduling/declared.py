"""Upstreams that declare how many requests they work on at once."""

from hemlockhoist.decisions.scheduling.limits import DeclaredLimit
from hemlockhoist.decisions.scheduling.pace import EnginePace, PoolPace
from hemlockhoist.decisions.scheduling.reach import FailureRate, Reach
from hemlockhoist.decisions.scheduling.recovery import DECLARED_RECOVERY_MS
from hemlockhoist.decisions.work import OutcomeKind

US_PER_MS = 1_000
# One way to another failure domain takes about 1.5 ms more, and a request makes a few
# of them; bytes between domains are paid for besides.
OTHER_DOMAIN_MS = 30.0
# An answer that fails costs its caller about this much: the time until it is tried
# elsewhere. Counted by how much more often than others an upstream fails.
FAILED_ANSWER_MS = 1_500.0
# A request that is this much over its expected first token, and this many times, says
# that its upstream has stalled.
STALLED_FACTOR = 3.0
STALLED_ALLOWANCE_MS = 300.0
STALLED_MS = 1_000.0
# The part of an answer's decoding that counts when upstreams are compared. Decoding
# does not delay the first token; it holds a place that others will want.
DECODE_PART = 0.25
# A request waits for a better upstream only where it would be in time there with this
# part of its time: what it waits for is an estimate.
IN_TIME_PART = 0.8
# An answer's length is an estimate: an upstream counts as too slow for a request where
# one that is this much longer would not end by the deadline.
LENGTH_ALLOWANCE = 1.5
# Until an upstream's first answer has ended.
INITIAL_HOLD_MS = 500.0
HOLD_WEIGHT = 0.1
# Prompts are computed between the tokens of the answers under way. Where a prompt
# would make their pauses longer than declared, it counts as much for each of them.
PAUSED_ANSWER_MS = 400.0
# Part of a declared pause that prompts may take: the rest is for the tokens.
PROMPT_PART = 0.8

_FAILURES = frozenset({OutcomeKind.FAILED, OutcomeKind.BROKE_OFF, OutcomeKind.TIMEOUT})
_UNREACHED = frozenset({OutcomeKind.CONNECT_FAILED})


class DeclaredTrack:
    """What a home knows of one such upstream.

    Parameters
    ==========
    upstream : Upstream
    pool_pace : PoolPace
    """

    __slots__ = (
        "failure_domain",
        "failures",
        "hold_ms",
        "limit",
        "pace",
        "pending",
        "prompts_done_ms",
        "reach",
        "stalled",
    )

    def __init__(self, upstream, pool_pace):
        self.failure_domain = upstream.failure_domain
        self.limit = DeclaredLimit(upstream.places)
        self.pace = EnginePace(pool_pace)
        self.reach = Reach()
        self.failures = FailureRate()
        self.prompts_done_ms = 0.0
        self.hold_ms = INITIAL_HOLD_MS
        self.pending = {}
        self.stalled = 0

    def prompts_ms(self, request):
        """Return for how long the prompts here and a request's take the engine."""
        tokens = sum(tokens for tokens, _ in self.pending.values())
        return self.pace.prompt_ms(tokens + request.prompt_tokens)

    def first_token_ms(self, request, now_ms):
        """Return the expected time until a request's first token here."""
        wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        prompt_ms = self.pace.prompt_ms(request.prompt_tokens)
        return wait_ms + prompt_ms + self.pace.base_ms()

    def ends_in_time(self, request, now_ms):
        """Return whether a whole answer is expected here before the deadline."""
        decode_ms = LENGTH_ALLOWANCE * self.pace.decode_ms(request.output_tokens)
        end_ms = now_ms + self.first_token_ms(request, now_ms) + decode_ms
        return end_ms <= request.deadline_ms

    def on_grant(self, held, now_ms):
        """Count a request's prompt."""
        request = held.request
        held.prompt_wait_ms = max(0.0, self.prompts_done_ms - now_ms)
        due_ms = now_ms + self.first_token_ms(request, now_ms)
        self.prompts_done_ms = due_ms - self.pace.base_ms()
        self.pending[held.grant.grant_id] = (request.prompt_tokens, due_ms)

    def on_prompt_done(self, held, now_ms):
        """Stop counting a prompt: its first token came, or its grant came back.

        What is still pending bounds the expected time: a wrong estimate then keeps the
        upstream idle no longer than one prompt takes.
        """
        if self.pending.pop(held.grant.grant_id, None) is None:
            return
        rest = sum(tokens for tokens, _ in self.pending.values())
        rest_ms = self.pace.prompt_ms(rest)
        self.prompts_done_ms = min(self.prompts_done_ms, now_ms + rest_ms)

    def count_stalled(self, now_ms):
        """Count the requests that are far over their expected first token."""
        self.stalled = sum(
            1
            for _, due_ms in self.pending.values()
            if now_ms > due_ms + STALLED_ALLOWANCE_MS + STALLED_FACTOR * self._usual_ms
        )

    @property
    def _usual_ms(self):
        return self.pace.base_ms()


class DeclaredTracks:
    """The tracks of a pool's upstreams; the interface is that of ``UpstreamTracks``."""

    __slots__ = ("_gaps_ms", "_pace", "_tracks")
    recovery_ms = DECLARED_RECOVERY_MS

    def __init__(self):
        self._tracks = {}
        self._pace = PoolPace()
        # By route, as declared.
        self._gaps_ms = {}

    def set_max_limit(self, max_limit):
        """Do nothing: the upstreams' own word is the bound."""

    def keep(self, upstreams):
        """Begin tracks for new upstreams, and drop those of vanished ones."""
        former = self._tracks
        self._tracks = {}
        for item in upstreams:
            track = former.get(item.upstream_id)
            if track is None:
                track = DeclaredTrack(item, self._pace)
            track.limit.places = item.places
            self._tracks[item.upstream_id] = track

    def set_usable(self, upstreams, now_ms):
        """Do nothing: nothing is held back for being one of too many."""

    def get(self, upstream_id):
        """Return the track of a listed upstream, or None."""
        return self._tracks.get(upstream_id)

    def cached_elsewhere(self, request, upstream_id):
        """Return 0: what the upstreams keep of prompts is not followed."""
        return 0

    def places(self, upstream_id, now_ms):
        """Return how many requests an upstream may hold."""
        track = self._tracks[upstream_id]
        in_flight = len(track.pending)
        return track.limit.places if track.reach.is_open(now_ms, in_flight) else 0

    def takes_prompts(self, upstream_id, now_ms):
        """Return True: prompts that wait at an upstream count where it is chosen."""
        return True

    def hold_ms(self, request):
        """Return for how long a request holds a place, at the pool's usual pace."""
        return self._pace.hold_ms(request)

    def turn_ms(self, arrived_ms, cost_ms, due_ms):
        """Return when a request's turn is, within its customer's.

        The request that would be late first goes first: a long prompt has to begin
        sooner than a short one to be in time, and is worth more to its caller.
        """
        return due_ms

    def choose(self, request, choices, in_flight, now_ms, ahead=0):
        """Return the upstream for a request, or None where it should wait.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        choices : sequence of hemlockhoist.decisions.Upstream
            With a free place.
        in_flight : callable
            Returns the count in flight of an upstream id.
        now_ms : int
        ahead : int, optional
            Requests before this one that wait for a better upstream.
        """
        usual_rate = self._usual_failure_rate(now_ms)
        pausing = self._pausing(request, now_ms)
        best = min(
            choices,
            key=lambda item: self._cost_ms(
                request, item, in_flight(item.upstream_id), usual_rate, pausing, now_ms
            ),
            default=None,
        )
        if best is None:
            return None
        if self._is_better_later(request, best, pausing, ahead, now_ms):
            return None
        return best

    def _is_better_later(self, request, best, pausing, ahead, now_ms):
        """Return whether a request should wait for an upstream that is full.

        Made for long prompts in a burst, on engines of unlike speed: the place that is
        free first is a slow engine's, where the prompt alone takes longer than its
        caller's target, or makes the answers under way pause for longer than declared.
        It waits only where it would be late or do harm here, and neither there.
        """
        left_ms = request.first_token_by_ms - now_ms
        here = self._tracks[best.upstream_id]
        if left_ms <= 0:
            return False
        is_late = here.first_token_ms(request, now_ms) > left_ms
        is_late = is_late or not here.ends_in_time(request, now_ms)
        if not is_late and here not in pausing:
            return False
        frees_per_ms = 0.0
        soonest_ms = None
        for track in self._tracks.values():
            first_ms = track.first_token_ms(request, now_ms)
            if track is here or not track.reach.is_open(now_ms, len(track.pending)):
                continue
            if track in pausing:
                continue
            if not track.ends_in_time(request, now_ms):
                continue
            if first_ms <= IN_TIME_PART * left_ms:
                frees_per_ms += track.limit.places / max(1.0, track.hold_ms)
                soonest_ms = min(first_ms, soonest_ms or first_ms)
        if not frees_per_ms:
            return False
        wait_ms = (1 + ahead) / frees_per_ms
        return soonest_ms + wait_ms <= IN_TIME_PART * left_ms

    def _cost_ms(self, request, upstream, held, usual_rate, pausing, now_ms):
        """Return what a request costs at an upstream, in its caller's time.

        Made for engines that differ several times in speed: a slow one is as good as
        any for a short prompt, and no good for a long one.
        """
        track = self._tracks[upstream.upstream_id]
        cost_ms = track.first_token_ms(request, now_ms)
        cost_ms += DECODE_PART * track.pace.decode_ms(request.output_tokens)
        cost_ms += held * track.pace.base_ms() / max(1, track.limit.places)
        more_failures = track.failures.rate(now_ms) - usual_rate
        cost_ms += FAILED_ANSWER_MS * max(0.0, more_failures)
        cost_ms += STALLED_MS * track.stalled
        if track in pausing:
            cost_ms += PAUSED_ANSWER_MS * max(1, held)
        if not track.ends_in_time(request, now_ms):
            cost_ms += FAILED_ANSWER_MS
        if request.failure_domain != track.failure_domain:
            cost_ms += OTHER_DOMAIN_MS
        return cost_ms

    def _pausing(self, request, now_ms):
        """Return the upstreams whose answers a prompt would pause beyond the declared.

        The shortest pause that any route of the pool declares is kept to; where none
        does, no pause counts. A prompt that no upstream computes within it is one that
        engines compute in parts: it would go to an idle slow one, where it is late.
        """
        gap_ms = min(self._gaps_ms.values(), default=None)
        if gap_ms is None:
            return frozenset()
        usable = [
            track
            for track in self._tracks.values()
            if track.reach.is_open(now_ms, len(track.pending))
        ]
        most_ms = PROMPT_PART * gap_ms
        found = frozenset(t for t in usable if t.prompts_ms(request) > most_ms)
        return found if len(found) < len(usable) else frozenset()

    def _usual_failure_rate(self, now_ms):
        """Return the lowest failure rate: what a request can not escape anywhere."""
        rates = [track.failures.rate(now_ms) for track in self._tracks.values()]
        return min(rates, default=0.0)

    def drift(self):
        """Do nothing: an upstream that is not chosen keeps its pace until it is."""

    def on_grant(self, held, now_ms):
        """Count a grant."""
        if held.request.max_gap_ms > 0:
            self._gaps_ms[held.request.route] = held.request.max_gap_ms
        self._tracks[held.grant.upstream_id].on_grant(held, now_ms)

    def on_first_token(self, held, first_token_ms, now_ms):
        """Learn from a first token that is told before the answer's end."""
        track = self._tracks.get(held.grant.upstream_id)
        if track is None or held.first_token_known:
            return
        held.first_token_known = True
        track.on_prompt_done(held, now_ms)
        track.reach.on_reached()
        if held.prompt_wait_ms <= 0:
            track.pace.observe_first(held.request.prompt_tokens, first_token_ms)

    def on_outcome(self, held, outcome, hold_ms, predicted_ms, now_ms):
        """Learn from a returned grant."""
        track = self._tracks.get(held.grant.upstream_id)
        if track is None:
            return
        track.on_prompt_done(held, now_ms)
        if outcome.kind in _UNREACHED:
            track.reach.on_failed(now_ms)
        elif outcome.kind in _FAILURES:
            track.failures.observe(True, now_ms)
        elif outcome.kind is OutcomeKind.SUCCESS:
            track.reach.on_reached()
            track.failures.observe(False, now_ms)
            track.hold_ms += HOLD_WEIGHT * (hold_ms - track.hold_ms)
            self._learn_pace(track, held, outcome)

    def _learn_pace(self, track, held, outcome):
        if not outcome.output_tokens:
            track.pace.observe_whole(outcome.total_ms)
        elif outcome.token_us > 0:
            track.pace.observe_token(outcome.token_us / US_PER_MS)

    def forget(self, held, now_ms):
        """Stop counting a grant whose outcome nobody will report."""
        track = self._tracks.get(held.grant.upstream_id)
        if track is not None:
            track.on_prompt_done(held, now_ms)

    def on_overdue(self, upstream_id, overdue, ratio, now_ms):
        """Do nothing: stalls are counted with each look at the upstreams."""

    def review(self, now_ms):
        """Count what has stalled; to be called at each tick."""
        for track in self._tracks.values():
            track.count_stalled(now_ms)
