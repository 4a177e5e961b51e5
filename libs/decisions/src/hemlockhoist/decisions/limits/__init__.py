"""Bounds over all hosts: customers' allowances and retries."""

from hemlockhoist.decisions.limits.allowances import (
    AllowanceBook,
    AllowanceBounds,
    SpentLog,
)
from hemlockhoist.decisions.limits.history import SpendingHistory, UnknownPast
from hemlockhoist.decisions.limits.retry_window import RetryWindow
from hemlockhoist.decisions.limits.sides import share_of_side

__all__ = [
    "AllowanceBook",
    "AllowanceBounds",
    "RetryWindow",
    "SpendingHistory",
    "SpentLog",
    "UnknownPast",
    "share_of_side",
]
