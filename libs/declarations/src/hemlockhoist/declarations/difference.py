"""Differences between two declarations, as records and as text."""

import enum

import msgspec

from hemlockhoist.declarations import schema
from hemlockhoist.declarations.effective import overridden_values, own_values, value_of

_RECORDS = {"tier": "tiers", "customer": "customers", "pool": "pools"}


class Action(enum.Enum):
    """Kind of a change to a record or a field."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


_SYMBOLS = {Action.ADDED: "+", Action.REMOVED: "-", Action.CHANGED: "~"}


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One difference between two declarations.

    Parameters
    ==========
    action : Action
    kind : str
        ``tier``, ``customer``, ``pool``, ``default`` or ``exception``.
    name : str
    field : str
        Empty when a whole record is added or removed.
    old, new : object
        Values of the field, None where it has none.
    reason : str
        Reason of an exception.
    """

    action: Action
    kind: str
    name: str
    field: str = ""
    old: object = None
    new: object = None
    reason: str = ""

    def __str__(self):
        text = f"{_SYMBOLS[self.action]} {self.kind} {self.name}"
        if self.field:
            text += f" {self.field}"
        if self.action is Action.CHANGED:
            text += f": {_format_value(self.old)} -> {_format_value(self.new)}"
        elif self.kind == "exception":
            value = self.new if self.action is Action.ADDED else self.old
            text += f": {_format_value(value)}"
        if self.reason:
            text += f" (reason: {self.reason})"
        return text


def diff(old, new):
    """Return the differences between two declarations.

    A changed default is one difference, regardless of how many records it affects.

    Parameters
    ==========
    old, new : Declarations

    Returns
    =======
    tuple of Change
    """
    changes = _default_changes(old, new)
    for kind in _RECORDS:
        changes += _record_changes(kind, old, new)
    changes += _exception_changes(old, new)
    return tuple(changes)


def diff_text(changes):
    """Return one line for each difference, or "no difference"."""
    return "\n".join(str(change) for change in changes) or "no difference"


def _default_changes(old, new):
    changes = []
    for kind in _RECORDS:
        for field in schema.exception_fields(kind):
            before = value_of(getattr(old.defaults, kind), field)
            after = value_of(getattr(new.defaults, kind), field)
            if before != after:
                changes.append(_field_change("default", kind, field, before, after))
    return changes


def _record_changes(kind, old, new):
    before = {item.name: item for item in getattr(old, _RECORDS[kind])}
    after = {item.name: item for item in getattr(new, _RECORDS[kind])}
    changes = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            changes.append(Change(action=Action.ADDED, kind=kind, name=name))
        elif name not in after:
            changes.append(Change(action=Action.REMOVED, kind=kind, name=name))
        elif before[name] != after[name]:
            left = _explicit_values(kind, before[name], old)
            right = _explicit_values(kind, after[name], new)
            for field in left | right:
                if left.get(field) != right.get(field):
                    values = left.get(field), right.get(field)
                    changes.append(_field_change(kind, name, field, *values))
    return changes


def _explicit_values(kind, record, declarations):
    """Return a record's values except those set by defaults and exceptions.

    Records created by a program may override a default without an exception, and such
    values are compared as well.
    """
    excepted = {
        item.field
        for item in declarations.exceptions
        if item.kind == kind and item.name == record.name
    }
    overridden = overridden_values(kind, record, declarations.defaults)
    without_exception = {
        f: value for f, value in overridden.items() if f not in excepted
    }
    return {**own_values(kind, record), **without_exception}


def _exception_changes(old, new):
    before = {(i.kind, i.name, i.field): i for i in old.exceptions}
    after = {(i.kind, i.name, i.field): i for i in new.exceptions}
    changes = []
    for key in sorted(before.keys() | after.keys()):
        left, right = before.get(key), after.get(key)
        if left == right:
            continue
        action = Action.CHANGED
        if left is None or right is None:
            action = Action.ADDED if left is None else Action.REMOVED
        change = Change(
            action=action,
            kind="exception",
            name=f"{key[0]} {key[1]}",
            field=key[2],
            old=None if left is None else left.value,
            new=None if right is None else right.value,
            reason=(right or left).reason,
        )
        changes.append(change)
    return changes


def _field_change(kind, name, field, old, new):
    return Change(
        action=Action.CHANGED, kind=kind, name=name, field=field, old=old, new=new
    )


def _format_value(value):
    if value is None:
        return "the default"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    if isinstance(value, msgspec.Struct):
        return " ".join(str(item) for item in msgspec.structs.astuple(value))
    if isinstance(value, str) and len(value) == 64:
        return value[:12] + "…"
    return str(value).lower() if isinstance(value, bool) else str(value)
