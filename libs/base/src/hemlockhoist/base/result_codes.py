"""The numbers of the result codes, and the row type of their table."""

import enum


class Ran(enum.Enum):
    """Whether the upstream has run the request."""

    NO = "not run"
    YES = "run"
    UNKNOWN = "outcome unknown"


class ResultCode(enum.IntEnum):
    """The number of a result, as given in answers, log lines and metrics.

    The codes are grouped by hundreds: 0 success, 1xx invalid requests of callers, 2xx
    refusals before dispatch, 3xx failures after dispatch, 4xx operators and
    declarations, 5xx communication between hosts, 6xx the platform.
    """

    OK = 0
    MALFORMED_BODY = 100
    UNKNOWN_KEY = 101
    TIER_NOT_ALLOWED = 102
    UNKNOWN_MODEL = 103
    UNKNOWN_SERVICE = 104
    BODY_TOO_LARGE = 105
    BODY_TOO_SLOW = 106
    KEY_REQUIRED = 107
    KEY_MALFORMED = 108
    KEY_EXPIRED = 109
    KEY_REUSED = 110
    UNKNOWN_STREAM = 111
    NOT_FOUND = 112
    HEADERS_TOO_LARGE = 113
    MALFORMED_HEAD = 114
    HEAD_TOO_SLOW = 115
    OVERLOADED = 200
    DEADLINE_UNREACHABLE = 201
    CUSTOMER_LIMIT = 202
    NO_UPSTREAM = 203
    DISPLACED = 204
    DEADLINE_PASSED = 205
    CONNECT_FAILED = 206
    LEAVING = 207
    NOT_READY = 208
    GRANT_EXPIRED = 209
    LEDGER_FULL = 210
    HOME_UNREACHABLE = 211
    KEY_WITHDRAWN = 212
    CANCELLED = 213
    ALLOWANCE_SPENT = 214
    RETRIES_EXHAUSTED = 215
    CONFIGURATION_STALE = 216
    UPSTREAM_LEFT = 217
    LINK_LOST = 218
    PART_SUSPECTED = 219
    PART_BLOCKED = 220
    MEMORY_FULL = 221
    CONNECTIONS_FULL = 222
    UPSTREAM_FAILED = 300
    UPSTREAM_BROKE_OFF = 301
    OUTCOME_UNKNOWN = 302
    UPSTREAM_TIMEOUT = 303
    ANSWER_NOT_KEPT = 304
    IN_PROGRESS = 305
    ANSWER_MISMATCH = 306
    DECLARATION_INVALID = 400
    DECLARATION_CONFLICT = 401
    MOVE_CONFLICT = 402
    MOVE_UNKNOWN = 403
    OPERATOR_KEY_WRONG = 404
    NOT_YET_IN_FORCE = 405
    SETTING_INVALID = 406
    PART_UNKNOWN = 407
    QUERY_TOO_FREQUENT = 408
    QUERY_TOO_COSTLY = 409
    PEER_UNAUTHENTIC = 500
    PEER_VERSION = 501
    PEER_MALFORMED = 502
    LEASE_LOST = 503
    INTERNAL_ERROR = 598
    PROPERTY_VIOLATED = 599
    STORE_UNAVAILABLE = 600
    STORE_CONFLICT = 601
    STORE_ANSWER_LOST = 602


class ResultInfo:
    """A row of the result code table.

    Parameters
    ==========
    code : ResultCode
    http_status : int
        The HTTP status of answers with the code.
    ran : Ran
        Whether a request that ended with the code has run.
    retryable : bool
        Whether the same request may be sent again; such answers have a
        ``Retry-After`` header.
    meaning, remedy : str
        One sentence each, in readable form.
    """

    __slots__ = ("code", "http_status", "meaning", "ran", "remedy", "retryable")

    def __init__(self, code, http_status, ran, retryable, meaning, remedy):
        self.code = code
        self.http_status = http_status
        self.ran = ran
        self.retryable = retryable
        self.meaning = meaning
        self.remedy = remedy
