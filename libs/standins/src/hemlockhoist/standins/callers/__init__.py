"""Simulated callers that follow the protocol, for the demo and the tests."""

from hemlockhoist.standins.callers.caller import Caller
from hemlockhoist.standins.callers.config import CallerConfig
from hemlockhoist.standins.callers.records import (
    CallOutcome,
    CallRecord,
    Refusal,
    RequestKind,
)
from hemlockhoist.standins.callers.table import tier_table

__all__ = [
    "CallRecord",
    "Caller",
    "CallerConfig",
    "RequestKind",
    "Refusal",
    "CallOutcome",
    "tier_table",
]
