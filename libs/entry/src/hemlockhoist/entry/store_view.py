"""A host's view of the store: routes, upstreams and the age of their proof."""

import asyncio
import collections
import contextlib

from hemlockhoist.base import (
    MS_PER_S,
    DeclarationError,
    Property,
    PropertyViolation,
    Refused,
    ResultCode,
    UpstreamCold,
    UpstreamEvacuated,
    UpstreamLeft,
    get_logger,
)
from hemlockhoist.decisions import UpstreamState, evacuated_upstream
from hemlockhoist.decisions.entry import (
    DomainOrder,
    EvacuatedDomains,
    Freshness,
    UpstreamListing,
)

_log = get_logger("entry.knowledge")

# A key is accepted while the last proof is younger than the declared revocation time
# minus this margin, which covers the request's transit to its upstream and differences
# between the clocks' rates.
PROOF_MARGIN_MS = 250
# Likewise for the time until a change has to be in force; a request that is refused
# for good is not on its way to an upstream.
FINAL_MARGIN_MS = 100
STALE_RETRY_AFTER_MS = 300
NOT_READY_RETRY_AFTER_MS = 300


class StoreView:
    """The newest known routes and upstreams, with the proof of their freshness.

    Parameters
    ==========
    platform : Platform
    bounds : FleetBounds
    clock : Clock
    boot_clock : SuspendAwareClock
    invariants : InvariantLog
    on_routes : callable
        ``on_routes(table)`` is called after each newer version.
    on_upstreams : callable
        ``on_upstreams()`` is called after each change of the listing.
    on_order : callable
        ``on_order(order)`` is called for each order to move a pool to a version.
    behind_ms : callable, optional
        Returns for how long other hosts have told of routes that this one lacks, or 0.
    """

    __slots__ = (
        "_behind_ms",
        "_boot_clock",
        "_bounds",
        "_clock",
        "_completed",
        "_invariants",
        "_on_order",
        "_on_routes",
        "_on_upstreams",
        "_platform",
        "evacuated",
        "freshness",
        "has_upstreams",
        "listing",
        "routes",
    )

    def __init__(
        self,
        platform,
        bounds,
        clock,
        boot_clock,
        invariants,
        on_routes,
        on_upstreams,
        on_order,
        behind_ms=lambda: 0,
    ):
        self._behind_ms = behind_ms
        self._on_order = on_order
        self._platform = platform
        self._bounds = bounds
        self._clock = clock
        self._boot_clock = boot_clock
        self._invariants = invariants
        self._on_routes = on_routes
        self._on_upstreams = on_upstreams
        self._completed = asyncio.Event()
        self.evacuated = EvacuatedDomains()
        self.freshness = Freshness()
        self.listing = UpstreamListing()
        self.routes = None
        self.has_upstreams = False

    @property
    def is_complete(self):
        """Whether routes and upstreams have been read at least once."""
        return self.routes is not None and self.has_upstreams

    async def wait_complete(self, limit_ms):
        """Wait until routes and upstreams have been read, at most ``limit_ms``."""
        if self._completed.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await self._completed.wait()

    def _update_completed(self):
        if self.is_complete:
            self._completed.set()

    def proof_age_ms(self):
        """Return the age of the newest proof of the routes, or None without one."""
        return self.freshness.age_ms(self._boot_clock.now_ms())

    def store_now_ms(self):
        """Return the time of the store's clock, which all hosts share.

        The estimate advances steadily even if the time of day jumps. It lags by the
        transit time of the fastest response so far.
        """
        return self.freshness.store_ms(self._boot_clock.now_ms())

    def is_fresh(self):
        """Return whether keys may be accepted."""
        return self._is_proven_within(self._bounds.revocation_ms - PROOF_MARGIN_MS)

    def _is_proven_within(self, limit_ms):
        age_ms = self.proof_age_ms()
        return age_ms is not None and age_ms < limit_ms

    def check_fresh(self):
        """Refuse to accept a key by stale routes.

        Raises
        ======
        Refused
        """
        if not self.is_fresh():
            self._refuse_stale()

    def check_final(self):
        """Refuse a decision that is final for its caller, if a change may alter it.

        Failure prevented: a route or key is added, this host does not know it yet, and
        refuses permanently what all other hosts serve. A change that has to be in force
        by now is younger than the proof, or another host has told of it.

        Raises
        ======
        Refused
        """
        limit_ms = self._bounds.configuration_ms - FINAL_MARGIN_MS
        if not self._is_proven_within(limit_ms):
            self._refuse_stale()
        behind_ms = self._behind_ms()
        if behind_ms:
            raise Refused(
                f"other hosts have had newer routes for {behind_ms} ms or more",
                ResultCode.CONFIGURATION_STALE,
                STALE_RETRY_AFTER_MS,
            )

    def _refuse_stale(self):
        age_ms = self.proof_age_ms()
        raise Refused(
            f"the routes were last confirmed by the store {age_ms} ms ago",
            ResultCode.CONFIGURATION_STALE,
            STALE_RETRY_AFTER_MS,
        )

    def check_complete(self):
        """Refuse callers until routes and upstreams have been read.

        Raises
        ======
        Refused
        """
        if not self.is_complete:
            raise Refused("", ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_MS)

    def apply_config_rows(self, reading, is_snapshot):
        """Apply rows of the table that holds the routes and the operators' orders."""
        self._apply_part(self._apply_routes_row, reading)
        self._apply_part(self._apply_domain_orders, reading, is_snapshot)
        self._apply_part(self._apply_move_orders, reading)

    def _apply_part(self, apply, reading, *options):
        """Apply one kind of rows; log an error, and go on with the other kinds.

        Failure prevented: an order that can't be handled, read together with the
        routes, keeps the host on its old routes until the next change.
        """
        try:
            apply(reading, *options)
        except PropertyViolation:
            raise
        except Exception:
            _log.error("rows_failed", kind=apply.__name__, exc_info=True)

    def _decode(self, decode, row, *options):
        """Return what a row decodes to, or None with a log line if it can't be.

        Failure prevented: a row of another writer raises what its decoder does not
        expect, and all other rows that were read with it are never known here.
        """
        try:
            return decode(row, *options)
        except Exception:
            _log.error("row_refused", row=row.key, version=row.version, exc_info=True)
            return None

    def _apply_routes_row(self, reading):
        for row in reading.rows:
            if row.key == self._platform.config_key and row.value is not None:
                self._apply_routes(row, reading)

    def _apply_move_orders(self, reading):
        for row in reading.rows:
            if row.key == self._platform.config_key or row.value is None:
                continue
            order = self._decode(self._platform.decode_order, row)
            if order is not None:
                self._on_order(order)

    def _apply_domain_orders(self, reading, is_snapshot):
        decode = self._platform.decode_domain_order
        found = (self._decode(decode, row) for row in reading.rows)
        orders = [order for order in found if order is not None]
        if is_snapshot:
            changed = self.evacuated.replace(orders, reading.version)
        else:
            applied = [order for order in orders if self.evacuated.apply(order)]
            changed = [order.failure_domain for order in applied]
        self._on_domains_changed(changed)

    def _on_domains_changed(self, changed):
        """Put evacuations, and the ends of evacuations, in force."""
        for name in changed:
            version = self.evacuated.version(name)
            event = "domain_taken_back" if version is None else "domain_evacuated"
            _log.info(event, failure_domain=name, version=version)
        if changed:
            self._on_upstreams()

    def on_domain_evacuated(self, failure_domain, version):
        """Apply another host's report that a failure domain is evacuated."""
        order = DomainOrder(
            failure_domain=failure_domain, is_evacuated=True, version=version
        )
        if self.evacuated.apply(order):
            self._on_domains_changed((failure_domain,))

    def _apply_routes(self, row, reading):
        try:
            table = self._platform.decode_routes(row.value)
        except DeclarationError as error:
            # The routes in force stay: partly decoded ones would misroute requests.
            _log.error("routes_unreadable", row=row.version, reason=error.message)
            return
        previous = self.routes
        if previous is not None and table.version <= previous.version:
            if table.version < previous.version:
                _log.warning(
                    "routes_older", version=table.version, known=previous.version
                )
            return
        self.routes = table
        self._invariants.check(
            Property.CONFIGURATION_NEVER_REVERTS,
            previous is None or previous.version < table.version,
            f"routes {table.version} after {previous.version if previous else 0}",
        )
        _log.info(
            "routes_in_force",
            version=table.version,
            routes=len(table.routes),
            row_bytes=len(row.value),
            relayed_by=reading.relayed_by,
            read_ms_ago=max(0, self.store_now_ms() - reading.store_ms),
        )
        self._on_routes(table)
        self._update_completed()

    def record_reading(self, reading):
        """Record a successful reading of the routes' table as proof of freshness."""
        sent_ms, store_ms = reading.sent_ms, reading.store_ms
        if reading.clock_ms is None:
            self.freshness.record(sent_ms, store_ms)
        else:
            self.freshness.record_relayed(sent_ms, store_ms, reading.clock_ms)

    def apply_upstream_rows(self, reading, is_snapshot):
        """Apply rows of the table of upstreams."""
        now_ms = self._clock.now_ms()
        self.has_upstreams = True
        if is_snapshot:
            decode = self._platform.decode_upstream
            rows = [row for row in reading.rows if row.value]
            found = [self._decode(decode, row, now_ms) for row in rows]
            self.listing.replace([item for item in found if item], now_ms)
        else:
            for row in reading.rows:
                self._apply_upstream(row, now_ms)
        self._on_upstreams()
        self._update_completed()

    def _apply_upstream(self, row, now_ms):
        upstream = None
        if row.value is not None:
            decode = self._platform.decode_upstream
            upstream = self._decode(decode, row, now_ms)
        if upstream is None:
            self.listing.drop(row.key, now_ms, row.version)
            _log.info("upstream_gone", upstream=row.key, version=row.version)
            return
        self.listing.put(upstream)
        _log.info(
            "upstream_listed",
            upstream=row.key,
            pool=upstream.pool,
            state=upstream.state.value,
            version=row.version,
            cold_ms=max(0, upstream.cold_until_ms - now_ms),
        )

    def usable(self):
        """Return the upstreams, with leaving and evacuated ones marked."""
        upstreams = self.listing.usable(self._clock.now_ms())
        evacuated = frozenset(self.evacuated.names())
        if not evacuated:
            return upstreams
        return tuple(
            evacuated_upstream(item) if item.failure_domain in evacuated else item
            for item in upstreams
        )

    def count_live(self):
        """Return the number of upstreams that accept work, by pool."""
        live = (item for item in self.usable() if item.state is UpstreamState.LIVE)
        return collections.Counter(item.pool for item in live)

    def check_upstream(self, upstream_id, is_cold):
        """Refuse to send to an upstream under an outdated grant.

        Parameters
        ==========
        upstream_id : str
        is_cold : bool
            Whether the home that granted it knew the upstream to be cold.

        Raises
        ======
        UpstreamLeft, UpstreamEvacuated, UpstreamCold
        """
        now_ms = self._clock.now_ms()
        upstream = self.listing.get(upstream_id, now_ms)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            raise UpstreamLeft(upstream_id, self.listing.removed_version(upstream_id))
        domain = upstream.failure_domain
        evacuated_version = self.evacuated.version(domain)
        if evacuated_version is not None:
            raise UpstreamEvacuated(upstream_id, domain, evacuated_version)
        cold_ms = upstream.cold_until_ms - now_ms
        if cold_ms > 0 and not is_cold and self._limits_cold_upstreams(upstream.pool):
            raise UpstreamCold(upstream_id, upstream.listed_version, cold_ms)

    def regions_of(self, host):
        """Return the regions that the routes of a host name require; empty for any."""
        return self.routes.regions_of(host) if self.routes is not None else ()

    def check_region(self, upstream_id, regions):
        """Refuse to send a body to a region in which it may not be stored.

        Raises
        ======
        Refused
        """
        upstream = self.listing.get(upstream_id, self._clock.now_ms())
        if regions and (upstream is None or upstream.region not in regions):
            raise Refused(f"{upstream_id} is not in regions {','.join(regions)}")

    def _limits_cold_upstreams(self, pool):
        declared = self.routes.pool(pool) if self.routes is not None else None
        return declared is not None and declared.cold_requests_per_s > 0

    def on_upstream_cold(self, upstream_id, version, cold_ms):
        """Apply another host's report that an upstream is cold, if it is newer."""
        cold_until_ms = self._clock.now_ms() + cold_ms
        if self.listing.mark_cold(upstream_id, version, cold_until_ms):
            _log.info("upstream_cold", upstream=upstream_id, cold_ms=cold_ms, told=True)
            self._on_upstreams()

    def on_upstream_leaving(self, upstream_id, started_unix_ms):
        """Apply an upstream's announcement, heard here or by another host."""
        if self.listing.announce_leaving(upstream_id, started_unix_ms):
            _log.info("upstream_leaving", upstream=upstream_id)
            self._on_upstreams()

    def started_unix_ms(self, upstream_id):
        """Return the start time of an upstream's process, or None if not listed."""
        upstream = self.listing.get(upstream_id, self._clock.now_ms())
        return None if upstream is None else upstream.started_unix_ms

    def was_leaving(self, upstream_id):
        """Return whether the end of an upstream was planned."""
        upstream = self.listing.get(upstream_id, self._clock.now_ms())
        return upstream is None or upstream.state is not UpstreamState.LIVE

    def on_upstream_left(self, upstream_id, version):
        """Apply another host's report that an upstream left, if it is newer."""
        if self.listing.mark_removed(upstream_id, version, self._clock.now_ms()):
            _log.info("upstream_gone", upstream=upstream_id, version=version, told=True)
            self._on_upstreams()
