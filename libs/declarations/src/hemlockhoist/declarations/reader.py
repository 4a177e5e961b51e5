"""Conversion of a tree of YAML nodes to entries of typed values with their lines."""

import enum
import re

import msgspec
import yaml

from hemlockhoist.declarations import schema
from hemlockhoist.declarations.faults import Fault
from hemlockhoist.declarations.yaml_nodes import line_of

# The length is bounded, as int() raises an error of its own for thousands of digits.
_DECIMAL = re.compile(r"[+-]?(0|[1-9][0-9_]{0,20})\Z")
_BOOLEANS = {"true": True, "false": False}
_STRING_TAG = "tag:yaml.org,2002:str"
_INTEGER_TAG = "tag:yaml.org,2002:int"
_BOOLEAN_TAG = "tag:yaml.org,2002:bool"
_NULL_TAG = "tag:yaml.org,2002:null"
_LISTS = {"tiers": "tier", "customers": "customer", "pools": "pool"}
SECTIONS = ("defaults", "tiers", "customers", "pools", "exceptions")
_EXCEPTION_FIELDS = ("kind", "name", "field", "value", "reason")
_MIN_REASON_CHARS = 10
_MAX_REASON_CHARS = 500
_INVALID = object()


class Entry:
    """The valid values of one record, each with its line.

    Parameters
    ==========
    kind : str
        ``tier``, ``customer``, ``pool`` or ``exception``.
    path : str
        Such as ``customers[2]``.
    line : int
    """

    __slots__ = ("complete", "kind", "line", "lines", "path", "values")

    def __init__(self, kind, path, line=0):
        self.kind = kind
        self.path = path
        self.line = line
        self.values = {}
        self.lines = {}
        self.complete = True

    def set(self, name, value, line):
        """Store a valid value and its line."""
        self.values[name] = value
        self.lines[name] = line

    def line_of(self, name):
        """Return the field's line, or the record's line if the field is absent."""
        return self.lines.get(name, self.line)


class Reader:
    """Reads a whole tree and collects all faults instead of stopping at the first.

    Parameters
    ==========
    file : str
        File name to report in faults.

    Attributes
    ==========
    faults : list of Fault
    entries : dict of str to list of Entry
        Tiers, customers, pools and exceptions, by kind.
    defaults : dict of str to Entry
        Defaults by kind.
    """

    __slots__ = ("_file", "defaults", "entries", "faults")

    def __init__(self, file):
        self._file = file
        self.faults = []
        self.entries = {"tier": [], "customer": [], "pool": [], "exception": []}
        self.defaults = {}

    def report(self, line, field, problem, allowed):
        """Add a fault."""
        self.faults.append(
            Fault(
                file=self._file,
                line=line,
                field=field,
                problem=problem,
                allowed=allowed,
            )
        )

    def read(self, root):
        """Read the whole file from its root node."""
        allowed = "a mapping of " + ", ".join(SECTIONS)
        for name, key_line, node in self._mapping_items(root, "file", allowed):
            if name == "defaults":
                self._read_defaults(node)
            elif name in _LISTS:
                self._read_records(_LISTS[name], name, node)
            elif name == "exceptions":
                self._read_exceptions(node)
            else:
                self.report(key_line, name, "is an unknown section", allowed)

    def _read_defaults(self, node):
        kinds = ", ".join(schema.DEFAULT_TYPES)
        for kind, key_line, child in self._mapping_items(
            node, "defaults", f"any of {kinds}"
        ):
            path = f"defaults.{kind}"
            if kind not in schema.DEFAULT_TYPES:
                self.report(
                    key_line, path, "is an unknown kind of record", f"any of {kinds}"
                )
                continue
            specs = schema.defaulted_fields(kind)
            entry = Entry(kind, path, key_line)
            self._read_fields(entry, child, specs)
            self.defaults[kind] = entry

    def _read_records(self, kind, section, node):
        specs = schema.record_fields(kind)
        for position, child in enumerate(self._list_items(node, section)):
            entry = Entry(kind, f"{section}[{position}]", line_of(child))
            self._read_fields(entry, child, specs, schema.defaulted_fields(kind))
            if isinstance(child, yaml.MappingNode):
                self._require(entry, required_names(specs))
            self.entries[kind].append(entry)

    def _read_fields(self, entry, node, specs, defaulted=()):
        allowed = "any of " + ", ".join(specs)
        for name, key_line, child in self._mapping_items(
            node, entry.path, allowed, entry
        ):
            path = f"{entry.path}.{name}"
            if name in specs:
                value = self._value(child, specs[name], path)
                entry.lines[name] = line_of(child)
                if value is _INVALID:
                    entry.complete = False
                else:
                    entry.set(name, value, line_of(child))
            elif name in defaulted:
                problem = "is set for the whole fleet, not by a single record"
                allowed_values = (
                    f"a default, or an exception of kind {entry.kind} with a reason"
                )
                self.report(key_line, path, problem, allowed_values)
            else:
                self.report(key_line, path, "is an unknown field", allowed)

    def _require(self, entry, names):
        for name in names:
            if name not in entry.lines:
                entry.complete = False
                path = f"{entry.path}.{name}"
                self.report(entry.line, path, "is missing", "a value: it is required")

    def _value(self, node, spec, path):
        if spec.item_type is not None:
            items = self._list_items(node, path)
            single = schema.FieldSpec(spec.owner, spec.name, spec.item_type, True)
            values = [
                self._value(item, single, f"{path}[{position}]")
                for position, item in enumerate(items)
            ]
            return _INVALID if _INVALID in values else tuple(values)
        if issubclass(spec.type, msgspec.Struct):
            return self._struct(node, spec, path)
        return self._scalar(node, spec, path)

    def _struct(self, node, spec, path):
        specs = schema.fields_of(spec.type)
        entry = Entry(spec.name, path, line_of(node))
        before = len(self.faults)
        self._read_fields(entry, node, specs)
        if isinstance(node, yaml.MappingNode):
            self._require(entry, required_names(specs))
        if len(self.faults) > before:
            return _INVALID
        return spec.type(**entry.values)

    def _scalar(self, node, spec, path):
        value = scalar_value(node, spec)
        if value is _INVALID or not spec.accepts(value):
            self.report(
                line_of(node),
                path,
                f"is {_describe(node)}",
                _allowed_values(node, spec),
            )
            return _INVALID
        return value

    def _read_exceptions(self, node):
        allowed = "any of " + ", ".join(_EXCEPTION_FIELDS)
        for position, child in enumerate(self._list_items(node, "exceptions")):
            entry = Entry("exception", f"exceptions[{position}]", line_of(child))
            nodes = {}
            for name, key_line, item in self._mapping_items(
                child, entry.path, allowed, entry
            ):
                if name not in _EXCEPTION_FIELDS:
                    path = f"{entry.path}.{name}"
                    self.report(key_line, path, "is an unknown field", allowed)
                    continue
                nodes[name] = item
                entry.lines[name] = line_of(item)
            if isinstance(child, yaml.MappingNode):
                self._require(entry, _EXCEPTION_FIELDS)
            for name in ("kind", "name", "field", "reason"):
                if name in nodes:
                    self._read_exception_text(entry, name, nodes[name])
            self._read_exception_value(entry, nodes.get("value"))
            self.entries["exception"].append(entry)

    def _read_exception_text(self, entry, name, node):
        path = f"{entry.path}.{name}"
        value = _text(node)
        if name == "kind":
            is_valid = value in schema.EXCEPTION_KINDS
            allowed = "one of " + ", ".join(schema.EXCEPTION_KINDS)
        elif name == "reason":
            is_valid = value is not None and is_valid_reason(value)
            allowed = REASON_ALLOWED
        else:
            is_valid, allowed = (
                bool(value),
                "a name, in quotes if YAML reads another type",
            )
        if is_valid:
            entry.set(name, value, line_of(node))
        else:
            entry.complete = False
            self.report(line_of(node), path, f"is {_describe(node)}", allowed)

    def _read_exception_value(self, entry, node):
        kind, field = entry.values.get("kind"), entry.values.get("field")
        if kind is None or field is None:
            return
        specs = schema.exception_fields(kind)
        if field not in specs:
            entry.complete = False
            problem = f"names {field!r}, which is not a field with a default"
            allowed = "one of " + ", ".join(specs)
            line = entry.line_of("field")
            self.report(line, f"{entry.path}.field", problem, allowed)
        elif node is not None:
            value = self._value(node, specs[field], f"{entry.path}.value")
            if value is _INVALID:
                entry.complete = False
            else:
                entry.set("value", value, line_of(node))

    def _mapping_items(self, node, path, allowed, entry=None):
        """Return ``(name, line, node)`` for the items of a mapping, each name once."""
        if not isinstance(node, yaml.MappingNode):
            if entry is not None:
                entry.complete = False
            self.report(line_of(node), path, f"is {_describe(node)}", allowed)
            return []
        found = {}
        for key, child in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else _describe(key)
            if name in found:
                problem = f"is given twice (first on line {found[name][1]})"
                self.report(line_of(key), f"{path}.{name}", problem, "one occurrence")
            else:
                found[name] = (name, line_of(key), child)
        return list(found.values())

    def _list_items(self, node, path):
        if isinstance(node, yaml.SequenceNode):
            return node.value
        self.report(line_of(node), path, f"is {_describe(node)}", "a list")
        return []


REASON_ALLOWED = (
    f"a sentence of {_MIN_REASON_CHARS} to {_MAX_REASON_CHARS} characters that says why"
)


def required_names(specs):
    """Return the names of the fields without a default value."""
    return [name for name, spec in specs.items() if spec.required]


def is_valid_reason(text):
    """Return whether a text has the length required of an exception's reason."""
    return _MIN_REASON_CHARS <= len(text.strip()) <= _MAX_REASON_CHARS


def scalar_value(node, spec):
    """Return a scalar node's value, or a marker if it has another type.

    YAML reads ``010`` as 8, ``1:30`` as 90 and ``no`` as false, which would silently
    change a limit or a name. So numbers are accepted in decimal only, booleans as
    ``true`` and ``false`` only, and text only if YAML resolves it to a string.
    """
    if not isinstance(node, yaml.ScalarNode):
        return _INVALID
    if spec.type is int:
        decimal = node.tag == _INTEGER_TAG and _DECIMAL.match(node.value)
        return int(node.value) if decimal else _INVALID
    if spec.type is bool:
        is_boolean = node.tag == _BOOLEAN_TAG
        return _BOOLEANS.get(node.value, _INVALID) if is_boolean else _INVALID
    text = _text(node)
    if text is None:
        return _INVALID
    if issubclass(spec.type, enum.Enum):
        return next((item for item in spec.type if item.value == text), _INVALID)
    return text


def _text(node):
    is_text = isinstance(node, yaml.ScalarNode) and node.tag == _STRING_TAG
    return node.value if is_text else None


def _describe(node):
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    if node.tag == _NULL_TAG:
        return "empty"
    text = node.value if len(node.value) <= 60 else node.value[:57] + "..."
    return repr(text)


def _allowed_values(node, spec):
    quotable = isinstance(node, yaml.ScalarNode) and node.tag != _STRING_TAG
    if spec.type is str and quotable:
        return f"{spec.allowed}, in quotes"
    return spec.allowed
