"""Faults of the plain service that a test may switch on."""

import msgspec


class ServiceFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What goes wrong at present; a posted fault replaces all of them.

    Parameters
    ==========
    only_version : str
        The share of failures and the slowness hold for this version; all if empty.
    delay_ms : int
        Before a call runs.
    slow_ms : int
        Added to the time that a call runs.
    fail_share : float
        Share of calls that run and end in status 500.
    fail_before, fail_after : int
        The next so many calls end in status 500: without, or after, having run.
    drop_before, drop_after : int
        The next so many calls lose their connection: without, or after, having run.
    refuse_ms : int
        New connections are refused for so long.
    state : str
        ``live`` or ``leaving``.
    load_lag_ms : int
        How late load reports are.
    """

    only_version: str = ""
    delay_ms: int = 0
    slow_ms: int = 0
    fail_share: float = 0.0
    fail_before: int = 0
    fail_after: int = 0
    drop_before: int = 0
    drop_after: int = 0
    refuse_ms: int = 0
    state: str = "live"
    load_lag_ms: int = 0

    def applies_to(self, version):
        """Return whether share and slowness hold for ``version``."""
        return self.only_version in ("", version)

    def consume(self, field):
        """Return whether the counted fault is due, and count it down."""
        left = getattr(self, field)
        if left <= 0:
            return False
        setattr(self, field, left - 1)
        return True
