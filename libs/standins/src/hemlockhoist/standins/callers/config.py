"""What one caller is set up with."""

import msgspec


class CallerConfig(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's key, tier and patience.

    Parameters
    ==========
    seeds : tuple of str
        ``IP:port`` of some hosts, to ask which ones to use.
    key : str
    customer : str
        Name for the records.
    tier : str
        Asked for in the header; empty for the highest that the key may have.
    max_wait_ms : int
        A request that has no end after this is given up.
    read_timeout_ms : int
        Without any byte for this long, a connection is taken for broken.
    first_token_target_ms : int
        A whole answer whose first piece came later is not in time.
    seed : int
        Of the choices among hosts.
    """

    seeds: tuple[str, ...]
    key: str
    customer: str = ""
    tier: str = ""
    max_wait_ms: int = 30_000
    read_timeout_ms: int = 15_000
    first_token_target_ms: int = 1_000
    seed: int = 1
