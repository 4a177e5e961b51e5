"""Which part of the fleet's bounds a host gives out while others may be cut off."""

# What one host that decides alone gives out, of its part of the fleet. A host that is
# cut off serves a part of the callers, and only until its proof of the routes is too
# old; the home beside it notices only after a while that it is not heard any more.
ALONE_PART = 0.5


def partition_share(heard, known, is_home):
    """Return the part of all bounds that a host gives out.

    Failure: hosts are cut off from one another, and each side gives a customer its
    whole allowance. The side with more than half of the hosts gives out what is left
    beside all others, each taken to decide alone; any other host gives out its own
    part. So the sum over all sides is never more than the whole.

    Parameters
    ==========
    heard : int
        Hosts that this one is in touch with, itself included.
    known : int
        Hosts of the fleet, lost ones included that may be cut off.
    is_home : bool
        Whether this host decides for all that it is in touch with.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits import partition_share
    >>> partition_share(heard=8, known=8, is_home=True)
    1.0
    >>> partition_share(heard=6, known=8, is_home=True)
    0.875
    >>> partition_share(heard=1, known=8, is_home=True)
    0.0625
    """
    alone = ALONE_PART / max(1, known)
    if not is_home:
        return alone
    if 2 * heard > known:
        return 1.0 - (known - heard) * alone
    return heard * alone
