"""Faults that a replica can have, and the requests that it records."""

import enum

import msgspec


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


class CrashMoment(enum.Enum):
    """How far a replica gets with the answer that crashes it."""

    BEFORE_HEAD = "before the head of its answer"
    BEFORE_EVENT = "after the head, before the first event"
    IN_EVENT = "in the middle of the first event"


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
