"""One route's calls of one kind: how many may reach the new version.

Shares are counted: each grant of either version earns the new version a part of a
grant, and it is spent whole. So a share of 1 % is one grant in a hundred, also for a
route with little traffic, and a burst gets no more than its part.
"""

from hemlockhoist.decisions.versions.evidence import LaneEvidence
from hemlockhoist.decisions.versions.move import FULL_PERMILLE

# Earned grants that were not used, as the new version had no free place, lapse
# beyond this: a new version that was full gets no burst afterwards.
MAX_CREDIT_PERMILLE = 1000
# The first grant comes half a period after the move begins, not at once: a home
# that takes over begins a period anew, and hosts come and go all day.
START_CREDIT_PERMILLE = 500
# While an alarm lacks answers of the old version to confirm it, half the requests go
# there: so they come within a few requests, whichever way the verdict falls.
SUSPECT_PERMILLE = 500
# Requests that the new version may hold unanswered whatever its share; beside that,
# twice what its share of the old version's would be. A version that hangs gives no
# answer to judge by: what it holds is all the harm it can do until it is overdue.
MIN_OUTSTANDING = 2
_OUTSTANDING_FACTOR = 2
# With all traffic on the new version, what it holds beyond these goes to the old one
# while that is kept. Made for a version that turns bad or hangs then: a burst of
# requests is lost before the first answer shows it. Twice what it held when it last
# answered well covers the coming and going of ordinary load.
MIN_OUTSTANDING_AT_FULL_SHARE = 12
_FULL_SHARE_FACTOR = 1.5
_TYPICAL_WEIGHT = 1 / 16


class InFlightRequest:
    """A request that the new version holds."""

    __slots__ = ("entry_host", "granted_ms", "is_overdue", "upstream_id")

    def __init__(self, granted_ms, upstream_id, entry_host):
        self.entry_host = entry_host
        self.granted_ms = granted_ms
        self.upstream_id = upstream_id
        self.is_overdue = False


class Lane:
    """Counts, share and evidence of one route's calls of one kind.

    Parameters
    ==========
    route : str
    idempotent : bool
    rules : hemlockhoist.declarations.VersionRules
    now_ms : int
    """

    __slots__ = (
        "_cumulative_share_permille",
        "_credit_permille",
        "evidence",
        "first_seen_ms",
        "granted_count",
        "idempotent",
        "is_suspect",
        "new_count",
        "old_outstanding",
        "overdue_count",
        "route",
        "share_permille",
        "answers_at_step_start",
        "step_started_ms",
        "typical_outstanding",
        "in_flight",
    )

    def __init__(self, route, idempotent, rules, now_ms):
        self.route = route
        self.idempotent = idempotent
        self.share_permille = 0
        self.granted_count = 0
        self.new_count = 0
        self.overdue_count = 0
        self.is_suspect = False
        self.old_outstanding = 0
        self.in_flight = {}
        self.evidence = LaneEvidence(rules)
        self.first_seen_ms = now_ms
        self.typical_outstanding = 0.0
        self.step_started_ms = now_ms
        self.answers_at_step_start = 0
        self._credit_permille = START_CREDIT_PERMILLE
        self._cumulative_share_permille = 0

    @property
    def key(self):
        """What tells the lane from others of its pool."""
        return (self.route, self.idempotent)

    @property
    def is_due(self):
        """Whether the next grant belongs to the new version, by count."""
        return self._credit_permille + self.effective_permille >= FULL_PERMILLE

    @property
    def effective_permille(self):
        """The share that is granted now: less than reached, while under suspicion."""
        if self.is_suspect:
            return min(self.share_permille, SUSPECT_PERMILLE)
        return self.share_permille

    @property
    def outstanding(self):
        """How many requests the new version holds that are not overdue yet.

        Overdue ones have been judged as failures; were they counted on, a version
        that hangs would get no further request and so no verdict.
        """
        return len(self.in_flight) - self.overdue_count

    @property
    def max_outstanding(self):
        """How many requests the new version may hold unanswered."""
        rest = max(1, FULL_PERMILLE - self.share_permille)
        part = self.old_outstanding * self.share_permille / rest
        return MIN_OUTSTANDING + int(_OUTSTANDING_FACTOR * part)

    @property
    def max_outstanding_at_full_share(self):
        """How many requests it may hold unanswered where it has all traffic."""
        return MIN_OUTSTANDING_AT_FULL_SHARE + int(
            _FULL_SHARE_FACTOR * self.typical_outstanding
        )

    def record_success(self):
        """Take notice that the new version has answered well, at what it holds."""
        self.typical_outstanding += _TYPICAL_WEIGHT * (
            self.outstanding - self.typical_outstanding
        )

    @property
    def is_within_share(self):
        """Whether the new version's grants are within its shares so far.

        Counted apart from the credit that decides, so that a fault there shows.
        """
        allowed = self._cumulative_share_permille + MAX_CREDIT_PERMILLE
        return self.new_count * FULL_PERMILLE <= allowed

    def requests_per_s(self, now_ms):
        """Return the lane's traffic since it was first seen."""
        return 1000 * self.granted_count / max(1000, now_ms - self.first_seen_ms)

    def set_share(self, share_permille, now_ms, keep_evidence=False):
        """Take a share; the evidence for the next one begins anew.

        Parameters
        ==========
        share_permille : int
        now_ms : int
        keep_evidence : bool, optional
            Set among the shares that need no evidence: what a few answers in a
            hundred show holds for a few more, and non-idempotent calls are too
            precious to be made twice.
        """
        if share_permille == self.share_permille:
            return
        self.share_permille = share_permille
        self.step_started_ms = now_ms
        self.evidence.has_all_traffic = share_permille >= FULL_PERMILLE
        if not keep_evidence:
            self.answers_at_step_start = self.evidence.answer_count
            self.evidence.restart_step()

    def record_old_grant(self):
        """Count a grant of the old version."""
        self.granted_count += 1
        self.old_outstanding += 1
        self._add_credit()

    def record_new_grant(self, request, upstream_id, now_ms):
        """Count a grant of the new version."""
        self.granted_count += 1
        self.new_count += 1
        self._add_credit()
        self._credit_permille -= FULL_PERMILLE
        self.add_in_flight(request, upstream_id, now_ms)

    def remove_in_flight(self, request_id):
        """Forget a request that was answered; return what was held, or None."""
        held = self.in_flight.pop(request_id, None)
        if held is not None:
            self.overdue_count -= held.is_overdue
        return held

    def add_in_flight(self, request, upstream_id, now_ms):
        """Remember a request that the new version holds."""
        held = InFlightRequest(now_ms, upstream_id, request.entry_host)
        self.in_flight[request.request_id] = held

    def newly_overdue(self, load, last_report_ms, now_ms):
        """Return the requests whose answer has just become overdue, and mark them.

        Parameters
        ==========
        load : float
        last_report_ms : dict
            When each entry host last reported an outcome.
        now_ms : int
        """
        if not self.in_flight:
            return []
        limit_ms = self.evidence.reference.overdue_ms(load)
        overdue = []
        # Insertion order is the order of grants: the first that is in time ends it.
        for item in self.in_flight.values():
            due_ms = item.granted_ms + limit_ms
            if now_ms <= due_ms:
                break
            # An entry host that has been silent since may be dead: then its missing
            # reports would speak against a version that has answered long ago.
            if (
                not item.is_overdue
                and last_report_ms.get(item.entry_host, -1) >= due_ms
            ):
                item.is_overdue = True
                self.overdue_count += 1
                overdue.append(item)
        return overdue

    def _add_credit(self):
        share = self.effective_permille
        self._cumulative_share_permille += share
        credit = self._credit_permille + share
        self._credit_permille = min(MAX_CREDIT_PERMILLE, credit)
