"""Declared state of the fleet: model, file format, checks, differences, routes."""

from hemlockhoist.declarations.codec import (
    decode_declarations,
    encode_declarations,
)
from hemlockhoist.declarations.difference import Action, Change, diff, diff_text
from hemlockhoist.declarations.document import check_file, parse_declarations
from hemlockhoist.declarations.effective import canonical
from hemlockhoist.declarations.faults import DeclarationFaults, Fault
from hemlockhoist.declarations.model import (
    Customer,
    CustomerDefaults,
    Declarations,
    Defaults,
    FleetException,
    IdempotentCall,
    Pool,
    PoolDefaults,
    PoolKind,
    Tier,
    TierDefaults,
    VersionRules,
)
from hemlockhoist.declarations.record_checks import check_declarations
from hemlockhoist.declarations.routes import (
    CallKind,
    EngineSpec,
    KeyedCustomer,
    PoolShare,
    Quota,
    RequestLimits,
    Route,
    RoutedPool,
    RouteTable,
)
from hemlockhoist.declarations.sectioning import (
    Section,
    SectionDelta,
    SectionMismatch,
    SectionReader,
    Sections,
    changed_sections,
    from_sections,
    merge_sections,
    missing_sections,
    sections,
)
from hemlockhoist.declarations.stored import HistoryEntry, StoredDeclarations

__all__ = [
    "Quota",
    "CallKind",
    "EngineSpec",
    "KeyedCustomer",
    "PoolShare",
    "RequestLimits",
    "Route",
    "RoutedPool",
    "RouteTable",
    "Action",
    "Change",
    "Customer",
    "CustomerDefaults",
    "DeclarationFaults",
    "Declarations",
    "Defaults",
    "Fault",
    "FleetException",
    "HistoryEntry",
    "IdempotentCall",
    "Pool",
    "PoolDefaults",
    "PoolKind",
    "StoredDeclarations",
    "Tier",
    "TierDefaults",
    "VersionRules",
    "Section",
    "SectionDelta",
    "SectionMismatch",
    "SectionReader",
    "Sections",
    "canonical",
    "changed_sections",
    "check_declarations",
    "check_file",
    "decode_declarations",
    "diff",
    "diff_text",
    "encode_declarations",
    "from_sections",
    "missing_sections",
    "merge_sections",
    "sections",
    "parse_declarations",
]
