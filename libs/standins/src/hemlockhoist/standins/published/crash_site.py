"""A site whose replicas crash on what they are sent, and start again."""

import asyncio
import itertools

from hemlockhoist.standins.published.replica import Replica
from hemlockhoist.standins.published.site import Site


class CrashSite(Site):
    """A site whose replicas crash, and start again under new ids.

    Parameters
    ==========
    routes : list of dict
    pools : dict of str to (int, int)
        The number of replicas of each service, and of events of their streams.
    prepare : callable
        ``prepare(replica)`` is called for each replica before it starts.
    down_s : float
        For how long a replica is down after a crash.
    """

    def __init__(self, routes, pools, prepare, down_s, **kwargs):
        self._replica_ids = itertools.count(1)
        self._prepare = prepare
        self._down_s = down_s
        replicas = {
            name: [self._new_replica(name, events) for _ in range(count)]
            for name, (count, events) in pools.items()
        }
        super().__init__(replicas, routes, **kwargs)

    def _new_replica(self, service, events):
        replica = Replica(f"i-{next(self._replica_ids)}", events)
        replica.delay_ms = 30
        replica.event_ms = 10
        replica.down_s = self._down_s
        self._prepare(replica)

        async def rename():
            old_id = replica.replica_id
            replica.replica_id = f"i-{next(self._replica_ids)}"
            await self.register_replica(service, replica)
            await self.store.put("servers", old_id, None)

        replica.on_restart = rename
        return replica

    def all_replicas(self):
        """Return the replicas of all services."""
        return [item for pool in self.replicas.values() for item in pool]

    def set_crash_moment(self, moment):
        """Set how far replicas get with an answer that crashes them."""
        for replica in self.all_replicas():
            replica.crash_moment = moment

    def crashes_s(self, cause=None):
        """Return when replicas crashed on what they were sent, sorted.

        Parameters
        ==========
        cause : str, optional
            The part or target; all if it is not given.
        """
        return sorted(
            at_s
            for item in self.all_replicas()
            for at_s, found in item.crashes
            if cause in (None, found)
        )

    def home_number(self, service):
        """Return the number of the host that is the home of a service's pool."""
        home = self.hosts[0].context.homes.home_of(service)
        return next(
            number
            for number, host in enumerate(self.hosts)
            if host.context.identity.host_id == home
        )


def now_s():
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()
