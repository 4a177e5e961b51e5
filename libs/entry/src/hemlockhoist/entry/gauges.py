"""The gauges of an entry host."""

from hemlockhoist.base.metrics_table import (
    BEHIND_MS,
    DECLARATIONS_VERSION,
    DOMAINS_EVACUATED,
    GRANTS_IN_FLIGHT,
    HOSTS_LIVE,
    INVARIANT_VIOLATIONS,
    LINKS_LOST,
    LOOP_LAG_MS,
    MEMORY_USED,
    PROOF_AGE_MS,
    QUEUE_LENGTH,
    REQUESTS_OPEN,
    UPSTREAMS_BACKED_OFF,
    UPSTREAMS_BRITTLE,
    UPSTREAMS_LEAVING,
    UPSTREAMS_LIMITED,
    UPSTREAMS_LISTED,
    UPSTREAMS_SLOWED,
)
from hemlockhoist.decisions.entry import MemoryPurpose


def update_gauges(context):
    """Set the gauges to the present state of a host.

    Parameters
    ==========
    context : EntryContext
    """
    metrics = context.metrics
    metrics.gauge(REQUESTS_OPEN, context.open_requests)
    context.callers.update_gauges()
    metrics.gauge(LOOP_LAG_MS, context.loop_lag.take_largest_ms())
    metrics.gauge(HOSTS_LIVE, len(context.fleet.live_hosts()))
    for purpose in MemoryPurpose:
        used_bytes = context.memory.budget.used_by(purpose)
        metrics.gauge(MEMORY_USED, used_bytes, purpose.value)
    context.quarantine.update_gauges()
    _update_store_gauges(context)
    _update_upstream_gauges(context)
    for prop, count in context.invariants.violations.items():
        metrics.gauge(INVARIANT_VIOLATIONS, count, prop.name)
    for pool, home in context.homes.active().items():
        queued, granted = home.counts()
        metrics.gauge(QUEUE_LENGTH, queued, pool)
        metrics.gauge(GRANTS_IN_FLIGHT, granted, pool)
        metrics.gauge(UPSTREAMS_SLOWED, home.scheduler.slowed_count, pool)


def _update_store_gauges(context):
    metrics, store_view = context.metrics, context.store_view
    if store_view.routes is not None:
        metrics.gauge(DECLARATIONS_VERSION, store_view.routes.version)
    if store_view.proof_age_ms() is not None:
        metrics.gauge(PROOF_AGE_MS, store_view.proof_age_ms())
    metrics.gauge(BEHIND_MS, context.feeds.behind_ms())
    metrics.gauge(DOMAINS_EVACUATED, len(store_view.evacuated.names()))


def _update_upstream_gauges(context):
    live_counts = context.store_view.count_live()
    # Every pool has a value, so that a gauge falls to 0 when the last link is back.
    lost_links = dict.fromkeys(live_counts, 0) | context.upstreams.links.count_by_pool()
    counts_by_gauge = {
        UPSTREAMS_LISTED: live_counts,
        LINKS_LOST: lost_links,
        UPSTREAMS_LIMITED: context.advertised_limits.count_by_pool(),
        UPSTREAMS_BRITTLE: context.brittle_limits.count_by_pool(),
        UPSTREAMS_LEAVING: context.store_view.listing.count_announced(),
        UPSTREAMS_BACKED_OFF: context.back_offs.count_by_pool(context.clock.now_ms()),
    }
    for gauge, counts in counts_by_gauge.items():
        for pool, count in counts.items():
            context.metrics.gauge(gauge, count, pool)
