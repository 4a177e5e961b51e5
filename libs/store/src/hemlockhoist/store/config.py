"""Connection settings of the platform clients."""

import msgspec


class PlatformConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Address, timeouts and retry limits of the platform clients.

    Parameters
    ==========
    url : str
        ``http://IP:port``.
    timeout_ms : int
        Time without an answer after which a read is sent again beside the first call,
        three in all; a commit is given three times this. See ``StoreCalls``.
    connect_timeout_ms : int
    max_attempts : int
        Maximum number of attempts of one call, including the first.
    backoff_base_ms, backoff_max_ms : int
        Upper bounds of the random delay before the first retry, and before any retry.
    retry_permille : int
        Retries allowed per thousand calls, over all calls of the process.
    retry_burst : int
        Maximum number of unused retries that accumulate.
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
