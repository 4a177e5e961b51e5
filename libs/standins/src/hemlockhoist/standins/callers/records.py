"""What callers saw of their requests, one record each."""

import enum

import msgspec

# An idempotent request that fails this often again is given up.
MAX_RESENDS = 2


class RequestKind(enum.Enum):
    """What a request was."""

    CHAT = "chat"
    LOOKUP = "lookup"
    BOOKING = "booking"


class CallOutcome(enum.Enum):
    """How a request ended for its caller.

    ``WRONG`` is a whole answer that is not the one to this request; ``CUT`` an answer
    of which the caller has a part, and can not get the rest.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"


class Refusal(msgspec.Struct, frozen=True):
    """An answer that was not a success.

    Parameters
    ==========
    status, code : int
        Of HTTP, and the result code; -1 where there was none.
    ran : str
        "not run", "run" or "outcome unknown".
    request_id : str
    retry_after_ms : int
        -1 when the request may not be sent again.
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
        """Whether the answer says that nothing ran."""
        return self.ran == "not run"


class CallRecord(msgspec.Struct, kw_only=True):
    """One request from its start to its end, over all attempts.

    Parameters
    ==========
    kind : Kind
    customer, tier : str
    outcome : Seen
    started_ms, ended_ms : int
        On the loop's clock.
    first_output_ms : int
        From start to the first piece, or to a service's answer; -1 where none came,
        and for an unstreamed chat, whose caller does not see it.
    in_time : bool
        Whole, and the first piece, if one was seen, within the tier's target.
    key : str
        Idempotency key of a booking.
    request_ids : list of str
        As the hosts named the attempts that were answered.
    refusals : list of Refusal
    attempts, resumes, moves, resends : int
        ``resends`` counts how often an idempotent request was sent anew after an
        answer that said it had failed or may have run.
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
        """Milliseconds from start to end."""
        return self.ended_ms - self.started_ms
