"""Clock, result codes, errors, invariants, logs, metrics and traces."""

from hemlockhoist.base.addresses import is_address
from hemlockhoist.base.clock import MS_PER_S, Clock, SuspendAwareClock
from hemlockhoist.base.decoding import (
    DECODE_ERRORS,
    MAX_NUMBER,
    WireInteger,
    WireNumber,
    is_count,
)
from hemlockhoist.base.errors import (
    BadRequest,
    DeclarationError,
    DispatchError,
    GrantOutdated,
    HemlockhoistError,
    LeaseLost,
    MoveError,
    PeerError,
    PlatformError,
    PropertyViolation,
    Refused,
    RouteChanged,
    SettingError,
    StoreAnswerLost,
    StoreConflict,
    UpstreamBackedOff,
    UpstreamCold,
    UpstreamEvacuated,
    UpstreamLeft,
)
from hemlockhoist.base.invariants import InvariantLog, Property
from hemlockhoist.base.io_timeout import io_timeout
from hemlockhoist.base.log_rate_limiter import LogRateLimiter
from hemlockhoist.base.log_writer import LineWriter
from hemlockhoist.base.logs import configure_logs, get_logger
from hemlockhoist.base.periodic import PeriodicTask
from hemlockhoist.base.results import RESULTS, Ran, ResultCode, ResultInfo, result_info

__all__ = [
    "DECODE_ERRORS",
    "MAX_NUMBER",
    "MS_PER_S",
    "RESULTS",
    "BadRequest",
    "Clock",
    "DeclarationError",
    "DispatchError",
    "GrantOutdated",
    "HemlockhoistError",
    "InvariantLog",
    "LineWriter",
    "LeaseLost",
    "MoveError",
    "PeerError",
    "PeriodicTask",
    "PlatformError",
    "Property",
    "PropertyViolation",
    "Ran",
    "Refused",
    "RouteChanged",
    "ResultCode",
    "ResultInfo",
    "SettingError",
    "StoreAnswerLost",
    "StoreConflict",
    "SuspendAwareClock",
    "UpstreamBackedOff",
    "UpstreamCold",
    "UpstreamEvacuated",
    "UpstreamLeft",
    "LogRateLimiter",
    "configure_logs",
    "get_logger",
    "io_timeout",
    "result_info",
    "WireInteger",
    "WireNumber",
    "is_address",
    "is_count",
]
