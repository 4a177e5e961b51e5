"""Checks across records: unique names, ranks and keys, and valid references."""

from hemlockhoist.declarations.faults import Fault
from hemlockhoist.declarations.model import PoolKind

_SECTIONS_BY_KIND = {"tier": "tiers", "customer": "customers", "pool": "pools"}


class CrossRecordChecks:
    """Finds faults that involve several records.

    Parameters
    ==========
    file : str
        File name to report in faults.
    entries : dict of str to list of Entry
        By kind; fields already found invalid are absent, and are not checked again.
    """

    __slots__ = ("_entries", "_file", "faults")

    def __init__(self, file, entries):
        self._file = file
        self._entries = entries
        self.faults = []

    def run(self):
        """Return all faults found."""
        for kind in _SECTIONS_BY_KIND:
            self._check_unique(kind, "name", "name")
        self._check_unique("tier", "rank", "rank")
        self._check_tiers()
        self._check_customers()
        self._check_pools()
        self._check_exceptions()
        return self.faults

    def _report(self, entry, name, problem, allowed):
        fault = Fault(
            file=self._file,
            line=entry.line_of(name),
            field=f"{entry.path}.{name}",
            problem=problem,
            allowed=allowed,
        )
        self.faults.append(fault)

    def _names(self, kind):
        entries = self._entries[kind]
        return {e.values["name"] for e in entries if "name" in e.values}

    def _check_unique(self, kind, field, what):
        first = {}
        for entry in self._entries[kind]:
            value = entry.values.get(field)
            if value is None:
                continue
            other = first.setdefault(value, entry)
            if other is not entry:
                problem = f"{value!r} is the {what} of {other.path} as well"
                self._report(entry, field, problem, f"a unique {what} for each {kind}")

    def _check_tiers(self):
        if not self._entries["tier"]:
            fault = Fault(
                file=self._file,
                line=1 if self._file else 0,
                field="tiers",
                problem="contains no tier",
                allowed="at least one tier",
            )
            self.faults.append(fault)
        for entry in self._entries["tier"]:
            first = entry.values.get("first_token_target_ms")
            deadline = entry.values.get("deadline_ms")
            if None not in (first, deadline) and first > deadline:
                problem = f"{first} is later than deadline_ms {deadline}"
                allowed = f"at most {deadline}"
                self._report(entry, "first_token_target_ms", problem, allowed)

    def _check_customers(self):
        tiers = self._names("tier")
        holders = {}
        for entry in self._entries["customer"]:
            tier = entry.values.get("highest_tier")
            if tier is not None and tier not in tiers:
                problem = f"refers to tier {tier!r}, which is not declared"
                allowed = "one of " + ", ".join(sorted(tiers))
                self._report(entry, "highest_tier", problem, allowed)
            for digest in entry.values.get("key_sha256", ()):
                other = holders.setdefault(digest, entry)
                if other is not entry:
                    problem = f"{digest[:12]}… is a key of {other.path} as well"
                    allowed = "a key of a single customer"
                    self._report(entry, "key_sha256", problem, allowed)

    def _check_pools(self):
        for entry in self._entries["pool"]:
            is_model = entry.values.get("kind") is PoolKind.MODEL
            if is_model and entry.values.get("idempotent_calls"):
                problem = "is set for a model pool, whose calls are all idempotent"
                allowed = "no value, or kind: service"
                self._report(entry, "idempotent_calls", problem, allowed)

    def _check_exceptions(self):
        first = {}
        for entry in self._entries["exception"]:
            values = entry.values
            kind, name, field = (values.get(n) for n in ("kind", "name", "field"))
            if kind is None or name is None:
                continue
            names = self._names(kind) if kind in _SECTIONS_BY_KIND else {name}
            if name not in names:
                problem = f"refers to {kind} {name!r}, which is not declared"
                allowed = "one of " + ", ".join(sorted(names))
                self._report(entry, "name", problem, allowed)
            other = first.setdefault((kind, name, field), entry)
            if other is not entry and field is not None:
                problem = f"{kind} {name!r}, {field} is set by {other.path} as well"
                self._report(entry, "field", problem, "one exception for each field")


def check_version_shares(path, rules, file="", line=0):
    """Return the faults of the traffic shares in effective version rules.

    Parameters
    ==========
    path : str
        Path of the record that holds the rules, reported in faults.
    rules : hemlockhoist.declarations.VersionRules
    """
    if rules.first_share_permille <= rules.unproven_share_permille:
        return []
    fault = Fault(
        file=file,
        line=line,
        field=f"{path}.version_rules.first_share_permille",
        problem=(
            f"{rules.first_share_permille} is more than unproven_share_permille "
            f"{rules.unproven_share_permille}"
        ),
        allowed=f"at most {rules.unproven_share_permille}",
    )
    return [fault]
