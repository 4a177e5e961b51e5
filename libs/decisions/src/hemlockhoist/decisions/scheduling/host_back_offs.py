"""Upstreams that want no requests from single entry hosts for a while."""

from hemlockhoist.decisions.incarnations import Incarnations

_NONE = frozenset()


class HostBackOffs:
    """Tracks from which hosts an upstream wants no requests, and until when.

    An upstream that turns a request away may ask the host that sent it to back off. Its
    slots stay free then, so that the home would grant it the next request of that host
    in preference to busy upstreams, and each would be turned away as well.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.host_back_offs import HostBackOffs
    >>> back_offs = HostBackOffs()
    >>> back_offs.record("u1", "host-1", until_ms=3_000)
    >>> back_offs.wait_ms("u1", "host-1", 1_000), back_offs.wait_ms("u1", "host-2", 0)
    (2000, 0)
    """

    __slots__ = ("_incarnations", "_until_ms")

    def __init__(self):
        self._incarnations = Incarnations()
        # By upstream and host.
        self._until_ms = {}

    def record(self, upstream_id, host, until_ms):
        """Record that an upstream wants no requests from a host; the later time holds.

        Parameters
        ==========
        upstream_id, host : str
        until_ms : int
        """
        hosts = self._until_ms.setdefault(upstream_id, {})
        hosts[host] = max(until_ms, hosts.get(host, 0))

    def wait_ms(self, upstream_id, host, now_ms):
        """Return for how long an upstream wants no requests from a host."""
        until_ms = self._until_ms.get(upstream_id, {}).get(host, now_ms)
        return max(0, until_ms - now_ms)

    @property
    def any_recorded(self):
        """Whether any upstream wants no requests from some host, or recently did."""
        return bool(self._until_ms)

    def backed_off_from(self, host, now_ms):
        """Return the ids of the upstreams that want no requests from a host now.

        Hot path: called for each request, mostly while no upstream wants rest.
        """
        if not self._until_ms:
            return _NONE
        return frozenset(
            upstream_id
            for upstream_id, hosts in self._until_ms.items()
            if hosts.get(host, now_ms) > now_ms
        )

    def set_listed(self, upstreams, now_ms):
        """Forget upstreams that are gone or have restarted."""
        for upstream_id in self._incarnations.replace(upstreams, now_ms):
            self._until_ms.pop(upstream_id, None)

    def forget_host(self, host):
        """Forget what upstreams asked of a host that is gone."""
        for hosts in self._until_ms.values():
            hosts.pop(host, None)
        self._drop_empty()

    def forget_passed(self, now_ms):
        """Forget the times that have passed."""
        for upstream_id, hosts in self._until_ms.items():
            self._until_ms[upstream_id] = {
                host: until_ms for host, until_ms in hosts.items() if until_ms > now_ms
            }
        self._drop_empty()

    def _drop_empty(self):
        self._until_ms = {key: hosts for key, hosts in self._until_ms.items() if hosts}
