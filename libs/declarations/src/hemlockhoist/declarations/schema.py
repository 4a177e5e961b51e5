"""Allowed values of each declared field, derived from the records of the model.

Types and required fields follow from the records; bounds and patterns are given in the
tables below, with their reasons.
"""

import enum
import functools
import re
import typing

import msgspec

from hemlockhoist.declarations.model import (
    DOMAIN_KIND,
    Customer,
    Defaults,
    DomainDefaults,
    IdempotentCall,
    Pool,
    Tier,
)

RECORD_TYPES = {"tier": Tier, "customer": Customer, "pool": Pool}
DEFAULT_TYPES = {info.name: info.type for info in msgspec.structs.fields(Defaults)}
EXCEPTION_KINDS = (*RECORD_TYPES, DOMAIN_KIND)
_DAY_MS = 86_400_000

# (record, field): (minimum, maximum).
_BOUNDS = {
    # More ranks than tiers in use (5 planned), and few enough for an array per pool.
    ("Tier", "rank"): (0, 15),
    # 10 ms is the least that leaves time for a network round trip; one day bounds the
    # number of stored records.
    ("Tier", "deadline_ms"): (10, _DAY_MS),
    ("Tier", "first_token_target_ms"): (1, _DAY_MS),
    # 0 disables queueing; the maximum bounds a home's memory for one pool.
    ("Tier", "max_queued"): (0, 100_000),
    # 0 blocks a customer without removing it.
    ("Customer", "max_in_flight"): (0, 1_000_000),
    # A ratio above 1000 would starve the customer with the lower weight.
    ("Customer", "weight"): (1, 1_000),
    ("Pool", "max_in_flight_per_upstream"): (1, 4_096),
    ("Pool", "expected_output_tokens"): (1, 1_000_000),
    # The maximum bounds an entry host's memory for one request.
    ("Pool", "max_body_bytes"): (1_024, 67_108_864),
    # 0 would never yield evidence for the new version; above one half, the share would
    # not be a small one.
    ("VersionRules", "first_share_permille"): (1, 500),
    ("VersionRules", "unproven_share_permille"): (1, 500),
    # The sequential test requires both error rates to be above 0 and below one half.
    ("VersionRules", "false_alarm_permille"): (1, 499),
    ("VersionRules", "missed_permille"): (1, 499),
}
# Bounds of integers without a row above.
_DEFAULT_BOUNDS = (0, 2**53)

_NAME = (r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters, digits, '.', '_', '-'")
_PATTERNS = {
    "name": _NAME,
    "highest_tier": _NAME,
    "stable_version": _NAME,
    "key_sha256": (r"[0-9a-f]{64}", "64 hexadecimal digits in lower case (SHA-256)"),
    "method": (r"[A-Z]{1,16}", "an HTTP method in capitals, such as GET"),
    "path": (r"/[^\s?#]{0,255}", "a path that begins with '/'"),
}
_DEFAULT_PATTERN = (r".{1,500}", "1 to 500 characters on one line")


class FieldSpec:
    """Specification of one field.

    Parameters
    ==========
    owner : str
        Name of the record that the field belongs to.
    name : str
    type : type
        ``int``, ``bool``, ``str``, an enumeration, a record, or a tuple of one.
    required : bool

    Attributes
    ==========
    bounds : tuple of int
        Minimum and maximum of an integer.
    item_type : type or None
        Type of the items of a list; None for other fields.
    """

    __slots__ = (
        "_pattern",
        "bounds",
        "item_type",
        "name",
        "owner",
        "required",
        "type",
    )

    def __init__(self, owner, name, type, required):
        self.owner = owner
        self.name = name
        self.type = type
        self.required = required
        self.bounds = _BOUNDS.get((owner, name), _DEFAULT_BOUNDS)
        self.item_type = None
        if typing.get_origin(type) is tuple:
            self.item_type = typing.get_args(type)[0]
        self._pattern = re.compile(_PATTERNS.get(name, _DEFAULT_PATTERN)[0])

    @property
    def has_own_bounds(self):
        """Whether the table of bounds has a row for this field."""
        return (self.owner, self.name) in _BOUNDS

    @property
    def allowed(self):
        """Readable description of the allowed values of the field, or of its items."""
        kind = self.item_type or self.type
        if kind is bool:
            return "true or false"
        if kind is int:
            minimum, maximum = self.bounds
            return f"a whole number from {minimum} to {maximum}"
        if kind is str:
            return _PATTERNS.get(self.name, _DEFAULT_PATTERN)[1]
        if issubclass(kind, enum.Enum):
            return "one of " + ", ".join(item.value for item in kind)
        names = ", ".join(info.name for info in msgspec.structs.fields(kind))
        return f"a mapping of {names}"

    def accepts(self, value):
        """Return whether a scalar of the field's type is within its bounds."""
        if isinstance(value, bool):
            return True
        if isinstance(value, int):
            minimum, maximum = self.bounds
            return minimum <= value <= maximum
        if isinstance(value, str):
            return self._pattern.fullmatch(value) is not None
        return True


@functools.cache
def fields_of(record_type, owner=None):
    """Return the specifications of a record's fields by name.

    The result is cached, like that of the functions below: otherwise, dividing 1,700
    customers into sections spends most of its time here.

    Parameters
    ==========
    record_type : type
        A subclass of ``msgspec.Struct``.
    owner : str, optional
        Name by which bounds are looked up, if it is not the record's own.
    """
    specs = {}
    for info in msgspec.structs.fields(record_type):
        name = owner or record_type.__name__
        specs[info.name] = FieldSpec(name, info.name, info.type, info.required)
    return specs


@functools.cache
def defaulted_fields(kind):
    """Return the specifications of the fields set by defaults and exceptions.

    Parameters
    ==========
    kind : str
        ``tier``, ``customer`` or ``pool``.
    """
    return fields_of(DEFAULT_TYPES[kind], owner=RECORD_TYPES[kind].__name__)


@functools.cache
def record_fields(kind):
    """Return the specifications of the fields that a record itself states."""
    specs = fields_of(RECORD_TYPES[kind])
    defaulted = defaulted_fields(kind)
    return {name: spec for name, spec in specs.items() if name not in defaulted}


@functools.cache
def exception_fields(kind):
    """Return the specifications of the fields that an exception may set.

    Nested fields have dotted names.

    Examples
    ========
    >>> from hemlockhoist.declarations.schema import exception_fields
    >>> sorted(exception_fields("customer"))
    ['max_in_flight', 'weight']
    """
    if kind == DOMAIN_KIND:
        return fields_of(DomainDefaults)
    specs = {}
    for name, spec in defaulted_fields(kind).items():
        if isinstance(spec.type, type) and issubclass(spec.type, msgspec.Struct):
            for inner, inner_spec in fields_of(spec.type).items():
                specs[f"{name}.{inner}"] = inner_spec
        else:
            specs[name] = spec
    return specs


CALL_FIELDS = fields_of(IdempotentCall)
