"""Faults of declarations, each with its location, the problem and what is allowed."""

import msgspec

from hemlockhoist.base import DeclarationError


class Fault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A fault in the declarations.

    Parameters
    ==========
    file : str
        File name as given by the operator; empty for declarations sent over HTTP.
    line : int
        Line number from 1; 0 if it is not known.
    field : str
        Path of the field, such as ``customers[2].highest_tier``.
    problem : str
        Description of the fault, with the value found.
    allowed : str
        Description of the allowed values.
    """

    file: str = ""
    line: int = 0
    field: str
    problem: str
    allowed: str

    def __str__(self):
        location = f"{self.file}:{self.line}: " if self.file else ""
        return f"{location}{self.field}: {self.problem}; allowed: {self.allowed}"


class DeclarationFaults(DeclarationError):
    """Raised for invalid declarations; ``faults`` holds all faults, sorted.

    Parameters
    ==========
    faults : iterable of Fault
    """

    def __init__(self, faults):
        self.faults = tuple(sorted(faults))
        lines = "\n".join(str(fault) for fault in self.faults)
        super().__init__(f"{len(self.faults)} fault(s)\n{lines}")
