"""How replicas respond to requests, and what they record of them."""

import enum

import msgspec

from hemlockhoist.standins.published import endless


class Behaviour(enum.Enum):
    """How a replica responds to requests."""

    NORMAL = "normal"
    FAILS = "answers 500"
    SHEDS = "reports that it did not run the request"
    MISDIRECTED = "reports that it is another instance"
    NO_RECEIPT = "answers without a receipt"
    WRONG_ATTEMPT_ID = "answers with the id of another request"
    TRUNCATED = "closes before its answer is complete"
    RESETS = "runs the request and resets the connection"
    HANGS = "runs the request and never answers"
    STOPS_MID_EVENT = "closes in the middle of an event"
    SKIPS_EVENT = "omits an event"
    STALLS = "sends nothing more after half of its events"
    EXTRA_RESPONSE = "sends a second answer after the first"
    STATUS_LINE_WITHOUT_END = "sends a status line without end"
    HEADER_LINE_WITHOUT_END = "sends a header line without end"
    HEADERS_WITHOUT_END = "sends headers without end"
    BLANKS_WITHOUT_END = "sends blanks without end before the value of a header"
    EMPTY_LINES_WITHOUT_END = "sends empty lines without end before its answer"
    INTERIM_HEADS_WITHOUT_END = "sends interim responses without end"
    TRICKLED_HEAD_WITHOUT_END = "sends a byte of a head without end at a time"
    BODY_WITHOUT_END = "sends a body without end"
    CHUNK_EXTENSION_WITHOUT_END = "sends an extension of a chunk without end"
    NO_EVENTS_WITHOUT_END = "sends bytes without end that are no event"
    EVENT_WITHOUT_END = "sends an event without end"
    TRICKLED_EVENT_WITHOUT_END = "sends a byte of an event without end at a time"
    DATA_AFTER_ANSWER_WITHOUT_END = "sends data without end after a complete answer"


# What replicas send without end. A plain answer has a body in place of events.
ENDLESS_DATA = {
    Behaviour.STATUS_LINE_WITHOUT_END: endless.STATUS_LINE,
    Behaviour.HEADER_LINE_WITHOUT_END: endless.HEADER_LINE,
    Behaviour.HEADERS_WITHOUT_END: endless.HEADERS,
    Behaviour.BLANKS_WITHOUT_END: endless.BLANKS,
    Behaviour.EMPTY_LINES_WITHOUT_END: endless.EMPTY_LINES,
    Behaviour.INTERIM_HEADS_WITHOUT_END: endless.INTERIM_HEADS,
    Behaviour.TRICKLED_HEAD_WITHOUT_END: endless.TRICKLED_HEAD,
    Behaviour.BODY_WITHOUT_END: endless.BODY,
    Behaviour.CHUNK_EXTENSION_WITHOUT_END: endless.CHUNK_EXTENSION,
    Behaviour.NO_EVENTS_WITHOUT_END: endless.NO_EVENTS,
    Behaviour.EVENT_WITHOUT_END: endless.EVENT,
    Behaviour.TRICKLED_EVENT_WITHOUT_END: endless.TRICKLED_EVENT,
    Behaviour.DATA_AFTER_ANSWER_WITHOUT_END: endless.AFTER_ANSWER,
}


class CrashMoment(enum.Enum):
    """How far a replica gets with the answer that crashes it."""

    BEFORE_HEAD = "before the head of its answer"
    BEFORE_EVENT = "after the head, before the first event"
    IN_EVENT = "in the middle of the first event"
    AFTER_EVENTS = "after some events, or in the middle of a plain body"


# How far a replica gets with an answer that it ends as it begins.
BEGIN_MOMENTS = (
    CrashMoment.BEFORE_HEAD,
    CrashMoment.BEFORE_EVENT,
    CrashMoment.IN_EVENT,
)


class ReceivedRequest(msgspec.Struct):
    """A request as a replica received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    closed: bool = False
    replica_id: str = ""
    started_s: float = 0.0
    # Address of the host that sent it, if the replica can tell.
    sender: str = ""
    # Whether the replica ended the answer too early.
    is_cut: bool = False
    # What its run has sent as its own answer: whole events, or a plain body.
    sent: list[bytes] = []
    # The second answers that were sent within or behind it, heads included.
    beside: list[bytes] = []


class EarlyEnds:
    """Which answers a replica closes in order before their end.

    Parameters
    ==========
    is_unframed : bool
        Whether its answers have neither a length nor chunks; else they have chunks, and
        those that are cut no last one.
    every : int
        One in so many answers is cut.
    """

    def __init__(self, is_unframed, every):
        self.is_unframed = is_unframed
        self._every = every
        self._count = 0

    def next_is_cut(self):
        """Return whether the next answer ends too early."""
        self._count += 1
        return self._count % self._every == 0


# What replicas of a soak run do for a while.
FAULTY_BEHAVIOURS = (
    Behaviour.FAILS,
    Behaviour.SHEDS,
    Behaviour.WRONG_ATTEMPT_ID,
    Behaviour.NO_RECEIPT,
    Behaviour.TRUNCATED,
    Behaviour.RESETS,
    Behaviour.HANGS,
    Behaviour.STOPS_MID_EVENT,
    Behaviour.SKIPS_EVENT,
    Behaviour.EXTRA_RESPONSE,
    *ENDLESS_DATA,
)
