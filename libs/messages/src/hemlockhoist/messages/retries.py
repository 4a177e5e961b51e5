"""Records of the retries that homes granted, passed on from home to home."""

import msgspec


class RetryRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one home counted of a pool's requests and retries in the current window.

    Parameters
    ==========
    incarnation : str
        Of the host that was the home, or decided alone.
    change_count : int
        Number of changes of its counts so far: of two records, the one with more is
        the later one.
    counts : tuple of (int, int, int)
        Ages in milliseconds, each with the numbers of requests and of retries.
    """

    incarnation: str
    change_count: int
    counts: tuple[tuple[int, int, int], ...] = ()
