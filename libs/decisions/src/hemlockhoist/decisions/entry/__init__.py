"""Decisions an entry host makes for a single request or from its own state."""

from hemlockhoist.decisions.entry.advertised_limits import (
    AdvertisedLimit,
    AdvertisedLimits,
)
from hemlockhoist.decisions.entry.attempts import (
    AttemptEnd,
    CutCause,
    Step,
    next_step,
)
from hemlockhoist.decisions.entry.back_offs import BackOffs
from hemlockhoist.decisions.entry.connection_table import (
    STATUS_CONNECTIONS,
    ConnectionTable,
    caller_limit,
    directory_limit,
    relay_limit,
    unproven_limit,
)
from hemlockhoist.decisions.entry.copies import TableCopy
from hemlockhoist.decisions.entry.evacuation import DomainOrder, EvacuatedDomains
from hemlockhoist.decisions.entry.freshness import Freshness
from hemlockhoist.decisions.entry.halted import HaltedOrders
from hemlockhoist.decisions.entry.hedging import HedgePolicy, HedgeRefusal
from hemlockhoist.decisions.entry.listing import UpstreamListing
from hemlockhoist.decisions.entry.locality import nearby_members
from hemlockhoist.decisions.entry.memory_budget import (
    LOWEST_RANK,
    STARTED_RANK,
    MemoryBudget,
    MemoryPurpose,
)
from hemlockhoist.decisions.entry.move_orders import (
    MoveOrder,
    MoveOrderState,
    order_state,
)
from hemlockhoist.decisions.entry.planned_stop import PlannedStop
from hemlockhoist.decisions.entry.prefixes import chained_hashes
from hemlockhoist.decisions.entry.readers import (
    MAX_DIRECT_READERS,
    ReaderTable,
    announcement_order,
    find_readers,
    reader_for,
)
from hemlockhoist.decisions.entry.relay_peers import (
    RelayCandidate,
    RelayCause,
    RelayPeers,
)
from hemlockhoist.decisions.entry.response_times import ResponseTimes
from hemlockhoist.decisions.entry.route_times import RouteTimes
from hemlockhoist.decisions.entry.shares import PoolChooser
from hemlockhoist.decisions.entry.sweep import StaleEntries
from hemlockhoist.decisions.entry.upstream_links import LostLink, UpstreamLinks

__all__ = [
    "LOWEST_RANK",
    "MAX_DIRECT_READERS",
    "STARTED_RANK",
    "STATUS_CONNECTIONS",
    "AdvertisedLimit",
    "AdvertisedLimits",
    "AttemptEnd",
    "BackOffs",
    "ConnectionTable",
    "CutCause",
    "DomainOrder",
    "EvacuatedDomains",
    "Freshness",
    "HaltedOrders",
    "HedgePolicy",
    "HedgeRefusal",
    "LostLink",
    "MemoryBudget",
    "MemoryPurpose",
    "MoveOrder",
    "MoveOrderState",
    "PlannedStop",
    "PoolChooser",
    "ReaderTable",
    "RelayCandidate",
    "RelayCause",
    "RelayPeers",
    "ResponseTimes",
    "RouteTimes",
    "StaleEntries",
    "Step",
    "TableCopy",
    "UpstreamLinks",
    "UpstreamListing",
    "caller_limit",
    "chained_hashes",
    "directory_limit",
    "announcement_order",
    "find_readers",
    "nearby_members",
    "next_step",
    "order_state",
    "relay_limit",
    "reader_for",
    "unproven_limit",
]
