"""A soak run of the size for which a small fleet's limit on retries is declared."""

from hemlockhoist.standins.published.soak.run import ROUTES, SoakRun

HOST_COUNT = 8
MAX_ATTEMPTS = 3
# Faults that let requests be sent again, and those that replace or part the hosts that
# limit them.
FAULT_NAMES = (
    "fail_service",
    "fail_service",
    "stop_hosts_in_turn",
    "stop_host",
    "kill_host",
    "kill_all_hosts",
    "pause_host",
    "cut_links",
    "cut_host_from_store",
    "reset_connections",
    "crash_replica",
    "change_routes",
)


class RetrySoakRun(SoakRun):
    """Eight hosts with some twenty requests a second for each of two services.

    Parameters
    ==========
    seed : int
    folder : pathlib.Path
    fault_names : sequence of str, optional
        By default those that concern retries.
    host_count : int, optional
    """

    max_request_gap_s = 0.35
    replica_count = 4
    routes = tuple(
        {**item, "max_attempts": MAX_ATTEMPTS} if item["max_attempts"] > 1 else item
        for item in ROUTES
    )

    def __init__(self, seed, folder, fault_names=(), host_count=HOST_COUNT):
        super().__init__(seed, folder, fault_names or FAULT_NAMES, host_count)
