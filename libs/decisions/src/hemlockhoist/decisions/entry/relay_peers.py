"""Selection of the hosts through which requests reach upstreams."""

import enum
import random

import msgspec

# Hosts that are asked for one request.
MAX_CANDIDATES = 5
# Requests in flight through one host of the same failure domain, above which hosts of
# other domains are used as well.
LOCAL_IN_FLIGHT = 16
# Hosts of each kind among which the least used ones are selected. In a fleet of 1,300,
# ordering all of them at each request would take milliseconds.
SAMPLE_SIZE = 16


class RelayCause(enum.Enum):
    """Why a host does not relay a request; nothing was sent to the upstream."""

    # It has no link to the upstream itself, or can't tell whose fault it is.
    NO_LINK = "no link"
    # It has no link to any upstream of the pool.
    NO_LINKS = "no links"
    # It reaches other upstreams of the pool, but not this one.
    UNREACHABLE = "upstream unreachable"
    BUSY = "busy"
    LEAVING = "leaving"
    # The upstream takes no request of that host, or of no host any more.
    NOT_ALLOWED = "not allowed"
    EXPIRED = "expired"
    # It did not answer, or not in time.
    SILENT = "silent"


# For how long a host is not asked again after each of these answers.
_REST_MS = {
    RelayCause.NO_LINK: 1_000,
    RelayCause.NO_LINKS: 1_000,
    RelayCause.BUSY: 200,
    RelayCause.LEAVING: 1_000,
    RelayCause.SILENT: 1_000,
}


class RelayCandidate(msgspec.Struct, frozen=True):
    """A host that may relay requests.

    Parameters
    ==========
    host_id : str
        Its address for peers.
    address : str
        ``IP:port`` at which it accepts requests to relay.
    """

    host_id: str
    address: str


class RelayPeers:
    """Selects hosts to relay requests, and remembers which ones could not.

    Hosts of the same failure domain come first, as each byte between domains is
    charged, up to a number of requests in flight through each; then any others. Among
    equals, the least used ones do. What is remembered is the exception, for a second.

    Parameters
    ==========
    failure_domain : str
        Of this host.
    seed : int or str
        Seed of the random selection among equals.
    """

    __slots__ = ("_failure_domain", "_in_flight", "_resting", "_rng")

    def __init__(self, failure_domain, seed):
        self._failure_domain = failure_domain
        self._rng = random.Random(seed)
        self._in_flight = {}
        # By host, pool and upstream, which is empty for all of the pool: until when the
        # host is not asked.
        self._resting = {}

    def candidates(self, members, pool, upstream_id, now_ms):
        """Return the hosts to ask, the best one first.

        Parameters
        ==========
        members : iterable of hemlockhoist.messages.Member
            The other hosts that are neither suspect nor leaving.
        pool, upstream_id : str
        now_ms : int

        Returns
        =======
        list of RelayCandidate
            At most ``MAX_CANDIDATES``.
        """
        self._forget_passed(now_ms)
        local, others = [], []
        for member in members:
            if not member.relay_address:
                continue
            if self._is_resting(member.address, pool, upstream_id):
                continue
            is_local = member.failure_domain == self._failure_domain
            has_room = self._in_flight.get(member.address, 0) < LOCAL_IN_FLIGHT
            (local if is_local and has_room else others).append(member)
        ordered = [*self._least_used(local), *self._least_used(others)]
        return [
            RelayCandidate(member.address, member.relay_address)
            for member in ordered[:MAX_CANDIDATES]
        ]

    def begin(self, host_id):
        """Count a request that is sent through a host."""
        self._in_flight[host_id] = self._in_flight.get(host_id, 0) + 1

    def end(self, host_id):
        """Stop counting a request that was sent through a host."""
        self._in_flight[host_id] -= 1
        if not self._in_flight[host_id]:
            del self._in_flight[host_id]

    def record_refusal(self, host_id, pool, upstream_id, cause, now_ms):
        """Record that a host did not relay a request to an upstream, and why.

        Failure prevented: a host that has lost the link to one upstream is not asked
        for the others of the pool, which it alone may still reach.
        """
        if cause not in _REST_MS:
            return
        refused = upstream_id if cause is RelayCause.NO_LINK else ""
        self._resting[host_id, pool, refused] = now_ms + _REST_MS[cause]

    def wait_ms(self, pool, now_ms):
        """Return after how long a host that could not relay may be asked again."""
        waits_ms = (
            until_ms - now_ms
            for (_, name, _), until_ms in self._resting.items()
            if name == pool
        )
        return max(0, min(waits_ms, default=0))

    def _is_resting(self, host_id, pool, upstream_id):
        resting = self._resting
        if not resting:
            return False
        return (host_id, pool, "") in resting or (host_id, pool, upstream_id) in resting

    def _least_used(self, members):
        sample = self._rng.sample(members, min(SAMPLE_SIZE, len(members)))
        sample.sort(key=lambda member: self._in_flight.get(member.address, 0))
        return sample[:MAX_CANDIDATES]

    def _forget_passed(self, now_ms):
        if self._resting:
            self._resting = {
                key: until for key, until in self._resting.items() if until > now_ms
            }
