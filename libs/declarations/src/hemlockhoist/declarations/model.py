"""The declared state of the fleet, as typed records.

Operators keep one file in version control: fleet defaults, and a short list of
exceptions that each carry a written reason. The records here are that file after
reading; ``Declarations`` answers with the effective value, exceptions applied.
"""

import enum

import msgspec

# The kind of an exception that names a failure domain. Domains are not declared: the
# platform's list tells where hosts and upstreams are.
DOMAIN_KIND = "failure_domain"
# A slash, a backslash, and a percent sign that hides one of them.
_ENCODED_SEPARATORS = ("%2f", "%5c", "%25")


class PoolKind(enum.Enum):
    """What stands behind a pool."""

    MODEL = "model"
    SERVICE = "service"


class Tier(msgspec.Struct, frozen=True, kw_only=True):
    """A class of requests; rank 0 is the highest and is shed last.

    Parameters
    ==========
    name : str
    rank : int
    deadline_ms : int
        From arrival at an entry host to the last byte of the answer.
    first_token_target_ms : int
        A whole answer whose first token came later does not count as goodput.
    max_queued : int
        Requests of this tier that may wait in one pool.
    """

    name: str
    rank: int
    deadline_ms: int
    first_token_target_ms: int
    max_queued: int = 256


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer and what it may use.

    Parameters
    ==========
    name : str
    key_sha256 : tuple of str
        SHA-256 of its caller keys in hexadecimal: the file is in version control,
        so the keys themselves are not in it.
    highest_tier : str
        Name of the highest tier it may ask for.
    max_in_flight : int
        Requests dispatched at one time, for each pool.
    weight : int
        Its share of a tier relative to other customers, when places are short.
    """

    name: str
    key_sha256: tuple[str, ...] = ()
    highest_tier: str
    max_in_flight: int
    weight: int = 1


class IdempotentCall(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of a plain service that may be run more than once without harm.

    ``path`` is a prefix below the service's own path, of whole segments:
    ``/labels`` covers ``/labels/7`` and not ``/labels-issue``.
    """

    method: str
    path: str = "/"

    def covers(self, path):
        """Return whether a call's path is this one or below it."""
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class VersionRules(msgspec.Struct, frozen=True, kw_only=True):
    """How a version move spreads traffic.

    Parameters
    ==========
    first_share_permille : int
        Share of requests a new version starts with.
    unproven_share_permille : int
        Ceiling of the share until the evidence for the version suffices.
    non_idempotent_last : bool
        Whether non-idempotent calls reach the new version only after it is proven
        on idempotent ones.
    false_alarm_permille, missed_permille : int
        Error rates of the sequential test: a good version taken back, a bad one
        passed.
    """

    first_share_permille: int = 10
    unproven_share_permille: int = 50
    non_idempotent_last: bool = True
    false_alarm_permille: int = 10
    missed_permille: int = 10


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable upstreams: one model or one plain service.

    Parameters
    ==========
    name : str
        The model's name, or the first part of the service's path.
    kind : PoolKind
    stable_version : str
        The version that serves when no move is under way.
    idempotent_calls : tuple of IdempotentCall
        Of a plain service; every other call is treated as non-idempotent. Chat
        completions are idempotent: they change nothing at the engine.
    checks_fencing : bool
        Whether its upstreams refuse an order with an old fencing number.
    max_in_flight_per_upstream : int
        Upper bound of the limit that a host finds by itself for an upstream.
    expected_output_tokens : int
        Used for requests that name no ``max_tokens``.
    max_body_bytes : int
    version_rules : VersionRules
    """

    name: str
    kind: PoolKind
    stable_version: str
    idempotent_calls: tuple[IdempotentCall, ...] = ()
    checks_fencing: bool = True
    max_in_flight_per_upstream: int = 32
    expected_output_tokens: int = 256
    max_body_bytes: int = 1_048_576
    version_rules: VersionRules = VersionRules()

    def is_idempotent(self, method, path):
        """Return whether a call may be repeated without harm.

        Parameters
        ==========
        method : str
        path : str
            Below the service's own path, beginning with a slash.
        """
        if self.kind is PoolKind.MODEL:
            return True
        if _is_ambiguous(path):
            return False
        return any(
            call.method == method and call.covers(path)
            for call in self.idempotent_calls
        )


def _is_ambiguous(path):
    """Return whether a client or upstream may read a path as another one.

    A caller asks for ``/availability/../bookings``. It begins with an idempotent
    path, the next reader resolves the dots, and a booking runs without a key: the
    caller's repeat books the hall twice. Dots, empty segments, and their encoded
    forms are taken for non-idempotent, whatever they would lead to.
    """
    lowered = path.lower()
    if "\\" in path or any(code in lowered for code in _ENCODED_SEPARATORS):
        return True
    segments = lowered.replace("%2e", ".").split("/")
    return any(item in (".", "..") for item in segments) or "" in segments[1:-1]


class TierDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for every tier that no exception names."""

    max_queued: int = 256


class CustomerDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for every customer that no exception names."""

    max_in_flight: int = 64
    weight: int = 1


class PoolDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for every pool that no exception names."""

    max_in_flight_per_upstream: int = 32
    expected_output_tokens: int = 256
    max_body_bytes: int = 1_048_576
    version_rules: VersionRules = VersionRules()


class DomainDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for every failure domain that no exception names.

    Parameters
    ==========
    evacuated : bool
        Whether its upstreams are to get nothing.
    """

    evacuated: bool = False


class Defaults(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet's one set of defaults.

    A field that stands here is set by its default or by an exception with a reason,
    and never by the record itself.
    """

    tier: TierDefaults = TierDefaults()
    customer: CustomerDefaults = CustomerDefaults()
    pool: PoolDefaults = PoolDefaults()


class FleetException(msgspec.Struct, frozen=True, kw_only=True):
    """A departure from the fleet defaults, with its written reason.

    Parameters
    ==========
    kind : str
        ``customer``, ``pool``, ``tier`` or ``failure_domain``.
    name : str
        Which one.
    field : str
    value : object
        Of the field's type.
    reason : str
        For any colleague to read; required.
    """

    kind: str
    name: str
    field: str
    value: object
    reason: str


class Declarations(msgspec.Struct, frozen=True, kw_only=True):
    """The whole fleet's declared state at one version.

    Parameters
    ==========
    version : int
        Counts up by one with each accepted change; 0 is "none yet".
    tiers, customers, pools : tuple
        Effective records: the exceptions are applied already.
    exceptions : tuple of FleetException
        Kept to be shown.
    defaults : Defaults
        Kept to be shown and compared; the records hold the effective values.
    """

    version: int = 0
    tiers: tuple[Tier, ...] = ()
    customers: tuple[Customer, ...] = ()
    pools: tuple[Pool, ...] = ()
    exceptions: tuple[FleetException, ...] = ()
    defaults: Defaults = Defaults()

    def evacuations(self):
        """Return the failure domains that are out of use, each with the reason."""
        return {
            item.name: item.reason
            for item in self.exceptions
            if item.kind == DOMAIN_KIND and item.value is True
        }

    def tier(self, name):
        """Return the tier of that name, or None."""
        return next((tier for tier in self.tiers if tier.name == name), None)

    def pool(self, name):
        """Return the pool of that name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def customer(self, name):
        """Return the customer of that name, or None."""
        return next((item for item in self.customers if item.name == name), None)
