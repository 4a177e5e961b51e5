"""Faults that a test can inject into the simulated plain service."""

import msgspec


class ServiceFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; each ``POST /-/faults`` replaces all of them.

    Parameters
    ==========
    only_version : str
        Limits ``fail_share`` and ``slow_ms`` to one version; empty for all versions.
    delay_ms : int
        Delay before a call runs.
    slow_ms : int
        Added to the running time of a call.
    fail_share : float
        Fraction of calls that run and then fail with status 500.
    fail_before, fail_after : int
        Number of calls that fail with status 500 next: before or after they run.
    drop_before, drop_after : int
        Number of calls whose connection is dropped next: before or after they run.
    unframed : int
        Number of answers that have neither a length nor chunks next.
    close_in_body : int
        Number of those whose connection is closed in order in the middle of the body
        next, as by a killed process ...
    close_down_ms : int
        ... and new connections are refused for this time.
    refuse_ms : int
        How long new connections are refused.
    state : str
        ``live`` or ``leaving``.
    load_lag_ms : int
        Delay of load reports.
    """

    only_version: str = ""
    delay_ms: int = 0
    slow_ms: int = 0
    fail_share: float = 0.0
    fail_before: int = 0
    fail_after: int = 0
    drop_before: int = 0
    drop_after: int = 0
    unframed: int = 0
    close_in_body: int = 0
    close_down_ms: int = 0
    refuse_ms: int = 0
    state: str = "live"
    load_lag_ms: int = 0

    def applies_to(self, version):
        """Return whether ``fail_share`` and ``slow_ms`` apply to ``version``."""
        return self.only_version in ("", version)

    def consume(self, field):
        """Return whether a counted fault is active, and decrement its count."""
        remaining = getattr(self, field)
        if remaining <= 0:
            return False
        setattr(self, field, remaining - 1)
        return True
