"""Faults that a test can inject into the simulated platform."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; each ``POST /-/faults`` replaces all of them.

    Parameters
    ==========
    outage : bool
        Every request gets status 503 and has no effect.
    unreachable : bool
        Every connection is dropped without a response, and its request has no effect.
    delay_ms : int
        Delay before a request is handled.
    lose_answers : int
        Number of writes that take effect next and whose connection is then dropped.
    hosts_empty, hosts_stale : bool
        The host list is empty, or no longer shows changes.
    """

    outage: bool = False
    unreachable: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    hosts_empty: bool = False
    hosts_stale: bool = False
