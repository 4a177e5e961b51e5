"""The load that an upstream reports in its responses, as a list of figures."""

import msgspec

from hemlockhoist.messages import SLOWDOWN_PERCENTS

# Running, waiting and slots; a fourth figure says how slow the upstream is now.
_USUAL_FIGURES = 3
# Longer ones are no counts, and converting thousands of digits is an error.
_MAX_DIGITS = 9


class ReportedLoad(msgspec.Struct, frozen=True):
    """The figures that can be read of a load.

    Parameters
    ==========
    running, waiting : int or None
    slowdown_percent : int or None
        In ``SLOWDOWN_PERCENTS``; None if it is not reported or can't be read.
    is_slowdown_unreadable : bool
        Whether a slowdown is reported that can't be read.

    Examples
    ========
    >>> from hemlockhoist.entry.reported_load import ReportedLoad
    >>> ReportedLoad.from_text("3,9,4,250").slowdown_percent
    250
    >>> ReportedLoad.from_text("3,9,4,soon")
    ReportedLoad(running=3, waiting=9, slowdown_percent=None, is_slowdown_unreadable=True)
    """

    running: int | None = None
    waiting: int | None = None
    slowdown_percent: int | None = None
    is_slowdown_unreadable: bool = False

    @classmethod
    def from_text(cls, text):
        """Return the load in a text; a figure that can't be read is left out.

        Running and waiting requests count only together, and with a valid third figure
        if there is one. The slowdown does not affect them.
        """
        figures = [_figure(part) for part in text.split(",")]
        usual, others = figures[:_USUAL_FIGURES], figures[_USUAL_FIGURES:]
        running = waiting = percent = None
        if len(usual) > 1 and None not in usual:
            running, waiting = usual[:2]
        if len(others) == 1 and others[0] in SLOWDOWN_PERCENTS:
            percent = others[0]
        return cls(running, waiting, percent, bool(others) and percent is None)


def _figure(text):
    """Return a whole number of 0 or more, or None if the text is none."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    return int(text)
