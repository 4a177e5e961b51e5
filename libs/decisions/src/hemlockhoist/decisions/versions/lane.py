"""Traffic split of one lane: the idempotent or non-idempotent calls of one route.

Shares are enforced by counting, not by random sampling: each grant of either version
adds the share to the credit of the new version, and each grant of the new version uses
up one full credit. So a share of 1 % is one grant in a hundred, also for a route with
little traffic, and a burst does not exceed its share.
"""

from hemlockhoist.decisions.versions.evidence import LaneEvidence
from hemlockhoist.decisions.versions.move import FULL_PERMILLE

# Upper limit of unused credit: a new version that had no free slot for a while gets no
# burst afterwards.
MAX_CREDIT_PERMILLE = 1000
# The first grant comes half a period after the start of the move, not at once. A home
# that takes over starts a new period, and homes change often.
START_CREDIT_PERMILLE = 500
# While a suspicion awaits answers of the old version, at least half of the requests go
# there, so that the comparison needs few requests, whatever its verdict.
SUSPECT_PERMILLE = 500
# Unanswered requests that the new version may hold at any share, in addition to twice
# its proportional share of the old version's. A version that hangs gives no answers to
# evaluate, so this bounds the requests it affects until they are overdue.
MIN_OUTSTANDING = 2
_OUTSTANDING_FACTOR = 2
# Unanswered requests that the new version may hold at full share, in addition to its
# typical number times the factor below; further ones go to the old version while it is
# available. Otherwise, if the version hangs or becomes bad, a burst of requests is lost
# before the first answer shows it. The factor covers ordinary variation of the load.
MIN_OUTSTANDING_AT_FULL_SHARE = 12
_TYPICAL_FACTOR = 1.5
_TYPICAL_WEIGHT = 1 / 16


class InFlightRequest:
    """A request that the new version has not answered yet."""

    __slots__ = ("entry_host", "granted_ms", "is_overdue", "upstream_id")

    def __init__(self, granted_ms, upstream_id, entry_host):
        self.entry_host = entry_host
        self.granted_ms = granted_ms
        self.upstream_id = upstream_id
        self.is_overdue = False


class Lane:
    """Counts, share and evidence of one route and one kind of call.

    Parameters
    ==========
    route : str
    idempotent : bool
    rules : hemlockhoist.declarations.VersionRules
    now_ms : int
    """

    __slots__ = (
        "_credit_permille",
        "_cumulative_share_permille",
        "answers_at_step_start",
        "evidence",
        "first_seen_ms",
        "granted_count",
        "idempotent",
        "in_flight",
        "is_suspect",
        "new_count",
        "old_outstanding",
        "overdue_count",
        "route",
        "share_permille",
        "step_started_ms",
        "typical_outstanding",
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
        """Key that identifies the lane within its pool."""
        return (self.route, self.idempotent)

    @property
    def is_due(self):
        """Whether the credit entitles the new version to the next grant."""
        return self._credit_permille + self.effective_permille >= FULL_PERMILLE

    @property
    def effective_permille(self):
        """Share in effect: the lane's share, limited during a suspicion."""
        if self.is_suspect:
            return min(self.share_permille, SUSPECT_PERMILLE)
        return self.share_permille

    @property
    def outstanding(self):
        """Number of requests that the new version holds and that are not overdue.

        Overdue ones were already counted as failures. If they were included, a version
        that hangs would get no further requests and hence no verdict.
        """
        return len(self.in_flight) - self.overdue_count

    @property
    def max_outstanding(self):
        """Maximum number of requests that the new version may hold unanswered."""
        rest = max(1, FULL_PERMILLE - self.share_permille)
        proportional = self.old_outstanding * self.share_permille / rest
        return MIN_OUTSTANDING + int(_OUTSTANDING_FACTOR * proportional)

    @property
    def max_outstanding_at_full_share(self):
        """Maximum number of unanswered requests of a version that has all traffic."""
        return MIN_OUTSTANDING_AT_FULL_SHARE + int(
            _TYPICAL_FACTOR * self.typical_outstanding
        )

    def record_success(self):
        """Record a successful answer, updating the typical number of requests held."""
        self.typical_outstanding += _TYPICAL_WEIGHT * (
            self.outstanding - self.typical_outstanding
        )

    @property
    def is_within_share(self):
        """Whether the grants of the new version so far are within its shares.

        Counted separately from the credit, so that an error there is detected.
        """
        allowed = self._cumulative_share_permille + MAX_CREDIT_PERMILLE
        return self.new_count * FULL_PERMILLE <= allowed

    def requests_per_s(self, now_ms):
        """Return the lane's request rate since it was first seen."""
        return 1000 * self.granted_count / max(1000, now_ms - self.first_seen_ms)

    def set_share(self, share_permille, now_ms, keep_evidence=False):
        """Set the share and restart the evidence for the next step.

        Parameters
        ==========
        share_permille : int
        now_ms : int
        keep_evidence : bool, optional
            Set for shares that need no evidence: results at such a small share are
            valid at a slightly larger one, and repeating them would expose more
            non-idempotent calls.
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
        """Remove a request from those in flight and return its record, or None."""
        held = self.in_flight.pop(request_id, None)
        if held is not None:
            self.overdue_count -= held.is_overdue
        return held

    def add_in_flight(self, request, upstream_id, now_ms):
        """Add a request to those that the new version holds."""
        held = InFlightRequest(now_ms, upstream_id, request.entry_host)
        self.in_flight[request.request_id] = held

    def newly_overdue(self, load, last_report_ms, now_ms):
        """Mark and return the requests that have become overdue since the last call.

        Parameters
        ==========
        load : float
            Recent grants per upstream of the new version.
        last_report_ms : dict
            When each entry host last reported an outcome.
        now_ms : int
        """
        if not self.in_flight:
            return []
        limit_ms = self.evidence.reference.overdue_ms(load)
        overdue = []
        # Requests are in the order of their grants, so all after the first one that is
        # not overdue are not overdue either.
        for item in self.in_flight.values():
            due_ms = item.granted_ms + limit_ms
            if now_ms <= due_ms:
                break
            # An entry host that has not reported since then may have failed. Its
            # missing reports must not count against a version that may have answered in
            # time.
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
