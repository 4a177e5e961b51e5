"""Faults of the model engine that a test may switch on."""

import msgspec

NO_BREAK = -1


class EngineFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What goes wrong at present; a posted fault replaces all of them.

    Parameters
    ==========
    only_version : str
        The slowdown and the failures hold for this version only; all if empty.
    slowdown_permille : int
        2000 makes each step take twice its time.
    fail_share : float
        Share of requests that begin and end in status 500.
    break_streams : int
        The next so many streamed answers lose their connection ...
    break_after_pieces : int
        ... after so many pieces; generation goes on.
    shift_resumes : int
        The next so many resumed streams begin at another piece than asked for ...
    resume_shift : int
        ... so many pieces late (skips), or early if negative (repeats).
    cross_streams : int
        The next so many streamed answers carry the pieces and ids of another request
        that the engine had before ...
    cross_at_piece : int
        ... from this piece on; the head is the other's as well if it is 0.
    refuse_ms : int
        New connections are refused for so long.
    state : str
        ``live`` or ``leaving``.
    load_lag_ms, cache_lag_ms : int
        How late load reports and cache events are.
    cache_gap_every : int
        Each so manieth cache event is missing; 0 is none.
    """

    only_version: str = ""
    slowdown_permille: int = 1_000
    fail_share: float = 0.0
    break_streams: int = 0
    break_after_pieces: int = 0
    shift_resumes: int = 0
    resume_shift: int = 0
    cross_streams: int = 0
    cross_at_piece: int = 0
    refuse_ms: int = 0
    state: str = "live"
    load_lag_ms: int = 0
    cache_lag_ms: int = 0
    cache_gap_every: int = 0

    def applies_to(self, version):
        """Return whether the slowdown and the failures hold for ``version``."""
        return self.only_version in ("", version)
