"""What an entry host decides about one request, or about what it knows itself."""

from hemlockhoist.decisions.entry.attempts import AttemptEnd, Step, next_step
from hemlockhoist.decisions.entry.freshness import Freshness
from hemlockhoist.decisions.entry.listing import UpstreamListing
from hemlockhoist.decisions.entry.shares import PoolChooser
from hemlockhoist.decisions.entry.sweep import StaleEntries

__all__ = [
    "AttemptEnd",
    "Freshness",
    "PoolChooser",
    "StaleEntries",
    "Step",
    "UpstreamListing",
    "next_step",
]
