"""Which versions of a pool serve, where operators order moves and release versions."""

from hemlockhoist.decisions.served_versions.acceptance import (
    accepted_row,
    is_served,
    source_version,
)
from hemlockhoist.decisions.served_versions.policy import ServedVersionPolicy
from hemlockhoist.decisions.served_versions.presence import (
    PoolPresence,
    StoreUptime,
    VersionPresence,
)
from hemlockhoist.decisions.served_versions.roles import VersionRole, VersionRoles
from hemlockhoist.decisions.served_versions.settlement import settled_row
from hemlockhoist.decisions.served_versions.superseded import SupersededOrders

__all__ = [
    "PoolPresence",
    "ServedVersionPolicy",
    "StoreUptime",
    "SupersededOrders",
    "VersionPresence",
    "VersionRole",
    "VersionRoles",
    "accepted_row",
    "is_served",
    "settled_row",
    "source_version",
]
