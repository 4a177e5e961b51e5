"""Records of requests as their callers observed them."""

import enum

import msgspec

# Limit on how often an idempotent request is sent again after a failure.
MAX_RESENDS = 2


class RequestKind(enum.Enum):
    """Kind of a request."""

    CHAT = "chat"
    LOOKUP = "lookup"
    BOOKING = "booking"


class CallOutcome(enum.Enum):
    """Outcome of a request for its caller.

    ``WRONG`` is a complete answer that differs from the expected one; ``CUT`` is an
    answer whose remainder the caller can not get.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"


class Refusal(msgspec.Struct, frozen=True):
    """Error response to a request.

    Parameters
    ==========
    status, code : int
        HTTP status and result code; the code is -1 when the response has none.
    ran : str
        "not run", "run" or "outcome unknown".
    request_id : str
    retry_after_ms : int
        -1 when the response doesn't allow a retry.
    message : str
    """

    status: int
    code: int
    ran: str
    request_id: str
    retry_after_ms: int
    message: str

    @property
    def not_run(self):
        """Whether the response says that the request did not run."""
        return self.ran == "not run"


class CallRecord(msgspec.Struct, kw_only=True):
    """Course of one request over all its attempts.

    Parameters
    ==========
    kind : RequestKind
    customer, tier : str
    outcome : CallOutcome
    started_ms, ended_ms : int
        Times of the event loop's clock.
    first_output_ms : int
        Time from start to the first piece or to a service's reply; -1 when none came,
        and for a non-streaming chat, whose caller can not observe it.
    in_time : bool
        Whether the answer is whole and its first piece, if observed, came within the
        first token target.
    key : str
        Idempotency key of a non-idempotent call.
    request_ids : list of str
        Request ids that the hosts assigned to the answered attempts.
    refusals : list of Refusal
    attempts, resumes, moves, resends : int
        ``resends`` counts how often an idempotent request was sent again after a
        response that said it had failed or may have run.
    upstream_version : str
    """

    kind: RequestKind
    customer: str
    tier: str
    outcome: CallOutcome = CallOutcome.UNKNOWN
    started_ms: int = 0
    ended_ms: int = 0
    first_output_ms: int = -1
    in_time: bool = False
    key: str = ""
    request_ids: list[str] = []
    refusals: list[Refusal] = []
    attempts: int = 0
    resumes: int = 0
    moves: int = 0
    resends: int = 0
    upstream_version: str = ""

    @property
    def total_ms(self):
        """Time from start to end in milliseconds."""
        return self.ended_ms - self.started_ms
