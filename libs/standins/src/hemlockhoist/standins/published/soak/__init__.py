"""Randomised soak test of the real program on the published protocol."""

from hemlockhoist.standins.published.soak.retry_run import RetrySoakRun
from hemlockhoist.standins.published.soak.run import SoakResult, SoakRun

__all__ = ["RetrySoakRun", "SoakRun", "SoakResult"]
