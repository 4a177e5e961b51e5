"""Declarations cut into sections, so that a change ships only what it touches.

At 32,000 changes a day, 1,700 customers and 1,300 hosts, sending the whole would
cost each host most of what control may use. A record is stored without the values
that come from the defaults: a changed default is a change of one section.
"""

import msgspec
import xxhash

from hemlockhoist.base import DeclarationError, ResultCode
from hemlockhoist.declarations import schema
from hemlockhoist.declarations.effective import canonical, overridden_values, own_values
from hemlockhoist.declarations.model import (
    Customer,
    Declarations,
    Defaults,
    FleetException,
    Pool,
    Tier,
)

# 1,700 customers give about seven a bucket, near one kilobyte.
CUSTOMER_BUCKETS = 256
HEAD = "head"
EXCEPTIONS = "exceptions"
_POOL = "pool:"
_CUSTOMERS = "customers:"
_ENCODER = msgspec.json.Encoder(order="deterministic")


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """A part of the declarations that is sent as a whole.

    Parameters
    ==========
    name : str
        ``head`` (defaults and tiers), ``exceptions``, ``pool:NAME`` or
        ``customers:NNN``.
    digest : str
        Of the body.
    body : bytes
        JSON.
    """

    name: str
    digest: str
    body: bytes


class Sections(msgspec.Struct, frozen=True, kw_only=True):
    """All sections of one version, by name in sorted order."""

    version: int
    items: tuple[Section, ...]

    @property
    def manifest(self):
        """The digest of each section by name."""
        return {item.name: item.digest for item in self.items}

    @property
    def digest(self):
        """One digest of the whole content, whatever its version."""
        return _digest(_ENCODER.encode(self.manifest))


class SectionDelta(msgspec.Struct, frozen=True, kw_only=True):
    """What turns the sections of one version into those of another.

    Parameters
    ==========
    version : int
        That results.
    changed : tuple of Section
        Also those that are new.
    removed : tuple of str
        Names.
    digest : str
        Of the whole that results.
    """

    version: int
    changed: tuple[Section, ...]
    removed: tuple[str, ...]
    digest: str


class SectionMismatch(DeclarationError):
    """A delta does not fit what is held; the whole has to be fetched."""

    code = ResultCode.DECLARATION_CONFLICT


def sections(declarations):
    """Return the sections of declarations.

    Parameters
    ==========
    declarations : Declarations

    Returns
    =======
    Sections
    """
    ordered = canonical(declarations)
    defaults = ordered.defaults
    tiers = [_stored("tier", tier, defaults) for tier in ordered.tiers]
    bodies = {
        HEAD: {"defaults": defaults, "tiers": tiers},
        EXCEPTIONS: ordered.exceptions,
    }
    for pool in ordered.pools:
        bodies[_POOL + pool.name] = _stored("pool", pool, defaults)
    for customer in ordered.customers:
        stored = _stored("customer", customer, defaults)
        bodies.setdefault(customer_section(customer.name), []).append(stored)
    items = tuple(_section(name, bodies[name]) for name in sorted(bodies))
    return Sections(version=ordered.version, items=items)


def customer_section(name):
    """Return the name of the section that holds a customer."""
    bucket = xxhash.xxh3_64_intdigest(name.encode()) % CUSTOMER_BUCKETS
    return f"{_CUSTOMERS}{bucket:03}"


def changed_sections(old, new):
    """Return what a holder of ``old`` needs to have ``new``.

    Parameters
    ==========
    old, new : Sections
    """
    return missing_sections(old.manifest, new)


def missing_sections(manifest, new):
    """Return what a holder of sections with these digests needs to have ``new``.

    Parameters
    ==========
    manifest : mapping of str to str
        Digests by section name; empty for a holder of nothing.
    new : Sections

    Returns
    =======
    SectionDelta
    """
    kept = new.manifest
    return SectionDelta(
        version=new.version,
        changed=tuple(i for i in new.items if manifest.get(i.name) != i.digest),
        removed=tuple(sorted(name for name in manifest if name not in kept)),
        digest=new.digest,
    )


def merge_sections(held, delta):
    """Return the sections that result from a delta.

    Parameters
    ==========
    held : Sections
    delta : SectionDelta

    Raises
    ======
    SectionMismatch
        When the delta is no newer than what is held, was damaged, or was made for
        other sections than those held. A host that took it would run a mixture of
        two versions that nobody declared, under the number of one of them; the
        digest of the whole shows it.
    """
    if delta.version <= held.version:
        raise SectionMismatch(f"version {delta.version} is not above {held.version}")
    for item in delta.changed:
        if _digest(item.body) != item.digest:
            raise SectionMismatch(f"section {item.name} was damaged on its way")
    removed = set(delta.removed)
    merged = {item.name: item for item in held.items if item.name not in removed}
    merged |= {item.name: item for item in delta.changed}
    items = tuple(merged[name] for name in sorted(merged))
    result = Sections(version=delta.version, items=items)
    if result.digest != delta.digest:
        raise SectionMismatch(f"the delta to version {delta.version} does not fit")
    return result


def from_sections(whole):
    """Return the declarations that sections hold.

    Raises
    ======
    DeclarationError
        When a section can not be read.
    """
    return SectionReader().read(whole)


class SectionReader:
    """Turns sections into declarations, reading again only what has changed.

    A host keeps one: a change of one customer among 1,700 costs the reading of one
    bucket.
    """

    __slots__ = ("_head_digest", "_records")

    def __init__(self):
        self._records = {}
        self._head_digest = None

    def read(self, whole):
        """Return the declarations of ``whole``.

        Parameters
        ==========
        whole : Sections
        """
        try:
            return self._read(whole)
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
            raise DeclarationError(f"sections can not be read: {error!r}") from error

    def _read(self, whole):
        by_name = {item.name: item for item in whole.items}
        head = by_name[HEAD]
        stored = msgspec.json.decode(head.body)
        defaults = msgspec.convert(stored["defaults"], Defaults)
        if head.digest != self._head_digest:
            # Records hold effective values, which new defaults change.
            self._records = {}
            self._head_digest = head.digest
        records = {}
        for item in whole.items:
            known = self._records.get(item.name)
            if known is None or known[0] != item.digest:
                known = (item.digest, _restored_all(item, defaults))
            records[item.name] = known
        self._records = records
        return canonical(
            Declarations(
                version=whole.version,
                tiers=tuple(
                    _restored(Tier, "tier", i, defaults) for i in stored["tiers"]
                ),
                customers=_joined(records, _CUSTOMERS),
                pools=_joined(records, _POOL),
                exceptions=_joined(records, EXCEPTIONS),
                defaults=defaults,
            )
        )


def _joined(records, prefix):
    found = (known for name, (_, known) in records.items() if name.startswith(prefix))
    return tuple(record for group in found for record in group)


def _restored_all(section, defaults):
    if section.name == HEAD:
        return ()
    stored = msgspec.json.decode(section.body)
    if section.name == EXCEPTIONS:
        return msgspec.convert(stored, tuple[FleetException, ...])
    if section.name.startswith(_POOL):
        return (_restored(Pool, "pool", stored, defaults),)
    return tuple(_restored(Customer, "customer", item, defaults) for item in stored)


def _stored(kind, record, defaults):
    """Return a record's own facts, and where it departs from the defaults."""
    own = overridden_values(kind, record, defaults)
    return {**own_values(kind, record), **({"departs": own} if own else {})}


def _restored(record_type, kind, stored, defaults):
    default = getattr(defaults, kind)
    values = msgspec.to_builtins(default)
    for field, value in stored.get("departs", {}).items():
        outer, _, inner = field.partition(".")
        if inner:
            values[outer] = {**values[outer], inner: value}
        else:
            values[outer] = value
    facts = {
        name: stored[name] for name in schema.record_fields(kind) if name in stored
    }
    return msgspec.convert({**values, **facts}, record_type)


def _section(name, content):
    body = _ENCODER.encode(content)
    return Section(name=name, digest=_digest(body), body=body)


def _digest(data):
    return xxhash.xxh3_128_hexdigest(data)
