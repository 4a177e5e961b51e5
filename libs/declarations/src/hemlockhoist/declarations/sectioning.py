"""Division of declarations into sections, so that a change transfers only some.

At 32,000 changes per day, 1,700 customers and 1,300 hosts, sending all declarations
with each change would use most of each host's budget for control traffic. Records are
stored without the values that defaults give, so a changed default changes one section.
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

# 1,700 customers give about seven per bucket, near one kilobyte.
CUSTOMER_BUCKETS = 256
HEAD = "head"
EXCEPTIONS = "exceptions"
_POOL = "pool:"
_CUSTOMERS = "customers:"
_ENCODER = msgspec.json.Encoder(order="deterministic")


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """A part of the declarations that is transferred as a unit.

    Parameters
    ==========
    name : str
        ``head`` (defaults and tiers), ``exceptions``, ``pool:NAME`` or
        ``customers:NNN``.
    digest : str
        Digest of the body.
    body : bytes
        JSON.
    """

    name: str
    digest: str
    body: bytes


class Sections(msgspec.Struct, frozen=True, kw_only=True):
    """All sections of one version, sorted by name."""

    version: int
    items: tuple[Section, ...]

    @property
    def manifest(self):
        """The digest of each section by name."""
        return {item.name: item.digest for item in self.items}

    @property
    def digest(self):
        """Digest of the whole content, independent of the version."""
        return _digest(_ENCODER.encode(self.manifest))


class SectionDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between the sections of two versions.

    Parameters
    ==========
    version : int
        The resulting version.
    changed : tuple of Section
        Changed and new sections.
    removed : tuple of str
        Names of the removed sections.
    digest : str
        Digest of the resulting content.
    """

    version: int
    changed: tuple[Section, ...]
    removed: tuple[str, ...]
    digest: str


class SectionMismatch(DeclarationError):
    """A delta does not match the held sections; all sections have to be fetched."""

    code = ResultCode.DECLARATION_CONFLICT


def sections(declarations):
    """Divide declarations into sections.

    Parameters
    ==========
    declarations : Declarations

    Returns
    =======
    Sections
    """
    ordered = canonical(declarations)
    defaults = ordered.defaults
    tiers = [_to_stored("tier", tier, defaults) for tier in ordered.tiers]
    bodies = {
        HEAD: {"defaults": defaults, "tiers": tiers},
        EXCEPTIONS: ordered.exceptions,
    }
    for pool in ordered.pools:
        bodies[_POOL + pool.name] = _to_stored("pool", pool, defaults)
    for customer in ordered.customers:
        stored = _to_stored("customer", customer, defaults)
        bodies.setdefault(customer_section(customer.name), []).append(stored)
    items = tuple(_section(name, bodies[name]) for name in sorted(bodies))
    return Sections(version=ordered.version, items=items)


def customer_section(name):
    """Return the name of the section that contains a customer."""
    bucket = xxhash.xxh3_64_intdigest(name.encode()) % CUSTOMER_BUCKETS
    return f"{_CUSTOMERS}{bucket:03}"


def changed_sections(old, new):
    """Return the delta from ``old`` to ``new``.

    Parameters
    ==========
    old, new : Sections
    """
    return missing_sections(old.manifest, new)


def missing_sections(manifest, new):
    """Return the delta to ``new`` from sections with given digests.

    Parameters
    ==========
    manifest : mapping of str to str
        Digests by section name; empty if no sections are held.
    new : Sections

    Returns
    =======
    SectionDelta
    """
    new_manifest = new.manifest
    return SectionDelta(
        version=new.version,
        changed=tuple(i for i in new.items if manifest.get(i.name) != i.digest),
        removed=tuple(sorted(name for name in manifest if name not in new_manifest)),
        digest=new.digest,
    )


def merge_sections(held, delta):
    """Return the sections that result from applying a delta.

    Parameters
    ==========
    held : Sections
    delta : SectionDelta

    Raises
    ======
    SectionMismatch
        When the delta is not newer than the held sections, was corrupted, or was made
        for other sections than those held. A host that applied such a delta would run
        a mixture of two versions under the number of one of them; the digest of the
        resulting content detects this.
    """
    if delta.version <= held.version:
        raise SectionMismatch(
            f"version {delta.version} is not newer than {held.version}"
        )
    for item in delta.changed:
        if _digest(item.body) != item.digest:
            raise SectionMismatch(f"section {item.name} was corrupted in transit")
    removed = set(delta.removed)
    merged = {item.name: item for item in held.items if item.name not in removed}
    merged |= {item.name: item for item in delta.changed}
    items = tuple(merged[name] for name in sorted(merged))
    result = Sections(version=delta.version, items=items)
    if result.digest != delta.digest:
        raise SectionMismatch(
            f"delta to version {delta.version} does not match the held sections"
        )
    return result


def from_sections(all_sections):
    """Return the declarations contained in sections.

    Raises
    ======
    DeclarationError
        When a section cannot be decoded.
    """
    return SectionReader().read(all_sections)


class SectionReader:
    """Converts sections to declarations, decoding only sections that have changed.

    A host keeps one reader, so that a change of one customer among 1,700 requires
    decoding one bucket.
    """

    __slots__ = ("_head_digest", "_records")

    def __init__(self):
        self._records = {}
        self._head_digest = None

    def read(self, all_sections):
        """Return the declarations of ``all_sections``.

        Parameters
        ==========
        all_sections : Sections
        """
        try:
            return self._read(all_sections)
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
            raise DeclarationError(f"sections cannot be decoded: {error!r}") from error

    def _read(self, all_sections):
        by_name = {item.name: item for item in all_sections.items}
        head = by_name[HEAD]
        stored = msgspec.json.decode(head.body)
        defaults = msgspec.convert(stored["defaults"], Defaults)
        if head.digest != self._head_digest:
            # Records hold effective values, which depend on the defaults.
            self._records = {}
            self._head_digest = head.digest
        records = {}
        for item in all_sections.items:
            cached = self._records.get(item.name)
            if cached is None or cached[0] != item.digest:
                cached = (item.digest, _decode_section(item, defaults))
            records[item.name] = cached
        self._records = records
        return canonical(
            Declarations(
                version=all_sections.version,
                tiers=tuple(
                    _from_stored(Tier, "tier", i, defaults) for i in stored["tiers"]
                ),
                customers=_collect(records, _CUSTOMERS),
                pools=_collect(records, _POOL),
                exceptions=_collect(records, EXCEPTIONS),
                defaults=defaults,
            )
        )


def _collect(records, prefix):
    found = (cached for name, (_, cached) in records.items() if name.startswith(prefix))
    return tuple(record for group in found for record in group)


def _decode_section(section, defaults):
    if section.name == HEAD:
        return ()
    stored = msgspec.json.decode(section.body)
    if section.name == EXCEPTIONS:
        return msgspec.convert(stored, tuple[FleetException, ...])
    if section.name.startswith(_POOL):
        return (_from_stored(Pool, "pool", stored, defaults),)
    return tuple(_from_stored(Customer, "customer", item, defaults) for item in stored)


def _to_stored(kind, record, defaults):
    """Return a record's own values, with those that override defaults as "departs"."""
    overridden = overridden_values(kind, record, defaults)
    return {
        **own_values(kind, record),
        **({"departs": overridden} if overridden else {}),
    }


def _from_stored(record_type, kind, stored, defaults):
    default = getattr(defaults, kind)
    values = msgspec.to_builtins(default)
    for field, value in stored.get("departs", {}).items():
        outer, _, inner = field.partition(".")
        if inner:
            values[outer] = {**values[outer], inner: value}
        else:
            values[outer] = value
    own_fields = {
        name: stored[name] for name in schema.record_fields(kind) if name in stored
    }
    return msgspec.convert({**values, **own_fields}, record_type)


def _section(name, content):
    body = _ENCODER.encode(content)
    return Section(name=name, digest=_digest(body), body=body)


def _digest(data):
    return xxhash.xxh3_128_hexdigest(data)
