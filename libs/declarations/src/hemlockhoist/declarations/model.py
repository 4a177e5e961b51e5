"""The declared state of the fleet, as typed records.

Operators keep one file in version control, with fleet defaults and a short list of
exceptions that each state a reason. The records of this module represent that file;
those in ``Declarations`` hold effective values, with the exceptions applied.
"""

import enum

import msgspec

# Kind of an exception for a failure domain. Failure domains are not declared: the
# platform's host list gives the domain of each host and upstream.
DOMAIN_KIND = "failure_domain"
# An encoded slash, backslash, and percent sign (which may encode one of them again).
_ENCODED_SEPARATORS = ("%2f", "%5c", "%25")


class PoolKind(enum.Enum):
    """Kind of the upstreams of a pool."""

    MODEL = "model"
    SERVICE = "service"


class Tier(msgspec.Struct, frozen=True, kw_only=True):
    """A class of requests; rank 0 is the highest and is shed last.

    Parameters
    ==========
    name : str
    rank : int
    deadline_ms : int
        Longest time from arrival at an entry host to the last byte of the answer.
    first_token_target_ms : int
        A complete answer with a later first token does not count as goodput.
    max_queued : int
        Maximum number of queued requests of this tier in one pool.
    """

    name: str
    rank: int
    deadline_ms: int
    first_token_target_ms: int
    max_queued: int = 256


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer and its limits.

    Parameters
    ==========
    name : str
    key_sha256 : tuple of str
        SHA-256 of its caller keys in hexadecimal; the keys themselves are not stored,
        as the file is in version control.
    highest_tier : str
        Name of the highest tier it may request.
    max_in_flight : int
        Maximum number of dispatched requests in each pool at a time.
    weight : int
        Its share of a tier relative to other customers, when slots are scarce.
    """

    name: str
    key_sha256: tuple[str, ...] = ()
    highest_tier: str
    max_in_flight: int
    weight: int = 1


class IdempotentCall(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of a plain service that are idempotent.

    ``path`` is a prefix of whole segments, relative to the service's own path:
    ``/labels`` covers ``/labels/7`` but not ``/labels-issue``.
    """

    method: str
    path: str = "/"

    def covers(self, path):
        """Return whether a call's path equals this path or is below it."""
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class VersionRules(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for the traffic of a new version during a move.

    Parameters
    ==========
    first_share_permille : int
        Initial share of requests that the new version receives.
    unproven_share_permille : int
        Maximum share until there is enough evidence for the version.
    non_idempotent_last : bool
        Whether non-idempotent calls are sent to the new version only after it is
        proven on idempotent ones.
    false_alarm_permille, missed_permille : int
        Error rates of the sequential test: a good version is rolled back, or a bad
        one is accepted.
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
        The model's name, or the first segment of the service's path.
    kind : PoolKind
    stable_version : str
        The version that serves requests when no move is in progress.
    idempotent_calls : tuple of IdempotentCall
        For a plain service; all other calls are treated as non-idempotent. Chat
        completions are idempotent, as they change nothing at the engine.
    checks_fencing : bool
        Whether its upstreams refuse orders with an outdated fencing token.
    max_in_flight_per_upstream : int
        Upper bound of the concurrency limit that a host adapts for an upstream.
    expected_output_tokens : int
        Used for requests without ``max_tokens``.
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
        """Return whether a call is idempotent.

        Parameters
        ==========
        method : str
        path : str
            Relative to the service's own path, with a leading slash.
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
    """Return whether a client or upstream may resolve a path to another one.

    A request for ``/availability/../bookings`` begins with an idempotent path, but an
    upstream that resolves the dots runs a booking without a key, and a retry by the
    caller books the hall twice. Paths with dot segments, empty segments or their
    encoded forms are treated as non-idempotent, whatever they resolve to.
    """
    lowered = path.lower()
    if "\\" in path or any(code in lowered for code in _ENCODED_SEPARATORS):
        return True
    segments = lowered.replace("%2e", ".").split("/")
    return any(item in (".", "..") for item in segments) or "" in segments[1:-1]


class TierDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """Default values for tiers."""

    max_queued: int = 256


class CustomerDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """Default values for customers."""

    max_in_flight: int = 64
    weight: int = 1


class PoolDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """Default values for pools."""

    max_in_flight_per_upstream: int = 32
    expected_output_tokens: int = 256
    max_body_bytes: int = 1_048_576
    version_rules: VersionRules = VersionRules()


class DomainDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """Default values for failure domains.

    Parameters
    ==========
    evacuated : bool
        Whether its upstreams receive no requests.
    """

    evacuated: bool = False


class Defaults(msgspec.Struct, frozen=True, kw_only=True):
    """The defaults of the fleet.

    A field with a default is set by that default or by an exception with a reason,
    never by the record itself.
    """

    tier: TierDefaults = TierDefaults()
    customer: CustomerDefaults = CustomerDefaults()
    pool: PoolDefaults = PoolDefaults()


class FleetException(msgspec.Struct, frozen=True, kw_only=True):
    """An override of a fleet default, with a reason.

    Parameters
    ==========
    kind : str
        ``customer``, ``pool``, ``tier`` or ``failure_domain``.
    name : str
        Name of the record or failure domain.
    field : str
    value : object
        Value of the field's type.
    reason : str
        Explanation for other operators; required.
    """

    kind: str
    name: str
    field: str
    value: object
    reason: str


class Declarations(msgspec.Struct, frozen=True, kw_only=True):
    """The declared state of the whole fleet at one version.

    Parameters
    ==========
    version : int
        Incremented by one with each accepted change; 0 before the first.
    tiers, customers, pools : tuple
        Effective records, with the exceptions applied.
    exceptions : tuple of FleetException
        Kept for display.
    defaults : Defaults
        Kept for display and comparison; the records hold the effective values.
    """

    version: int = 0
    tiers: tuple[Tier, ...] = ()
    customers: tuple[Customer, ...] = ()
    pools: tuple[Pool, ...] = ()
    exceptions: tuple[FleetException, ...] = ()
    defaults: Defaults = Defaults()

    def evacuations(self):
        """Return the evacuated failure domains, each with the reason."""
        return {
            item.name: item.reason
            for item in self.exceptions
            if item.kind == DOMAIN_KIND and item.value is True
        }

    def tier(self, name):
        """Return the tier with a given name, or None."""
        return next((tier for tier in self.tiers if tier.name == name), None)

    def pool(self, name):
        """Return the pool with a given name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def customer(self, name):
        """Return the customer with a given name, or None."""
        return next((item for item in self.customers if item.name == name), None)
