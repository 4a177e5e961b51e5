"""Simulated platform: tables, host list, object store and weight store."""

from hemlockhoist.standins.platform.app import PlatformStandin
from hemlockhoist.standins.platform.faults import PlatformFaults
from hemlockhoist.standins.platform.tables import TableStore, VersionMismatch

__all__ = ["PlatformFaults", "PlatformStandin", "TableStore", "VersionMismatch"]
