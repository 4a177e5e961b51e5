"""A randomised soak of the real program on the published protocol."""

from hemlockhoist.standins.published.soak.run import SoakRun, Verdict

__all__ = ["SoakRun", "Verdict"]
