"""Admission, queueing, placement, version moves and membership, free of I/O."""

from hemlockhoist.decisions.policy import VersionPolicy
from hemlockhoist.decisions.work import (
    Grant,
    Granted,
    LoadReport,
    Outcome,
    OutcomeKind,
    Rejected,
    Upstream,
    UpstreamState,
    WorkRequest,
    evacuated_upstream,
    granting_incarnation,
    new_grant_id,
)

__all__ = [
    "Grant",
    "Granted",
    "LoadReport",
    "Outcome",
    "OutcomeKind",
    "Rejected",
    "Upstream",
    "UpstreamState",
    "VersionPolicy",
    "WorkRequest",
    "evacuated_upstream",
    "granting_incarnation",
    "new_grant_id",
]
