"""What an entry host is told at its start."""

import msgspec

from hemlockhoist.decisions.scheduling import Experiments


class FleetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the operators of the platform declare for the whole fleet.

    Parameters
    ==========
    drain_ms : int
        After an upstream said that it leaves, it gets nothing later than this.
    stop_ms : int
        From the signal to stop until the process is killed.
    revocation_ms : int
        After a key was taken away, nothing sent with it later than this may run.
    retry_ratio, retry_base : float
        Sends beyond the first, over all hosts, in each window: for each request, and
        beside that.
    retry_window_ms : int
    quota_window_ms : int
    allowance_overshoot, allowance_tolerance : float
        By how much a customer may be over its allowance in a window: as a part, and
        in its units.
    trial_share, trial_tolerance : float
        Of the requests that an unproven version may get: as a part, and beside that.
    cold_overshoot, cold_tolerance : float
        By how much the requests that a cold upstream gets in a second may be over what
        is declared for it: as a factor, and beside that.
    address_ttl_ms : int
        The longest that callers may be told to keep an answer on which hosts to use.
    """

    drain_ms: int = 2_000
    stop_ms: int = 8_000
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
    """The settings of one entry host.

    Addresses are ``IP:port``.

    Parameters
    ==========
    name : str
        For people.
    failure_domain, region : str
    regions_by_domain : dict of str to str
        Of all failure domains; empty where they are not told.
    caller_address, readiness_address, directory_address : str
        Where requests, questions for readiness, and questions for hosts are answered.
    operator_address : str
        Where the host says how it is; empty where it is not asked.
    metrics_address : str
        Empty where no metrics are read.
    peer_address : str
    seed_peer_addresses : tuple of str
        Hosts that may be there; they may also be down, or gone.
    store_address : str
    bounds : FleetBounds
    max_memory_mb, max_descriptors : int
        0 where no limit is told.
    processor_millicores : int
        What the process may use, in thousandths of a core; 0 where it is not told.
    experiments : Experiments
        Mechanisms of scheduling that are left out; for measurements only.
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
    seed_peer_addresses: tuple[str, ...] = ()
    store_address: str
    bounds: FleetBounds = FleetBounds()
    max_memory_mb: int = 0
    max_descriptors: int = 0
    processor_millicores: int = 0
    experiments: Experiments = msgspec.field(default_factory=Experiments)
