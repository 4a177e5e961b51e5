"""The pools that this host is home of, as the view of the fleet changes."""

from hemlockhoist.base import get_logger
from hemlockhoist.base.metrics_table import HOMES_ALONE
from hemlockhoist.decisions.scheduling import Experiments, PoolScheduler
from hemlockhoist.declarations import PoolKind
from hemlockhoist.host.home import PoolHome
from hemlockhoist.messages import NotHome

_log = get_logger("host.homes")

# Today's pools are one shard each, so tier order and version shares are exact.
ONLY_SHARD = 0
# A host that decided alone forgets what it knew for that after this time without a
# request: the home knows better.
STANDBY_IDLE_MS = 2_000


def _no_tracker(pool):
    """Return None: the scheduler finds the limits of its upstreams."""
    return


class HomeService:
    """Begins and ends being home of pools, and hands messages to the right one.

    Parameters
    ==========
    context : HostContext
    send : callable
        ``send(host_id, message)``.
    gate : Gate, optional
        Refuses requests before a pool's scheduler is asked.
    home_key_of : callable, optional
        ``home_key_of(pool)`` names what is hashed to find a pool's home; pools of one
        cell have one home.
    new_tracker : callable, optional
        ``new_tracker(pool)`` makes what a scheduler keeps of a pool's upstreams.
    experiments : Experiments, optional
        Mechanisms that the schedulers leave out.
    """

    __slots__ = (
        "_context",
        "_experiments",
        "_gate",
        "_home_key_of",
        "_homes",
        "_new_tracker",
        "_send",
        "_share",
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
    ):
        self._experiments = experiments or Experiments()
        self._new_tracker = new_tracker
        self._context = context
        self._send = send
        self._gate = gate
        self._home_key_of = home_key_of
        self._homes = {}
        self._standbys = {}
        self._upstreams = {}
        self._share = 1.0

    def home_of(self, pool):
        """Return the host id of a pool's home, or "" when no host is live."""
        homes = self._context.fleet.homes(self._home_key_of(pool), ONLY_SHARD)
        return homes[0] if homes else ""

    def active(self):
        """Return the homes at this host, by pool."""
        return dict(self._homes)

    @property
    def is_scheduling(self):
        """Whether this host decides for any pool, as its home or alone."""
        return bool(self._homes or self._standbys)

    def update(self):
        """Begin and end homes after a change of the fleet or of the declarations."""
        own_id = self._context.identity.host_id
        pools = {pool.name: pool for pool in self._context.declarations.pools}
        for name in list(self._homes):
            home = self.home_of(name)
            if home != own_id or name not in pools:
                self._homes.pop(name).close(home)
                self._context.moves.close_pool(name)
        for name, pool in pools.items():
            if name not in self._homes and self.home_of(name) == own_id:
                self._begin(pool)

    def _declared(self, name):
        declarations = self._context.declarations
        return declarations.pool(name), declarations.tiers

    def _begin(self, pool):
        policy = self._context.moves.open_pool(pool)
        home = self._homes[pool.name] = self._new_home(pool, policy)
        home.start(self._context.fleet.live_hosts())

    def _standby(self, name):
        """Return the home that decides for this host's own requests alone, or None.

        Made for a home that is frozen, cut off or gone, until the fleet agrees on the
        next one; and for a host that is cut off from all others. It knows the upstreams
        and what this host has sent there, and nothing of other hosts' requests.
        """
        pool = self._context.declarations.pool(name)
        if pool is not None and name not in self._standbys:
            _log.warning("deciding_alone", pool=name)
            self._context.metrics.count(HOMES_ALONE, name)
            policy = self._context.moves.open_standby(pool)
            self._standbys[name] = home = self._new_home(pool, policy)
            home.start((self._context.identity.host_id,))
        return self._standbys.get(name)

    def _new_home(self, pool, policy):
        scheduler = PoolScheduler.from_config(
            pool,
            self._context.declarations.tiers,
            self._context.identity.incarnation,
            policy,
            self._context.invariants,
            self._new_tracker(pool.name),
            self._experiments,
        )
        home = PoolHome(
            pool.name,
            scheduler,
            self._context.identity,
            self._context.clock,
            self._send,
            self._declared(pool.name),
            self._context.traces,
            self._context.metrics,
            self._gate,
            self._context.bus.reconnect,
        )
        scheduler.set_share(self._share)
        home.set_upstreams(self._upstreams.get(pool.name, ()))
        return home

    def redeclare(self):
        """Put changed declarations in force in the homes at this host."""
        for name, home in self._all():
            declared = self._declared(name)
            if home.declared != declared and declared[0] is not None:
                self._context.moves.redeclare(declared[0])
                home.reconfigure(declared)
        self.update()

    def on_request(self, sender, message, late_ms):
        """Take a grant request, or say that this host is not the pool's home."""
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
        """Return all that decide for a pool at this host.

        Failure: a host that decides alone is never told what it holds itself, as the
        answer to its question is kept from it. It gives places that are taken.
        """
        found = (self._homes.get(pool), self._standbys.get(pool))
        return [home for home in found if home is not None]

    def set_share(self, share):
        """Take the part of the fleet's bounds that this host gives out."""
        self._share = share
        for _, home in self._all():
            home.scheduler.set_share(share)

    def find(self, pool, is_alone=False):
        """Return the home of a pool at this host, or None.

        Parameters
        ==========
        pool : str
        is_alone : bool, optional
            For what this host granted to itself, where no home answered.
        """
        if is_alone and pool in self._standbys:
            return self._standbys[pool]
        return self._homes.get(pool)

    def set_upstreams(self, upstreams):
        """Take the platform's list of all upstreams."""
        by_pool = {}
        for upstream in upstreams:
            by_pool.setdefault(upstream.pool, []).append(upstream)
        self._upstreams = by_pool
        for name, home in self._all():
            home.set_upstreams(by_pool.get(name, ()))

    def upstreams(self):
        """Return all upstreams of the platform's list."""
        return [item for pool in self._upstreams.values() for item in pool]

    def watched_upstreams(self):
        """Return the upstreams of the pools at home here, whose load is read."""
        return [
            upstream
            for name in self._homes
            for upstream in self._upstreams.get(name, ())
        ]

    def observe_load(self, pool, report):
        """Hand a load report to the pool's home."""
        home = self._homes.get(pool)
        if home is not None:
            home.observe_load(report)

    def on_host_joined(self, host_id):
        """Tell the homes of a host that was not known yet."""
        for home in self._homes.values():
            home.on_host_joined(host_id)

    def forget_host(self, host_id):
        """Tell the homes that an entry host is gone."""
        for home in self._homes.values():
            home.forget_host(host_id)

    def tick(self):
        """Do what time alone brings about."""
        for _, home in self._all():
            home.tick()
        for name, home in list(self._standbys.items()):
            if home.is_idle(STANDBY_IDLE_MS):
                del self._standbys[name]
                _log.info("no_longer_alone", pool=name)

    def close(self):
        """Give up all pools, on leaving."""
        for name in list(self._homes):
            self._homes.pop(name).close(self.home_of(name))
            self._context.moves.close_pool(name)

    def kind_of(self, pool):
        """Return the kind of a pool, or None."""
        declared = self._context.declarations.pool(pool)
        return declared.kind if declared is not None else None

    def is_model(self, pool):
        """Return whether a pool's upstreams are model engines."""
        return self.kind_of(pool) is PoolKind.MODEL
