"""What an entry host reports to a new home of a pool, beside the grants that it holds."""

from hemlockhoist.decisions import granting_incarnation
from hemlockhoist.host.announced_retries import AnnouncedRetries
from hemlockhoist.host.gates import AllowAllGate
from hemlockhoist.messages import HeldGrants


class HolderReport:
    """Collects what homes granted to this host, and what upstreams told it.

    Parameters
    ==========
    started_ms : int
        When this host started.
    incarnation : str, optional
        This host's incarnation.
    usage_log : UsageLog, optional
        Records customers' usage.
    advertised_limits : AdvertisedLimits, optional
        The limits that upstreams advertised to this host.
    back_offs : BackOffs, optional
        The upstreams that want no requests from this host for a while.
    brittle_limits : AdvertisedLimits, optional
        The rejections that brittle upstreams bear, as they advertised to this host.
    quarantine : QuarantineService, optional
        The evidence against parts of prompts that crash upstreams.
    gate : AllowAllGate, optional
        Keeps what homes counted against the limit on retries.
    """

    __slots__ = (
        "_announced_retries",
        "_gate",
        "_incarnation",
        "_quarantine",
        "_started_ms",
        "_from_upstreams",
        "_usage_log",
    )

    def __init__(
        self,
        started_ms,
        incarnation="",
        usage_log=None,
        advertised_limits=None,
        back_offs=None,
        brittle_limits=None,
        quarantine=None,
        gate=None,
    ):
        self._started_ms = started_ms
        self._incarnation = incarnation
        self._usage_log = usage_log
        # What upstreams told this host, by the field of the report.
        self._from_upstreams = {
            "limits": advertised_limits,
            "back_offs": back_offs,
            "brittle": brittle_limits,
        }
        self._quarantine = quarantine
        self._gate = gate or AllowAllGate()
        self._announced_retries = AnnouncedRetries()

    def on_reply(self, message, received_ms):
        """Record what a home's grant says, also if it has expired in transit.

        Parameters
        ==========
        message : GrantReply
        received_ms : int
            When it was sent, on this host's clock.
        """
        records = message.retry_records
        self._gate.adopt_retry_records(message.pool, records, received_ms)

    def on_granted(self, hold, now_ms):
        """Record a grant that this host uses."""
        if self._usage_log is not None:
            incarnation, brief = granting_incarnation(hold.grant_id), hold.brief
            self._usage_log.add(
                hold.pool, incarnation, brief.customer, brief.units, now_ms
            )

    def on_refused(self, brief, message, now_ms):
        """Record a home's refusal, which may announce a time to retry."""
        self._announced_retries.record(brief, message, now_ms)

    def build(self, pool, home_incarnation, grants, now_ms):
        """Return the report to a home.

        Parameters
        ==========
        pool, home_incarnation : str
        grants : tuple of HeldGrant
            The grants of the pool that this host holds.
        now_ms : int

        Returns
        =======
        HeldGrants
        """
        from_upstreams = {
            field: source.report(pool, now_ms)
            for field, source in self._from_upstreams.items()
            if source is not None
        }
        usage, part_records = (), ()
        if self._usage_log is not None:
            usage = self._usage_log.report(pool, home_incarnation, now_ms)
        if self._quarantine is not None:
            part_records = self._quarantine.reported_records()
        return HeldGrants(
            pool=pool,
            home_incarnation=home_incarnation,
            grants=grants,
            usage=usage,
            up_ms=now_ms - self._started_ms,
            incarnation=self._incarnation,
            part_records=part_records,
            announced_retries=self._announced_retries.report(pool, now_ms),
            retry_records=self._gate.retry_records(pool, now_ms),
            **from_upstreams,
        )
