"""How the versions of a pool stand of which an order has shown something.

A version that no order has named serves as soon as it is deployed. What the orders of
operators have shown of a version is kept with the row of the pool's move, and handed on
from row to row: the list of live upstreams doesn't tell a version that was found bad
from one that serves.
"""

import enum

import msgspec

# Standings kept with a row. A pool has a few versions at a time; the oldest entries are
# dropped first.
MAX_STANDINGS = 16


class Standing(enum.Enum):
    """How a version stands that is not on trial."""

    # It was on trial without an order, as no other could serve, and serves now.
    PROVEN = "proven"
    # It served until a move to another version finished.
    REPLACED = "replaced"
    # An order for it ended without a verdict.
    UNPROVEN = "unproven"
    # It was found bad under an order.
    HALTED = "halted"


class VersionStanding(msgspec.Struct, frozen=True, kw_only=True):
    """How one version of a pool stands.

    Parameters
    ==========
    version : str
    standing : Standing
    move_id : str
        The move that left it so.
    is_gone : bool
        Whether no upstream of the version has been deployed for a while since.
    return_count : int
        How often it was deployed again after that: what is known of the upstreams of
        before says nothing of those.
    """

    version: str
    standing: Standing
    move_id: str
    is_gone: bool = False
    return_count: int = 0


def find_standing(standings, version):
    """Return the ``VersionStanding`` of a version, or None."""
    for item in standings:
        if item.version == version:
            return item
    return None


def without_standing(standings, version):
    """Return the standings of all versions but one."""
    return tuple(item for item in standings if item.version != version)


def with_standing(standings, standing):
    """Return the standings with another one, which replaces its version's.

    Examples
    ========
    >>> from hemlockhoist.decisions.versions.standings import Standing, VersionStanding
    >>> from hemlockhoist.decisions.versions.standings import with_standing
    >>> halted = VersionStanding(version="v2", standing=Standing.HALTED, move_id="m1")
    >>> [item.version for item in with_standing((), halted)]
    ['v2']
    """
    others = without_standing(standings, standing.version)
    return (*others, standing)[-MAX_STANDINGS:]
