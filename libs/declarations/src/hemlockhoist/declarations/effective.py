"""Defaults plus exceptions give the effective records."""

import msgspec

from hemlockhoist.declarations import schema


def effective_record(kind, facts, defaults, exceptions):
    """Return a record with its defaults and exceptions applied.

    Parameters
    ==========
    kind : str
        ``tier``, ``customer`` or ``pool``.
    facts : dict
        What the record states itself.
    defaults : hemlockhoist.declarations.Defaults
    exceptions : iterable of FleetException
        Those of other records are passed over.

    Returns
    =======
    Tier, Customer or Pool
    """
    values = defaulted_values(getattr(defaults, kind))
    for item in exceptions:
        if item.kind == kind and item.name == facts["name"]:
            values = with_value(values, item.field, item.value)
    return schema.RECORD_TYPES[kind](**facts, **values)


def defaulted_values(record):
    """Return the fields of a record as a dictionary, nested records kept."""
    return {name: getattr(record, name) for name in record.__struct_fields__}


def with_value(values, field, value):
    """Return a copy of ``values`` with one field set; a dot names a nested one.

    Examples
    ========
    >>> from hemlockhoist.declarations.effective import with_value
    >>> with_value({"weight": 1}, "weight", 3)
    {'weight': 3}
    """
    outer, _, inner = field.partition(".")
    if inner:
        value = msgspec.structs.replace(values[outer], **{inner: value})
    return {**values, outer: value}


def value_of(record, field):
    """Return a field's value; a dot names a nested one."""
    for name in field.split("."):
        record = getattr(record, name)
    return record


def own_values(kind, record):
    """Return what a record states itself, without what defaults set."""
    return {name: getattr(record, name) for name in schema.record_fields(kind)}


def canonical(declarations):
    """Return the same declarations in one fixed order.

    Tiers stand by rank, everything else by name, so that equal content gives equal
    bytes and digests whatever the order in the file.
    """
    return msgspec.structs.replace(
        declarations,
        tiers=tuple(sorted(declarations.tiers, key=lambda tier: tier.rank)),
        customers=tuple(sorted(declarations.customers, key=lambda item: item.name)),
        pools=tuple(sorted(declarations.pools, key=lambda pool: pool.name)),
        exceptions=tuple(
            sorted(
                declarations.exceptions,
                key=lambda item: (item.kind, item.name, item.field),
            )
        ),
    )


def overridden_values(kind, record, defaults):
    """Return the fields in which a record departs from the defaults.

    Returns
    =======
    dict of str to object
        Effective values by field, nested ones dotted.
    """
    default = getattr(defaults, kind)
    return {
        field: value_of(record, field)
        for field in schema.exception_fields(kind)
        if value_of(record, field) != value_of(default, field)
    }
