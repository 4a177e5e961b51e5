"""Share of the fleet's bounds that a host grants during a network partition."""

# Fraction of its part of the fleet's bounds that an isolated host grants. An isolated
# host serves only some of the callers, and only until its proof of the routes is too
# old; the home detects only after a while that the host is no longer reachable.
ISOLATED_FRACTION = 0.5


def partition_share(reachable, known, is_home):
    """Return the share of all bounds that a host grants.

    Without it, each partition of a cut network grants a customer its whole quota. The
    partition with more than half of the hosts grants what remains after the shares of
    all others, each assumed to be isolated; a home of a smaller partition grants the
    shares of the hosts it reaches, any other host its own. So the sum over all
    partitions never exceeds the whole.

    Parameters
    ==========
    reachable : int
        Number of hosts that this one can reach, including itself.
    known : int
        Number of hosts in the fleet, including lost ones that may be cut off.
    is_home : bool
        Whether this host decides for all hosts that it can reach.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import partition_share
    >>> partition_share(reachable=8, known=8, is_home=True)
    1.0
    >>> partition_share(reachable=6, known=8, is_home=True)
    0.875
    >>> partition_share(reachable=1, known=8, is_home=True)
    0.0625
    """
    isolated_share = ISOLATED_FRACTION / max(1, known)
    if not is_home:
        return isolated_share
    if 2 * reachable > known:
        return 1.0 - (known - reachable) * isolated_share
    return reachable * isolated_share
