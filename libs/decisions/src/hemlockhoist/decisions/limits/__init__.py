"""Fleet-wide limits: quotas of customers, and retries."""

from hemlockhoist.decisions.limits.coverage import UnknownUsage, UsageCoverage
from hemlockhoist.decisions.limits.partitions import partition_share
from hemlockhoist.decisions.limits.query_limiter import QueryLimiter
from hemlockhoist.decisions.limits.quotas import (
    QuotaBounds,
    QuotaTracker,
    UsageLog,
)
from hemlockhoist.decisions.limits.retry_limiter import RetryLimiter

__all__ = [
    "QueryLimiter",
    "QuotaTracker",
    "QuotaBounds",
    "RetryLimiter",
    "UsageCoverage",
    "UsageLog",
    "UnknownUsage",
    "partition_share",
]
