"""Configuration of a simulated caller."""

import msgspec


class CallerConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Key, tier and time limits of a caller.

    Parameters
    ==========
    seeds : tuple of str
        ``IP:port`` of the hosts to query first for the host list.
    key : str
    customer : str
        Customer name in the records.
    tier : str
        Tier to request in the header; empty for the highest tier of the key.
    max_wait_ms : int
        How long the caller waits for a request, all attempts included.
    read_timeout_ms : int
        How long a connection may be silent before it is treated as broken.
    first_token_target_ms : int
        Limit on the time to the first output for an answer to count as in time.
    seed : int
        Seed of the random choice among hosts.
    """

    seeds: tuple[str, ...]
    key: str
    customer: str = ""
    tier: str = ""
    max_wait_ms: int = 30_000
    read_timeout_ms: int = 15_000
    first_token_target_ms: int = 1_000
    seed: int = 1
