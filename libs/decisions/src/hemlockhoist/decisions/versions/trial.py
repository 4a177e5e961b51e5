"""A bound on all that an unproven version may get of a pool's requests."""

import msgspec

FULL_PERMILLE = 1000


class TrialBound(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests may reach a version before the evidence speaks for it.

    Load: a move that has to be over in seconds. At a small share the answers that
    prove a version take longer than that, so its first share has to be large; what
    bounds the harm of a bad version is then the number of requests that it gets.

    Parameters
    ==========
    share_permille : int
        Of the pool's requests since the move began.
    requests : int
        Beside that share.
    until_fraction : float
        Part of the move's time during which the bound holds for all routes, proven ones
        too: a version may turn bad later, or under load, and counts as bad from its
        first request.
    min_end_fraction : float
        Part of its time before which the move does not end, so that the version is
        seen under its whole load while the old one can return.

    Examples
    ========
    >>> from hemlockhoist.decisions.versions.trial import TrialBound
    >>> bound = TrialBound(share_permille=80, requests=30)
    >>> bound.allows(new=29, granted=0), bound.allows(new=30, granted=12)
    (True, False)
    >>> bound.allows(new=30, granted=13)
    True
    """

    share_permille: int
    requests: int
    until_fraction: float = 0.0
    min_end_fraction: float = 0.0

    def allows(self, new, granted):
        """Return whether the version may get one more request.

        Parameters
        ==========
        new : int
            Requests that it got.
        granted : int
            Requests of the pool, those included.
        """
        bound = self.share_permille * granted + self.requests * FULL_PERMILLE
        return (new + 1) * FULL_PERMILLE <= bound


# Where the share of each route is the only bound.
UNBOUNDED = TrialBound(share_permille=FULL_PERMILLE, requests=1)
