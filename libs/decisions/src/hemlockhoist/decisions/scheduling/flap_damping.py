"""Suppression of upstreams that go down and come back repeatedly."""

import collections
import math

from hemlockhoist.decisions.scheduling.flap_penalty import (
    HALF_LIFE_MS,
    LOSS_PENALTY,
    SUPPRESS_ABOVE,
    TRIAL_MS,
    FlapPenalty,
)

# Reports of one loss by several hosts, and its failed connections, arrive within this
# time. Losses of other upstreams within it are simultaneous.
SAME_LOSS_MS = 100
# A loss that an entry host reported so long before it turned out to have lost its links
# is retracted.
DISTRUST_MS = 1_000
# Share of the usable upstreams that may be suppressed, rounded up.
MAX_SUPPRESSED_SHARE = 1 / 3
# A penalty below this has no effect on the next loss and is forgotten.
NEGLIGIBLE_PENALTY = 0.05
# An upstream that is missing from the list for longer is forgotten.
UNLISTED_TTL_MS = 10_000
_NONE = frozenset()


def _never_suspended(upstream_id, now_ms):
    return False


class _Loss:
    """A recent loss, which may still be retracted."""

    __slots__ = ("address", "at_ms", "domain", "host", "is_retracted")

    def __init__(self, address, at_ms, domain, host, is_retracted=False):
        self.address = address
        self.at_ms = at_ms
        self.domain = domain
        self.host = host
        self.is_retracted = is_retracted


class FlapDamping:
    """Keeps requests from upstreams that go down and come back repeatedly.

    Load: a few upstreams each go down and come back about once a second for some
    seconds. Whenever one is back it has all slots free, gets requests at once, and loses
    them as it goes down. A circuit breaker closes at its first success.

    Each loss adds to a penalty that halves every ``HALF_LIFE_MS``, as in route flap
    damping (RFC 2439). A loss is the end of an upstream after it had served: all failures
    until it serves again belong to one loss. The penalty belongs to the address, as a
    restarted upstream may have another id. It also follows an id to a new address.

    Losses of several upstreams of a failure domain at the same time are retracted, and
    so are losses reported by a host that turns out to have lost its links.

    Upstreams whose circuit breaker is open do not count as usable where the suppressed
    share is bounded: a suppressed upstream may be the only one that is up.

    Parameters
    ==========
    max_suppressed_ms : int
        Longest suppression; 0 disables the damping.

    Attributes
    ==========
    is_suspended : callable
        Returns for an upstream id and a time whether its circuit breaker is open.

    Examples
    ========
    >>> from hemlockhoist.decisions import Upstream
    >>> from hemlockhoist.decisions.scheduling.flap_damping import FlapDamping
    >>> upstreams = [
    ...     Upstream(upstream_id=name, pool="halls", version="v1", address=f"{name}:1")
    ...     for name in ("u1", "u2", "u3")
    ... ]
    >>> damping = FlapDamping(max_suppressed_ms=10_000)
    >>> damping.set_listed(upstreams, upstreams, now_ms=0)
    >>> for now_ms in (1_000, 2_000):
    ...     damping.record_served("u1", now_ms - 500)
    ...     damping.record_loss(upstreams[0], now_ms)
    >>> damping.is_suppressed("u1", 2_000), damping.is_suppressed("u1", 12_000)
    (True, False)
    """

    __slots__ = (
        "_penalties",
        "_known",
        "_last_resort",
        "_lost_ms",
        "_max_suppressed_ms",
        "_recent_losses",
        "_repeatable_ms",
        "_restricted",
        "_served_ms",
        "_suppressed",
        "_suppressed_until_ms",
        "_unlisted_ms",
        "_usable",
        "is_suspended",
    )

    def __init__(self, max_suppressed_ms=0):
        self._max_suppressed_ms = max_suppressed_ms
        self.is_suspended = _never_suspended
        # The upstreams that are usable, or were until they vanished from the list, by id.
        self._known = {}
        self._unlisted_ms = {}
        self._usable = ()
        # Only upstreams with a penalty have an entry.
        self._penalties = {}
        # When each address last served, and was last lost.
        self._served_ms = {}
        self._lost_ms = {}
        self._recent_losses = collections.deque()
        # When the latest repeatable request arrived.
        self._repeatable_ms = -math.inf
        self._last_resort = None
        # The usable upstreams that are suppressed or on trial, those that are suppressed,
        # and the first time at which one of the latter is released.
        self._restricted = _NONE
        self._suppressed = None
        self._suppressed_until_ms = 0

    @property
    def is_enabled(self):
        """Whether upstreams may be suppressed at all."""
        return self._max_suppressed_ms > 0

    @property
    def any_penalty(self):
        """Whether any upstream has a penalty; otherwise all requests are allowed."""
        return bool(self._penalties)

    def set_listed(self, upstreams, usable, now_ms):
        """Set the listed upstreams and those that may be assigned work.

        Parameters
        ==========
        upstreams, usable : iterable of hemlockhoist.decisions.Upstream
        now_ms : int
        """
        if not self.is_enabled:
            return
        listed = {item.upstream_id for item in upstreams}
        self._unlisted_ms = {
            key: self._unlisted_ms.get(key, now_ms)
            for key in self._known
            if key not in listed
        }
        for key, at_ms in list(self._unlisted_ms.items()):
            if now_ms - at_ms >= UNLISTED_TTL_MS:
                del self._unlisted_ms[key], self._known[key]
        self.set_usable(usable, now_ms)
        addresses = {item.address for item in self._known.values()}
        for times_ms in (self._served_ms, self._lost_ms):
            for address in times_ms.keys() - addresses:
                del times_ms[address]

    def set_usable(self, usable, now_ms):
        """Set the upstreams that may be assigned work, among the listed ones."""
        if not self.is_enabled:
            return
        self._usable = tuple(usable)
        former = self._known
        self._known = {
            key: former[key] for key in self._unlisted_ms.keys() & former.keys()
        }
        for item in self._usable:
            known = former.get(item.upstream_id)
            if known is not None and known.address in self._penalties:
                found = self._penalties[known.address]
                self._penalties.setdefault(item.address, found)
            self._known[item.upstream_id] = item
        self._release_excess(now_ms)

    def known_upstream(self, upstream_id):
        """Return an upstream that may be assigned work, or vanished from the list.

        None for one that is unknown, or whose end is planned.
        """
        return self._known.get(upstream_id)

    def record_served(self, upstream_id, now_ms, granted_ms=None):
        """Record that an upstream answered, or accepted a request, at a time.

        Parameters
        ==========
        upstream_id : str
        now_ms : int
        granted_ms : int, optional
            When the request was granted; by default now. An answer to a request granted
            before the last loss does not show that the upstream is back: it may have
            been sent before the loss and reported after it.
        """
        known = self._known.get(upstream_id)
        if known is None:
            return
        granted_ms = now_ms if granted_ms is None else granted_ms
        lost_ms = self._lost_ms.get(known.address)
        if lost_ms is not None and granted_ms <= lost_ms:
            return
        served_ms = self._served_ms.get(known.address, 0)
        self._served_ms[known.address] = max(now_ms, served_ms)
        found = self._penalties.get(known.address)
        if found is None:
            return
        found.trial_granted_ms = None
        if not found.is_suppressed(now_ms):
            found.end()

    def record_arrival(self, request, now_ms):
        """Record a new request: repeatable ones are expected while they arrive."""
        if request.idempotent:
            self._repeatable_ms = now_ms

    def record_grant(self, upstream_id, now_ms):
        """Record a grant, which may be the trial of an upstream."""
        found = self._flap_penalty(upstream_id)
        if found is not None and found.until_ms is not None:
            found.trial_granted_ms = now_ms

    def record_loss(self, upstream, now_ms, host=""):
        """Record that a connection was refused, or broke as the upstream ended.

        Parameters
        ==========
        upstream : hemlockhoist.decisions.Upstream
        now_ms : int
        host : str, optional
            The entry host that reports it.
        """
        address = upstream.address
        lost_ms = self._lost_ms.get(address, -SAME_LOSS_MS)
        if not self.is_enabled or now_ms - lost_ms < SAME_LOSS_MS:
            return
        if self._served_ms.get(address, -SAME_LOSS_MS) <= lost_ms:
            return
        self._lost_ms[address] = now_ms
        if self._is_simultaneous(address, upstream.failure_domain, now_ms):
            return
        loss = _Loss(address, now_ms, upstream.failure_domain, host)
        self._recent_losses.append(loss)
        found = self._penalties.setdefault(address, FlapPenalty())
        found.add(LOSS_PENALTY, now_ms)
        if found.penalty(now_ms) > SUPPRESS_ABOVE:
            found.suppress(self._max_suppressed_ms, now_ms)
            self._release_excess(now_ms)

    def retract(self, upstream_id, now_ms):
        """Retract the latest loss of an upstream that turned out to be reachable."""
        known = self._known.get(upstream_id)
        if known is not None:
            self._retract(lambda loss: loss.address == known.address, now_ms)

    def retract_reports_of(self, host, now_ms):
        """Retract what a host reported that has lost its own links."""
        self._retract(lambda loss: loss.host == host, now_ms)

    def is_suppressed(self, upstream_id, now_ms):
        """Return whether an upstream gets requests only if no other one is free."""
        found = self._flap_penalty(upstream_id)
        return found is not None and found.is_suppressed(now_ms)

    def is_restricted(self, upstream_id, now_ms):
        """Return whether an upstream is suppressed, or on trial after that."""
        found = self._flap_penalty(upstream_id)
        return found is not None and not found.is_trial_over(now_ms)

    def allow_only_repeatable(self, upstreams, now_ms):
        """Return whether none of the given upstreams takes non-repeatable requests."""
        if not self._penalties:
            return False
        is_excluded = self.is_suppressed
        if self._expects_repeatable(now_ms):
            is_excluded = self.is_restricted
        return all(is_excluded(item.upstream_id, now_ms) for item in upstreams)

    def _expects_repeatable(self, now_ms):
        """Return whether a repeatable request is likely to come within a trial."""
        return now_ms - self._repeatable_ms < TRIAL_MS

    def suppressed(self, now_ms):
        """Return the ids of the usable upstreams that are suppressed.

        Returns
        =======
        frozenset of str
        """
        if not self._penalties:
            return _NONE
        if self._suppressed is None or now_ms >= self._suppressed_until_ms:
            restricted = {
                item.upstream_id: self._penalties[item.address].until_ms
                for item in self._usable
                if item.address in self._penalties
                and self._penalties[item.address].until_ms is not None
            }
            found = {key: at for key, at in restricted.items() if now_ms < at}
            self._restricted = frozenset(restricted)
            self._suppressed = frozenset(found)
            self._suppressed_until_ms = min(found.values(), default=math.inf)
        return self._suppressed

    def is_refused_elsewhere(self, request, backed_off, now_ms):
        """Return whether only suppressed upstreams are left for a request.

        Each other one that is usable has refused it, or wants no requests of its host.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        backed_off : frozenset of str
            Upstreams that want no requests of its host.
        now_ms : int
        """
        suppressed = self.suppressed(now_ms)
        if not suppressed or not (request.avoid or backed_off):
            return False
        excluded = suppressed.union(backed_off, request.avoid)
        return not any(
            item.upstream_id not in excluded
            and request.allows_region(item.region)
            and not self.is_suspended(item.upstream_id, now_ms)
            for item in self._usable
        )

    def last_resort(self, request, backed_off, now_ms):
        """Return the suppressed upstreams left for a request, lowest penalty first.

        Parameters as of ``is_refused_elsewhere``.
        """
        suppressed = self.suppressed(now_ms).difference(backed_off, request.avoid)
        found = [
            item
            for item in self._usable
            if item.upstream_id in suppressed and request.allows_region(item.region)
        ]
        return sorted(found, key=lambda item: self._penalty(item.upstream_id, now_ms))

    def allows(self, request, upstream_id, now_ms, backed_off=_NONE):
        """Return whether a request may be sent to an upstream now.

        Parameters
        ==========
        request : hemlockhoist.decisions.WorkRequest
        upstream_id : str
        now_ms : int
        backed_off : frozenset of str, optional
            Upstreams that want no requests of its host.
        """
        found = self._flap_penalty(upstream_id)
        if found is None or found.is_trial_over(now_ms):
            return True
        if not found.is_suppressed(now_ms):
            is_awaited = not request.idempotent and self._expects_repeatable(now_ms)
            return not is_awaited and not found.is_trial_pending(now_ms)
        is_last_resort = request.idempotent and upstream_id == self._last_resort
        if not is_last_resort and not self.is_refused_elsewhere(
            request, backed_off, now_ms
        ):
            return False
        address = self._known[upstream_id].address
        has_served = self._served_ms.get(address, 0) > self._lost_ms.get(address, 0)
        return has_served or not found.is_trial_pending(now_ms)

    def allowed(self, request, free, now_ms, backed_off=_NONE):
        """Return those of the free upstreams to which a request may be sent now.

        Hot path: called for each request as long as any upstream has a penalty.
        Parameters as of ``allows``.
        """
        self.suppressed(now_ms)
        restricted = self._restricted
        if not restricted:
            return free
        return [
            item
            for item in free
            if item.upstream_id not in restricted
            or self.allows(request, item.upstream_id, now_ms, backed_off)
        ]

    def ensure_usable(self, now_ms):
        """Release a suppressed upstream for all requests if no other one is usable.

        Hot path: called for each request as long as any upstream has a penalty.
        """
        suppressed = self.suppressed(now_ms)
        if suppressed and not any(
            item.upstream_id not in suppressed
            and not self.is_suspended(item.upstream_id, now_ms)
            for item in self._usable
        ):
            self._release_excess(now_ms)

    def available(self, free, now_ms):
        """Return the free upstreams without the suppressed ones.

        If all of them are suppressed, the one with the lowest penalty is returned. It
        gets repeatable requests, one at a time until it has served one since its loss.

        Parameters
        ==========
        free : list of hemlockhoist.decisions.Upstream
        now_ms : int
        """
        self._last_resort = None
        if not self._penalties:
            return free
        self.ensure_usable(now_ms)
        suppressed = self.suppressed(now_ms)
        if not suppressed:
            return free
        found = [item for item in free if item.upstream_id not in suppressed]
        if found or not free:
            return found
        last = min(free, key=lambda item: self._penalty(item.upstream_id, now_ms))
        self._last_resort = last.upstream_id
        return [last]

    def on_tick(self, now_ms):
        """Forget penalties that have decayed, and losses that stay.

        The bound is applied again, as circuit breakers may have opened.
        """
        while self._recent_losses:
            if now_ms - self._recent_losses[0].at_ms < DISTRUST_MS:
                break
            self._recent_losses.popleft()
        for address, found in list(self._penalties.items()):
            if found.is_trial_over(now_ms) and (
                found.penalty(now_ms) < NEGLIGIBLE_PENALTY
            ):
                del self._penalties[address]
        if self.suppressed(now_ms):
            self._release_excess(now_ms)

    def _flap_penalty(self, upstream_id):
        if not self._penalties:
            return None
        known = self._known.get(upstream_id)
        return self._penalties.get(known.address) if known is not None else None

    def _penalty(self, upstream_id, now_ms):
        found = self._flap_penalty(upstream_id)
        return found.penalty(now_ms) if found is not None else 0.0

    def _is_simultaneous(self, address, domain, now_ms):
        """Return whether another upstream of the domain was lost at the same time.

        The loss of the other one is retracted.
        """
        if not domain:
            return False

        def is_other(loss):
            if now_ms - loss.at_ms >= SAME_LOSS_MS or loss.domain != domain:
                return False
            return loss.is_retracted or loss.address != address

        # Losses that are retracted stay recorded, so that a third one is recognised too.
        others = [loss for loss in self._recent_losses if is_other(loss)]
        for loss in others:
            self._retract_loss(loss, now_ms)
        if others:
            self._recent_losses.append(_Loss(address, now_ms, domain, "", True))
        return bool(others)

    def _retract(self, is_wrong, now_ms):
        wrong = [loss for loss in self._recent_losses if is_wrong(loss)]
        for loss in wrong:
            self._retract_loss(loss, now_ms)

    def _retract_loss(self, loss, now_ms):
        """Remove the penalty of a loss, unless it was retracted before."""
        if loss.is_retracted:
            return
        loss.is_retracted = True
        found = self._penalties.get(loss.address)
        if found is None:
            return
        decayed = math.pow(0.5, (now_ms - loss.at_ms) / HALF_LIFE_MS)
        found.add(-LOSS_PENALTY * decayed, now_ms)
        if found.penalty(now_ms) <= SUPPRESS_ABOVE:
            found.end()
            self._suppressed = None

    def _release_excess(self, now_ms):
        """End the suppression of those with the lowest penalties beyond the bound.

        It holds for each region too, since requests may be restricted to one.
        """
        self._suppressed = None
        if not self._penalties:
            return
        groups = collections.defaultdict(list)
        everywhere = []
        for item in self._usable:
            if not self.is_suspended(item.upstream_id, now_ms):
                groups[item.region].append(item.upstream_id)
                everywhere.append(item.upstream_id)
        for members in (everywhere, *groups.values()):
            suppressed = [key for key in members if self.is_suppressed(key, now_ms)]
            bound = math.ceil(len(members) * MAX_SUPPRESSED_SHARE)
            excess = len(suppressed) - min(bound, len(members) - 1)
            suppressed.sort(key=lambda key: self._penalty(key, now_ms))
            for upstream_id in suppressed[: max(0, excess)]:
                self._flap_penalty(upstream_id).end()
