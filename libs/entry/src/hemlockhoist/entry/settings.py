"""Settings of an entry host, fixed at its start."""

from typing import Annotated

import msgspec

from hemlockhoist.decisions.entry import MemoryBudget
from hemlockhoist.decisions.scheduling import Experiments

# A host's memory limit in MB; 0 for none.
MemoryMb = Annotated[float, msgspec.Meta(ge=0, lt=1 << 30)]


class FleetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds declared for the whole fleet by the operators of the platform.

    Parameters
    ==========
    drain_ms : int
        Time after an upstream announces that it leaves, until it is sent nothing more.
    stop_ms : int
        Time from the stop signal until the process is killed.
    configuration_ms : int
        Time after the confirmation of a change of the configuration until it is in
        force at every host.
    revocation_ms : int
        Time after a key's revocation until nothing newly sent with it may run.
    retry_ratio, retry_base : float
        Retries allowed over all hosts in each window: per request, and in addition to
        that.
    retry_window_ms : int
    quota_window_ms : int
    quota_overshoot_ratio, quota_tolerance_units : float
        By how much a customer may exceed its quota in a window: as a fraction of the
        quota, and in units in addition to that.
    trial_share, trial_tolerance : float
        Requests that an unproven version may get: as a fraction of all requests, and
        in addition to that.
    cold_overshoot, cold_tolerance : float
        By how much a cold upstream's requests per second may exceed the declared ones:
        as a factor, and in addition to that.
    address_ttl_ms : int
        Maximum time to live of a directory response, which lists the hosts to use.
    """

    drain_ms: int = 2_000
    stop_ms: int = 8_000
    configuration_ms: int = 2_000
    revocation_ms: int = 5_000
    retry_ratio: float = 0.2
    retry_base: float = 50.0
    retry_window_ms: int = 10_000
    quota_window_ms: int = 8_000
    quota_overshoot_ratio: float = 0.1
    quota_tolerance_units: float = 0.0
    trial_share: float = 0.1
    trial_tolerance: float = 50.0
    cold_overshoot: float = 1.0
    cold_tolerance: float = 0.0
    address_ttl_ms: int = 5_000


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one entry host.

    Addresses are ``IP:port``.

    Parameters
    ==========
    name : str
        Human-readable name of the host, contained in its log lines.
    failure_domain, region : str
    regions_by_domain : dict of str to str
        The region of each failure domain; empty where they are not configured.
    caller_address, readiness_address, directory_address : str
        Addresses that serve requests, readiness checks and the directory of hosts.
    operator_address : str
        Address that serves the host's status; empty for none.
    metrics_address : str
        Address that serves metrics; empty for none.
    peer_address : str
    relay_address : str
        Address at which the host relays for others; empty if it does not.
    seed_peer_addresses : tuple of str
        Hosts that may exist; they may also be down or removed.
    store_address : str
    bounds : FleetBounds
    max_memory_mb, max_descriptors : int
        0 where no limit is configured.
    processor_millicores : int
        Processor time available to the process, in thousandths of a core; 0 where it
        is not configured.
    experiments : Experiments
        Scheduling mechanisms that are disabled; for measurements only.
    hedge_permille : int
        Second attempts of slow requests per thousand requests; 0 for none.
    hedge_excluded_routes : tuple of str
        Names of routes whose requests get no second attempt while the first runs.
    reserves_retries : bool
        Whether homes reserve capacity for refused requests that clients retry.
    flap_damping_max_ms : int
        Longest suppression of an upstream that goes down and comes back repeatedly; 0
        for none.
    kept_connections : int
        Idle connections to upstreams that are kept for further requests; 0 for none.
    """

    name: str
    failure_domain: str
    region: str = ""
    regions_by_domain: dict[str, str] = {}
    caller_address: str
    readiness_address: str
    directory_address: str
    operator_address: str = ""
    metrics_address: str = ""
    peer_address: str
    relay_address: str = ""
    seed_peer_addresses: tuple[str, ...] = ()
    store_address: str
    bounds: FleetBounds = FleetBounds()
    max_memory_mb: int = 0
    max_descriptors: int = 0
    processor_millicores: int = 0
    experiments: Experiments = msgspec.field(default_factory=Experiments)
    hedge_permille: int = 0
    hedge_excluded_routes: tuple[str, ...] = ()
    reserves_retries: bool = False
    flap_damping_max_ms: int = 0
    kept_connections: int = 0

    @property
    def store_answer_bytes(self):
        """What answers of the store may hold at a time; 0 for no limit."""
        return MemoryBudget.from_max_memory_mb(self.max_memory_mb).store_answer_bytes
