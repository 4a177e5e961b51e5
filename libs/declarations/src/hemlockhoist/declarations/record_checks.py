"""Checks of declarations received as records instead of a file."""

from hemlockhoist.declarations import schema
from hemlockhoist.declarations.checks import CrossRecordChecks, check_version_shares
from hemlockhoist.declarations.effective import overridden_values
from hemlockhoist.declarations.faults import DeclarationFaults, Fault
from hemlockhoist.declarations.reader import REASON_ALLOWED, Entry, is_valid_reason

_SECTIONS = {
    "tier": "tiers",
    "customer": "customers",
    "pool": "pools",
    "exception": "exceptions",
}


def check_declarations(declarations):
    """Raise ``DeclarationFaults`` if declarations break a rule that holds for files.

    A host checks the declarations that an operator's command sends, as the command may
    be of another release, or another program.

    Parameters
    ==========
    declarations : Declarations

    Raises
    ======
    DeclarationFaults
        With all faults.
    """
    faults = []
    entries = {}
    for kind, section in _SECTIONS.items():
        records = getattr(declarations, section)
        entries[kind] = [
            _entry(kind, f"{section}[{position}]", record)
            for position, record in enumerate(records)
        ]
    for kind in schema.RECORD_TYPES:
        specs = {**schema.record_fields(kind), **schema.defaulted_fields(kind)}
        for entry in entries[kind]:
            faults += _value_faults(entry.path, entry.values, specs)
        path = f"defaults.{kind}"
        default = _values(getattr(declarations.defaults, kind))
        faults += _value_faults(path, default, schema.defaulted_fields(kind))
    for entry in entries["exception"]:
        faults += _exception_faults(entry)
    faults += CrossRecordChecks("", entries).run()
    for position, pool in enumerate(declarations.pools):
        faults += check_version_shares(f"pools[{position}]", pool.version_rules)
    faults += _override_faults(declarations)
    if faults:
        raise DeclarationFaults(faults)


def _entry(kind, path, record):
    entry = Entry(kind, path)
    for name, value in _values(record).items():
        entry.set(name, value, 0)
    return entry


def _values(record):
    return {name: getattr(record, name) for name in record.__struct_fields__}


def _value_faults(path, values, specs):
    faults = []
    for name, spec in specs.items():
        value = values[name]
        items = value if spec.item_type is not None else (value,)
        for item in items:
            if hasattr(item, "__struct_fields__"):
                inner = schema.fields_of(type(item))
                faults += _value_faults(f"{path}.{name}", _values(item), inner)
            elif not spec.accepts(item):
                faults.append(_fault(f"{path}.{name}", f"is {item!r}", spec.allowed))
    return faults


def _exception_faults(entry):
    values = entry.values
    faults = []
    if not is_valid_reason(values["reason"]):
        problem = f"is {values['reason'][:60]!r}"
        faults.append(_fault(f"{entry.path}.reason", problem, REASON_ALLOWED))
    if values["kind"] not in schema.EXCEPTION_KINDS:
        entry.values = {}
        allowed = "one of " + ", ".join(schema.EXCEPTION_KINDS)
        faults.append(_fault(f"{entry.path}.kind", f"is {values['kind']!r}", allowed))
        return faults
    specs = schema.exception_fields(values["kind"])
    spec = specs.get(values["field"])
    if spec is None:
        problem = f"names {values['field']!r}, which is not a field with a default"
        faults.append(
            _fault(f"{entry.path}.field", problem, "one of " + ", ".join(specs))
        )
    elif type(values["value"]) is not spec.type or not spec.accepts(values["value"]):
        problem = f"is {values['value']!r}"
        faults.append(_fault(f"{entry.path}.value", problem, spec.allowed))
    return faults


def _override_faults(declarations):
    """Return a fault for each override whose exception is missing or differs."""
    exception_values = {
        (i.kind, i.name, i.field): i.value for i in declarations.exceptions
    }
    faults = []
    for kind in schema.RECORD_TYPES:
        for position, record in enumerate(getattr(declarations, _SECTIONS[kind])):
            overridden = overridden_values(kind, record, declarations.defaults)
            path = f"{_SECTIONS[kind]}[{position}]"
            for field, value in overridden.items():
                if exception_values.get((kind, record.name, field)) != value:
                    problem = f"is {value!r}, which no exception states"
                    allowed = "the default, or an exception with a reason"
                    faults.append(_fault(f"{path}.{field}", problem, allowed))
            excepted = [
                key for key in exception_values if key[:2] == (kind, record.name)
            ]
            for key in excepted:
                default = getattr(declarations.defaults, kind)
                if key[2] not in overridden and not _field_equals(
                    default, key[2], exception_values[key]
                ):
                    problem = (
                        f"differs from the exception's value {exception_values[key]!r}"
                    )
                    faults.append(
                        _fault(f"{path}.{key[2]}", problem, "the exception's value")
                    )
    return faults


def _field_equals(default, field, value):
    for name in field.split("."):
        default = getattr(default, name, None)
    return default == value


def _fault(field, problem, allowed):
    return Fault(field=field, problem=problem, allowed=allowed)
