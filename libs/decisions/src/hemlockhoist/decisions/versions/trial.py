"""Bound on the requests of a pool that an unproven version may get in total."""

import msgspec

FULL_PERMILLE = 1000


class TrialBound(msgspec.Struct, frozen=True, kw_only=True):
    """Limits how many requests reach a version before it is proven.

    Intended for moves that have to complete within seconds. At a small share, proving a
    version takes longer than that, so the first share has to be large; the harm of a
    bad version is then bounded by the number of requests that it gets.

    Parameters
    ==========
    share_permille : int
        Share of the pool's requests since the move began.
    requests : int
        Requests allowed in addition to that share.
    until_fraction : float
        Fraction of the move's duration during which the bound applies to all routes,
        including proven ones. A version may become bad later or under load, and then
        counts as bad from its first request.
    min_end_fraction : float
        Fraction of the move's duration before which the move does not end, so that the
        version is observed under full load while a roll-back is still possible.

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
            Requests that the version has got.
        granted : int
            All requests of the pool, those included.
        """
        bound = self.share_permille * granted + self.requests * FULL_PERMILLE
        return (new + 1) * FULL_PERMILLE <= bound


# No bound besides the share of each route.
UNBOUNDED = TrialBound(share_permille=FULL_PERMILLE, requests=1)
