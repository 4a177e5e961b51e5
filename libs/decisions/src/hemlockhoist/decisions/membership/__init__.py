"""Fleet membership: live hosts, homes of shards, and addresses for callers."""

from hemlockhoist.decisions.membership.membership import Membership
from hemlockhoist.decisions.membership.records import (
    AddressAnswer,
    ListedHost,
    MemberGone,
    MemberJoined,
    MemberLeaving,
    Outgoing,
    SuccessorNamed,
)
from hemlockhoist.decisions.membership.rendezvous import (
    high_capacity_members,
    rank_members,
)
from hemlockhoist.decisions.membership.upstreams import UpstreamView

__all__ = [
    "AddressAnswer",
    "ListedHost",
    "MemberGone",
    "MemberJoined",
    "MemberLeaving",
    "Membership",
    "Outgoing",
    "SuccessorNamed",
    "UpstreamView",
    "rank_members",
    "high_capacity_members",
]
