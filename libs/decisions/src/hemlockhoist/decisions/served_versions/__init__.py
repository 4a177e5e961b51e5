"""Which versions of a pool serve, where operators order moves and release versions."""

from hemlockhoist.decisions.served_versions.acceptance import (
    begun_move,
    confirmed_move,
    is_served,
    source_version,
)
from hemlockhoist.decisions.served_versions.policy import ServedVersionPolicy
from hemlockhoist.decisions.served_versions.roles import (
    VersionRole,
    is_pending,
    role_of,
    serving_versions,
)

__all__ = [
    "ServedVersionPolicy",
    "VersionRole",
    "begun_move",
    "confirmed_move",
    "is_pending",
    "is_served",
    "role_of",
    "serving_versions",
    "source_version",
]
