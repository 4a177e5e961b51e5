"""The interface between the scheduler and the controllers of version moves."""


class VersionPolicy:
    """Selects the versions that may serve a request; this base class allows all.

    The scheduler of a pool queries the policy before each grant and reports every grant
    and outcome to it. Shares of versions are counted from these reports; they are never
    drawn at random.
    """

    __slots__ = ()

    def candidates(self, request, versions, now_ms):
        """Return the versions that may serve ``request``, in order of preference.

        Parameters
        ==========
        request : WorkRequest
        versions : sequence of str
            Versions with an upstream that has a free slot now, sorted.
        now_ms : int

        Returns
        =======
        tuple of str
            Empty if the request has to wait.
        """
        return tuple(versions)

    def on_grant(self, request, version, now_ms, upstream_id=""):
        """Count a grant on an upstream of ``version``.

        Parameters
        ==========
        request : WorkRequest
        version : str
        now_ms : int
        upstream_id : str, optional
            Distinguishes a single faulty upstream from a faulty version.
        """

    def on_adopt(self, request, version, now_ms, upstream_id=""):
        """Count a grant that a previous home issued and that is still in flight."""

    def on_outcome(self, request, version, outcome, now_ms, upstream_id=""):
        """Record the outcome of a granted request as evidence."""

    def on_forget(self, request, version, now_ms):
        """Stop counting a grant whose outcome will not be reported.

        Its entry host has died or has held the grant past every deadline.
        """
