"""Crowds of clients that keep to no limits, against processes of the system."""

from hemlockhoist.standins.crowds.processes import CrowdProcess, peak_memory_mb
from hemlockhoist.standins.crowds.sent import Sent

__all__ = ["CrowdProcess", "Sent", "peak_memory_mb"]
