"""How the platform is reached."""

import msgspec


class PlatformConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Address, time limits and retries of the platform's clients.

    Parameters
    ==========
    url : str
        ``http://IP:port``.
    timeout_ms : int
        For one attempt, from connecting to the last byte.
    connect_timeout_ms : int
    max_attempts : int
        Of one call, the first included.
    backoff_base_ms, backoff_max_ms : int
        Upper bound of the random pause before the first retry, and of any.
    retry_permille : int
        Retries allowed for each thousand calls, over all calls of the process.
    retry_burst : int
        Retries that a quiet time may save up.
    max_connections : int
    """

    url: str
    timeout_ms: int = 1_000
    connect_timeout_ms: int = 300
    max_attempts: int = 4
    backoff_base_ms: int = 50
    backoff_max_ms: int = 1_000
    retry_permille: int = 200
    retry_burst: int = 10
    max_connections: int = 16
