"""The declarations in force at a host, and their propagation to every host."""

from hemlockhoist.decisions.configuration.acknowledgements import (
    AcknowledgementLog,
    InForceReport,
)
from hemlockhoist.decisions.configuration.backoff import RetryBudget, StoreBackoff
from hemlockhoist.decisions.configuration.content import FullContent
from hemlockhoist.decisions.configuration.halts import HaltedSet
from hemlockhoist.decisions.configuration.state import ConfigurationState

__all__ = [
    "AcknowledgementLog",
    "ConfigurationState",
    "HaltedSet",
    "InForceReport",
    "RetryBudget",
    "StoreBackoff",
    "FullContent",
]
