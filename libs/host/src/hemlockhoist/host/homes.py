"""Starts and closes the homes of pools at this host as the fleet changes."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import DECISIONS_ALONE
from hemlockhoist.decisions.scheduling import Experiments, PoolScheduler
from hemlockhoist.declarations import PoolKind
from hemlockhoist.host.home import PoolHome
from hemlockhoist.messages import NotHome

_log = get_logger("host.homes")

# Each pool is a single shard, so tier order and version shares are exact.
ONLY_SHARD = 0
# A standby home without a request for this long is discarded, since the pool's home has
# more accurate state.
STANDBY_IDLE_MS = 2_000


def _no_tracker(pool):
    """Return None: the scheduler then finds the limits of the upstreams itself."""
    return


class HomeService:
    """Holds the homes at this host and passes each message to the home it is for.

    Parameters
    ==========
    context : HostContext
    send : callable
        ``send(host_id, message)``.
    gate : AllowAllGate, optional
        Refuses requests before they reach a pool's scheduler.
    home_key_of : callable, optional
        ``home_key_of(pool)`` returns the key that is hashed to find a pool's home;
        pools with equal keys share a home.
    new_tracker : callable, optional
        ``new_tracker(pool)`` returns the tracker of a pool's upstreams for a scheduler.
    experiments : Experiments, optional
        Mechanisms that are disabled in the schedulers.
    on_leaving : callable, optional
        ``on_leaving(upstream_id, started_unix_ms)`` is called when an upstream has
        announced to an entry host that it is about to stop.
    quarantine : QuarantineService, optional
        Keeps requests back whose prompts crash upstreams.
    reserves_retries : bool, optional
        Whether capacity is reserved for refused requests that clients retry.
    max_suppressed_ms : int, optional
        Longest suppression of a flapping upstream; 0 for none.
    """

    __slots__ = (
        "_context",
        "_experiments",
        "_fleet_share",
        "_gate",
        "_home_key_of",
        "_homes",
        "_max_suppressed_ms",
        "_new_tracker",
        "_on_leaving",
        "_quarantine",
        "_reserves_retries",
        "_send",
        "_standbys",
        "_upstreams",
    )

    def __init__(
        self,
        context,
        send,
        gate=None,
        home_key_of=str,
        new_tracker=_no_tracker,
        experiments=None,
        on_leaving=lambda upstream_id, started_unix_ms: None,
        quarantine=None,
        reserves_retries=False,
        max_suppressed_ms=0,
    ):
        self._max_suppressed_ms = max_suppressed_ms
        self._quarantine = quarantine
        self._reserves_retries = reserves_retries
        self._on_leaving = on_leaving
        self._experiments = experiments or Experiments()
        self._new_tracker = new_tracker
        self._context = context
        self._send = send
        self._gate = gate
        self._home_key_of = home_key_of
        self._homes = {}
        self._standbys = {}
        self._upstreams = {}
        self._fleet_share = 1.0

    def home_of(self, pool):
        """Return the host id of a pool's home, or "" when no host is live."""
        homes = self._context.fleet.homes(self._home_key_of(pool), ONLY_SHARD)
        return homes[0] if homes else ""

    def active(self):
        """Return the homes at this host by pool, without the standby homes."""
        return dict(self._homes)

    @property
    def is_scheduling(self):
        """Whether this host schedules any pool, as its home or as a standby."""
        return bool(self._homes or self._standbys)

    def update(self):
        """Start and close homes after a change of the fleet or of the declarations."""
        own_id = self._context.identity.host_id
        pools = {pool.name: pool for pool in self._context.declarations.pools}
        for name in list(self._homes):
            home = self.home_of(name)
            if home != own_id or name not in pools:
                self._homes.pop(name).close(home)
                self._context.moves.close_pool(name)
        for name, pool in pools.items():
            if name not in self._homes and self.home_of(name) == own_id:
                self._start_home(pool)

    def _declaration_of(self, name):
        declarations = self._context.declarations
        return declarations.pool(name), declarations.tiers

    def _start_home(self, pool):
        policy = self._context.moves.open_pool(pool)
        home = self._homes[pool.name] = self._new_home(pool, policy)
        home.start(self._context.fleet.live_hosts())
        if self._quarantine is not None:
            self._quarantine.on_deciding()

    def _standby(self, name):
        """Return the standby home for this host's own requests, or None.

        It is created when the pool's home is frozen, partitioned or gone, until the
        fleet agrees on the next one, and when this host is partitioned from all others.
        It knows the upstreams and this host's own grants, but not the requests of other
        hosts.
        """
        pool = self._context.declarations.pool(name)
        if pool is not None and name not in self._standbys:
            home = self.home_of(name)
            silent_ms = self._context.bus.silent_ms(home)
            _log.warning(
                "deciding_alone", pool=name, home=home, home_silent_ms=silent_ms
            )
            self._context.metrics.count(DECISIONS_ALONE, name)
            policy = self._context.moves.open_standby(pool)
            standby = self._new_home(pool, policy, is_alone=True)
            self._standbys[name] = standby
            standby.start((self._context.identity.host_id,))
            if self._quarantine is not None:
                self._quarantine.on_deciding()
        return self._standbys.get(name)

    def _new_home(self, pool, policy, is_alone=False):
        scheduler = PoolScheduler.from_config(
            pool,
            self._context.declarations.tiers,
            self._context.identity.incarnation,
            policy,
            self._context.invariants,
            self._new_tracker(pool.name),
            self._experiments,
            self._reserves_retries,
            self._max_suppressed_ms,
        )
        home = PoolHome(
            pool.name,
            scheduler,
            self._context.identity,
            self._context.clock,
            self._send,
            self._declaration_of(pool.name),
            self._context.traces,
            self._context.metrics,
            self._gate,
            self._context.bus.reconnect,
            self._on_leaving,
            self._quarantine,
            is_alone,
        )
        scheduler.set_share(self._fleet_share)
        home.set_upstreams(self._upstreams.get(pool.name, ()))
        return home

    def redeclare(self):
        """Apply changed declarations to the homes at this host."""
        for name, home in self._all():
            declared = self._declaration_of(name)
            if home.declared != declared and declared[0] is not None:
                self._context.moves.redeclare(declared[0])
                home.reconfigure(declared)
        self.update()

    def on_request(self, sender, message, late_ms):
        """Pass a grant request to the pool's home, or reply ``NotHome``."""
        home = self._homes.get(message.pool)
        if home is None and message.is_alone:
            home = self._standby(message.pool)
        if home is not None:
            home.on_request(sender, message, late_ms)
            return
        other = self.home_of(message.pool)
        if other == self._context.identity.host_id:
            other = ""
        reply = NotHome(
            pool=message.pool, request_id=message.brief.request_id, home_host=other
        )
        self._send(sender, reply)

    def _all(self):
        return [*self._homes.items(), *self._standbys.items()]

    def all_for_pool(self, pool):
        """Return the home and the standby home of a pool at this host, if any.

        Failure prevented: a standby home never learns of this host's own grants,
        because the reply to its query is not passed to it, and assigns slots that are
        occupied.
        """
        found = (self._homes.get(pool), self._standbys.get(pool))
        return [home for home in found if home is not None]

    def set_share(self, share):
        """Set the fraction of the fleet's limits that homes at this host may grant."""
        self._fleet_share = share
        for _, home in self._all():
            home.scheduler.set_share(share)

    def find(self, pool, is_alone=False):
        """Return the home of a pool at this host, or None.

        Parameters
        ==========
        pool : str
        is_alone : bool, optional
            Whether the grant came from the standby home, as no home answered.
        """
        if is_alone and pool in self._standbys:
            return self._standbys[pool]
        return self._homes.get(pool)

    def review_queues(self):
        """Refuse queued requests that must not be sent any more."""
        for _, home in self._all():
            home.review_queue()

    @property
    def is_alone(self):
        """Whether this host grants requests of its own, as no home answers."""
        return bool(self._standbys)

    def set_upstreams(self, upstreams):
        """Set the upstreams of all pools, as the platform lists them."""
        by_pool = {}
        for upstream in upstreams:
            by_pool.setdefault(upstream.pool, []).append(upstream)
        self._upstreams = by_pool
        for name, home in self._all():
            home.set_upstreams(by_pool.get(name, ()))

    def upstreams(self):
        """Return the upstreams of all pools, as the platform lists them."""
        return [item for pool in self._upstreams.values() for item in pool]

    def watched_upstreams(self):
        """Return the upstreams whose load is polled: those of homes at this host."""
        return [
            upstream
            for name in self._homes
            for upstream in self._upstreams.get(name, ())
        ]

    def observe_load(self, pool, report):
        """Pass a load report to the pool's home."""
        home = self._homes.get(pool)
        if home is not None:
            home.observe_load(report)

    def on_host_joined(self, host_id):
        """Notify the homes of a host that was not known before."""
        for home in self._homes.values():
            home.on_host_joined(host_id)

    def forget_host(self, host_id):
        """Notify the homes that an entry host is gone."""
        for home in self._homes.values():
            home.forget_host(host_id)

    def tick(self):
        """Let all homes tick, and discard idle standby homes."""
        for _, home in self._all():
            home.tick()
        for name, home in list(self._standbys.items()):
            if home.is_idle(STANDBY_IDLE_MS):
                del self._standbys[name]
                _log.info("no_longer_alone", pool=name)

    def close(self):
        """Close all homes when this host leaves."""
        for name in list(self._homes):
            self._homes.pop(name).close(self.home_of(name))
            self._context.moves.close_pool(name)

    def kind_of(self, pool):
        """Return the kind of a pool, or None when it is not declared."""
        declared = self._context.declarations.pool(pool)
        return declared.kind if declared is not None else None

    def is_model(self, pool):
        """Return whether a pool's upstreams are model engines."""
        return self.kind_of(pool) is PoolKind.MODEL
