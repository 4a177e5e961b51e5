"""Clients of the platform's table service and host list."""

from hemlockhoist.store.answer_memory import MAX_ANSWER_BYTES, AnswerMemory
from hemlockhoist.store.calls import CallProgress, StoreCalls, read_body
from hemlockhoist.store.config import PlatformConfig
from hemlockhoist.store.hosts import (
    HostListClient,
    ListedMember,
    MemberKind,
    MemberState,
)
from hemlockhoist.store.lease import Lease, LeaseRow
from hemlockhoist.store.row_values import decode_row
from hemlockhoist.store.rows import (
    HistoryGone,
    Reading,
    RowChange,
    RowStore,
    StoreRow,
)
from hemlockhoist.store.tables import (
    ABSENT,
    Row,
    RowPut,
    TableClient,
    new_change_id,
)
from hemlockhoist.store.transport import PlatformTransport
from hemlockhoist.store.typed_rows import TypedRows
from hemlockhoist.store.watch import SLOW_RETRY, RetryDelay, TableWatch

__all__ = [
    "SLOW_RETRY",
    "CallProgress",
    "HistoryGone",
    "Reading",
    "RowChange",
    "RetryDelay",
    "RowStore",
    "StoreCalls",
    "StoreRow",
    "TableWatch",
    "ABSENT",
    "MAX_ANSWER_BYTES",
    "AnswerMemory",
    "HostListClient",
    "Lease",
    "LeaseRow",
    "ListedMember",
    "MemberKind",
    "MemberState",
    "PlatformConfig",
    "PlatformTransport",
    "Row",
    "RowPut",
    "TableClient",
    "TypedRows",
    "new_change_id",
    "read_body",
    "decode_row",
]
