"""Parser of a declarations file, which returns declarations or all faults."""

from hemlockhoist.declarations import schema
from hemlockhoist.declarations.checks import CrossRecordChecks, check_version_shares
from hemlockhoist.declarations.effective import canonical, effective_record
from hemlockhoist.declarations.faults import DeclarationFaults
from hemlockhoist.declarations.model import Declarations, Defaults, FleetException
from hemlockhoist.declarations.reader import Reader
from hemlockhoist.declarations.yaml_nodes import compose


def parse_declarations(data, file="declarations.yaml"):
    """Return the declarations of a file, with its exceptions applied.

    Parameters
    ==========
    data : bytes
        YAML in UTF-8.
    file : str
        File name to report in faults.

    Returns
    =======
    Declarations
        With version 0, as a file has no version until it is applied.

    Raises
    ======
    DeclarationFaults
        With all faults of the file.

    Examples
    ========
    >>> from hemlockhoist.declarations import parse_declarations
    >>> text = b'''
    ... tiers:
    ...   - {name: chat, rank: 0, deadline_ms: 20000, first_token_target_ms: 310}
    ... '''
    >>> parse_declarations(text).tier("chat").max_queued
    256
    """
    reader = Reader(file)
    reader.read(compose(data, file))
    faults = list(reader.faults)
    faults += CrossRecordChecks(file, reader.entries).run()
    defaults = _defaults(reader.defaults)
    exceptions = _exceptions(reader.entries["exception"])
    faults += _version_share_faults(file, reader, defaults, exceptions)
    if faults:
        raise DeclarationFaults(faults)
    records = {
        kind: tuple(
            effective_record(kind, entry.values, defaults, exceptions)
            for entry in reader.entries[kind]
        )
        for kind in schema.RECORD_TYPES
    }
    return canonical(
        Declarations(
            tiers=records["tier"],
            customers=records["customer"],
            pools=records["pool"],
            exceptions=exceptions,
            defaults=defaults,
        )
    )


def check_file(data, file="declarations.yaml"):
    """Return all faults of a declarations file as a tuple, empty for a valid file."""
    try:
        parse_declarations(data, file)
    except DeclarationFaults as error:
        return error.faults
    return ()


def _defaults(entries):
    records = {
        kind: schema.DEFAULT_TYPES[kind](**entry.values)
        for kind, entry in entries.items()
    }
    return Defaults(**records)


def _exceptions(entries):
    return tuple(FleetException(**entry.values) for entry in entries if entry.complete)


def _version_share_faults(file, reader, defaults, exceptions):
    """Return the faults of version rules, each with the line that caused it."""
    entry = reader.defaults.get("pool")
    line = entry.line_of("version_rules") if entry else 0
    faults = check_version_shares(
        "defaults.pool", defaults.pool.version_rules, file, line
    )
    for pool in reader.entries["pool"]:
        if not pool.complete:
            continue
        pool_exceptions = [
            item
            for item in reader.entries["exception"]
            if item.values.get("kind") == "pool"
            and item.values.get("name") == pool.values["name"]
            and item.values.get("field", "").startswith("version_rules.")
        ]
        if pool_exceptions:
            record = effective_record("pool", pool.values, defaults, exceptions)
            rules = record.version_rules
            faults += check_version_shares(
                pool_exceptions[0].path, rules, file, pool_exceptions[0].line
            )
    return faults
