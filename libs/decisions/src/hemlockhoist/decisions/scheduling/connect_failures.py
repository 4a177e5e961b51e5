"""Attribution of failed connections: to an upstream, or to the host's own links."""

# A failure that long ago says nothing about the present links of a host.
FAILURE_TTL_MS = 10_000


class ConnectFailures:
    """Decides whether a failed connection speaks against its upstream.

    Whether a host reaches an upstream is a property of the pair. Load: some hosts lose
    their links to all upstreams, which the other hosts reach. Each of their requests
    fails at several upstreams within milliseconds; counted against these upstreams,
    one request keeps most of a pool from the hosts that have links.

    So a host that has failed at two upstreams since it last reached one counts as
    having lost its links: its failures no longer count, and those that did are taken
    back unless another host has failed there too. A failure that a second host has
    confirmed always counts.

    Examples
    ========
    >>> from hemlockhoist.decisions.scheduling.connect_failures import ConnectFailures
    >>> failures = ConnectFailures()
    >>> failures.record("h1", "u1", now_ms=0), failures.take_retracted()
    (True, ())
    >>> failures.record("h1", "u2", now_ms=5), failures.take_retracted()
    (False, ('u1',))
    >>> failures.record("h2", "u1", now_ms=9)
    True
    >>> failures.record_reached("h1", "u3")
    >>> failures.record("h1", "u2", now_ms=20)
    True
    """

    __slots__ = ("_failed", "_retracted")

    def __init__(self):
        # For each host, when it failed at each upstream since it last reached one.
        self._failed = {}
        self._retracted = []

    def record(self, host, upstream_id, now_ms, is_confirmed=False):
        """Record that a host could not connect; return whether the upstream is blamed.

        Parameters
        ==========
        host, upstream_id : str
        now_ms : int
        is_confirmed : bool, optional
            Whether a host that reaches other upstreams failed there too.
        """
        if is_confirmed:
            return True
        failed = self._failed[host] = self._recent(host, now_ms)
        was_credible = self.is_credible(host)
        others = failed.keys() - {upstream_id}
        failed[upstream_id] = now_ms
        if was_credible and others:
            self._retract(host, *others)
        return not others

    def record_reached(self, host, upstream_id):
        """Record that an upstream was reached, which clears both.

        Parameters
        ==========
        host : str
            Empty if it was reached by another host than the one that had tried.
        upstream_id : str
        """
        self._failed.pop(host, None)
        for failed in self._failed.values():
            failed.pop(upstream_id, None)

    def record_misdirected(self, host):
        """Record that another upstream answered a host at the address of the listed one.

        The host has links, and what it says of the listed upstream needs no witness.
        """
        self._failed.pop(host, None)

    def is_credible(self, host):
        """Return whether the failures of a host are taken for those of upstreams."""
        return len(self._failed.get(host, ())) <= 1

    def take_retracted(self):
        """Return the upstreams that have turned out not to be blamed, once each."""
        retracted, self._retracted = tuple(self._retracted), []
        return retracted

    def forget_host(self, host):
        """Forget the failures of a host that is gone."""
        self._failed.pop(host, None)

    def _recent(self, host, now_ms):
        failed = self._failed.get(host, {})
        return {key: at for key, at in failed.items() if now_ms - at < FAILURE_TTL_MS}

    def _retract(self, host, upstream_id):
        """Take the blame from an upstream that no other credible host failed at."""
        for other, failed in self._failed.items():
            if other != host and upstream_id in failed and self.is_credible(other):
                return
        self._retracted.append(upstream_id)
