"""Formats the declarations of the fleet as readable text."""

import msgspec

from hemlockhoist.cli.output import format_table, format_text
from hemlockhoist.declarations import PoolKind

_DIGEST_CHARS = 12
_NOT_CONFIRMED = "not confirmed"


def declarations_text(view):
    """Return the output of ``declare show``.

    Parameters
    ==========
    view : DeclarationsView
    """
    current = view.declarations
    in_force = len(view.hosts) - len(view.lagging(view.version))
    parts = [
        f"version {view.version}, in force on {in_force} of {len(view.hosts)} hosts",
        format_table([_host_row(item) for item in view.hosts]),
        _format_section(
            "tiers", [msgspec.structs.asdict(tier) for tier in current.tiers]
        ),
        _format_section(
            "customers", [_customer_row(item) for item in current.customers]
        ),
        _format_section("pools", [_pool_row(pool) for pool in current.pools]),
        "exceptions:\n"
        + ("\n".join(map(_format_exception, current.exceptions)) or "none"),
        "defaults:\n" + format_text(msgspec.to_builtins(current.defaults)),
    ]
    return "\n\n".join(parts)


def _format_section(title, rows):
    return f"{title}:\n{format_table(rows) if rows else 'none'}"


def _host_row(item):
    version = item.version if item.version >= 0 else _NOT_CONFIRMED
    return {"host": item.host_id, "version": version}


def _customer_row(customer):
    keys = [digest[:_DIGEST_CHARS] + "…" for digest in customer.key_sha256]
    return {**msgspec.structs.asdict(customer), "key_sha256": keys}


def _pool_row(pool):
    row = msgspec.structs.asdict(pool)
    rules = row.pop("version_rules")
    calls = [f"{call.method} {call.path}" for call in pool.idempotent_calls]
    is_model = pool.kind is PoolKind.MODEL
    return {
        **row,
        "idempotent_calls": "all" if is_model else calls,
        "first_share_permille": rules.first_share_permille,
        "unproven_share_permille": rules.unproven_share_permille,
    }


def _format_exception(item):
    value = format_text(item.value)
    return f"{item.kind} {item.name} {item.field}: {value}\n  reason: {item.reason}"
