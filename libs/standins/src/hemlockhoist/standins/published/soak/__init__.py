"""Randomised soak test of the real program on the published protocol."""

from hemlockhoist.standins.published.soak.run import SoakResult, SoakRun

__all__ = ["SoakRun", "SoakResult"]
