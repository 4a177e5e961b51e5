"""The version policy of a pool whose versions are ordered and released."""

import collections
import itertools

from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.served_versions.presence import PoolPresence
from hemlockhoist.decisions.served_versions.roles import VersionRole, VersionRoles
from hemlockhoist.decisions.versions import UNBOUNDED, OwnTrial, OwnVerdict
from hemlockhoist.declarations import VersionRules

# Trials remembered at a time, the latest ones.
MAX_OWN_TRIALS = 8


class ServedVersionPolicy(VersionPolicy):
    """Lets the versions of a pool serve by what is recorded of each.

    A version that is ordered gets nothing until its move has begun: its upstreams are
    listed together with the order, while the home needs some store calls for the begin,
    and a host that decides alone may not have learned of the order at all.

    While a move goes on, what the old version serves is served by any version that was
    released beside it where no upstream of the old one is free. Where no version can
    serve but one that is not proven, that one is tried by its own answers. Failure
    prevented: upstreams of the old version, or of both, are replaced or lost, and
    requests are refused for good beside live upstreams.

    Parameters
    ==========
    controller : MoveController
    order_of : callable
        ``order_of()`` returns the pool's latest ``MoveOrder``, or None.
    presence_of : callable, optional
        ``presence_of()`` returns the ``PoolPresence``.
    rules : hemlockhoist.declarations.VersionRules, optional
    bound : TrialBound, optional
        Limit on the requests of a version that is tried alone.
    is_known : callable, optional
        ``is_known()`` returns whether the record of the pool's moves is known here.
    superseded : mapping of str to str, optional
        As with ``VersionRoles``; it may change.
    """

    __slots__ = (
        "_bound",
        "_is_known",
        "_order_of",
        "_own_trials",
        "_presence_of",
        "_rules",
        "_superseded",
        "controller",
    )

    def __init__(
        self,
        controller,
        order_of,
        presence_of=PoolPresence,
        rules=None,
        bound=UNBOUNDED,
        is_known=lambda: True,
        superseded=None,
    ):
        self.controller = controller
        self._order_of = order_of
        self._presence_of = presence_of
        self._rules = rules or VersionRules()
        self._bound = bound
        self._is_known = is_known
        self._superseded = superseded
        # By version and the trial that it is in.
        self._own_trials = collections.OrderedDict()

    def _has_no_order(self):
        """Return whether no order was ever given, so that every version serves."""
        return self.controller.row is None and self._order_of() is None

    def _roles(self):
        return VersionRoles(
            self.controller.row,
            self._order_of(),
            self._presence_of(),
            self._superseded,
        )

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve a request, in order of preference."""
        if self._has_no_order():
            return tuple(versions)
        if not self._is_known():
            return ()
        roles = self._roles()
        alone = self._alone(roles)
        if alone:
            trials = {x: self._own_trial(roles, x) for x in alone if x in versions}
            return tuple(x for x, item in trials.items() if item.may_grant(request))
        serving = self._serving(roles, versions)
        trial = roles.trial_version
        if trial is None:
            return serving
        new = (trial,) if trial in versions else ()
        return self._beside_trial(request, serving, new, now_ms)

    def _alone(self, roles):
        """Return the versions that are tried, as no other can serve."""
        return [x for x in roles.alone() if not self._is_halted(roles, x)]

    def _is_halted(self, roles, version):
        """Return whether a version on trial is halted, before a row says so."""
        return roles.is_tried(version) and self.controller.is_halted(version)

    def _serving(self, roles, versions):
        """Return the versions that serve without a share, the recorded one first.

        Those that a move has replaced serve again once no other is left.
        """
        serving = [x for x in versions if roles.of(x) is VersionRole.SERVING]
        if roles.recorded_version in serving:
            serving.remove(roles.recorded_version)
            serving.insert(0, roles.recorded_version)
        if serving or roles.can_serve():
            return tuple(serving)
        return tuple(x for x in versions if roles.of(x) is VersionRole.REPLACED)

    def _beside_trial(self, request, serving, trial, now_ms):
        old_version = self.controller.row.from_version
        old = (old_version,) if serving else ()
        found = self.controller.candidates(request, (*old, *trial), now_ms)
        # Others serve for the old version where that is not free.
        stand_ins = serving[:1] if old_version in serving else serving
        expanded = (stand_ins if item == old_version else (item,) for item in found)
        return tuple(itertools.chain.from_iterable(expanded))

    def _own_trial(self, roles, version):
        """Return the trial of a version by its own answers, a new one if need be."""
        key = (version, roles.trial_id(version))
        trial = self._own_trials.get(key)
        if trial is None:
            trial = self._own_trials[key] = OwnTrial(self._rules, self._bound)
            if len(self._own_trials) > MAX_OWN_TRIALS:
                self._own_trials.popitem(last=False)
        return trial

    def own_verdicts(self):
        """Return the verdicts on the versions that are tried, as no other can serve.

        Returns
        =======
        dict
            ``OwnVerdict`` by version, without those that are undecided.
        """
        roles = self._roles()
        found = {x: self._own_trial(roles, x).verdict for x in self._alone(roles)}
        return {x: y for x, y in found.items() if y is not OwnVerdict.UNDECIDED}

    def on_grant(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a version."""
        if self._has_no_order():
            return
        roles = self._roles()
        alone = self._alone(roles)
        if alone or roles.trial_version is not None:
            self._count_own(roles, request, version, alone)
        if version in alone or roles.is_trusted_again(version):
            return
        counted = self._counted_version(version)
        self.controller.on_grant(request, counted, now_ms, upstream_id)

    def _count_own(self, roles, request, version, alone):
        """Count a grant in the trials by own answers."""
        for tried in dict.fromkeys((*alone, roles.trial_version)):
            if tried is None:
                continue
            trial = self._own_trial(roles, tried)
            if tried == version:
                trial.on_grant(request)
            else:
                trial.count_other_grant()

    def on_adopt(self, request, version, now_ms, upstream_id=""):
        """Count a grant of a previous home that is still in flight."""
        version = self._counted_version(version)
        self.controller.on_adopt(request, version, now_ms, upstream_id)

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Record the outcome of a granted request as evidence."""
        for (tried, _), trial in self._own_trials.items():
            if tried == version:
                trial.observe(request, outcome)
            else:
                trial.observe_other(outcome)
        counted = self._counted_version(version)
        self.controller.on_outcome(request, counted, outcome, now_ms, upstream_id)

    def on_forget(self, request, version, now_ms):
        """Stop counting a grant whose outcome will not be reported."""
        for (tried, _), trial in self._own_trials.items():
            if tried == version:
                trial.forget(request)
        self.controller.on_forget(request, self._counted_version(version), now_ms)

    def _counted_version(self, version):
        """Return the version as which a move counts one: all but the new are the old.

        A trial version's share is one of all requests, whichever version serves the
        others.
        """
        row = self.controller.row
        if row is None or version == row.to_version:
            return version
        return row.from_version
