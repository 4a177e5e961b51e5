"""Simulated plain service that counts the calls it has run."""

from hemlockhoist.standins.service.app import ServiceStandin, expected_reply
from hemlockhoist.standins.service.faults import ServiceFaults

__all__ = ["ServiceFaults", "ServiceStandin", "expected_reply"]
