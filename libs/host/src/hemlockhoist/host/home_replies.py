"""What a home answers to the entry hosts that ask it for grants."""

from hemlockhoist.messages import GrantQueued, GrantRefusal, GrantReply, NotHome


class HomeReplies:
    """Sends the replies of one pool's home.

    Parameters
    ==========
    pool : str
    send : callable
        ``send(host_id, message)``.
    """

    __slots__ = ("_pool", "_send")

    def __init__(self, pool, send):
        self._pool = pool
        self._send = send

    def grant(self, host_id, grant, now_ms, retry_records=()):
        """Send a grant.

        Parameters
        ==========
        host_id : str
        grant : Grant
        now_ms : int
        retry_records : tuple of RetryRecord, optional
            What homes counted against the limit on retries, with the grant of one.
        """
        reply = GrantReply(
            pool=self._pool,
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            upstream_id=grant.upstream_id,
            address=grant.address,
            version=grant.version,
            expires_in_ms=grant.expires_ms - now_ms,
            is_cold=grant.is_cold,
            is_limited=grant.is_limited,
            retry_records=retry_records,
        )
        self._send(host_id, reply)

    def queued(self, host_id, request_id):
        """Say that a request waits."""
        self._send(host_id, GrantQueued(pool=self._pool, request_id=request_id))

    def refusal(self, request, code, retry_after_ms, reason, reserved_ms):
        """Refuse a request; its entry host logs the refusal with its reason."""
        refusal = GrantRefusal(
            pool=self._pool,
            request_id=request.request_id,
            code=int(code),
            retry_after_ms=retry_after_ms,
            reason=reason,
            reserved_ms=reserved_ms,
        )
        self._send(request.entry_host, refusal)

    def not_home(self, host_id, request_id, new_home):
        """Say which host is the home from now on."""
        message = NotHome(pool=self._pool, request_id=request_id, home_host=new_home)
        self._send(host_id, message)
