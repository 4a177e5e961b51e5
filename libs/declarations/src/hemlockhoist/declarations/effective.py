"""Effective records, from stated values, defaults and exceptions."""

import msgspec

from hemlockhoist.declarations import schema


def effective_record(kind, record_values, defaults, exceptions):
    """Return a record with its defaults and exceptions applied.

    Parameters
    ==========
    kind : str
        ``tier``, ``customer`` or ``pool``.
    record_values : dict
        Values that the record itself states.
    defaults : hemlockhoist.declarations.Defaults
    exceptions : iterable of FleetException
        Those of other records are ignored.

    Returns
    =======
    Tier, Customer or Pool
    """
    values = field_values(getattr(defaults, kind))
    for item in exceptions:
        if item.kind == kind and item.name == record_values["name"]:
            values = with_value(values, item.field, item.value)
    return schema.RECORD_TYPES[kind](**record_values, **values)


def field_values(record):
    """Return the fields of a record as a dictionary; nested records are kept."""
    return {name: getattr(record, name) for name in record.__struct_fields__}


def with_value(values, field, value):
    """Return a copy of ``values`` with one field set; a nested one has a dotted name.

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
    """Return a field's value; a nested field has a dotted name."""
    for name in field.split("."):
        record = getattr(record, name)
    return record


def own_values(kind, record):
    """Return the values that a record itself states, without those of defaults."""
    return {name: getattr(record, name) for name in schema.record_fields(kind)}


def canonical(declarations):
    """Return the declarations in canonical order.

    Tiers are sorted by rank and all other records by name, so that equal content gives
    equal bytes and digests regardless of the order in the file.
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
    """Return the values of a record that differ from the defaults.

    Returns
    =======
    dict of str to object
        Effective values by field; nested fields have dotted names.
    """
    default = getattr(defaults, kind)
    return {
        field: value_of(record, field)
        for field in schema.exception_fields(kind)
        if value_of(record, field) != value_of(default, field)
    }
