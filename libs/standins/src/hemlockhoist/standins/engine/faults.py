"""Faults that a test can inject into the simulated model engine."""

import msgspec

NO_BREAK = -1


class EngineFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; each ``POST /-/faults`` replaces all of them.

    Parameters
    ==========
    only_version : str
        Limits the slowdown and the failures to one version; empty for all versions.
    slowdown_permille : int
        Step time in permille of the normal one: 2000 doubles it.
    fail_share : float
        Fraction of requests that begin and then fail with status 500.
    break_streams : int
        Number of streamed responses whose connection is dropped next ...
    break_after_pieces : int
        ... after this many pieces; generation continues.
    close_streams : int
        Number of streamed responses that end in order before their end mark next ...
    close_after_pieces : int
        ... after this many pieces; generation continues.
    close_unframed : bool
        Whether streamed responses have neither a length nor chunks.
    insert_streams : int
        Number of streamed responses and errors that contain foreign bytes next ...
    insert_text : str
        ... which are these, with the request's id for ``REQUEST_ID`` ...
    insert_at_event : int
        ... within the event of this offset, or behind an error; the event after the
        last is the end mark ...
    insert_at_byte : int
        ... after this many bytes of it; a larger number is its end ...
    insert_raw : bool
        ... and past the framing of the response, if set.
    shift_resumes : int
        Number of resumed streams that start at a wrong offset next ...
    resume_shift : int
        ... by this many pieces: a positive shift skips, a negative one repeats pieces.
    cross_streams : int
        Number of streamed responses that carry the pieces and ids of an earlier
        request next ...
    cross_at_piece : int
        ... from this piece on; with 0, the response headers are those of the other
        request too.
    refuse_ms : int
        How long new connections are refused.
    crash_text : str
        The engine crashes as it answers a prompt with this text; empty for none ...
    crash_after_pieces : int
        ... after this many pieces ...
    crash_delay_ms : int
        ... and this time, whether or not anybody reads the answer, ...
    crash_down_ms : int
        ... and is back after this time, without its streams.
    state : str
        ``live`` or ``leaving``.
    load_lag_ms, cache_lag_ms : int
        Delay of load reports and cache events.
    cache_gap_every : int
        Drops every n-th cache event; 0 drops none.
    """

    only_version: str = ""
    slowdown_permille: int = 1_000
    fail_share: float = 0.0
    break_streams: int = 0
    break_after_pieces: int = 0
    close_streams: int = 0
    close_after_pieces: int = 0
    close_unframed: bool = False
    insert_streams: int = 0
    insert_text: str = ""
    insert_at_event: int = 0
    insert_at_byte: int = 0
    insert_raw: bool = False
    shift_resumes: int = 0
    resume_shift: int = 0
    cross_streams: int = 0
    cross_at_piece: int = 0
    refuse_ms: int = 0
    crash_text: str = ""
    crash_after_pieces: int = 0
    crash_delay_ms: int = 0
    crash_down_ms: int = 0
    state: str = "live"
    load_lag_ms: int = 0
    cache_lag_ms: int = 0
    cache_gap_every: int = 0

    def applies_to(self, version):
        """Return whether the slowdown and the failures apply to ``version``."""
        return self.only_version in ("", version)
