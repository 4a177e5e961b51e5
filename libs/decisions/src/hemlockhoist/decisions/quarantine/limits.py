"""How many crashes make a part of prompts, or a request, suspected and blocked."""

import msgspec

from hemlockhoist.base import ResultCode

# One crash may be chance; at three of three, with single requests at the end, chance is
# out of the question.
SUSPECTED_CRASHES = 2
BLOCKED_CRASHES = 3
# Retry-After of a request that waits for another one with the same suspected part, or
# for another copy of itself.
SUSPECT_RETRY_AFTER_MS = 500


class KeptBack(msgspec.Struct, frozen=True):
    """A refusal of a request for what it is, or for a part; it has not been sent.

    Parameters
    ==========
    code : ResultCode
    part : int
        The hash of the part, or the fingerprint of the request.
    crashes : int
        Crashes that it is held responsible for.
    retry_after_ms : int
        0 if the request will not be sent later either.
    is_request : bool
        Whether it is kept back for the whole request, not for a part.
    may_pass : bool
        Whether the outcome of another copy may allow it within moments.
    """

    code: ResultCode
    part: int
    crashes: int
    retry_after_ms: int = 0
    is_request: bool = False
    may_pass: bool = False

    @property
    def reason(self):
        """The reason in the words of log lines."""
        kind = "request" if self.is_request else "part"
        return f"{kind} {self.part:016x} crashes {self.crashes}"
